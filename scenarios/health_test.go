package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/standin/backend"
)

// awaitGuardHealth: await-guard-health NODE BACKEND STATE
// waits until the node's own metrics show a backend server in a health state. The
// metrics show a change before the record that the node sends to other nodes does.
func (f *fleet) awaitGuardHealth(ts *testscript.TestScript, args []string) {
	p, b := f.process(ts, args[0]), f.process(ts, args[1])
	waitFor(ts, strings.Join(args, " "), func() bool {
		m := f.metrics(p)
		state, unhealthy := m.Health[b.service+"@"+b.addresses["backend"]]
		return m.answered && (state == args[2] || !unhealthy && args[2] == "healthy")
	})
}

// checkHealthCount: health-count NODE[,NODE ...] suspected|ejected MIN MAX
// checks how often the nodes together have marked backend servers as suspect, or
// ejected them, since the nodes started.
func (f *fleet) checkHealthCount(ts *testscript.TestScript, args []string) {
	n := 0
	for name := range strings.SplitSeq(args[0], ",") {
		m := f.metrics(f.process(ts, name))
		if !m.answered {
			ts.Fatalf("node %s does not return its metrics", name)
		}
		n += map[string]int{"suspected": m.Suspected, "ejected": m.Ejected}[args[1]]
	}
	low, _ := strconv.Atoi(args[2])
	high, _ := strconv.Atoi(args[3])
	if n < low || n > high {
		ts.Fatalf("nodes %s: count of %s is %d, want %s to %s", args[0], args[1], n, args[2], args[3])
	}
}

// watchFloor: watch-floor SERVICE FLOOR NODE[,NODE ...]
// watches from now on whether at least FLOOR backend servers of the service are not
// ejected, counted over all nodes. It asks the nodes 50 times a second. The command
// check-floor ends the watch and fails if it saw a violation; await-permit-error and
// await-ejections fail at a violation, too.
func (f *fleet) watchFloor(ts *testscript.TestScript, args []string) {
	floor, err := strconv.Atoi(args[1])
	check(ts, err)
	w := &floorWatcher{end: make(chan struct{})}
	f.watchers = append(f.watchers, w)
	total := 0
	for _, p := range f.processes {
		if p.service == args[0] {
			total++
		}
	}
	w.wait.Go(func() {
		for {
			select {
			case <-w.end:
				return
			case <-time.After(pollInterval):
			}
			w.check(total-f.countEjected(args[0], strings.Split(args[2], ",")), floor)
		}
	})
}

// countEjected returns how many backend servers of a service at least one of the nodes treats as ejected.
func (f *fleet) countEjected(service string, nodes []string) int {
	ids := make(map[string]bool)
	for _, name := range nodes {
		f.mu.Lock()
		p := f.processes[name]
		f.mu.Unlock()
		for id, state := range f.metrics(p).Health {
			if state == "ejected" && strings.HasPrefix(id, service+"@") {
				ids[id] = true
			}
		}
	}
	return len(ids)
}

// floorWatcher runs concurrently with a script and keeps the first violation of a floor.
type floorWatcher struct {
	end  chan struct{}
	wait sync.WaitGroup

	mu        sync.Mutex
	violation string
}

func (w *floorWatcher) check(remaining, floor int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if remaining < floor && w.violation == "" {
		w.violation = fmt.Sprintf("only %d backend servers were not ejected, the floor is %d", remaining, floor)
	}
}

// checkFloor: check-floor
// ends all floor watches and fails if one of them saw a violation.
func (f *fleet) checkFloor(ts *testscript.TestScript, _ []string) {
	watchers := f.watchers
	f.stopWatchers()
	failOnFloorViolation(ts, watchers)
}

func (f *fleet) stopWatchers() {
	for _, w := range f.watchers {
		close(w.end)
		w.wait.Wait()
	}
	f.watchers = nil
}

func failOnFloorViolation(ts *testscript.TestScript, watchers []*floorWatcher) {
	for _, w := range watchers {
		w.mu.Lock()
		violation := w.violation
		w.mu.Unlock()
		if violation != "" {
			ts.Fatalf("%s", violation)
		}
	}
}

// awaitSuccess: await-success ENTRY METHOD PATH N PERCENT
// sends N requests one after another, and repeats this until at least PERCENT of one
// such series are answered successfully.
func (f *fleet) awaitSuccess(ts *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[3])
	check(ts, err)
	percent, err := strconv.Atoi(args[4])
	check(ts, err)
	waitFor(ts, strings.Join(args, " "), func() bool {
		good := 0
		for range n {
			f.awaitSuccessSent++
			q := f.newRequest(ts, args[0], args[1], args[2], fmt.Sprintf("serves-%d", f.awaitSuccessSent), nil)
			q.run()
			if q.outcome == string(hop.OutcomeAnswer) && q.answerText != "" {
				good++
			}
		}
		return good*100 >= percent*n
	})
}

// awaitPermitError: await-permit-error NODE[,NODE ...] TEXT
// waits until one of the nodes has logged that it could not update its permits, with
// TEXT in the same line.
func (f *fleet) awaitPermitError(ts *testscript.TestScript, args []string) {
	waitFor(ts, "await-permit-error "+strings.Join(args, " "), func() bool {
		failOnFloorViolation(ts, f.watchers)
		return slices.ContainsFunc(strings.Split(args[0], ","), func(name string) bool {
			data, err := os.ReadFile(filepath.Join(f.workDir, name+".log"))
			check(ts, err)
			return slices.ContainsFunc(strings.Split(string(data), "\n"), func(line string) bool {
				return strings.Contains(line, "permits not updated") && strings.Contains(line, args[1])
			})
		})
	})
}

// awaitEjections: await-ejections NODE[,NODE ...] SERVICE N
// waits until exactly N backend servers of the service are ejected, counted over all nodes.
func (f *fleet) awaitEjections(ts *testscript.TestScript, args []string) {
	waitFor(ts, "await-ejections "+strings.Join(args, " "), func() bool {
		failOnFloorViolation(ts, f.watchers)
		return fmt.Sprint(f.countEjected(args[1], strings.Split(args[0], ","))) == args[2]
	})
}

// awaitWork: await-work BACKEND[,BACKEND ...] N
// waits until each backend server has completed N more requests.
func (f *fleet) awaitWork(ts *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[1])
	check(ts, err)
	end := make(map[string]int)
	for name := range strings.SplitSeq(args[0], ",") {
		end[name] = f.stats(ts, name).Done + n
	}
	for name, done := range end {
		waitFor(ts, "await-work "+name+" "+args[1], func() bool { return f.stats(ts, name).Done >= done })
	}
}

func (f *fleet) stats(ts *testscript.TestScript, name string) (stats backend.Stats) {
	res, err := http.Get("http://" + f.process(ts, name).addresses["backend"] + "/stats")
	check(ts, err)
	defer res.Body.Close()
	check(ts, json.NewDecoder(res.Body).Decode(&stats))
	return stats
}
