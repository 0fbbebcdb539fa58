// Package hedge decides about hedged requests: when a second attempt of an unanswered request
// starts, whether it may be sent, and how many of them a service may get. It reads no clock: time is
// a parameter, given as the time since an arbitrary start.
package hedge

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of an observed latency halves. Load waves change the
	// latency of a service within minutes, and at a half-life of one minute a route with 0.5
	// requests/s at an entry still has 40 observations.
	halfLife = time.Minute
	// minLatency is the upper bound of the first bucket.
	minLatency = 250 * time.Microsecond
	// bucketsPerDoubling bounds the width of a bucket to 9 %.
	bucketsPerDoubling = 8
	// latencyBuckets reach from minLatency to more than one hour, the longest timeout of a route.
	latencyBuckets = 24*bucketsPerDoubling + 1
	// minAbove is the weight of the observations that must lie above a quantile for it to be used.
	// With fewer, a single slow answer would set the quantile.
	minAbove = 2.0
	// maxWeight is the weight of a new observation at which all weights are scaled down, so that they
	// do not overflow.
	maxWeight = 1 << 20
)

// Latencies holds the latencies of a route as an entry observed them, with a weight that decays by
// half in each halfLife. It takes 1.6 KB and is not safe for concurrent use.
type Latencies struct {
	counts [latencyBuckets]float64
	total  float64
	// start is the time at which a new observation has the weight 1.
	start time.Duration
	// last is the time of the last observation.
	last time.Duration
}

// Record adds the latency of one attempt. An attempt that was cancelled because the other one was
// answered first is recorded with its time until then: it lies above the delay after which the other
// one started, so a quantile used as that delay does not drift.
func (l *Latencies) Record(now, latency time.Duration) {
	weight := l.weight(now)
	if weight > maxWeight {
		l.total /= weight
		for i := range l.counts {
			l.counts[i] /= weight
		}
		l.start, weight = now, 1
	}
	l.counts[bucketOf(latency)] += weight
	l.total += weight
	l.last = now
}

// Quantile returns the q-quantile, with q between 0 and 1, and false when there are too few
// observations above it.
func (l *Latencies) Quantile(now time.Duration, q float64) (time.Duration, bool) {
	if l.total*(1-q) < minAbove*l.weight(now) {
		return 0, false
	}
	rank := q * l.total
	for i, count := range l.counts {
		if rank <= count && count > 0 {
			return bucketBound(float64(i) - 1 + rank/count), true
		}
		rank -= count
	}
	return bucketBound(latencyBuckets), true
}

// Idle reports whether no latency was recorded for so long that the observations no longer count.
func (l *Latencies) Idle(now time.Duration) bool { return now-l.last > 10*halfLife }

// weight returns the weight of an observation made now.
func (l *Latencies) weight(now time.Duration) float64 {
	return math.Exp2((now - l.start).Seconds() / halfLife.Seconds())
}

func bucketOf(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(latency)/float64(minLatency))))
	return min(i, latencyBuckets-1)
}

// bucketBound returns the upper bound of bucket i; a fraction lies between two bounds.
func bucketBound(i float64) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(i/bucketsPerDoubling))
}
