package watch

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// maxParallelCalls bounds the lists and watches of one follower that wait for a response at the same
// time.
const maxParallelCalls = 4

// callKind names the kind of a call, for the log.
type callKind string

const (
	listCall  callKind = "list"
	watchCall callKind = "watch"
	checkCall callKind = "check"
)

// result is the outcome of one call to the source.
type result struct {
	id      int
	call    callKind
	batch   Batch
	err     error
	started time.Time
}

// call makes the next call, and checks while a watch waits. While a call or a check gets no response
// in time, it adds lists, whose connections are new. The first response that is not an error
// counts, but for checks without changes, and ends the other calls.
func (f *follower) call(ctx context.Context) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRound(ctx, f)
	defer r.stop()
	for {
		select {
		case <-ctx.Done():
			return result{err: ctx.Err()}
		case <-r.checkDue.C:
			r.startCheck()
		case <-r.checkOverdue.C:
			r.addList(checkCall)
		case <-r.overdue.C:
			r.addList(watchCall)
		case result := <-r.results:
			if r.ends(result) {
				return result
			}
		}
	}
}

// round holds the calls of which the first response counts.
type round struct {
	*follower
	ctx     context.Context
	results chan result
	// revision is the one from which the watch and the checks continue.
	revision uint64
	// waiting holds the lists and watches without a response, the oldest one first.
	waiting []startedCall
	started int
	// overdue fires when the next list is added, checkDue when the next check starts, and
	// checkOverdue when a check that has started got no response in time.
	overdue, checkOverdue *time.Timer
	checkDue              *time.Ticker
	checking              bool
}

// startedCall is a list or a watch that has no response yet.
type startedCall struct {
	id     int
	cancel context.CancelFunc
}

// newRound starts a watch, or a list if no watch can continue from the revision.
func newRound(ctx context.Context, f *follower) *round {
	r := &round{
		follower:     f,
		ctx:          ctx,
		results:      make(chan result),
		revision:     f.revision,
		overdue:      time.NewTimer(f.options.Overdue),
		checkOverdue: time.NewTimer(f.options.Overdue),
		checkDue:     time.NewTicker(max(f.options.CheckInterval, 1)),
	}
	r.checkOverdue.Stop()
	if !f.listed {
		r.checkDue.Stop()
		r.start(f.list)
		return r
	}
	if f.options.Check == nil {
		r.checkDue.Stop()
	}
	r.overdue.Reset(f.options.Wait + f.options.Overdue)
	r.start(func(ctx context.Context) result { return f.watch(ctx, r.revision) })
	return r
}

func (r *round) stop() {
	r.overdue.Stop()
	r.checkOverdue.Stop()
	r.checkDue.Stop()
}

// ends reports whether the result is that of the round, and records it.
func (r *round) ends(result result) bool {
	if result.call == checkCall {
		r.checking = false
		if result.err != nil {
			// checkOverdue adds a list, as if there were no response.
			return false
		}
		r.checkOverdue.Stop()
		return len(result.batch.Objects) > 0
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(c startedCall) bool { return c.id == result.id })
	if result.err == nil {
		r.noteResponse(r.started > 1 && result.call == listCall)
		return true
	}
	return len(r.waiting) == 0
}

// addList starts a list because another call got no response in time.
func (r *round) addList(overdue callKind) {
	r.noteOverdue(overdue)
	r.start(r.list)
	r.overdue.Reset(2 * r.options.Overdue)
}

// start starts a list or a watch. It ends the oldest call if there are maxParallelCalls: none of them
// may ever get a response, and a new one may.
func (r *round) start(call func(context.Context) result) {
	if len(r.waiting) == maxParallelCalls {
		r.waiting[0].cancel()
		r.waiting = r.waiting[1:]
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.started++
	id := r.started
	r.waiting = append(r.waiting, startedCall{id: id, cancel: cancel})
	go func() {
		defer cancel()
		result := call(ctx)
		result.id = id
		r.deliver(result)
	}()
}

func (r *round) startCheck() {
	if r.checking {
		return
	}
	r.checking = true
	r.checkOverdue.Reset(r.options.Overdue)
	go func() { r.deliver(r.check(r.ctx, r.revision)) }()
}

// deliver passes on a result unless the round has ended.
func (r *round) deliver(result result) {
	select {
	case r.results <- result:
	case <-r.ctx.Done():
	}
}

func (f *follower) list(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	r := result{call: listCall, started: time.Now()}
	r.batch, r.err = f.source.List(ctx)
	return r
}

func (f *follower) watch(ctx context.Context, revision uint64) result {
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+f.options.Timeout)
	defer cancel()
	doubted := f.options.Doubt.next()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-doubted:
			cancel()
		case <-ended:
		}
	}()
	r := result{call: watchCall, started: time.Now()}
	r.batch, r.err = f.source.Watch(ctx, revision, f.options.Wait)
	if errors.Is(ctx.Err(), context.Canceled) && r.err != nil {
		r.err = errors.CombineErrors(errDoubted, r.err)
	}
	return r
}

// check asks for the changes after a revision that are known at once. Its result holds only newer
// objects.
func (f *follower) check(ctx context.Context, revision uint64) result {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	r := result{call: checkCall, started: time.Now()}
	r.batch, r.err = f.options.Check.Watch(ctx, revision, 0)
	if r.err == nil {
		f.options.Progress.checked(r.started)
	}
	r.batch.Objects = slices.DeleteFunc(r.batch.Objects, func(o Object) bool { return o.Revision <= revision })
	return r
}

// noteOverdue logs the first of several calls in a row that got no response in time.
func (f *follower) noteOverdue(call callKind) {
	f.options.Progress.update(func(s *ProgressState) { s.Overdue++ })
	if f.overdue {
		return
	}
	f.overdue = true
	f.logger.Warn("response overdue; listing the objects", "call", call, "from", f.revision)
}

// noteResponse is called at the response to a list or a watch. It raises the doubt if a list was
// answered while an earlier call was not: other calls on connections that were open then may get no
// response either.
func (f *follower) noteResponse(overtaken bool) {
	if overtaken && !f.doubted {
		f.options.Doubt.raise()
	}
	f.overdue, f.doubted = overtaken, overtaken
}
