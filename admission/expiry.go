package admission

import (
	"slices"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// expire drops the queued requests that have waited too long. They are dropped by level and
// organisation, in order of arrival.
func (q *Queue) expire(actions *Actions) {
	for _, l := range q.levels {
		for _, o := range l.fair.orgs {
			for c := range o.waiting {
				q.expireClass(actions, o.waiting[c])
			}
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
		q.count(it).Expired++
		q.drop(actions, it, q.dropReason(it))
	}
}

func (q *Queue) drop(actions *Actions, it *item, reason hop.Reason) {
	q.removeQueued(it)
	actions.Drop = append(actions.Drop, Drop{it.ID, reason})
}

// displace drops the queued requests less urgent than the newly queued one that can no longer
// start in time behind it: even if a slot is free as soon as the work ahead of them has started.
// They are refused now, while they can still go elsewhere. A request to which its priority or
// organisation is still owed a share keeps its place by using that share.
func (q *Queue) displace(actions *Actions, by *item) {
	ahead, slots := 0.0, q.serving(by.class)
	for _, l := range slices.Clone(q.levels) {
		if l.key.compare(by.level.key) <= 0 || l.key.stage == stageGuaranteed {
			ahead += l.queuedCost(by.class)
			continue
		}
		for _, it := range l.inOrderOfArrival(by.class) {
			wait := seconds(ahead / slots)
			inTime := q.now+wait <= it.latestStart && q.now-it.arrived+wait <= it.maxWait
			if !inTime && !q.guarantee.owed(q.now, it) {
				q.count(it).Displaced++
				q.drop(actions, it, hop.ReasonDisplaced)
				continue
			}
			ahead += it.cost
			if !inTime {
				l.fair.remove(it)
				q.moveTo(it, levelKey{stage: stageGuaranteed})
				it.level.fair.push(it)
			}
		}
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
