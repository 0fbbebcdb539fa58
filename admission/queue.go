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
	// queueFactor bounds the expected wait, as a multiple of the route's mean service
	// time. It is large enough that slots do not stay idle.
	queueFactor = 1.0
	// dropFactor bounds the actual wait in the same units. With a service time of
	// 20 ms, a request that is dropped at one backend server can still wait at a
	// second one within 50 ms.
	dropFactor = 0.95
	// underServedFactor plus underServedTurns divided by the limit replaces both factors for the
	// first queued request of an organisation that used less than its share. That request
	// is dispatched next, but all slots may become free together only after one service
	// time, so a shorter maximum wait could end before that. With few slots, the requests
	// of other such organisations may also come first.
	underServedFactor = 1.2
	underServedTurns  = 2.0
	// waitFloor and waitCap bound the maximum wait that these factors give a request.
	waitFloor = 10 * time.Millisecond
	waitCap   = 500 * time.Millisecond
	// creditFactor is the unused share that an organisation may save, in units of the
	// typical service time. It is large enough that, with a single slot and a few busy
	// organisations, an organisation that was just served gets a later start tag than
	// one that was not.
	creditFactor = 8
	// In an exclusive queue, a shed request lowers the limit only if at least
	// 1/busyDivisor of the slots were in use when it was dispatched. A backend server that
	// sheds requests with fewer slots in use is failing, and a lower limit would not help.
	// The share is measured against the slots, not the limit, because
	// otherwise each reduction of the limit would justify the next.
	busyDivisor = 2
	// capInterval is the time between checks of the cap on the slots held by long requests.
	capInterval = 100 * time.Millisecond
)

// Request is a request offered to a queue.
type Request struct {
	ID           string
	Organisation string
	Route        string
	// Deadline is the time from which on the answer is useless.
	Deadline time.Duration
	// MaxWait is how long the request may wait here although other backend servers might serve it
	// sooner. The queue may let it wait longer than that, but not shorter.
	MaxWait time.Duration
}

// Decision is the immediate result of an offer.
type Decision int

// The decisions on an offer.
const (
	Refused Decision = iota
	Queued
	Dispatched
)

// OfferResult is the decision on an offer, with the reason for a refusal and the expected wait.
type OfferResult struct {
	Decision Decision
	Reason   hop.Reason
	Wait     time.Duration
}

// Drop names a queued request that will not run and says why.
type Drop struct {
	ID     string
	Reason hop.Reason
}

// Actions is what the caller must do after an event: send the requests in Dispatch to
// the backend server, in order, and answer those in Drop as not run.
type Actions struct {
	Dispatch []string
	Drop     []Drop
}

// Result is how a dispatched request ended.
type Result int

// The results of a dispatched request.
const (
	Answered Result = iota
	// Shed means that the backend server refused the request because it is overloaded.
	Shed
	Failed
	Cancelled
)

// Queue is the admission queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	limiter limiter
	routes  *routeTable
	fair    fairQueue
	items   map[string]*item
	state   membership.State
	running int
	now     time.Duration
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
		limiter:  newLimiter(slots),
		routes:   newRouteTable(),
		items:    make(map[string]*item),
		state:    state,
		now:      now,
		demandAt: now,
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
	q.fair.credit = creditFactor * q.routes.typicalService()
	it := q.newItem(r)
	if now >= r.Deadline {
		return OfferResult{Reason: hop.ReasonTimeout}, actions
	}
	q.recordDemand(it)
	result := q.decide(it)
	switch result.Decision {
	case Dispatched:
		q.admit(it)
		q.start(it)
	case Queued:
		q.admit(it)
		q.fair.push(it)
	}
	return result, actions
}

// Check returns the decision that an offer of the request would get now. A request that would be
// refused counts as offered, because its caller need not offer it.
func (q *Queue) Check(now time.Duration, r Request) OfferResult {
	q.now = now
	it := q.newItem(r)
	result := q.decide(it)
	if result.Decision == Refused {
		q.recordDemand(it)
	}
	return result
}

// decide returns the decision on a new request.
func (q *Queue) decide(it *item) OfferResult {
	if q.hasFreeSlot(it.class) && !q.hasQueued(it.class) {
		return OfferResult{Decision: Dispatched}
	}
	wait := q.wait(it.org, it.class, it.cost)
	if q.now+wait > it.latestStart {
		return OfferResult{Reason: hop.ReasonTimeout, Wait: wait}
	}
	if wait > it.maxWait {
		return OfferResult{Reason: hop.ReasonFull, Wait: wait}
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
	q.fair.correctCharge(it, (now - it.started).Seconds())
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
		it := q.fair.next(q.hasFreeSlot(long))
		if it == nil {
			break
		}
		q.fair.remove(it)
		q.start(it)
		actions.Dispatch = append(actions.Dispatch, it.ID)
	}
	q.fair.removeIdle()
	return actions
}

// NextDeadline returns the time at which Advance is due, or false when no timer is needed.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if q.fair.queued == 0 {
		return 0, false
	}
	next := time.Duration(math.MaxInt64)
	for _, o := range q.fair.orgs {
		for _, items := range o.waiting {
			for _, it := range items {
				next = min(next, it.expires+1)
			}
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
	l := Load{Running: q.running, Queued: q.fair.queued, Limit: q.limiter.limit(now)}
	if !q.hasFreeSlot(short) || q.fair.queued > 0 {
		l.Wait = q.wait(&organisation{}, short, q.routes.typicalService())
	}
	return l
}

func (q *Queue) newItem(r Request) *item {
	stats := q.routes.get(q.now, r.Route)
	it := &item{Request: r, stats: stats, cost: stats.mean, arrived: q.now}
	it.org = q.fair.organisation(r.Organisation)
	if stats.long || q.hasOverdueRequest(stats) {
		it.class = long
	}
	expected, drop := queueFactor, dropFactor
	if q.fair.underServedWithoutQueue(it.org) {
		expected = underServedFactor + underServedTurns/float64(q.limiter.limit(q.now))
		drop = expected
	}
	it.maxWait = max(r.MaxWait, clampWait(expected*it.cost))
	it.latestStart = r.Deadline - it.startMargin()
	it.expires = min(it.latestStart, q.now+max(r.MaxWait, clampWait(drop*it.cost)))
	return it
}

// startMargin returns how long before its deadline a queued request must start: half the
// mean service time, because service times vary and many answers come sooner. It is
// not applied when a slot is free: such a request starts whatever the estimate, so
// that an estimate that has become wrong is corrected.
func (it *item) startMargin() time.Duration {
	if it.stats.completions < longMinimum {
		return 0
	}
	return seconds(it.cost / 2)
}

// hasOverdueRequest reports whether a route with fewer than longMinimum completions has a
// running request that has already taken as long as a long one.
func (q *Queue) hasOverdueRequest(stats *routeStats) bool {
	if stats.completions >= longMinimum {
		return false
	}
	for _, it := range q.items {
		if it.running && it.stats == stats && (q.now-it.started).Seconds() > overdueRatio*q.routes.typicalService() {
			return true
		}
	}
	return false
}

func (q *Queue) admit(it *item) { q.items[it.ID] = it }

func (q *Queue) start(it *item) {
	it.running = true
	it.started = q.now
	q.running++
	it.atLimit = q.running >= q.limiter.limit(q.now)
	it.halfBusy = busyDivisor*q.running >= q.limiter.slots
	q.fair.charge(it)
}

// removeQueued removes a queued request from the queue.
func (q *Queue) removeQueued(it *item) {
	q.fair.remove(it)
	delete(q.items, it.ID)
}

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
		q.fair.reclassify(r)
	}
}

// resetBaselines restarts the baseline latency of every route, so that it is learned anew
// from the current latency.
func (q *Queue) resetBaselines() {
	for _, r := range q.routes.routes {
		r.baselineSamples = 0
	}
}

func (q *Queue) expire(actions *Actions) {
	for _, o := range q.fair.orgs {
		for c := range o.waiting {
			q.expireClass(actions, o.waiting[c])
		}
	}
}

func (q *Queue) expireClass(actions *Actions, items []*item) {
	var expired []*item
	for _, it := range items {
		if q.state == membership.StateLeaving || it.expires < q.now {
			expired = append(expired, it)
		}
	}
	for _, it := range expired {
		q.removeQueued(it)
		actions.Drop = append(actions.Drop, Drop{it.ID, q.dropReason(it)})
	}
}

func (q *Queue) dropReason(it *item) hop.Reason {
	switch {
	case q.state == membership.StateLeaving:
		return hop.ReasonLeaving
	case it.latestStart < q.now:
		return hop.ReasonTimeout
	}
	return hop.ReasonFull
}

// clampWait limits a wait in seconds to the range from waitFloor to waitCap.
func clampWait(wait float64) time.Duration { return min(max(seconds(wait), waitFloor), waitCap) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
