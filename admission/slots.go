package admission

import (
	"math"
	"time"
)

// demandTime is the time constant with which the demand of short requests decays.
const demandTime = 2 * time.Second

// hasFreeSlot reports whether a slot is free for a request of the class.
func (q *Queue) hasFreeSlot(c class) bool {
	limit := q.limiter.limit(q.now)
	if q.running >= limit {
		return false
	}
	return c == short || q.longRunning() < q.longCap(limit)
}

// hasQueued reports whether requests of the class are queued, which a new request must
// not overtake.
func (q *Queue) hasQueued(c class) bool {
	for _, o := range q.fair.orgs {
		if len(o.waiting[c]) > 0 {
			return true
		}
	}
	return false
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

func (q *Queue) recordDemand(it *item) {
	if it.class == long {
		return
	}
	q.demand = q.shortDemand()*demandTime.Seconds() + it.cost
	q.demandAt = q.now
}

// wait estimates the time until a new request of an organisation could start, from
// the queued requests ahead of it and the slots that serve its class.
func (q *Queue) wait(o *organisation, c class, cost float64) time.Duration {
	limit := q.limiter.limit(q.now)
	servers := max(1, limit-q.longRunning())
	if c == long {
		servers = q.longCap(limit)
	}
	return seconds((q.fair.costAhead(o, c, cost) + cost) / float64(servers))
}
