package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// The overload that TestOverloadWithoutPolling plays: entries send 1.3 times as many requests as
// the backend servers can serve. Each request waits for a slot for up to overloadWait.
const (
	overloadEntries  = 8
	overloadBackends = 6
	overloadSlots    = 4
	overloadService  = 300 * time.Millisecond
	overloadWait     = 900 * time.Millisecond
	overloadPause    = 100 * time.Millisecond
	overloadRound    = 5
	overloadTime     = 20 * time.Second
	overloadStep     = time.Millisecond
)

// waiting is a request that has not been dispatched.
type waiting struct {
	id      string
	entry   int
	arrived time.Duration
	next    time.Duration
	round   int
	tried   map[string]hop.Reason
	queued  string
}

// overload plays requests, pickers and admission queues in virtual time.
type overload struct {
	t *testing.T
	// informed lets the entries use what the refusals state.
	informed bool
	rng      *rand.Rand
	backends []membership.Backend
	queues   map[string]*admission.Queue
	pickers  []*Picker
	requests map[string]*waiting
	ends     []dispatched

	attempts, offered, served int
}

type dispatched struct {
	at          time.Duration
	id, backend string
}

func newOverload(t *testing.T, informed bool) *overload {
	o := &overload{t: t, informed: informed, rng: rng(), queues: make(map[string]*admission.Queue), requests: make(map[string]*waiting)}
	for i := range overloadBackends {
		b := newBackend(i, "r1", "r1a")
		o.backends = append(o.backends, b)
		o.queues[b.ID] = admission.NewQueue(0, overloadSlots, membership.StateReady)
	}
	for range overloadEntries {
		o.pickers = append(o.pickers, newPicker(0))
	}
	return o
}

func (o *overload) run() {
	perStep := 1.3 * overloadBackends * overloadSlots * overloadStep.Seconds() / overloadService.Seconds()
	for now := time.Duration(0); now < overloadTime; now += overloadStep {
		if o.rng.Float64() < perStep {
			o.offered++
			id := fmt.Sprint(o.offered)
			o.requests[id] = &waiting{id: id, entry: o.rng.IntN(overloadEntries), arrived: now, next: now, tried: make(map[string]hop.Reason)}
		}
		for len(o.ends) > 0 && o.ends[0].at <= now {
			e := o.ends[0]
			o.ends = o.ends[1:]
			o.apply(now, e.backend, o.queues[e.backend].Done(now, e.id, overloadService, admission.Answered))
		}
		for id, q := range o.queues {
			o.apply(now, id, q.Advance(now))
		}
		var due []*waiting
		for _, r := range o.requests {
			if r.queued == "" && r.next <= now {
				due = append(due, r)
			}
		}
		slices.SortFunc(due, func(a, b *waiting) int { return cmp.Compare(a.id, b.id) })
		for _, r := range due {
			o.attempt(now, r)
		}
	}
}

// apply carries out the actions of the queue of a backend server.
func (o *overload) apply(now time.Duration, backend string, actions admission.Actions) {
	for _, id := range actions.Dispatch {
		o.start(now, o.requests[id], backend)
	}
	for _, d := range actions.Drop {
		r := o.requests[d.ID]
		r.queued, r.next = "", now
		r.tried[backend] = d.Reason
		o.pickers[r.entry].End(now, backend, Feedback{Reason: d.Reason})
	}
}

func (o *overload) start(now time.Duration, r *waiting, backend string) {
	o.served++
	o.ends = append(o.ends, dispatched{at: now + overloadService, id: r.id, backend: backend})
	load := o.queues[backend].Load(now)
	o.pickers[r.entry].End(now, backend, Feedback{Load: load.Ratio(), HasLoad: true})
	delete(o.requests, r.id)
}

func (o *overload) attempt(now time.Duration, r *waiting) {
	left := r.arrived + overloadWait - now
	if left < overloadPause {
		delete(o.requests, r.id)
		return
	}
	a := Attempt{Tried: r.tried, CanWait: true, QueueWait: -1}
	if o.informed {
		a.QueueWait = left / 2
	}
	choice, ok := Choice{}, false
	if r.round < overloadRound {
		choice, ok = o.pickers[r.entry].Pick(now, o.rng, o.backends, a)
	}
	if !ok {
		r.next, r.round = now+overloadPause, 0
		clear(r.tried)
		return
	}
	o.attempts++
	r.round++
	id := choice.Backend.ID
	request := admission.Request{ID: r.id, Route: "r", Deadline: now + time.Minute}
	if o.informed {
		request.MaxWait = left / 2
	}
	result, actions := o.queues[id].Offer(now, request)
	o.apply(now, id, actions)
	switch result.Decision {
	case admission.Dispatched:
		o.start(now, r, id)
	case admission.Queued:
		r.queued = id
	case admission.Refused:
		f := Feedback{Reason: result.Reason, Load: o.queues[id].Load(now).Ratio(), HasLoad: true}
		if o.informed {
			f.Again = result.Wait
		}
		o.pickers[r.entry].End(now, id, f)
		r.tried[id] = result.Reason
	}
}

// Guards against an overload in which waiting requests are offered again and again to guards
// that have no room, which costs links and processors more than the requests themselves, and
// against saving these attempts at the cost of slots that stay free.
func TestOverloadWithoutPolling(t *testing.T) {
	blind, informed := newOverload(t, false), newOverload(t, true)
	blind.run()
	informed.run()
	capacity := overloadTime.Seconds() / overloadService.Seconds() * overloadBackends * overloadSlots
	t.Logf("of %d requests: %d served after %d attempts; without the statements of guards %d after %d",
		informed.offered, informed.served, informed.attempts, blind.served, blind.attempts)
	assert.Assert(t, float64(informed.served) > 0.95*capacity, "%d requests served, room for %.0f", informed.served, capacity)
	assert.Assert(t, informed.attempts < 4*informed.offered, "%d attempts for %d requests", informed.attempts, informed.offered)
	assert.Assert(t, 2*informed.attempts < blind.attempts, "%d attempts, %d without the statements of guards", informed.attempts, blind.attempts)
}
