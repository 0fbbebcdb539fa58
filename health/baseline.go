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
	// unknownFailureRate is the rate assumed for a route without a baseline, where a
	// failure may be the fault of the request.
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

func (t *decayingCounts) decay(f float64) {
	t.requests *= f
	t.failures *= f
	t.successes *= f
	for i := range t.latency {
		t.latency[i] *= f
	}
}

func (t *decayingCounts) addCounters(c RouteCounters) {
	t.requests += float64(c.Requests)
	t.failures += float64(c.Failures)
	for i, n := range c.LatencyBuckets[:min(len(c.LatencyBuckets), BucketCount)] {
		t.latency[i] += float64(n)
		t.successes += float64(n)
	}
}

func (t *decayingCounts) addCounts(o *decayingCounts) {
	t.requests += o.requests
	t.failures += o.failures
	t.successes += o.successes
	for i, n := range o.latency {
		t.latency[i] += n
	}
}

func (t *decayingCounts) medianBucket() int {
	seen := 0.0
	for i, n := range t.latency {
		seen += n
		if seen >= t.successes/2 {
			return i
		}
	}
	return BucketCount - 1
}

// shareAbove returns the share of successes in buckets above i.
func (t *decayingCounts) shareAbove(i int) float64 {
	sum := 0.0
	for _, n := range t.latency[min(i+1, BucketCount):] {
		sum += n
	}
	return sum / t.successes
}

// recentCounts holds the recent requests on one route at two time scales.
type recentCounts struct{ short, long decayingCounts }

func (w *recentCounts) add(c RouteCounters) {
	w.short.addCounters(c)
	w.long.addCounters(c)
}

func (w *recentCounts) decay(elapsed time.Duration) {
	w.short.decay(math.Exp2(-elapsed.Seconds() / shortHalfLife.Seconds()))
	w.long.decay(math.Exp2(-elapsed.Seconds() / longHalfLife.Seconds()))
}

func (w *recentCounts) addRecentCounts(o *recentCounts) {
	w.short.addCounts(&o.short)
	w.long.addCounts(&o.long)
}

// expectation is the baseline of one route, computed from the other backend servers of the service.
type expectation struct {
	failureRate float64
	// slowAbove is the highest latency bucket that is not slow; slowRate is the share of
	// successes above it. A slowRate of 0 means that there are too few samples to judge latency.
	slowAbove int
	slowRate  float64
}

func (e expectation) slow(bucket int) bool { return e.slowRate > 0 && bucket > e.slowAbove }

func (w *recentCounts) expectation() expectation {
	e := expectation{failureRate: unknownFailureRate}
	rate := 0.0
	for _, t := range []*decayingCounts{&w.short, &w.long} {
		if t.requests >= minSamples {
			rate = max(rate, (t.failures+priorFailures)/(t.requests+priorRequests))
			e.failureRate = max(rate, minFailureRate)
		}
		if t.successes >= minSamples {
			e.slowAbove = max(e.slowAbove, t.medianBucket()+slowBuckets)
		}
	}
	if e.slowAbove == 0 {
		return e
	}
	e.slowRate = minSlowRate
	for _, t := range []*decayingCounts{&w.short, &w.long} {
		if t.successes >= minSamples {
			e.slowRate = max(e.slowRate, t.shareAbove(e.slowAbove))
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
