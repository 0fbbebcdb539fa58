package guard

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// monotonicClock returns the time since the start of the guard, which is the time that package
// admission takes as a parameter.
type monotonicClock func() time.Duration

func newClock() monotonicClock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// fromTime returns the reading of the clock at t.
func (c monotonicClock) fromTime(t time.Time) time.Duration { return c() + time.Until(t) }

// queue lets concurrent attempts wait for the admission decisions of one backend server.
type queue struct {
	clock     monotonicClock
	mu        sync.Mutex
	admission *admission.Queue
	waiting   map[string]chan hop.Reason
	timer     *time.Timer
}

func newQueue(c monotonicClock, slots int, state membership.State, exclusive bool) *queue {
	q := &queue{clock: c, admission: admission.NewQueue(c(), slots, state), waiting: make(map[string]chan hop.Reason)}
	if exclusive {
		q.admission.SetExclusive()
	}
	q.timer = time.AfterFunc(0, q.advance)
	return q
}

func (q *queue) announce(slots int, state membership.State) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.admission.Announce(q.clock(), slots, state))
}

// admit waits until the attempt may be dispatched or is refused, or until ctx ends. An
// empty reason means that the attempt is admitted; the caller must then call done. For an attempt
// that is refused at once, admit sets req.again.
func (q *queue) admit(ctx context.Context, req *attemptRequest) hop.Reason {
	decision, result := q.offer(*req)
	if decision == nil {
		req.again = result.Wait
		return result.Reason
	}
	if req.repeat == hop.RepeatHedge && q.cancel(req.id) {
		// The queue may keep a slot free for other work, and a hedge must not wait.
		return hop.ReasonHedgeLoad
	}
	select {
	case reason := <-decision:
		return reason
	case <-ctx.Done():
	}
	if q.cancel(req.id) {
		return reasonOf(ctx)
	}
	// The decision was made before the attempt could be cancelled.
	if reason := <-decision; reason != "" {
		return reason
	}
	q.done(req.id, 0, admission.Cancelled)
	return reasonOf(ctx)
}

// offer offers an attempt for admission. If the attempt is queued, offer returns a
// channel that delivers the decision. Otherwise the channel is nil and the result is the
// immediate decision.
func (q *queue) offer(req attemptRequest) (chan hop.Reason, admission.OfferResult) {
	q.mu.Lock()
	defer q.mu.Unlock()
	result, actions := q.admission.Offer(q.clock(), q.request(req))
	var decision chan hop.Reason
	if result.Decision == admission.Queued {
		decision = make(chan hop.Reason, 1)
		q.waiting[req.id] = decision
	}
	q.apply(actions)
	return decision, result
}

// check returns the reason for which offer would refuse the attempt now, and sets req.again; the
// reason is empty when it would not.
func (q *queue) check(req *attemptRequest) hop.Reason {
	q.mu.Lock()
	defer q.mu.Unlock()
	result := q.admission.Check(q.clock(), q.request(*req))
	req.again = result.Wait
	return result.Reason
}

func (q *queue) request(req attemptRequest) admission.Request {
	return admission.Request{
		ID:           req.id,
		Organisation: req.organisation,
		// Route names are unique only within an organisation.
		Route:    req.organisation + "/" + req.route,
		Priority: req.priority,
		Call:     req.call,
		Deadline: q.clock.fromTime(req.deadline),
		MaxWait:  req.maxWait,
	}
}

// cancel removes an attempt from the queue. It returns false when the decision on the
// attempt was already made.
func (q *queue) cancel(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	found, actions := q.admission.Cancel(q.clock(), id)
	if found {
		delete(q.waiting, id)
	}
	q.apply(actions)
	return found
}

// done reports the end of an admitted attempt. Only the first report counts.
func (q *queue) done(id string, latency time.Duration, r admission.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.admission.Done(q.clock(), id, latency, r))
}

func (q *queue) advance() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.admission.Advance(q.clock()))
}

func (q *queue) load() admission.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Load(q.clock())
}

func (q *queue) idle() bool {
	l := q.load()
	return l.Running+l.Queued == 0
}

// loadForReply returns the load to report to the entry together with the outcome o. With
// an answer it leaves out the answered attempt, which ends with the answer; otherwise an
// idle backend server would seem loaded.
func (q *queue) loadForReply(o hop.Outcome) admission.Load {
	l := q.load()
	if o == hop.OutcomeAnswer {
		l.Running = max(0, l.Running-1)
	}
	return l
}

// apply wakes the attempts on which a decision was made and sets the timer. The caller
// holds q.mu.
func (q *queue) apply(actions admission.Actions) {
	for _, id := range actions.Dispatch {
		q.wake(id, "")
	}
	for _, d := range actions.Drop {
		q.wake(d.ID, d.Reason)
	}
	if next, ok := q.admission.NextDeadline(); ok {
		q.timer.Reset(max(0, next-q.clock()))
	}
}

func (q *queue) wake(id string, reason hop.Reason) {
	q.waiting[id] <- reason
	delete(q.waiting, id)
}
