package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/cli"
	"github.com/jackdawlane/jackdawlane/route"
)

// propagationLimit is the time within which an accepted change must be in force on all nodes.
const propagationLimit = 7 * time.Second

// changeInterval makes changes fall at different moments between the calls of Sync, which nodes
// make once a second.
const changeInterval = 370 * time.Millisecond

// commandResult is the exit code and the output of one jackdawlane command.
type commandResult struct {
	code   int
	output string
}

// runOperatorCommand runs a jackdawlane command. Unlike ts.Exec, it may be called concurrently.
func runOperatorCommand(ts *testscript.TestScript, path string, args ...string) commandResult {
	command := exec.Command(path, args...)
	command.Env = append(os.Environ(), "JACKDAWLANE_STORE="+ts.Getenv("JACKDAWLANE_STORE"))
	output, _ := command.CombinedOutput()
	return commandResult{command.ProcessState.ExitCode(), string(output)}
}

var newVersion = regexp.MustCompile(`^version (\d+)\n$`)

// raceEdits: race-edits ROUNDS same|different
// In each round two operators edit at once: one changes the timeout of the route
// kitami/slot, the other the host of the same route or of kitami/booking. An edit
// that is reported as made must be in force, an edit that is refused must not be, and
// no edit may undo the change of the other one. A garbage collection of old versions
// runs at the same time.
func (f *fleet) raceEdits(ts *testscript.TestScript, args []string) {
	rounds, err := strconv.Atoi(args[0])
	check(ts, err)
	path := programPath(ts, "jackdawlane")
	other := map[string]string{"same": "kitami/slot", "different": "kitami/booking"}[args[1]]
	version := currentVersion(ts, path)
	timeout, host := showRoute(ts, path, "kitami/slot").TimeoutMS, showRoute(ts, path, other).Host
	conflicts := 0
	for i := range rounds {
		newTimeout, newHost := int64(10_000+i), fmt.Sprintf("h%d.example", i)
		reportedVersions := map[uint64]bool{}
		results := runConcurrently(
			func() commandResult {
				return runOperatorCommand(ts, path, "route", "edit", "kitami/slot", "--timeout-ms", fmt.Sprint(newTimeout))
			},
			func() commandResult { return runOperatorCommand(ts, path, "route", "edit", other, "--host", newHost) },
			func() commandResult { return runOperatorCommand(ts, path, "gc", "--keep", "64") },
		)
		if results[2].code != cli.ExitOK {
			ts.Fatalf("round %d: garbage collection failed: %s", i, results[2].output)
		}
		for _, r := range results[:2] {
			switch match := newVersion.FindStringSubmatch(r.output); {
			case r.code == cli.ExitOK && match != nil:
				n, _ := strconv.ParseUint(match[1], 10, 64)
				reportedVersions[n] = true
				version++
			case r.code == cli.ExitConflict && args[1] == "same":
				conflicts++
			default:
				ts.Fatalf("round %d: edit ended with exit code %d: %s", i, r.code, r.output)
			}
		}
		if results[0].code == cli.ExitOK {
			timeout = newTimeout
		}
		if results[1].code == cli.ExitOK {
			host = newHost
		}
		if got := currentVersion(ts, path); got != version || !reportedVersions[got] {
			ts.Fatalf("round %d: version %d is in force, want %d; versions that the edits reported: %v", i, got, version, reportedVersions)
		}
		if got := showRoute(ts, path, "kitami/slot"); got.TimeoutMS != timeout {
			ts.Fatalf("round %d: timeout of kitami/slot is %d, want %d", i, got.TimeoutMS, timeout)
		}
		if got := showRoute(ts, path, other); got.Host != host {
			ts.Fatalf("round %d: host of the other edit is %q, want %q", i, got.Host, host)
		}
	}
	ts.Logf("%d rounds, %d edits refused as conflicts", rounds, conflicts)
	if args[1] == "same" && conflicts == 0 {
		ts.Fatalf("no two edits conflicted in %d rounds, so the scenario has not tested conflicts", rounds)
	}
}

// runConcurrently runs commands at the same time and returns their results in the same order.
func runConcurrently(commands ...func() commandResult) []commandResult {
	results := make([]commandResult, len(commands))
	var group sync.WaitGroup
	for i, command := range commands {
		group.Go(func() { results[i] = command() })
	}
	group.Wait()
	return results
}

func currentVersion(ts *testscript.TestScript, path string) uint64 {
	var head struct{ Version uint64 }
	check(ts, json.Unmarshal([]byte(runOperatorCommand(ts, path, "history", "--output", "json").output), &head))
	return head.Version
}

func showRoute(ts *testscript.TestScript, path, key string) route.Route {
	var routes []route.Route
	check(ts, json.Unmarshal([]byte(runOperatorCommand(ts, path, "route", "show", key, "--output", "json").output), &routes))
	return routes[0]
}

// propagate: propagate CHANGES NODE ...
// makes changes one after another and measures the time from the start of each command
// until its change is in force on all the nodes. It fails if one takes longer than propagationLimit.
func (f *fleet) propagate(ts *testscript.TestScript, args []string) {
	changes, err := strconv.Atoi(args[0])
	check(ts, err)
	path := programPath(ts, "jackdawlane")
	var times []time.Duration
	for i := range changes {
		time.Sleep(changeInterval)
		start := time.Now()
		r := runOperatorCommand(ts, path, "pool", "edit", "proof", "--floor", fmt.Sprint(100+i))
		match := newVersion.FindStringSubmatch(r.output)
		if match == nil {
			ts.Fatalf("change %d was not made: %s", i, r.output)
		}
		for _, name := range args[1:] {
			f.await(ts, []string{"version", name, match[1]})
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	ts.Logf("changes were in force on %d nodes after a median of %s and at most %s (%d changes)",
		len(args)-1, times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond), changes)
	if times[len(times)-1] > propagationLimit {
		ts.Fatalf("a change took longer than %s to be in force on all nodes", propagationLimit)
	}
}

var firstVersion = regexp.MustCompile(`configuration in force.* version=(\d+)`)

// checkFirstVersion: first-version NODE N
// waits until a node has logged a version in force, and checks the first one since its first start.
func (f *fleet) checkFirstVersion(ts *testscript.TestScript, args []string) {
	file := filepath.Join(f.workDir, args[0]+".log")
	waitFor(ts, strings.Join(args, " "), func() bool {
		text, err := os.ReadFile(file)
		check(ts, err)
		match := firstVersion.FindSubmatch(text)
		if match != nil && string(match[1]) != args[1] {
			ts.Fatalf("node %s started with version %s, want %s", args[0], match[1], args[1])
		}
		return match != nil
	})
}
