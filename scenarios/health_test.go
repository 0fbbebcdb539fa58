package scenarios

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/hop"
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
	end    chan struct{}
	wait   sync.WaitGroup
	broken string
}

func (w *watcher) note(left, floor int) {
	if left < floor && w.broken == "" {
		w.broken = fmt.Sprintf("%d backend servers not ejected, the floor is %d", left, floor)
	}
}

// floorKept: floor-kept ends the watches on floors and checks them.
func (f *fleet) floorKept(ts *testscript.TestScript, _ []string) {
	for _, w := range f.watchers {
		close(w.end)
		w.wait.Wait()
		if w.broken != "" {
			ts.Fatalf("%s", w.broken)
		}
	}
	f.watchers = nil
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
