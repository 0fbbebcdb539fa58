package admission

import (
	"math"
	"time"
)

const (
	// initialService is the assumed service time before any was observed.
	initialService = 20 * time.Millisecond
	// routeSamples is the number of completions over which statistics decay.
	routeSamples = 64
	// meanSamples is the same for the mean service time. It is larger because
	// the queue bound follows the mean, and refusals must come within 50 ms.
	meanSamples = 512
	// longEnter and longLeave are ratios of a route's mean to the usual service
	// time. The gap keeps a route near the bound from changing class all the time.
	longEnter = 5
	longLeave = 3
	// longMinimum is the completions needed to call a route long: one
	// straggler says little about its route.
	longMinimum = 3
	// overdue is the ratio of running time to usual service time that shows a
	// route with too few completions to be long.
	overdue = 20
	// maxRoutes bounds the memory of a queue.
	maxRoutes = 512
)

// routeStats holds decayed service times of one route.
type routeStats struct {
	n       int
	mean    float64 // seconds
	logMean float64 // mean of the logarithm of seconds, the usual latency
	baseN   int     // samples in logMean
	long    bool
	seen    time.Duration
}

// routeTable tells short routes from long ones.
type routeTable struct {
	routes map[string]*routeStats
	n      int
	usual  float64 // mean of the logarithm of seconds, over all completions
}

func newRouteTable() *routeTable {
	return &routeTable{routes: make(map[string]*routeStats), usual: math.Log(initialService.Seconds())}
}

// usualService is the geometric mean of service times, which a small share of
// long work hardly moves.
func (t *routeTable) usualService() float64 { return math.Exp(t.usual) }

func (t *routeTable) get(now time.Duration, route string) *routeStats {
	r := t.routes[route]
	if r == nil {
		t.makeRoom()
		r = &routeStats{mean: t.usualService()}
		t.routes[route] = r
	}
	r.seen = now
	return r
}

func (t *routeTable) makeRoom() {
	if len(t.routes) < maxRoutes {
		return
	}
	oldest := ""
	for name, r := range t.routes {
		o := t.routes[oldest]
		if o == nil || r.seen < o.seen || r.seen == o.seen && name < oldest {
			oldest = name
		}
	}
	delete(t.routes, oldest)
}

// observe records a completion. Usual says whether the usual latency of the
// route follows it.
func (t *routeTable) observe(r *routeStats, seconds float64, usual bool) {
	log := math.Log(max(seconds, 1e-6))
	r.n++
	t.n++
	r.mean += max(1/float64(r.n), 1.0/meanSamples) * (seconds - r.mean)
	if usual || !r.settled() {
		r.baseN++
		r.logMean += weight(r.baseN) * (log - r.logMean)
	}
	t.usual += max(weight(t.n), 1.0/routeSamples) / 4 * (log - t.usual)
	t.classify(r)
}

func (t *routeTable) classify(r *routeStats) {
	ratio := r.mean / t.usualService()
	switch {
	case r.n >= longMinimum && ratio > longEnter:
		r.long = true
	case ratio < longLeave:
		r.long = false
	}
}

// settled reports whether the usual latency rests on enough samples.
func (r *routeStats) settled() bool { return r.baseN >= routeSamples }

// weight is the weight of the n-th sample in a decayed mean.
func weight(n int) float64 { return 1 / float64(min(n, routeSamples)) }
