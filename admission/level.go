package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// decayed is a sum whose terms lose weight exponentially with a time constant.
type decayed struct {
	sum float64
	at  time.Duration
}

func (d *decayed) value(now, constant time.Duration) float64 {
	return d.sum * math.Exp(-(now-d.at).Seconds()/constant.Seconds())
}

func (d *decayed) add(now, constant time.Duration, x float64) {
	d.sum, d.at = d.value(now, constant)+x, now
}

// stage orders the levels before their priorities do.
type stage int

const (
	stageCall stage = iota
	// stageGuaranteed holds the queued requests that use the guaranteed share of their priority
	// or organisation.
	stageGuaranteed
	stageClient
)

// levelKey identifies a level. Guaranteed requests share one level.
type levelKey struct {
	stage    stage
	priority Priority
}

func (k levelKey) compare(o levelKey) int {
	return cmp.Or(cmp.Compare(k.stage, o.stage), k.priority.Compare(o.priority))
}

func levelKeyOf(r Request) levelKey {
	if r.Call {
		return levelKey{stageCall, r.Priority}
	}
	return levelKey{stageClient, r.Priority}
}

const (
	// acceptedTime is the time constant with which the accepted work of a level decays.
	acceptedTime = 2 * time.Second
	// maxIdleLevels is the number of levels without requests that are kept, with the shares that
	// their organisations have used.
	maxIdleLevels = 8
)

// level holds the queued requests of one rank. Within it, organisations share by fair queueing.
type level struct {
	key  levelKey
	fair fairQueue
	// accepted is the expected service time in seconds of the requests that were dispatched or
	// queued here, decayed over acceptedTime.
	accepted [classes]decayed
	lastUsed time.Duration
}

func (l *level) acceptedRate(now time.Duration, c class) float64 {
	return l.accepted[c].value(now, acceptedTime) / acceptedTime.Seconds()
}

func (l *level) queuedCost(c class) float64 {
	sum := 0.0
	for _, o := range l.fair.orgs {
		sum += o.queuedCost[c]
	}
	return sum
}

func (l *level) hasRequests() bool {
	return slices.ContainsFunc(l.fair.orgs, func(o *organisation) bool { return !o.idle() })
}

// levels holds the levels of a queue in the order in which they are served.
type levels []*level

func (ls *levels) get(now time.Duration, key levelKey, credit float64) *level {
	i, found := slices.BinarySearchFunc(*ls, key, func(l *level, k levelKey) int { return l.key.compare(k) })
	if !found {
		*ls = slices.Insert(*ls, i, &level{key: key, fair: fairQueue{credit: credit}})
	}
	l := (*ls)[i]
	l.lastUsed = now
	return l
}

func (ls levels) queued() int {
	n := 0
	for _, l := range ls {
		n += l.fair.queued
	}
	return n
}

func (ls levels) setCredit(credit float64) {
	for _, l := range ls {
		l.fair.credit = credit
	}
}

func (ls levels) reclassify(r *routeStats) {
	for _, l := range ls {
		l.fair.reclassify(r)
	}
}

// removeIdle removes idle organisations and the excess of idle levels.
func (ls *levels) removeIdle() {
	for _, l := range *ls {
		l.fair.removeIdle()
	}
	ls.removeIdleLevels()
}

// removeIdleLevels removes the least recently used levels without requests beyond maxIdleLevels.
func (ls *levels) removeIdleLevels() {
	for {
		idle := 0
		var oldest *level
		for _, l := range *ls {
			if l.hasRequests() {
				continue
			}
			idle++
			if oldest == nil || l.lastUsed < oldest.lastUsed {
				oldest = l
			}
		}
		if idle <= maxIdleLevels {
			return
		}
		*ls = slices.DeleteFunc(*ls, func(l *level) bool { return l == oldest })
	}
}

// hasQueued reports whether requests of the class are queued that a new request at key must not
// overtake.
func (ls levels) hasQueued(key levelKey, c class) bool {
	for _, l := range ls {
		if l.key.compare(key) > 0 {
			break
		}
		for _, o := range l.fair.orgs {
			if len(o.waiting[c]) > 0 {
				return true
			}
		}
	}
	return false
}

// next returns the queued request that is served next, or nil when none may start. Long requests
// are skipped unless longAllowed is set.
func (ls levels) next(longAllowed bool) *item {
	for _, l := range ls {
		if l.fair.queued == 0 {
			continue
		}
		if it := l.fair.next(longAllowed); it != nil {
			return it
		}
	}
	return nil
}

// costAhead returns the queued service time in seconds that is served before a new request of o
// at key, and the rate at which more urgent work has been accepted lately, in slots.
func (ls levels) costAhead(now time.Duration, key levelKey, o *organisation, c class, cost float64) (ahead, urgentRate float64) {
	for _, l := range ls {
		switch order := l.key.compare(key); {
		case order < 0:
			ahead += l.queuedCost(c)
			urgentRate += l.acceptedRate(now, c)
		case order == 0:
			ahead += l.fair.costAhead(o, c, cost)
		}
	}
	return ahead, urgentRate
}

// inOrderOfArrival returns the queued requests of a class.
func (l *level) inOrderOfArrival(c class) []*item {
	var items []*item
	for _, o := range l.fair.orgs {
		items = append(items, o.waiting[c]...)
	}
	slices.SortStableFunc(items, func(a, b *item) int { return cmp.Compare(a.arrived, b.arrived) })
	return items
}
