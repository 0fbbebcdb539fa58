package scenarios

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/idempotency"
)

// key: key VARIABLE NODE ORGANISATION ROUTE [KEY] sets a variable to an idempotency
// key whose shard the node owns among the nodes started so far. With KEY it is
// in the same shard as that one.
func (f *fleet) key(ts *testscript.TestScript, args []string) {
	for i := 0; ; i++ {
		key := fmt.Sprintf("%s-%d", args[0], i)
		shard := idempotency.HashKey(args[2], args[3], key).Shard()
		if len(args) > 4 && shard != idempotency.HashKey(args[2], args[3], args[4]).Shard() {
			continue
		}
		if f.ownerOf(shard) == args[1] {
			ts.Setenv(args[0], key)
			return
		}
	}
}

func (f *fleet) ownerOf(shard int) string {
	owner := ""
	for _, name := range f.order {
		if f.processes[name].address["traffic"] == "" {
			continue
		}
		if owner == "" || idempotency.Weight(shard, name) > idempotency.Weight(shard, owner) {
			owner = name
		}
	}
	return owner
}

// persist: persist ENTRY METHOD PATH WORK-ID OUTCOME [option=value ...] sends the
// work again, as callers may, while it is refused as not run.
func (f *fleet) persist(ts *testscript.TestScript, args []string) {
	opts := options(args[5:])
	opts["work"] = args[3]
	for i := 0; ; i++ {
		q := f.newRequest(ts, args[0], args[1], args[2], fmt.Sprintf("%s.%s.%d", args[3], args[0], i), opts)
		q.run()
		if q.outcome != string(hop.OutcomeNotRun) {
			f.outcome(ts, []string{q.id, args[4]})
			return
		}
		if i == maxSendings {
			ts.Fatalf("%s is still refused: %s", args[3], q.reason)
		}
		time.Sleep(retryPause)
	}
}

const (
	maxSendings = 100
	retryPause  = 100 * time.Millisecond
	// roundsAtOnce lets claims of different rounds share a segment.
	roundsAtOnce = 8
)

// pairs: pairs NAME ENTRY,ENTRY METHOD PATH ROUNDS sends in each round the same
// work with the same key to all entries at once. Work that none of them could
// tell the answer of must be rare, or the check of its runs shows nothing.
func (f *fleet) pairs(ts *testscript.TestScript, args []string) {
	rounds, err := strconv.Atoi(args[4])
	check(ts, err)
	var answered atomic.Int32
	var wait sync.WaitGroup
	atOnce := make(chan struct{}, roundsAtOnce)
	for i := range rounds {
		atOnce <- struct{}{}
		wait.Go(func() {
			defer func() { <-atOnce }()
			if f.pair(ts, fmt.Sprintf("%s-%d", args[0], i), args[1:4]) {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	ts.Logf("%s: %d of %d rounds were answered", args[0], answered.Load(), rounds)
	if int(answered.Load()) < rounds*9/10 {
		ts.Fatalf("%s: only %d of %d rounds were answered", args[0], answered.Load(), rounds)
	}
}

// pair makes one round and reports whether an entry answered.
func (f *fleet) pair(ts *testscript.TestScript, work string, args []string) bool {
	var sent []*request
	var wait sync.WaitGroup
	for entry := range strings.SplitSeq(args[0], ",") {
		q := f.newRequest(ts, entry, args[1], args[2], work+"."+entry, map[string]string{"work": work, "key": work})
		sent = append(sent, q)
		wait.Go(q.run)
	}
	wait.Wait()
	return slices.ContainsFunc(sent, func(q *request) bool { return q.outcome == string(hop.OutcomeAnswer) })
}
