package health

import (
	"math"
	"time"
)

const (
	// minLatencies is the number of responses on a route from which its survival function is used.
	// With fewer, a single usual latency would look unusual.
	minLatencies = 16
	// latencyWindow is the number of responses over which the latencies of a route decay. A tail of
	// 3 % contributes about four of them.
	latencyWindow = 128
	// maxLatencyRoutes bounds the routes whose latencies are kept. Requests of further routes give no evidence
	// while they run.
	maxLatencyRoutes = 512
)

// routeLatency is the decayed histogram of the latencies of one route.
type routeLatency struct {
	// responses counts the responses so far, up to latencyWindow.
	responses int
	weight    float64
	// meanLog is the mean of the logarithm of the latencies in seconds.
	meanLog  float64
	buckets  [BucketCount]float64
	lastUsed time.Duration
}

func (r *routeLatency) add(latency time.Duration, weight float64) {
	r.responses = min(r.responses+1, latencyWindow)
	keep := 1 - weight/latencyWindow
	r.weight = r.weight*keep + weight
	r.meanLog += weight / r.weight * (logSeconds(latency) - r.meanLog)
	for i := range r.buckets {
		r.buckets[i] *= keep
	}
	r.buckets[Bucket(latency)] += weight
}

// logSeconds returns the logarithm of a latency in seconds.
func logSeconds(latency time.Duration) float64 { return math.Log(max(latency.Seconds(), 1e-6)) }

// survival returns the share of responses that take at least the bucket of age. The one
// response added on top keeps it above zero while few responses are known.
func (r *routeLatency) survival(age time.Duration) float64 {
	longer := 1.0
	for _, n := range r.buckets[Bucket(age):] {
		longer += n
	}
	return min(1, longer/(r.weight+1))
}

// routeLatencies holds the latencies of the routes at a guard.
type routeLatencies map[string]*routeLatency

// known returns the latencies of a route, or nil if there are too few.
func (l routeLatencies) known(route string) *routeLatency {
	if r := l[route]; r != nil && r.responses >= minLatencies {
		return r
	}
	return nil
}

// add records the latency of a response, or with a weight below 1 that of a run that may belong to them.
func (l routeLatencies) add(now time.Duration, route string, latency time.Duration, weight float64) {
	r := l[route]
	if r == nil {
		l.makeRoom()
		r = &routeLatency{}
		l[route] = r
	}
	r.lastUsed = now
	r.add(latency, weight)
}

// makeRoom drops the route that was unused for the longest time when there are maxLatencyRoutes.
func (l routeLatencies) makeRoom() {
	if len(l) < maxLatencyRoutes {
		return
	}
	oldest := ""
	for name, r := range l {
		o := l[oldest]
		if o == nil || r.lastUsed < o.lastUsed || r.lastUsed == o.lastUsed && name < oldest {
			oldest = name
		}
	}
	delete(l, oldest)
}
