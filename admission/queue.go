// Package admission decides which requests are sent to a backend server, queued or
// refused. It reads no clock: time is a parameter, given as the time since an
// arbitrary start.
package admission

import (
	"math"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// In an exclusive queue, a shed request lowers the limit only if at least
	// 1/busyDivisor of the slots were in use when it was dispatched. A backend server that
	// sheds requests with fewer slots in use is failing, and a lower limit would not help.
	// The share is measured against the slots, not the limit, because
	// otherwise each reduction of the limit would justify the next.
	busyDivisor = 2
	// capInterval is the time between checks of the cap on the slots held by long requests.
	capInterval = 100 * time.Millisecond
)

// Queue is the admission queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	limiter   limiter
	routes    *routeTable
	levels    levels
	items     map[string]*item
	state     membership.State
	running   int
	guarantee guarantee
	counts    map[Rank]*Counts
	now       time.Duration
	// exclusive is set when the backend server runs only the requests of this queue.
	exclusive bool
	demand    float64       // expected service time of the offered short requests in seconds, decayed over demandTime
	demandAt  time.Duration // when demand was last brought up to date
}

// NewQueue returns the queue of a backend server. A backend server that is first seen
// as ready is not ramped up, because it may have been running before its guard
// restarted.
func NewQueue(now time.Duration, slots int, state membership.State) *Queue {
	q := &Queue{
		limiter:   newLimiter(slots),
		routes:    newRouteTable(),
		guarantee: newGuarantee(),
		counts:    make(map[Rank]*Counts),
		items:     make(map[string]*item),
		state:     state,
		now:       now,
		demandAt:  now,
	}
	q.limiter.starting = state == membership.StateStarting
	return q
}

// SetExclusive tells the queue that the backend server runs only the requests of this
// queue, so that a request shed while most slots are free is no sign of overload.
func (q *Queue) SetExclusive() { q.exclusive = true }

// Announce applies the announced slots and state. State leaving drops all queued requests.
func (q *Queue) Announce(now time.Duration, slots int, state membership.State) Actions {
	q.now = now
	if q.state == membership.StateStarting && state == membership.StateReady {
		q.limiter.ramping = true
		q.limiter.readyAt = now
	}
	q.state = state
	q.limiter.starting = state == membership.StateStarting
	q.limiter.resize(slots)
	return q.Advance(now)
}

// Offer decides on a new request. The returned actions concern requests offered earlier.
func (q *Queue) Offer(now time.Duration, r Request) (OfferResult, Actions) {
	actions := q.Advance(now)
	if q.state == membership.StateLeaving {
		return OfferResult{Reason: hop.ReasonLeaving}, actions
	}
	if q.items[r.ID] != nil {
		return OfferResult{Reason: hop.ReasonDuplicate}, actions
	}
	q.levels.setCredit(q.credit())
	it := q.newItem(r)
	if now >= r.Deadline {
		return OfferResult{Reason: hop.ReasonTimeout}, actions
	}
	q.recordOffer(it)
	result, key := q.decide(it)
	switch result.Decision {
	case Dispatched:
		q.admit(it)
		q.start(it)
	case Queued:
		q.admit(it)
		q.moveTo(it, key)
		it.level.fair.push(it)
		q.displace(&actions, it)
	case Refused:
		q.count(it).Refused++
	}
	return result, actions
}

// Check returns the decision that an offer of the request would get now. A request that would be
// refused counts as offered, because its caller need not offer it.
func (q *Queue) Check(now time.Duration, r Request) OfferResult {
	q.now = now
	it := q.newItem(r)
	result, _ := q.decide(it)
	if result.Decision == Refused {
		q.recordOffer(it)
		q.count(it).Refused++
	}
	q.levels.removeIdleLevels()
	return result
}

// decide returns the decision on a new request, and the level in which it is queued.
func (q *Queue) decide(it *item) (OfferResult, levelKey) {
	key := it.level.key
	if q.hasFreeSlot(it.class) && !q.levels.hasQueued(key, it.class) {
		return OfferResult{Decision: Dispatched}, key
	}
	result := q.decideQueued(it, key, it.org)
	if result.Decision == Refused && q.guarantee.owed(q.now, it) {
		guaranteed := levelKey{stage: stageGuaranteed}
		// The cost of a route that is hardly ever served may rest on a few slow requests, which must
		// not keep it from being served. So the typical cost counts, and no margin before the deadline.
		owed := *it
		owed.cost, owed.latestStart = min(it.cost, q.routes.typicalService()), it.Deadline
		if r := q.decideQueued(&owed, guaranteed, &organisation{newlyActive: true}); r.Decision == Queued {
			return r, guaranteed
		}
	}
	return result, key
}

// decideQueued returns the decision on a request of o that finds no free slot, if it is queued
// at key.
func (q *Queue) decideQueued(it *item, key levelKey, o *organisation) OfferResult {
	wait, unaffected := q.wait(key, o, it.class, it.cost)
	// How much more urgent work will come is uncertain, and a refused request may be owed a share
	// before, so it is not kept away for as long as the estimate says.
	again := max(unaffected, min(wait, it.maxWait+overtakenPause))
	if q.now+wait > it.latestStart {
		return OfferResult{Reason: hop.ReasonTimeout, Wait: again}
	}
	if wait > it.maxWait {
		return OfferResult{Reason: hop.ReasonFull, Wait: again}
	}
	return OfferResult{Decision: Queued, Wait: wait}
}

// Done records the end of a dispatched request. Unknown IDs are ignored.
func (q *Queue) Done(now time.Duration, id string, latency time.Duration, res Result) Actions {
	q.now = now
	it := q.items[id]
	if it == nil || !it.running {
		return q.Advance(now)
	}
	delete(q.items, id)
	q.running--
	it.level.fair.correctCharge(it, (now - it.started).Seconds())
	switch res {
	case Answered:
		q.recordAnswer(it, latency.Seconds())
	case Shed:
		if it.halfBusy || !q.exclusive {
			q.limiter.shed(now, q.routes.typicalService())
		}
	case Failed, Cancelled:
		// A request that ended early still shows that its route takes at least this long.
		if latency.Seconds() > it.stats.mean {
			q.observe(it.stats, latency.Seconds(), false)
		}
	}
	return q.Advance(now)
}

// Cancel removes a queued request whose caller has gone. It reports false when the
// request is not queued; a running request ends with Done.
func (q *Queue) Cancel(now time.Duration, id string) (bool, Actions) {
	it := q.items[id]
	found := it != nil && !it.running
	if found {
		q.removeQueued(it)
	}
	return found, q.Advance(now)
}

// Advance drops the expired requests and dispatches those that may run.
func (q *Queue) Advance(now time.Duration) Actions {
	q.now = now
	var actions Actions
	q.expire(&actions)
	for q.running < q.limiter.limit(now) {
		it := q.levels.next(q.hasFreeSlot(long))
		if it == nil {
			break
		}
		it.level.fair.remove(it)
		q.start(it)
		actions.Dispatch = append(actions.Dispatch, it.ID)
	}
	q.levels.removeIdle()
	return actions
}

// NextDeadline returns the time at which Advance is due, or false when no timer is needed.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if q.levels.queued() == 0 {
		return 0, false
	}
	next := time.Duration(math.MaxInt64)
	for _, it := range q.items {
		if !it.running {
			next = min(next, it.expires+1)
		}
	}
	if q.running < q.limiter.limit(q.now) {
		// A slot is free, so the queued long requests wait for a higher cap. The cap rises
		// as the demand of short requests decays.
		next = min(next, q.now+capInterval)
	}
	if q.limiter.ramping {
		next = min(next, q.now+rampTime/time.Duration(4*q.limiter.slots))
	}
	return next, true
}

// Load returns the load for the load header of replies.
func (q *Queue) Load(now time.Duration) Load {
	l := Load{Running: q.running, Queued: q.levels.queued(), Limit: q.limiter.limit(now)}
	if !q.hasFreeSlot(short) || l.Queued > 0 {
		l.Wait, _ = q.wait(levelKey{stage: stageClient}, &organisation{}, short, q.routes.typicalService())
	}
	return l
}

func (q *Queue) admit(it *item) {
	q.items[it.ID] = it
	it.level.accepted[it.class].add(q.now, acceptedTime, it.cost)
}

func (q *Queue) start(it *item) {
	it.running = true
	it.started = q.now
	q.running++
	it.atLimit = q.running >= q.limiter.limit(q.now)
	it.halfBusy = busyDivisor*q.running >= q.limiter.slots
	it.level.fair.charge(it)
	q.guarantee.start(q.now, it)
	q.count(it).Dispatched++
}

// removeQueued removes a queued request from the queue.
func (q *Queue) removeQueued(it *item) {
	it.level.fair.remove(it)
	delete(q.items, it.ID)
	if it.guaranteed {
		q.guarantee.refund(q.now, it)
	}
}

// moveTo assigns a request that is not queued to the level at key.
func (q *Queue) moveTo(it *item, key levelKey) {
	if it.level.key == key {
		return
	}
	it.level = q.levels.get(q.now, key, q.credit())
	it.org = it.level.fair.organisation(it.Organisation)
	if key.stage == stageGuaranteed {
		it.guaranteed = true
		it.latestStart = it.Deadline
		it.expires = min(it.Deadline, it.arrived+it.maxWait)
		q.guarantee.reserve(q.now, it)
	}
}

// credit returns the unused share in seconds that an organisation may save within a level.
func (q *Queue) credit() float64 { return creditFactor * q.routes.typicalService() }

// recordAnswer updates the route statistics and the limit with the latency of an answer in seconds.
func (q *Queue) recordAnswer(it *item, latency float64) {
	r := it.stats
	latencyLogRatio := math.Log(max(latency, 1e-6)) - r.baselineLog
	if !r.hasBaseline() {
		latencyLogRatio = 0
	}
	// Latency at full use of the limit may be raised by load, so it does not count
	// towards the baseline.
	q.observe(r, latency, !it.atLimit)
	if q.limiter.recordAnswer(latencyLogRatio, it.atLimit) {
		q.resetBaselines()
	}
}

// observe records a completion and, if the route changed its class, moves its queued requests.
func (q *Queue) observe(r *routeStats, latency float64, baseline bool) {
	was := r.long
	q.routes.observe(r, latency, baseline)
	if r.long != was {
		q.levels.reclassify(r)
	}
}

// resetBaselines restarts the baseline latency of every route, so that it is learned anew
// from the current latency.
func (q *Queue) resetBaselines() {
	for _, r := range q.routes.routes {
		r.baselineSamples = 0
	}
}
