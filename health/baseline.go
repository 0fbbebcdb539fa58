package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// The short window follows a change of the whole service within seconds,
	// the long one gives rare routes enough samples. The higher of both counts.
	shortHalfLife = time.Second
	longHalfLife  = 10 * time.Second

	// minSamples is the least work on a route that makes a baseline.
	minSamples = 8
	// The prior keeps a small sample without failures from claiming a rate of zero.
	priorFailures = 0.5
	priorRequests = 5

	// minFailureRate and minSlowRate bound the weight of a single observation.
	minFailureRate = 0.02
	minSlowRate    = 0.05
	// unknownFailureRate is assumed for a route without a baseline: the request may be at fault.
	unknownFailureRate = 0.2
	// slowFactor times the median is slow. It lies between the usual spread of
	// one route and the fivefold latency that must be detected.
	slowFactor = 2.5
)

// tally is decaying work on one route.
type tally struct {
	requests, failures, successes float64
	latency                       [BucketCount]float64
}

func (t *tally) decay(f float64) {
	t.requests *= f
	t.failures *= f
	t.successes *= f
	for i := range t.latency {
		t.latency[i] *= f
	}
}

func (t *tally) addCounters(c RouteCounters) {
	t.requests += float64(c.Requests)
	t.failures += float64(c.Failures)
	for i, n := range c.LatencyBuckets[:min(len(c.LatencyBuckets), BucketCount)] {
		t.latency[i] += float64(n)
		t.successes += float64(n)
	}
}

func (t *tally) addTally(o *tally) {
	t.requests += o.requests
	t.failures += o.failures
	t.successes += o.successes
	for i, n := range o.latency {
		t.latency[i] += n
	}
}

func (t *tally) medianBucket() int {
	seen := 0.0
	for i, n := range t.latency {
		seen += n
		if seen >= t.successes/2 {
			return i
		}
	}
	return BucketCount - 1
}

// above returns the share of successes in buckets above i.
func (t *tally) above(i int) float64 {
	sum := 0.0
	for _, n := range t.latency[min(i+1, BucketCount):] {
		sum += n
	}
	return sum / t.successes
}

// window is the recent work on one route at two time scales.
type window struct{ short, long tally }

func (w *window) add(c RouteCounters) {
	w.short.addCounters(c)
	w.long.addCounters(c)
}

func (w *window) decay(elapsed time.Duration) {
	w.short.decay(math.Exp2(-elapsed.Seconds() / shortHalfLife.Seconds()))
	w.long.decay(math.Exp2(-elapsed.Seconds() / longHalfLife.Seconds()))
}

func (w *window) addWindow(o *window) {
	w.short.addTally(&o.short)
	w.long.addTally(&o.long)
}

// expectation is what the other backend servers of the service show on one route.
type expectation struct {
	failureRate float64
	// slowAbove is the highest bucket that is not slow; slowRate the share above it.
	// A slowRate of 0 means that latency cannot be judged.
	slowAbove int
	slowRate  float64
}

func (e expectation) slow(bucket int) bool { return e.slowRate > 0 && bucket > e.slowAbove }

func (w *window) expectation() expectation {
	e := expectation{failureRate: unknownFailureRate}
	rate := 0.0
	for _, t := range []*tally{&w.short, &w.long} {
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
	for _, t := range []*tally{&w.short, &w.long} {
		if t.successes >= minSamples {
			e.slowRate = max(e.slowRate, t.above(e.slowAbove))
		}
	}
	return e
}

// slowBuckets is slowFactor as a distance in buckets.
var slowBuckets = int(math.Ceil(math.Log2(slowFactor) * bucketsPerOctave))

func sortedRoutes(m map[string]RouteCounters) []RouteCounters {
	routes := make([]RouteCounters, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		routes = append(routes, m[name].clone())
	}
	return routes
}
