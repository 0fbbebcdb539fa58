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

// findKey: find-key VARIABLE NODE ORGANISATION ROUTE [KEY]
// sets a variable to an idempotency key whose shard belongs to the node, as long as
// all nodes started so far are running. With KEY, the new key is in the shard of KEY.
func (f *fleet) findKey(ts *testscript.TestScript, args []string) {
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

// ownerOf returns the node that owns a shard, as long as all nodes started so far are running.
func (f *fleet) ownerOf(shard int) string {
	owner := ""
	for _, name := range f.order {
		if f.processes[name].addresses["traffic"] == "" {
			continue
		}
		if owner == "" || idempotency.OwnerWeight(shard, name) > idempotency.OwnerWeight(shard, owner) {
			owner = name
		}
	}
	return owner
}

// sendWithRetry: send-with-retry ENTRY METHOD PATH WORK-ID OUTCOME [option=value ...]
// sends the work and, as callers may, sends it again as long as it is refused as not
// run. Then it checks the outcome.
func (f *fleet) sendWithRetry(ts *testscript.TestScript, args []string) {
	opts := options(args[5:])
	opts["work"] = args[3]
	for i := 0; ; i++ {
		q := f.newRequest(ts, args[0], args[1], args[2], fmt.Sprintf("%s.%s.%d", args[3], args[0], i), opts)
		q.run()
		if q.outcome != string(hop.OutcomeNotRun) {
			f.awaitOutcome(ts, []string{q.id, args[4]})
			return
		}
		if i == maxRetries {
			ts.Fatalf("work %s is still refused as not run: %s", args[3], q.reason)
		}
		time.Sleep(retryPause)
	}
}

const (
	maxRetries = 100
	retryPause = 100 * time.Millisecond
	// concurrentRounds is greater than 1 so that claims of different rounds share a segment of the log.
	concurrentRounds = 8
)

// sendDuplicates: send-duplicates NAME ENTRY,ENTRY METHOD PATH ROUNDS
// sends in each round the same work with the same key to all entries at once. At least
// 90 % of the rounds must get an answer from one of the entries. Otherwise the later
// check that no work ran twice could pass just because most work was refused everywhere.
func (f *fleet) sendDuplicates(ts *testscript.TestScript, args []string) {
	rounds, err := strconv.Atoi(args[4])
	check(ts, err)
	var answered atomic.Int32
	var wait sync.WaitGroup
	running := make(chan struct{}, concurrentRounds)
	for i := range rounds {
		running <- struct{}{}
		wait.Go(func() {
			defer func() { <-running }()
			if f.sendDuplicate(ts, fmt.Sprintf("%s-%d", args[0], i), args[1:4]) {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	ts.Logf("%s: %d of %d rounds got an answer", args[0], answered.Load(), rounds)
	if int(answered.Load()) < rounds*9/10 {
		ts.Fatalf("%s: only %d of %d rounds got an answer", args[0], answered.Load(), rounds)
	}
}

// sendDuplicate runs one round and reports whether at least one entry answered.
func (f *fleet) sendDuplicate(ts *testscript.TestScript, work string, args []string) bool {
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
