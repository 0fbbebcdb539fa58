package admission

import (
	"slices"
	"time"
)

// class tells short work from long work.
type class int

const (
	short class = iota
	long
	classes
)

// item is one queued or running request.
type item struct {
	Request
	org     *organisation
	stats   *routeStats
	class   class
	arrived time.Duration
	// useful is the last start in time for the deadline, and expires the last
	// start within the bound of the queue also.
	useful, expires time.Duration
	// bound is the longest expected wait at which it is queued.
	bound   time.Duration
	started time.Duration
	// cost is the expected service time in seconds, charged at dispatch.
	cost    float64
	running bool
	full    bool // the limit was in full use at dispatch
	busy    bool // at least half of the slots were in use at dispatch
}

// organisation has its queued work and its virtual finish time.
type organisation struct {
	name    string
	finish  float64
	running int
	fresh   bool // not served since it was last idle without charge
	waiting [classes][]*item
	work    [classes]float64 // seconds queued
}

func (o *organisation) idle() bool {
	return o.running == 0 && len(o.waiting[short])+len(o.waiting[long]) == 0
}

// fairQueue is start-time fair queueing over service time, one flow for each
// organisation. Work is charged its expected service time at dispatch, and
// the difference to the actual one at completion.
type fairQueue struct {
	virtual float64
	orgs    []*organisation // organisations with work or with time still charged
	queued  int
	credit  float64 // seconds of unused share that an organisation keeps
}

func (f *fairQueue) organisation(name string) *organisation {
	for _, o := range f.orgs {
		if o.name == name {
			return o
		}
	}
	o := &organisation{name: name, finish: f.virtual - f.credit, fresh: true}
	f.orgs = append(f.orgs, o)
	return o
}

// push queues it in order of arrival.
func (f *fairQueue) push(it *item) {
	o := it.org
	items := o.waiting[it.class]
	i := len(items)
	for i > 0 && items[i-1].arrived > it.arrived {
		i--
	}
	o.waiting[it.class] = slices.Insert(items, i, it)
	o.work[it.class] += it.cost
	f.queued++
}

func (f *fairQueue) remove(it *item) {
	o := it.org
	i := slices.Index(o.waiting[it.class], it)
	o.waiting[it.class] = slices.Delete(o.waiting[it.class], i, i+1)
	o.work[it.class] -= it.cost
	if len(o.waiting[it.class]) == 0 {
		o.work[it.class] = 0
	}
	f.queued--
}

// reclass moves the queued work of a route to the present class of the route.
func (f *fairQueue) reclass(r *routeStats) {
	to := short
	if r.long {
		to = long
	}
	for _, o := range f.orgs {
		for _, it := range slices.Clone(o.waiting[1-to]) {
			if it.stats == r {
				f.remove(it)
				it.class = to
				f.push(it)
			}
		}
	}
}

// next returns the queued work with the earliest start tag, or nil. Within an
// organisation the work of both classes goes in order of arrival.
func (f *fairQueue) next(longAllowed bool) *item {
	var best *item
	for _, o := range f.orgs {
		it := o.head(longAllowed)
		if it != nil && (best == nil || f.before(it, best)) {
			best = it
		}
	}
	return best
}

func (o *organisation) head(longAllowed bool) *item {
	var first *item
	if len(o.waiting[short]) > 0 {
		first = o.waiting[short][0]
	}
	if !longAllowed || len(o.waiting[long]) == 0 {
		return first
	}
	if l := o.waiting[long][0]; first == nil || l.arrived < first.arrived {
		return l
	}
	return first
}

// before orders work of two organisations by start tag. Of equal ones, a fresh
// organisation goes first, because with few slots its turn among busy ones can
// come later than its work expires. Then arrival decides.
func (f *fairQueue) before(a, b *item) bool {
	if ta, tb := f.tag(a.org), f.tag(b.org); ta != tb {
		return ta < tb
	}
	if a.org.fresh != b.org.fresh {
		return a.org.fresh
	}
	return a.arrived < b.arrived
}

// tag is the start tag of the next work of o. An organisation that used less
// than its share keeps up to credit of it.
func (f *fairQueue) tag(o *organisation) float64 { return max(f.virtual-f.credit, o.finish) }

// owed reports whether o has used less than its share and has no work queued.
func (f *fairQueue) owed(o *organisation) bool {
	return o.finish <= f.virtual-f.credit && len(o.waiting[short])+len(o.waiting[long]) == 0
}

// charge accounts the dispatch of it. Virtual time also advances while
// organisations with credit are served, so that a stream of new organisations
// does not starve the busy ones; but more slowly than a single busy
// organisation is charged, so that it does not keep its credit.
func (f *fairQueue) charge(it *item) {
	tag := f.tag(it.org)
	f.virtual = max(tag, f.virtual+it.cost/float64(len(f.orgs)+1))
	it.org.finish = tag + it.cost
	it.org.running++
	it.org.fresh = false
}

// settle replaces the expected cost of finished work by the actual one.
func (f *fairQueue) settle(it *item, seconds float64) {
	it.org.running--
	it.org.finish += seconds - it.cost
}

// forget drops organisations without work or charge.
func (f *fairQueue) forget() {
	f.orgs = slices.DeleteFunc(f.orgs, func(o *organisation) bool {
		return o.idle() && o.finish <= f.virtual-f.credit
	})
}

// ahead is the queued work in seconds that would be served before new work of
// o: its own, and that of the others up to the start tag of the new work.
func (f *fairQueue) ahead(o *organisation, c class, cost float64) float64 {
	start := f.tag(o) + o.work[c]
	sum := o.work[c]
	for _, p := range f.orgs {
		tag := f.tag(p)
		first := tag < start || tag == start && (p.fresh || !o.fresh)
		if p != o && first {
			sum += min(p.work[c], start-tag+cost)
		}
	}
	return sum
}
