package admission

import (
	"time"
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
)

// item is one queued or running request with its scheduling state.
type item struct {
	Request
	level   *level
	org     *organisation
	stats   *routeStats
	class   class
	arrived time.Duration
	// latestStart is the latest start that leaves time to meet the deadline. expires is
	// the earlier of that and the end of the longest wait that the queue allows.
	latestStart, expires time.Duration
	// maxWait is the maximum expected wait. If the expected wait is longer, the request is
	// refused.
	maxWait time.Duration
	started time.Duration
	// cost is the expected service time in seconds. It is charged at dispatch.
	cost    float64
	running bool
	// guaranteed is set when the request uses the guaranteed share of its priority or
	// organisation.
	guaranteed bool
	atLimit    bool // the limit was in full use at dispatch
	halfBusy   bool // at least half of the slots were in use at dispatch
}

func (q *Queue) newItem(r Request) *item {
	stats := q.routes.get(q.now, r.Route)
	it := &item{Request: r, stats: stats, cost: stats.mean, arrived: q.now}
	it.level = q.levels.get(q.now, levelKeyOf(r), q.credit())
	it.org = it.level.fair.organisation(r.Organisation)
	if stats.long || q.hasOverdueRequest(stats) {
		it.class = long
	}
	expected, drop := queueFactor, dropFactor
	if it.level.fair.underServedWithoutQueue(it.org) {
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

// clampWait limits a wait in seconds to the range from waitFloor to waitCap.
func clampWait(wait float64) time.Duration { return min(max(seconds(wait), waitFloor), waitCap) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
