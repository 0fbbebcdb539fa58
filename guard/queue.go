package guard

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// clock returns the time since the start of the guard, which the decisions of
// admission need.
type clock func() time.Duration

func newClock() clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func (c clock) at(t time.Time) time.Duration { return c() + time.Until(t) }

// queue lets concurrent attempts wait for the decisions on one backend server.
type queue struct {
	clock   clock
	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[string]chan hop.Reason
	timer   *time.Timer
}

func newQueue(c clock, slots int, state membership.State, trustSlots bool) *queue {
	q := &queue{clock: c, queue: admission.NewQueue(c(), slots, state), waiting: make(map[string]chan hop.Reason)}
	if trustSlots {
		q.queue.SetExclusive()
	}
	q.timer = time.AfterFunc(0, q.advance)
	return q
}

func (q *queue) announce(slots int, state membership.State) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.queue.Announce(q.clock(), slots, state))
}

// admit waits until the work may be dispatched, is refused, or ctx ends. An
// empty reason admits it; done must then follow.
func (q *queue) admit(ctx context.Context, j job) hop.Reason {
	turn, reason := q.offer(j)
	if turn == nil {
		return reason
	}
	select {
	case reason := <-turn:
		return reason
	case <-ctx.Done():
	}
	if q.cancel(j.id) {
		return reasonOf(ctx)
	}
	// The decision was made at the same moment.
	if reason := <-turn; reason != "" {
		return reason
	}
	q.done(j.id, 0, admission.Cancelled)
	return reasonOf(ctx)
}

// offer returns a channel for the decision when the work is queued.
func (q *queue) offer(j job) (chan hop.Reason, hop.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	v, changes := q.queue.Offer(q.clock(), admission.Request{
		ID:           j.id,
		Organisation: j.organisation,
		// Names of routes are unique within an organisation only.
		Route:    j.organisation + "/" + j.route,
		Deadline: q.clock.at(j.deadline),
	})
	var turn chan hop.Reason
	if v.Decision == admission.Queued {
		turn = make(chan hop.Reason, 1)
		q.waiting[j.id] = turn
	}
	q.apply(changes)
	return turn, v.Reason
}

// cancel takes work out of the queue. It returns false when its decision was made.
func (q *queue) cancel(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	found, changes := q.queue.Cancel(q.clock(), id)
	if found {
		delete(q.waiting, id)
	}
	q.apply(changes)
	return found
}

// done reports the end of admitted work. Only the first report counts.
func (q *queue) done(id string, latency time.Duration, r admission.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.queue.Done(q.clock(), id, latency, r))
}

func (q *queue) advance() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.queue.Advance(q.clock()))
}

func (q *queue) load() admission.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Load(q.clock())
}

func (q *queue) idle() bool {
	l := q.load()
	return l.Running+l.Queued == 0
}

// loadAfter is the load for a reply. An answer leaves its own work out, which
// ends with the answer: an idle backend server would seem loaded otherwise.
func (q *queue) loadAfter(o hop.Outcome) admission.Load {
	l := q.load()
	if o == hop.OutcomeAnswer {
		l.Running = max(0, l.Running-1)
	}
	return l
}

// apply wakes the work that was decided and sets the timer; q.mu is held.
func (q *queue) apply(c admission.Actions) {
	for _, id := range c.Dispatch {
		q.wake(id, "")
	}
	for _, d := range c.Drop {
		q.wake(d.ID, d.Reason)
	}
	if next, ok := q.queue.Next(); ok {
		q.timer.Reset(max(0, next-q.clock()))
	}
}

func (q *queue) wake(id string, reason hop.Reason) {
	q.waiting[id] <- reason
	delete(q.waiting, id)
}
