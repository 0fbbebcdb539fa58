package watch

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/boottime"
)

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
	kind    callKind
	batch   Batch
	err     error
	started time.Time
	// sentAt is the same time by boottime.Now.
	sentAt time.Duration
	// current is set if a check asked the source, so that its response shows the newest state.
	current bool
}

// call makes the next call, and checks while a watch waits. While a call or a check gets no response
// in time, it adds lists, whose connections are new. It returns the first response that brings
// something new, or that of a watch, and ends the other calls.
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
		case <-r.options.Progress.ConfirmationRequests():
			r.startConfirmation()
		case <-r.hints():
			r.hinted = true
			r.hintDue.Reset(r.options.Overdue)
		case <-r.hintDue.C:
			r.listAfterHint()
		case <-r.listBegan:
			// The store answers, however long the list takes.
			r.overdue.Reset(f.options.Timeout)
		case result := <-r.results:
			if r.ends(result) {
				return result
			}
		}
	}
}

func (f *follower) list(ctx context.Context, began func()) result {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	r := result{kind: listCall, started: time.Now(), sentAt: boottime.Now()}
	r.batch, r.err = f.source.List(ctx, began)
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
	r := result{kind: watchCall, started: time.Now(), sentAt: boottime.Now()}
	r.batch, r.err = f.source.Watch(ctx, revision, f.options.Wait)
	if errors.Is(ctx.Err(), context.Canceled) && r.err != nil {
		r.err = errors.CombineErrors(errDoubted, r.err)
	}
	return r
}

// check asks a source for the changes after a revision that are known at once. Its result holds only
// newer objects.
func (f *follower) check(ctx context.Context, source Source, revision uint64) result {
	// A check without a response must not keep the next one from starting.
	ctx, cancel := context.WithTimeout(ctx, f.options.CheckInterval)
	defer cancel()
	r := result{kind: checkCall, started: time.Now(), sentAt: boottime.Now()}
	r.batch, r.err = source.Watch(ctx, revision, 0)
	r.batch.Objects = slices.DeleteFunc(r.batch.Objects, func(o Object) bool { return o.Revision <= revision })
	return r
}

// confirmationDue reports whether the objects have not been confirmed for so long that the next check
// is to do it.
func (f *follower) confirmationDue() bool {
	o := f.options
	return o.ConfirmAfter != nil && o.Progress.Age() > o.ConfirmAfter()
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
// answered and the call that it replaces is still not: other calls on connections that were open
// then may get no response either.
func (f *follower) noteResponse(overtaken bool) {
	if overtaken && !f.doubted {
		f.options.Doubt.raise()
	}
	f.overdue, f.doubted = overtaken, overtaken
}
