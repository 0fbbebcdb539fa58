package admission

import "slices"

// class is the expected length of a request, taken from its route.
type class int

const (
	short class = iota
	long
	classes
)

// organisation is one flow of the fair queue: its queued requests and its virtual finish time.
type organisation struct {
	name        string
	finish      float64
	running     int
	newlyActive bool // nothing dispatched since the organisation was added to the queue
	waiting     [classes][]*item
	queuedCost  [classes]float64 // expected service time of the queued requests, in seconds
}

func (o *organisation) idle() bool {
	return o.running == 0 && len(o.waiting[short])+len(o.waiting[long]) == 0
}

// fairQueue implements start-time fair queueing over service time, with one flow
// for each organisation. A request is charged its expected service time at dispatch
// and the difference from the actual service time at completion.
type fairQueue struct {
	virtual float64
	orgs    []*organisation // organisations with queued or running requests, or with finish above virtual - credit
	queued  int
	credit  float64 // seconds of unused share that an organisation may save
}

func (f *fairQueue) organisation(name string) *organisation {
	for _, o := range f.orgs {
		if o.name == name {
			return o
		}
	}
	o := &organisation{name: name, finish: f.virtual - f.credit, newlyActive: true}
	f.orgs = append(f.orgs, o)
	return o
}

// push inserts a request into its organisation's queue in order of arrival.
func (f *fairQueue) push(it *item) {
	o := it.org
	items := o.waiting[it.class]
	i := len(items)
	for i > 0 && items[i-1].arrived > it.arrived {
		i--
	}
	o.waiting[it.class] = slices.Insert(items, i, it)
	o.queuedCost[it.class] += it.cost
	f.queued++
}

func (f *fairQueue) remove(it *item) {
	o := it.org
	i := slices.Index(o.waiting[it.class], it)
	o.waiting[it.class] = slices.Delete(o.waiting[it.class], i, i+1)
	o.queuedCost[it.class] -= it.cost
	if len(o.waiting[it.class]) == 0 {
		o.queuedCost[it.class] = 0
	}
	f.queued--
}

// reclassify moves the queued requests of a route to the route's current class.
func (f *fairQueue) reclassify(r *routeStats) {
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

// next returns the queued request with the earliest start tag, or nil when none may
// start. Within an organisation, requests are served in order of arrival; long requests
// are skipped unless longAllowed is set.
func (f *fairQueue) next(longAllowed bool) *item {
	var best *item
	for _, o := range f.orgs {
		it := o.head(longAllowed)
		if it != nil && (best == nil || f.servedBefore(it, best)) {
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

// servedBefore reports whether a is served before b, a request of another organisation.
// The earlier start tag goes first. When the tags are equal, a newly active
// organisation goes first, because with few slots its requests could expire before its
// turn among busy organisations comes. Otherwise the earlier arrival goes first.
func (f *fairQueue) servedBefore(a, b *item) bool {
	if ta, tb := f.startTag(a.org), f.startTag(b.org); ta != tb {
		return ta < tb
	}
	if a.org.newlyActive != b.org.newlyActive {
		return a.org.newlyActive
	}
	return a.arrived < b.arrived
}

// startTag returns the start tag of the next request of o. An organisation that used
// less than its share saves the unused part, up to credit.
func (f *fairQueue) startTag(o *organisation) float64 { return max(f.virtual-f.credit, o.finish) }

// underServedWithoutQueue reports whether o has used less than its share and has no requests
// queued, so that its next request becomes the first in its queue.
func (f *fairQueue) underServedWithoutQueue(o *organisation) bool {
	return o.finish <= f.virtual-f.credit && len(o.waiting[short])+len(o.waiting[long]) == 0
}

// charge adds the expected cost of a dispatched request to its organisation and
// advances virtual time. Virtual time also advances while organisations with credit
// are served, so that a stream of new organisations does not starve the busy ones.
// It advances more slowly than a single busy organisation is charged, so that such
// an organisation uses up its credit.
func (f *fairQueue) charge(it *item) {
	tag := f.startTag(it.org)
	f.virtual = max(tag, f.virtual+it.cost/float64(len(f.orgs)+1))
	it.org.finish = tag + it.cost
	it.org.running++
	it.org.newlyActive = false
}

// correctCharge replaces the expected cost of a finished request with its actual service time.
func (f *fairQueue) correctCharge(it *item, seconds float64) {
	it.org.running--
	it.org.finish += seconds - it.cost
}

// removeIdle removes the organisations that have no queued or running requests and whose
// finish time is at most virtual - credit.
func (f *fairQueue) removeIdle() {
	f.orgs = slices.DeleteFunc(f.orgs, func(o *organisation) bool {
		return o.idle() && o.finish <= f.virtual-f.credit
	})
}

// costAhead returns the queued service time in seconds that would be served before a new
// request of o in class c: that of o itself, and that of the other organisations up
// to the start tag of the new request.
func (f *fairQueue) costAhead(o *organisation, c class, cost float64) float64 {
	start := f.startTag(o) + o.queuedCost[c]
	sum := o.queuedCost[c]
	for _, p := range f.orgs {
		tag := f.startTag(p)
		first := tag < start || tag == start && (p.newlyActive || !o.newlyActive)
		if p != o && first {
			sum += min(p.queuedCost[c], start-tag+cost)
		}
	}
	return sum
}
