// Package scenarios holds test scripts that run the programs of the project as real
// processes and make processes, connections and the store fail. Each file in testdata is
// one scenario; docs/proofs.md lists what each one shows.
package scenarios

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/cli"
	"github.com/jackdawlane/jackdawlane/hangup"
	"github.com/jackdawlane/jackdawlane/node"
	"github.com/jackdawlane/jackdawlane/standin/cmd"
)

// raceOptions keeps programs that are built with the race detector from waiting a
// second before they exit. Scenarios run hundreds of commands, so this would take too long.
const raceOptions = "atexit_sleep_ms=0"

func TestMain(m *testing.M) {
	// Processes that the fleet type starts inherit the environment of this process.
	_ = os.Setenv("GORACE", raceOptions)
	testscript.Main(m, map[string]func(){
		"jackdawlaned": func() { os.Exit(node.Main(os.Args[1:], os.Stderr, hangup.Signals())) },
		"jackdawlane":  func() { os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, "test")) },
		"jackdawstub": func() {
			if cmd.NewRootCommand().Execute() != nil {
				os.Exit(1)
			}
		},
	})
}

func TestScenarios(t *testing.T) { run(t, "testdata") }

func run(t *testing.T, directory string) {
	testscript.Run(t, testscript.Params{
		Dir: directory,
		Setup: func(env *testscript.Env) error {
			env.Setenv("GORACE", raceOptions)
			f := newFleet(env)
			env.Values[fleetKey{}] = f
			env.Defer(f.killAll)
			return nil
		},
		Cmds: scriptCommands(),
	})
}

// commands are the script commands in addition to those of testscript.
var commands = map[string]func(*fleet, *testscript.TestScript, []string){
	"await":              (*fleet).await,
	"backend":            (*fleet).startBackend,
	"health-count":       (*fleet).checkHealthCount,
	"await-exit":         (*fleet).awaitExit,
	"fault":              (*fleet).fault,
	"watch-floor":        (*fleet).watchFloor,
	"check-floor":        (*fleet).checkFloor,
	"propagate":          (*fleet).propagate,
	"verify-outcomes":    (*fleet).verifyOutcomes,
	"await-guard-health": (*fleet).awaitGuardHealth,
	"start-load":         (*fleet).startLoad,
	"measure":            (*fleet).measure,
	"node":               (*fleet).startNode,
	"await-outcome":      (*fleet).awaitOutcome,
	"race-edits":         (*fleet).raceEdits,
	"check-runs":         (*fleet).checkRuns,
	"await-ejections":    (*fleet).awaitEjections,
	"await-permit-error": (*fleet).awaitPermitError,
	"await-work":         (*fleet).awaitWork,
	"find-key":           (*fleet).findKey,
	"send-with-retry":    (*fleet).sendWithRetry,
	"send-duplicates":    (*fleet).sendDuplicates,
	"restart":            (*fleet).restart,
	"await-running":      (*fleet).awaitRunning,
	"send":               (*fleet).send,
	"await-success":      (*fleet).awaitSuccess,
	"min-share":          (*fleet).checkShare,
	"signal":             (*fleet).signal,
	"first-version":      (*fleet).checkFirstVersion,
	"check-stat":         (*fleet).checkStat,
	"store":              (*fleet).startStore,
	"tables":             (*fleet).applyTables,
	"await-outcomes":     (*fleet).awaitOutcomes,
	"stop-load":          (*fleet).stopLoad,
}

func scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	all := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, f := range commands {
		all[name] = withFleet(f)
	}
	return all
}
