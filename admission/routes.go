package admission

import (
	"math"
	"time"
)

const (
	// initialService is the service time assumed before any completion is observed.
	initialService = 20 * time.Millisecond
	// routeSamples is the number of completions over which the statistics decay.
	routeSamples = 64
	// meanSamples is the number of completions over which the mean service time decays.
	// It is larger than routeSamples because the bound on the wait in the queue follows
	// the mean, and refusals must come within 50 ms.
	meanSamples = 512
	// A route becomes long when the ratio of its mean to the typical service time
	// rises above longEnter, and short when it falls below longLeave. The gap keeps a
	// route near one threshold from changing its class all the time.
	longEnter = 5
	longLeave = 3
	// longMinimum is the number of completions needed to class a route as long,
	// because one slow request says little about its route.
	longMinimum = 3
	// overdueRatio is the ratio of a request's running time to the typical service time
	// above which a route with fewer than longMinimum completions counts as long.
	overdueRatio = 20
	// maxRoutes bounds the number of routes that a queue keeps statistics of.
	maxRoutes = 512
)

// routeStats holds the decayed service times of one route.
type routeStats struct {
	completions     int
	mean            float64 // seconds
	baselineLog     float64 // mean of the logarithm of seconds: the baseline latency
	baselineSamples int     // samples in the baseline
	long            bool
	lastUsed        time.Duration
}

// routeTable holds the service times of routes and classes each route as short or long.
type routeTable struct {
	routes      map[string]*routeStats
	completions int
	typicalLog  float64 // decayed mean of the logarithm of seconds, over the completions of all routes
}

func newRouteTable() *routeTable {
	return &routeTable{routes: make(map[string]*routeStats), typicalLog: math.Log(initialService.Seconds())}
}

// typicalService returns the typical service time in seconds: the geometric mean over
// all routes, which a small share of long requests hardly moves.
func (t *routeTable) typicalService() float64 { return math.Exp(t.typicalLog) }

func (t *routeTable) get(now time.Duration, route string) *routeStats {
	r := t.routes[route]
	if r == nil {
		t.makeRoom()
		r = &routeStats{mean: t.typicalService()}
		t.routes[route] = r
	}
	r.lastUsed = now
	return r
}

func (t *routeTable) makeRoom() {
	if len(t.routes) < maxRoutes {
		return
	}
	oldest := ""
	for name, r := range t.routes {
		o := t.routes[oldest]
		if o == nil || r.lastUsed < o.lastUsed || r.lastUsed == o.lastUsed && name < oldest {
			oldest = name
		}
	}
	delete(t.routes, oldest)
}

// observe records a completion. It counts towards the baseline latency of the route if
// baseline is set or the baseline still has too few samples.
func (t *routeTable) observe(r *routeStats, seconds float64, baseline bool) {
	log := math.Log(max(seconds, 1e-6))
	r.completions++
	t.completions++
	r.mean += max(1/float64(r.completions), 1.0/meanSamples) * (seconds - r.mean)
	if baseline || !r.hasBaseline() {
		r.baselineSamples++
		r.baselineLog += weight(r.baselineSamples) * (log - r.baselineLog)
	}
	t.typicalLog += max(weight(t.completions), 1.0/routeSamples) / 4 * (log - t.typicalLog)
	t.classify(r)
}

func (t *routeTable) classify(r *routeStats) {
	ratio := r.mean / t.typicalService()
	switch {
	case r.completions >= longMinimum && ratio > longEnter:
		r.long = true
	case ratio < longLeave:
		r.long = false
	}
}

// hasBaseline reports whether the baseline latency rests on enough samples.
func (r *routeStats) hasBaseline() bool { return r.baselineSamples >= routeSamples }

// weight returns the weight of the n-th sample in a decayed mean.
func weight(n int) float64 { return 1 / float64(min(n, routeSamples)) }
