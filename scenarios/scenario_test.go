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

func TestMain(m *testing.M) {
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

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			f := newFleet(env)
			env.Values[fleetKey{}] = f
			env.Defer(f.killAll)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"store":   withFleet((*fleet).startStore),
			"tables":  withFleet((*fleet).applyTables),
			"node":    withFleet((*fleet).startNode),
			"backend": withFleet((*fleet).startBackend),
			"restart": withFleet((*fleet).restart),
			"signal":  withFleet((*fleet).signal),
			"exited":  withFleet((*fleet).exited),
			"fault":   withFleet((*fleet).fault),
			"await":   withFleet((*fleet).await),
			"send":    withFleet((*fleet).send),
			"outcome": withFleet((*fleet).outcome),
			"running": withFleet((*fleet).running),
			"load":    withFleet((*fleet).load),
			"unload":  withFleet((*fleet).unload),
			"judge":   withFleet((*fleet).judge),
			"late":    withFleet((*fleet).late),
			"key":     withFleet((*fleet).key),
			"persist": withFleet((*fleet).persist),
			"pairs":   withFleet((*fleet).pairs),
		},
	})
}
