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

// judged: judged NODE BACKEND STATE waits until the guard itself judges it so,
// which it does before its record says it.
func (f *fleet) judged(ts *testscript.TestScript, args []string) {
	p, b := f.process(ts, args[0]), f.process(ts, args[1])
	waitFor(ts, strings.Join(args, " "), func() bool {
		m := f.metrics(p)
		state, unhealthy := m.Health[b.service+"@"+b.address["backend"]]
		return m.answered && (state == args[2] || !unhealthy && args[2] == "healthy")
	})
}

// counted: counted NODE[,NODE ...] suspected|ejected MIN MAX checks how often
// the nodes together judged a backend server so since their start.
func (f *fleet) counted(ts *testscript.TestScript, args []string) {
	n := 0
	for name := range strings.SplitSeq(args[0], ",") {
		m := f.metrics(f.process(ts, name))
		if !m.answered {
			ts.Fatalf("%s gives no metrics", name)
		}
		n += map[string]int{"suspected": m.Suspected, "ejected": m.Ejected}[args[1]]
	}
	low, _ := strconv.Atoi(args[2])
	high, _ := strconv.Atoi(args[3])
	if n < low || n > high {
		ts.Fatalf("%s %s: %d, want %s to %s", args[0], args[1], n, args[2], args[3])
	}
}

// watchFloor: floor SERVICE FLOOR NODE[,NODE ...] checks until the end of the
// script that, counted over all nodes, at least FLOOR backend servers of the
// service are not ejected. Each node is asked 50 times a second.
func (f *fleet) watchFloor(ts *testscript.TestScript, args []string) {
	floor, err := strconv.Atoi(args[1])
	check(ts, err)
	w := &watcher{end: make(chan struct{})}
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
			w.note(total-f.ejected(args[0], strings.Split(args[2], ",")), floor)
		}
	})
}

// ejected counts the backend servers of a service that any node treats as ejected.
func (f *fleet) ejected(service string, nodes []string) int {
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

// watcher runs beside a script and remembers what it saw wrong.
type watcher struct {
	end  chan struct{}
	wait sync.WaitGroup

	mu     sync.Mutex
	broken string
}

func (w *watcher) note(left, floor int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left < floor && w.broken == "" {
		w.broken = fmt.Sprintf("%d backend servers not ejected, the floor is %d", left, floor)
	}
}

// floorKept: floor-kept ends the watches on floors and checks them.
func (f *fleet) floorKept(ts *testscript.TestScript, _ []string) {
	watchers := f.watchers
	f.stopWatchers()
	checkFloors(ts, watchers)
}

func (f *fleet) stopWatchers() {
	for _, w := range f.watchers {
		close(w.end)
		w.wait.Wait()
	}
	f.watchers = nil
}

func checkFloors(ts *testscript.TestScript, watchers []*watcher) {
	for _, w := range watchers {
		w.mu.Lock()
		broken := w.broken
		w.mu.Unlock()
		if broken != "" {
			ts.Fatalf("%s", broken)
		}
	}
}

// serves: serves ENTRY METHOD PATH N PERCENT waits until PERCENT of N requests
// in a row, sent one after the other, are answered with success.
func (f *fleet) serves(ts *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[3])
	check(ts, err)
	percent, err := strconv.Atoi(args[4])
	check(ts, err)
	waitFor(ts, strings.Join(args, " "), func() bool {
		good := 0
		for range n {
			f.served++
			q := f.newRequest(ts, args[0], args[1], args[2], fmt.Sprintf("serves-%d", f.served), nil)
			q.run()
			if q.outcome == string(hop.OutcomeAnswer) && q.answerText != "" {
				good++
			}
		}
		return good*100 >= percent*n
	})
}

// refused: refused NODE[,NODE ...] TEXT waits until a node has logged that it
// could not update permits, with TEXT in the reason.
func (f *fleet) refused(ts *testscript.TestScript, args []string) {
	waitFor(ts, "refused "+strings.Join(args, " "), func() bool {
		checkFloors(ts, f.watchers)
		return slices.ContainsFunc(strings.Split(args[0], ","), func(name string) bool {
			data, err := os.ReadFile(filepath.Join(f.directory, name+".log"))
			check(ts, err)
			return slices.ContainsFunc(strings.Split(string(data), "\n"), func(line string) bool {
				return strings.Contains(line, "permits not updated") && strings.Contains(line, args[1])
			})
		})
	})
}

// ejections: ejections NODE[,NODE ...] SERVICE N waits until N backend servers are ejected.
func (f *fleet) ejections(ts *testscript.TestScript, args []string) {
	waitFor(ts, "ejections "+strings.Join(args, " "), func() bool {
		checkFloors(ts, f.watchers)
		return fmt.Sprint(f.ejected(args[1], strings.Split(args[0], ","))) == args[2]
	})
}

// work: work BACKEND[,BACKEND ...] N waits until each has done N more pieces of work.
func (f *fleet) work(ts *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[1])
	check(ts, err)
	end := make(map[string]int)
	for name := range strings.SplitSeq(args[0], ",") {
		end[name] = f.stats(ts, name).Done + n
	}
	for name, done := range end {
		waitFor(ts, "work "+name+" "+args[1], func() bool { return f.stats(ts, name).Done >= done })
	}
}

func (f *fleet) stats(ts *testscript.TestScript, name string) (stats backend.Stats) {
	res, err := http.Get("http://" + f.process(ts, name).address["backend"] + "/stats")
	check(ts, err)
	defer res.Body.Close()
	check(ts, json.NewDecoder(res.Body).Decode(&stats))
	return stats
}
