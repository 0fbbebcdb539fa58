// Package scenarios holds scripted scenarios that run the real processes under failure.
// Each file under testdata is one scenario; docs/proofs.md lists what each one shows.
package scenarios

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/cli"
	"github.com/jackdawlane/jackdawlane/node"
	"github.com/jackdawlane/jackdawlane/standin/cmd"
)

// raceOptions keep programs built with the race detector from waiting a second
// at their exit, which scenarios with hundreds of commands cannot afford.
const raceOptions = "atexit_sleep_ms=0"

func TestMain(m *testing.M) {
	// For the processes that the harness starts itself.
	_ = os.Setenv("GORACE", raceOptions)
	testscript.Main(m, map[string]func(){
		"jackdawlaned": func() { os.Exit(node.Main(os.Args[1:], os.Stderr)) },
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

// commands are the commands of the scripts, beyond those of testscript itself.
var commands = map[string]func(*fleet, *testscript.TestScript, []string){
	"await":      (*fleet).await,
	"backend":    (*fleet).startBackend,
	"counted":    (*fleet).counted,
	"exited":     (*fleet).exited,
	"fault":      (*fleet).fault,
	"floor":      (*fleet).watchFloor,
	"floor-kept": (*fleet).floorKept,
	"inforce":    (*fleet).inForce,
	"judge":      (*fleet).judge,
	"judged":     (*fleet).judged,
	"load":       (*fleet).load,
	"measure":    (*fleet).measure,
	"node":       (*fleet).startNode,
	"outcome":    (*fleet).outcome,
	"race":       (*fleet).race,
	"ran":        (*fleet).ran,
	"ejections":  (*fleet).ejections,
	"refused":    (*fleet).refused,
	"work":       (*fleet).work,
	"key":        (*fleet).key,
	"persist":    (*fleet).persist,
	"pairs":      (*fleet).pairs,
	"restart":    (*fleet).restart,
	"running":    (*fleet).running,
	"send":       (*fleet).send,
	"serves":     (*fleet).serves,
	"share":      (*fleet).share,
	"signal":     (*fleet).signal,
	"started":    (*fleet).startedWith,
	"stat":       (*fleet).stat,
	"store":      (*fleet).startStore,
	"tables":     (*fleet).applyTables,
	"tally":      (*fleet).tally,
	"unload":     (*fleet).unload,
}

func scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	all := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, f := range commands {
		all[name] = withFleet(f)
	}
	return all
}
