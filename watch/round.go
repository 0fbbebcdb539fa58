package watch

import (
	"context"
	"slices"
	"time"
)

// maxLists and maxWatches bound the calls of one follower that wait for a response at the same time.
const (
	maxLists   = 3
	maxWatches = 2
)

// listCostFactor is the least ratio between the time from the end of a list to the start of the next one
// and the time that the list took, while changes can be watched. Lists are started because a response is
// late, and load makes responses late; so lists use only a small part of what the store and the link give.
const listCostFactor = 4

// round holds the calls of which one response counts.
type round struct {
	*follower
	ctx       context.Context
	results   chan result
	listBegan chan struct{}
	// from is the revision from which the watches and the checks continue.
	from uint64
	// waiting holds the lists and watches without a response, the oldest one first.
	waiting []startedCall
	started int
	// overdue fires when the next list is added, checkDue when the next check starts, and
	// checkOverdue when a check that has started got no response in time.
	overdue, checkOverdue *time.Timer
	checkDue              *time.Ticker
	checking              bool
	// confirming is set while a check that asks the source has no response yet.
	confirming bool
	// hintDue fires when a hint that somebody else has newer objects is old enough that the watch should
	// have brought them; hinted is set from the hint until the list that follows it has ended.
	hintDue *time.Timer
	hinted  bool
	// late is the kind of the call that got no response in time last; empty once it got one.
	late callKind
}

// startedCall is a list or a watch that has no response yet.
type startedCall struct {
	id     int
	kind   callKind
	cancel context.CancelFunc
}

// newRound starts a watch, or a list if no watch can continue from the revision.
func newRound(ctx context.Context, f *follower) *round {
	r := &round{
		follower:     f,
		ctx:          ctx,
		results:      make(chan result),
		listBegan:    make(chan struct{}),
		from:         f.revision,
		overdue:      time.NewTimer(f.options.Overdue),
		checkOverdue: time.NewTimer(f.options.Overdue),
		checkDue:     time.NewTicker(max(f.options.CheckInterval, 1)),
		hintDue:      time.NewTimer(f.options.Overdue),
	}
	r.checkOverdue.Stop()
	r.hintDue.Stop()
	// The call that begins now brings what a hint before it was about.
	f.options.Progress.forgetHint()
	if !f.listed {
		r.checkDue.Stop()
		r.startList()
		return r
	}
	if f.options.Check == nil {
		r.checkDue.Stop()
	}
	if f.behind {
		r.startList()
		return r
	}
	r.startWatch()
	return r
}

func (r *round) stop() {
	r.overdue.Stop()
	r.checkOverdue.Stop()
	r.checkDue.Stop()
	r.hintDue.Stop()
}

// hints returns the channel that tells of newer objects elsewhere, or nil while the last hint is followed.
func (r *round) hints() <-chan struct{} {
	if r.hinted || !r.listed {
		return nil
	}
	return r.options.Progress.Hints()
}

// listAfterHint lists the objects, because neither the watch nor a check has brought the newer ones that
// somebody else has: the watch may be dead and checks may show an old state.
func (r *round) listAfterHint() {
	if pause := r.listPause(); pause > 0 {
		r.hintDue.Reset(pause)
		return
	}
	r.options.Progress.update(func(s *ProgressState) { s.Hints++ })
	if r.count(listCall) < maxLists {
		r.startList()
	}
}

// ends reports whether the result is that of the round, and records it.
func (r *round) ends(result result) bool {
	if result.kind == checkCall {
		return r.checkEnds(result)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(c startedCall) bool { return c.id == result.id })
	if result.kind == listCall {
		r.hinted = false
		r.listTook, r.listEnded = time.Since(result.started), time.Now()
	}
	if result.err != nil {
		return len(r.waiting) == 0
	}
	if result.kind == watchCall {
		r.noteResponse(false)
		return true
	}
	overtaken := r.late != ""
	r.noteResponse(overtaken)
	if !r.listed || result.batch.newerThan(r.from) {
		return true
	}
	// The list shows nothing new, and a change may be on its way to the watch. The watch may have failed
	// or be dead, so another one starts.
	r.options.Progress.confirm(result, r.from)
	r.late, r.behind = "", false
	r.options.Progress.forgetHint()
	r.overdue.Reset(r.options.Wait + r.options.Overdue)
	if overtaken || r.count(watchCall) == 0 {
		r.startWatch()
	}
	return false
}

// checkEnds reports whether the result of a check is that of the round, and records it.
func (r *round) checkEnds(result result) bool {
	if result.current {
		r.confirming = false
	} else {
		r.checking = false
	}
	if result.err != nil {
		// checkOverdue adds a list, as if there were no response.
		return false
	}
	r.options.Progress.checked(result)
	r.checkOverdue.Stop()
	if r.late == checkCall {
		r.late = ""
	}
	return len(result.batch.Objects) > 0
}

// addList starts a list because another call got no response in time.
func (r *round) addList(late callKind) {
	r.noteOverdue(late)
	r.late = late
	if pause := r.listPause(); pause > 0 {
		r.overdue.Reset(pause)
		return
	}
	r.overdue.Reset(r.listSpacing())
	if r.count(listCall) < maxLists {
		r.startList()
	}
}

// listPause returns how long to wait until a list may be started because another call is late. One that is
// running is joined by another only when it takes far longer than the last one.
func (r *round) listPause() time.Duration {
	if !r.listed {
		return 0
	}
	if r.count(listCall) > 0 {
		return r.listSpacing() - time.Since(r.listStarted)
	}
	return listCostFactor*r.listTook - time.Since(r.listEnded)
}

// listSpacing is the least time between the starts of two lists.
func (r *round) listSpacing() time.Duration {
	return max(2*r.options.Overdue, listCostFactor*r.listTook)
}

func (r *round) startList() {
	r.listStarted = time.Now()
	r.start(listCall, func(ctx context.Context) result {
		return r.list(ctx, func() { r.noteListBegan(ctx) })
	})
}

// startWatch starts a watch. It ends the oldest one if there are maxWatches.
func (r *round) startWatch() {
	if r.count(watchCall) == maxWatches {
		i := slices.IndexFunc(r.waiting, func(c startedCall) bool { return c.kind == watchCall })
		r.waiting[i].cancel()
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
	r.overdue.Reset(r.options.Wait + r.options.Overdue)
	r.start(watchCall, func(ctx context.Context) result { return r.watch(ctx, r.from) })
}

func (r *round) count(kind callKind) int {
	n := 0
	for _, c := range r.waiting {
		if c.kind == kind {
			n++
		}
	}
	return n
}

func (r *round) start(kind callKind, call func(context.Context) result) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.started++
	id := r.started
	r.waiting = append(r.waiting, startedCall{id: id, kind: kind, cancel: cancel})
	go func() {
		defer cancel()
		result := call(ctx)
		result.id = id
		r.deliver(result)
	}()
}

func (r *round) startCheck() {
	if r.confirmationDue() {
		r.startConfirmation()
		return
	}
	if r.checking {
		return
	}
	r.checking = true
	r.checkOverdue.Reset(r.options.Overdue)
	go func() { r.deliver(r.check(r.ctx, r.options.Check, r.from)) }()
}

// startConfirmation starts a check that asks the source itself, whose response shows the newest state.
func (r *round) startConfirmation() {
	if r.confirming || !r.listed {
		return
	}
	r.confirming = true
	r.checkOverdue.Reset(r.options.Overdue)
	go func() {
		result := r.check(r.ctx, r.source, r.from)
		result.current = true
		r.deliver(result)
	}()
}

// deliver passes on a result unless the round has ended.
func (r *round) deliver(result result) {
	select {
	case r.results <- result:
	case <-r.ctx.Done():
	}
}

// noteListBegan tells the round that the response to a list has begun.
func (r *round) noteListBegan(ctx context.Context) {
	select {
	case r.listBegan <- struct{}{}:
	case <-ctx.Done():
	}
}
