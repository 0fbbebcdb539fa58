// Package admission decides which work a backend server runs, queues or
// refuses. It is pure: time is a parameter, as the time since an arbitrary start.
package admission

import (
	"math"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// queueFactor bounds the expected wait in units of the route's service
	// time: long enough that slots do not idle.
	queueFactor = 1.0
	// dropFactor bounds the actual wait in the same units: work dropped at one
	// backend server can still wait at a second one within 50 ms at a service
	// time of 20 ms.
	dropFactor = 0.95
	// owedFactor plus owedTurns over the limit replaces both for the first work
	// of an organisation that used less than its share. It is next in turn, but
	// with less than a service time it can miss every turn when all slots become
	// free together, and with few slots others that are owed come first.
	owedFactor = 1.2
	owedTurns  = 2.0
	minQueue   = 10 * time.Millisecond
	maxQueue   = 500 * time.Millisecond
	// creditFactor is the unused share that an organisation keeps, in units of
	// the usual service time: enough that with a single slot and a few busy
	// organisations, one that was just served is told from one that was not.
	creditFactor = 8
	// busyShare times the running work reaches the slots of a backend server that may be
	// overloaded. One that sheds work below that is failing, and a lower limit would not
	// help; measured against the limit, each reduction would justify the next.
	busyShare = 2
	// demandTime is the time over which the demand of short work decays.
	demandTime = 2 * time.Second
	// capInterval is the time between checks of the cap on long work.
	capInterval = 100 * time.Millisecond
)

// Request is work offered to a queue.
type Request struct {
	ID           string
	Organisation string
	Route        string
	// Deadline is the time by which the answer is useless.
	Deadline time.Duration
}

// Decision is the immediate result of an offer.
type Decision int

// The decisions on an offer.
const (
	Refused Decision = iota
	Queued
	Dispatched
)

// OfferResult is the decision on an offer, with the reason of a refusal and the expected wait.
type OfferResult struct {
	Decision Decision
	Reason   hop.Reason
	Wait     time.Duration
}

// Drop names queued work that will not run.
type Drop struct {
	ID     string
	Reason hop.Reason
}

// Actions is what the caller must do after an event: send the work in
// Dispatch, in order, and answer the work in Drop as not run.
type Actions struct {
	Dispatch []string
	Drop     []Drop
}

// Result is how dispatched work ended.
type Result int

// The results of dispatched work.
const (
	Answered Result = iota
	// Shed means that the backend server refused the work as overloaded.
	Shed
	Failed
	Cancelled
)

// Queue decides for one backend server. It is not safe for concurrent use.
type Queue struct {
	limiter limiter
	routes  *routeTable
	fair    fairQueue
	items   map[string]*item
	state   membership.State
	running int
	now     time.Duration
	// trustSlots is set when the backend server runs nothing but the work of this queue.
	trustSlots bool
	demand     float64 // offered short work in seconds, decayed over demandTime
	decayed    time.Duration
}

// NewQueue returns the queue of a backend server. One first seen as ready has
// no cold start: its guard may have restarted.
func NewQueue(now time.Duration, slots int, state membership.State) *Queue {
	q := &Queue{
		limiter: newLimiter(slots),
		routes:  newRouteTable(),
		items:   make(map[string]*item),
		state:   state,
		now:     now,
		decayed: now,
	}
	q.limiter.starting = state == membership.StateStarting
	return q
}

// SetExclusive tells the queue that the backend server runs nothing but its work, so that
// work shed while most slots are free is no sign of overload.
func (q *Queue) SetExclusive() { q.trustSlots = true }

// Announce takes the announced slots and state. Leaving drops all queued work.
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

// Offer decides on new work. Actions concern other work.
func (q *Queue) Offer(now time.Duration, r Request) (OfferResult, Actions) {
	ch := q.Advance(now)
	if q.state == membership.StateLeaving {
		return OfferResult{Reason: hop.ReasonLeaving}, ch
	}
	if q.items[r.ID] != nil {
		return OfferResult{Reason: hop.ReasonDuplicate}, ch
	}
	q.fair.credit = creditFactor * q.routes.usualService()
	it := q.newItem(r)
	if now >= r.Deadline {
		return OfferResult{Reason: hop.ReasonTimeout}, ch
	}
	q.count(it)
	if q.mayStart(it.class) && !q.blocked(it.class) {
		q.admit(it)
		q.start(it)
		return OfferResult{Decision: Dispatched}, ch
	}
	wait := q.wait(it.org, it.class, it.cost)
	if now+wait > it.useful {
		return OfferResult{Reason: hop.ReasonTimeout, Wait: wait}, ch
	}
	if wait > it.bound {
		return OfferResult{Reason: hop.ReasonFull, Wait: wait}, ch
	}
	q.admit(it)
	q.fair.push(it)
	return OfferResult{Decision: Queued, Wait: wait}, ch
}

// Done reports the end of dispatched work. Unknown IDs are ignored.
func (q *Queue) Done(now time.Duration, id string, latency time.Duration, res Result) Actions {
	q.now = now
	it := q.items[id]
	if it == nil || !it.running {
		return q.Advance(now)
	}
	delete(q.items, id)
	q.running--
	q.fair.settle(it, (now - it.started).Seconds())
	switch res {
	case Answered:
		q.learn(it, latency.Seconds())
	case Shed:
		if it.busy || !q.trustSlots {
			q.limiter.shed(now, q.routes.usualService())
		}
	case Failed, Cancelled:
		// Work that ended early still shows that its route takes at least this long.
		if latency.Seconds() > it.stats.mean {
			q.observe(it.stats, latency.Seconds(), false)
		}
	}
	return q.Advance(now)
}

// Cancel removes queued work whose caller has gone. It reports false when the
// work is not queued; running work ends with Done.
func (q *Queue) Cancel(now time.Duration, id string) (bool, Actions) {
	it := q.items[id]
	found := it != nil && !it.running
	if found {
		q.take(it)
	}
	return found, q.Advance(now)
}

// Advance drops the expired work and dispatches what may run.
func (q *Queue) Advance(now time.Duration) Actions {
	q.now = now
	var ch Actions
	q.expire(&ch)
	for q.running < q.limiter.limit(now) {
		it := q.fair.next(q.mayStart(long))
		if it == nil {
			break
		}
		q.fair.remove(it)
		q.start(it)
		ch.Dispatch = append(ch.Dispatch, it.ID)
	}
	q.fair.forget()
	return ch
}

// Next is the time at which Advance is due, and false when no timer is needed.
func (q *Queue) Next() (time.Duration, bool) {
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
		// Long work waits for its cap, which rises as the demand of short work decays.
		next = min(next, q.now+capInterval)
	}
	if q.limiter.ramping {
		next = min(next, q.now+rampTime/time.Duration(4*q.limiter.slots))
	}
	return next, true
}

// Load returns the load for the reply header.
func (q *Queue) Load(now time.Duration) Load {
	l := Load{Running: q.running, Queued: q.fair.queued, Limit: q.limiter.limit(now)}
	if !q.mayStart(short) || q.fair.queued > 0 {
		l.Wait = q.wait(&organisation{}, short, q.routes.usualService())
	}
	return l
}

func (q *Queue) newItem(r Request) *item {
	stats := q.routes.get(q.now, r.Route)
	it := &item{Request: r, stats: stats, cost: stats.mean, arrived: q.now}
	it.org = q.fair.organisation(r.Organisation)
	if stats.long || q.shownLong(stats) {
		it.class = long
	}
	expected, drop := queueFactor, dropFactor
	if q.fair.owed(it.org) {
		expected = owedFactor + owedTurns/float64(q.limiter.limit(q.now))
		drop = expected
	}
	it.bound = bound(expected * it.cost)
	it.useful = r.Deadline - it.needed()
	it.expires = min(it.useful, q.now+bound(drop*it.cost))
	return it
}

// needed is the time before the deadline at which queued work must start: half
// the mean, because service times vary and many answers come sooner.
// Work with a free slot starts whatever the estimate, so that an estimate that
// has become wrong is corrected.
func (it *item) needed() time.Duration {
	if it.stats.n < longMinimum {
		return 0
	}
	return seconds(it.cost / 2)
}

// shownLong reports whether running work of a route with few completions has
// already taken as long as long work.
func (q *Queue) shownLong(stats *routeStats) bool {
	if stats.n >= longMinimum {
		return false
	}
	for _, it := range q.items {
		if it.running && it.stats == stats && (q.now-it.started).Seconds() > overdue*q.routes.usualService() {
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
	it.full = q.running >= q.limiter.limit(q.now)
	it.busy = busyShare*q.running >= q.limiter.slots
	q.fair.charge(it)
}

// take removes queued work.
func (q *Queue) take(it *item) {
	q.fair.remove(it)
	delete(q.items, it.ID)
}

// mayStart reports whether a slot is free for the class.
func (q *Queue) mayStart(c class) bool {
	limit := q.limiter.limit(q.now)
	if q.running >= limit {
		return false
	}
	return c == short || q.longRunning() < q.longCap(limit)
}

// blocked reports whether work of the class is queued, so that new work may
// not overtake it.
func (q *Queue) blocked(c class) bool {
	for _, o := range q.fair.orgs {
		if len(o.waiting[c]) > 0 {
			return true
		}
	}
	return false
}

// longRunning counts the slots held by long work, by the present class of its route.
func (q *Queue) longRunning() int {
	n := 0
	for _, it := range q.items {
		if it.running && (it.class == long || it.stats.long) {
			n++
		}
	}
	return n
}

// longCap is the number of slots that long work may hold. Short work keeps as
// many slots as its recent demand needs and at least one; each class keeps at
// least one. A single slot serves both.
func (q *Queue) longCap(limit int) int {
	reserve := int(math.Ceil(q.shortDemand()))
	return max(1, limit-max(1, reserve))
}

// shortDemand is the mean number of slots that offered short work needs.
func (q *Queue) shortDemand() float64 {
	age := (q.now - q.decayed).Seconds()
	return q.demand * math.Exp(-age/demandTime.Seconds()) / demandTime.Seconds()
}

func (q *Queue) count(it *item) {
	if it.class == long {
		return
	}
	q.demand = q.shortDemand()*demandTime.Seconds() + it.cost
	q.decayed = q.now
}

// wait estimates the time until new work of an organisation could start, from
// the queued work and the slots that serve its class.
func (q *Queue) wait(o *organisation, c class, cost float64) time.Duration {
	limit := q.limiter.limit(q.now)
	servers := max(1, limit-q.longRunning())
	if c == long {
		servers = q.longCap(limit)
	}
	return seconds((q.fair.ahead(o, c, cost) + cost) / float64(servers))
}

// learn updates the statistics with the latency of an answer.
func (q *Queue) learn(it *item, latency float64) {
	r := it.stats
	growth := math.Log(max(latency, 1e-6)) - r.logMean
	if !r.settled() {
		growth = 0
	}
	// Latency at full use may be grown by load, so it does not count as usual.
	q.observe(r, latency, !it.full)
	if q.limiter.answered(growth, it.full) {
		q.rebase()
	}
}

// observe records a completion and moves queued work of a route that changed its class.
func (q *Queue) observe(r *routeStats, latency float64, usual bool) {
	was := r.long
	q.routes.observe(r, latency, usual)
	if r.long != was {
		q.fair.reclass(r)
	}
}

// rebase takes the present latency as the usual one of every route.
func (q *Queue) rebase() {
	for _, r := range q.routes.routes {
		r.baseN = 0
	}
}

func (q *Queue) expire(ch *Actions) {
	for _, o := range q.fair.orgs {
		for c := range o.waiting {
			q.expireClass(ch, o.waiting[c])
		}
	}
}

func (q *Queue) expireClass(ch *Actions, items []*item) {
	var gone []*item
	for _, it := range items {
		if q.state == membership.StateLeaving || it.expires < q.now {
			gone = append(gone, it)
		}
	}
	for _, it := range gone {
		q.take(it)
		ch.Drop = append(ch.Drop, Drop{it.ID, q.dropReason(it)})
	}
}

func (q *Queue) dropReason(it *item) hop.Reason {
	switch {
	case q.state == membership.StateLeaving:
		return hop.ReasonLeaving
	case it.useful < q.now:
		return hop.ReasonTimeout
	}
	return hop.ReasonFull
}

// bound limits a wait in seconds to the bounds of the queue.
func bound(wait float64) time.Duration { return min(max(seconds(wait), minQueue), maxQueue) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
