package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// The counts with the short half-life follow a change of the whole service within
	// seconds; those with the long half-life give rare routes enough samples. The higher
	// of the two rates is the baseline.
	shortHalfLife = time.Second
	longHalfLife  = 10 * time.Second

	// minSamples is the smallest number of requests on a route from which a baseline is computed.
	minSamples = 8
	// The prior keeps the estimated failure rate of a small sample without failures above zero.
	priorFailures = 0.5
	priorRequests = 5

	// minFailureRate and minSlowRate are lower bounds of the expected rates. They limit the
	// evidence that a single failed or slow request adds.
	minFailureRate = 0.02
	minSlowRate    = 0.05
	// unknownFailureRate is the failure rate expected on a route without a baseline. It is
	// high, so that a failure there adds little evidence: without other backend servers to
	// compare with, the request itself may have caused it.
	unknownFailureRate = 0.2
	// slowFactor is the multiple of the median latency above which a request is slow. It
	// lies between the usual spread of one route and the fivefold latency that must be detected.
	slowFactor = 2.5
)

// decayingCounts holds the request counts and latency histogram of one route. They decay exponentially.
type decayingCounts struct {
	requests, failures, successes float64
	latency                       [BucketCount]float64
}

func (d *decayingCounts) decay(f float64) {
	d.requests *= f
	d.failures *= f
	d.successes *= f
	for i := range d.latency {
		d.latency[i] *= f
	}
}

func (d *decayingCounts) addCounters(c RouteCounters) {
	d.requests += float64(c.Requests)
	d.failures += float64(c.Failures)
	for i, n := range c.LatencyBuckets[:min(len(c.LatencyBuckets), BucketCount)] {
		d.latency[i] += float64(n)
		d.successes += float64(n)
	}
}

func (d *decayingCounts) addCounts(o *decayingCounts) {
	d.requests += o.requests
	d.failures += o.failures
	d.successes += o.successes
	for i, n := range o.latency {
		d.latency[i] += n
	}
}

func (d *decayingCounts) medianBucket() int {
	seen := 0.0
	for i, n := range d.latency {
		seen += n
		if seen >= d.successes/2 {
			return i
		}
	}
	return BucketCount - 1
}

// shareAbove returns the share of successes in buckets above i.
func (d *decayingCounts) shareAbove(i int) float64 {
	sum := 0.0
	for _, n := range d.latency[min(i+1, BucketCount):] {
		sum += n
	}
	return sum / d.successes
}

// recentCounts holds the recent requests on one route at two time scales.
type recentCounts struct{ short, long decayingCounts }

func (r *recentCounts) add(c RouteCounters) {
	r.short.addCounters(c)
	r.long.addCounters(c)
}

func (r *recentCounts) decay(elapsed time.Duration) {
	r.short.decay(math.Exp2(-elapsed.Seconds() / shortHalfLife.Seconds()))
	r.long.decay(math.Exp2(-elapsed.Seconds() / longHalfLife.Seconds()))
}

func (r *recentCounts) addRecentCounts(o *recentCounts) {
	r.short.addCounts(&o.short)
	r.long.addCounts(&o.long)
}

// routeBaseline is the baseline of one route, computed from the other backend servers of the
// service.
type routeBaseline struct {
	failureRate float64
	// slowAbove is the highest latency bucket that is not slow; slowRate is the share of
	// successes above it. A slowRate of 0 means that there are too few samples to judge latency.
	slowAbove int
	slowRate  float64
}

func (e routeBaseline) slow(bucket int) bool { return e.slowRate > 0 && bucket > e.slowAbove }

func (r *recentCounts) baseline() routeBaseline {
	e := routeBaseline{failureRate: unknownFailureRate}
	rate := 0.0
	for _, counts := range []*decayingCounts{&r.short, &r.long} {
		if counts.requests >= minSamples {
			rate = max(rate, (counts.failures+priorFailures)/(counts.requests+priorRequests))
			e.failureRate = max(rate, minFailureRate)
		}
		if counts.successes >= minSamples {
			e.slowAbove = max(e.slowAbove, counts.medianBucket()+slowBuckets)
		}
	}
	if e.slowAbove == 0 {
		return e
	}
	e.slowRate = minSlowRate
	for _, counts := range []*decayingCounts{&r.short, &r.long} {
		if counts.successes >= minSamples {
			e.slowRate = max(e.slowRate, counts.shareAbove(e.slowAbove))
		}
	}
	return e
}

// slowBuckets is slowFactor expressed as a number of buckets.
var slowBuckets = int(math.Ceil(math.Log2(slowFactor) * bucketsPerOctave))

func sortedRoutes(m map[string]RouteCounters) []RouteCounters {
	routes := make([]RouteCounters, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		routes = append(routes, m[name].clone())
	}
	return routes
}
