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

// inForceLimit is the time in which an accepted change must be in force everywhere.
const inForceLimit = 7 * time.Second

// changeInterval spreads changes over the rounds of Sync, which are 1 s apart.
const changeInterval = 370 * time.Millisecond

// result is the end of one command of an operator.
type result struct {
	code   int
	output string
}

// operator runs the command line beside others; ts.Exec runs one command at a time.
func operator(ts *testscript.TestScript, path string, args ...string) result {
	command := exec.Command(path, args...)
	command.Env = append(os.Environ(), "JACKDAWLANE_STORE="+ts.Getenv("JACKDAWLANE_STORE"))
	output, _ := command.CombinedOutput()
	return result{command.ProcessState.ExitCode(), string(output)}
}

var madeVersion = regexp.MustCompile(`^version (\d+)\n$`)

// race: race ROUNDS same|different. In each round two operators edit at once: one the
// timeout of route kitami/slot, the other the host of the same route or of kitami/booking. What is reported
// as made must be in force, what is refused must not be; no edit may undo the other's field.
// A collection runs at the same time.
func (f *fleet) race(ts *testscript.TestScript, args []string) {
	rounds, err := strconv.Atoi(args[0])
	check(ts, err)
	path := program(ts, "jackdawlane")
	other := map[string]string{"same": "kitami/slot", "different": "kitami/booking"}[args[1]]
	version := currentVersion(ts, path)
	timeout, host := showRoute(ts, path, "kitami/slot").TimeoutMS, showRoute(ts, path, other).Host
	conflicts := 0
	for i := range rounds {
		newTimeout, newHost := int64(10_000+i), fmt.Sprintf("h%d.example", i)
		made := map[uint64]bool{}
		results := atOnce(
			func() result {
				return operator(ts, path, "route", "edit", "kitami/slot", "--timeout-ms", fmt.Sprint(newTimeout))
			},
			func() result { return operator(ts, path, "route", "edit", other, "--host", newHost) },
			func() result { return operator(ts, path, "gc", "--keep", "64") },
		)
		if results[2].code != cli.ExitOK {
			ts.Fatalf("round %d: collection: %s", i, results[2].output)
		}
		for _, r := range results[:2] {
			switch match := madeVersion.FindStringSubmatch(r.output); {
			case r.code == cli.ExitOK && match != nil:
				n, _ := strconv.ParseUint(match[1], 10, 64)
				made[n] = true
				version++
			case r.code == cli.ExitConflict && args[1] == "same":
				conflicts++
			default:
				ts.Fatalf("round %d: exit code %d: %s", i, r.code, r.output)
			}
		}
		if results[0].code == cli.ExitOK {
			timeout = newTimeout
		}
		if results[1].code == cli.ExitOK {
			host = newHost
		}
		if got := currentVersion(ts, path); got != version || !made[got] {
			ts.Fatalf("round %d: version %d is in force, want %d; reported as made: %v", i, got, version, made)
		}
		if got := showRoute(ts, path, "kitami/slot"); got.TimeoutMS != timeout {
			ts.Fatalf("round %d: timeout %d is in force, want %d", i, got.TimeoutMS, timeout)
		}
		if got := showRoute(ts, path, other); got.Host != host {
			ts.Fatalf("round %d: host %q is in force, want %q", i, got.Host, host)
		}
	}
	ts.Logf("%d rounds, %d conflicts", rounds, conflicts)
	if args[1] == "same" && conflicts == 0 {
		ts.Fatalf("no two commands met in %d rounds", rounds)
	}
}

// atOnce runs two operators' commands at the same time.
func atOnce(commands ...func() result) []result {
	results := make([]result, len(commands))
	var group sync.WaitGroup
	for i, command := range commands {
		group.Go(func() { results[i] = command() })
	}
	group.Wait()
	return results
}

func currentVersion(ts *testscript.TestScript, path string) uint64 {
	var head struct{ Version uint64 }
	check(ts, json.Unmarshal([]byte(operator(ts, path, "history", "--output", "json").output), &head))
	return head.Version
}

func showRoute(ts *testscript.TestScript, path, key string) route.Route {
	var routes []route.Route
	check(ts, json.Unmarshal([]byte(operator(ts, path, "route", "show", key, "--output", "json").output), &routes))
	return routes[0]
}

// inForce: inforce CHANGES NODE ... makes changes one after another and reports the time from
// the start of the command until the change is in force on all the nodes.
func (f *fleet) inForce(ts *testscript.TestScript, args []string) {
	changes, err := strconv.Atoi(args[0])
	check(ts, err)
	path := program(ts, "jackdawlane")
	var times []time.Duration
	for i := range changes {
		time.Sleep(changeInterval)
		start := time.Now()
		r := operator(ts, path, "pool", "edit", "proof", "--floor", fmt.Sprint(100+i))
		match := madeVersion.FindStringSubmatch(r.output)
		if match == nil {
			ts.Fatalf("change %d: %s", i, r.output)
		}
		for _, name := range args[1:] {
			f.await(ts, []string{"version", name, match[1]})
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	ts.Logf("in force on %d nodes after %s at the median, %s at most, of %d changes",
		len(args)-1, times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond), changes)
	if times[len(times)-1] > inForceLimit {
		ts.Fatalf("a change took longer than %s", inForceLimit)
	}
}

var firstVersion = regexp.MustCompile(`configuration in force.* version=(\d+)`)

// startedWith: started NODE N checks the first version that a node had in force since its first start.
func (f *fleet) startedWith(ts *testscript.TestScript, args []string) {
	file := filepath.Join(f.directory, args[0]+".log")
	waitFor(ts, strings.Join(args, " "), func() bool {
		text, err := os.ReadFile(file)
		check(ts, err)
		match := firstVersion.FindSubmatch(text)
		if match != nil && string(match[1]) != args[1] {
			ts.Fatalf("%s started with version %s, want %s", args[0], match[1], args[1])
		}
		return match != nil
	})
}
