package health

import (
	"math"
	"slices"
	"time"
)

// BucketCount is the number of latency buckets. Bucket i holds latencies below
// 250 µs * 2^((i+1)/4); the last bucket (up to about 65 s) also holds everything longer.
const BucketCount = 72

const (
	firstBucketLimit = 250 * time.Microsecond
	bucketsPerOctave = 4
)

// Bucket returns the index of the bucket that holds a latency.
func Bucket(latency time.Duration) int {
	if latency <= firstBucketLimit {
		return 0
	}
	i := int(math.Log2(float64(latency)/float64(firstBucketLimit)) * bucketsPerOctave)
	return min(i, BucketCount-1)
}

// RouteCounters counts the requests on one route. It mirrors the protobuf message RouteCounters.
type RouteCounters struct {
	Route    string
	Requests uint64
	Failures uint64
	// LatencyBuckets counts successful requests by latency bucket; trailing zeros are omitted.
	LatencyBuckets []uint32
}

// BackendCounters holds the counters of one backend server since its guard started.
type BackendCounters struct {
	BackendID string
	Routes    []RouteCounters
}

func (c RouteCounters) clone() RouteCounters {
	c.LatencyBuckets = slices.Clone(c.LatencyBuckets)
	return c
}

func (c *RouteCounters) count(result Result, latency time.Duration) {
	c.Requests++
	if result == Failed {
		c.Failures++
		return
	}
	i := Bucket(latency)
	c.grow(i + 1)
	c.LatencyBuckets[i]++
}

func (c *RouteCounters) grow(n int) {
	if n <= len(c.LatencyBuckets) {
		return
	}
	wider := make([]uint32, n)
	copy(wider, c.LatencyBuckets)
	c.LatencyBuckets = wider
}

func (c *RouteCounters) add(d RouteCounters) {
	c.Requests += d.Requests
	c.Failures += d.Failures
	c.grow(len(d.LatencyBuckets))
	for i, n := range d.LatencyBuckets {
		c.LatencyBuckets[i] += n
	}
}

// since returns the difference between c and an earlier state of the same counters. If
// the counters have been reset in between, it returns c.
func (c RouteCounters) since(before RouteCounters) RouteCounters {
	if before.Requests > c.Requests {
		return c.clone()
	}
	d := c.clone()
	d.Requests -= before.Requests
	d.Failures -= min(d.Failures, before.Failures)
	for i := range min(len(d.LatencyBuckets), len(before.LatencyBuckets)) {
		d.LatencyBuckets[i] -= min(d.LatencyBuckets[i], before.LatencyBuckets[i])
	}
	return d
}
