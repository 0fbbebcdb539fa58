package admission

import (
	"math"
	"time"
)

// demandTime is the time constant with which the demand of short requests decays.
const demandTime = 2 * time.Second

// overtakenPause is how long beyond its maximum wait a request is told to stay away because of
// more urgent work. With 0, entries made 4.9 attempts for a request in bench/overload, and with
// 100 ms requests of low priority missed their guaranteed share.
const overtakenPause = 30 * time.Millisecond

// minFreeShare is the least share of the slots with which the wait of a request is estimated,
// however much more urgent work has been accepted lately. With 0.05, slots stayed free at a single
// backend server because too little work of low priority was queued.
const minFreeShare = 0.5

// hasFreeSlot reports whether a slot is free for a request of the class.
func (q *Queue) hasFreeSlot(c class) bool {
	limit := q.limiter.limit(q.now)
	if q.running >= limit {
		return false
	}
	return c == short || q.longRunning() < q.longCap(limit)
}

// longRunning counts the slots held by requests that were long at their offer or whose
// route is long now.
func (q *Queue) longRunning() int {
	n := 0
	for _, it := range q.items {
		if it.running && (it.class == long || it.stats.long) {
			n++
		}
	}
	return n
}

// longCap returns the number of slots that long requests may hold. Short requests
// keep as many slots as their recent demand needs. Each class keeps at least one slot, and a
// single slot serves both classes.
func (q *Queue) longCap(limit int) int {
	reserve := int(math.Ceil(q.shortDemand()))
	return max(1, limit-max(1, reserve))
}

// shortDemand returns the mean number of slots that the offered short requests need.
func (q *Queue) shortDemand() float64 {
	age := (q.now - q.demandAt).Seconds()
	return q.demand * math.Exp(-age/demandTime.Seconds()) / demandTime.Seconds()
}

// recordOffer records the demand of an offered request.
func (q *Queue) recordOffer(it *item) {
	q.guarantee.offer(q.now, it, it.level.fair.underServedWithoutQueue(it.org))
	if it.class == long {
		return
	}
	q.demand = q.shortDemand()*demandTime.Seconds() + it.cost
	q.demandAt = q.now
}

// serving returns the number of slots that serve queued requests of a class.
func (q *Queue) serving(c class) float64 {
	limit := q.limiter.limit(q.now)
	if c == long {
		return float64(q.longCap(limit))
	}
	return float64(max(1, limit-q.longRunning()))
}

// wait estimates the time until a new request of an organisation could start if it is queued at
// key: from the queued requests ahead of it, the slots that serve its class, and the rate at
// which more urgent work arrives that will overtake it. The second result leaves out that rate.
func (q *Queue) wait(key levelKey, o *organisation, c class, cost float64) (wait, unaffected time.Duration) {
	ahead, urgentRate := q.levels.costAhead(q.now, key, o, c, cost)
	slots := q.serving(c)
	left := max(slots-urgentRate, minFreeShare*slots)
	return seconds((ahead + cost) / left), seconds((ahead + cost) / slots)
}
