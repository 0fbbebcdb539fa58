package telemetry

import (
	"strconv"
	"sync/atomic"
	"time"
)

// histogramBounds are the upper bounds of the buckets of a latency histogram. Each bound
// is twice the one before. They range from less than the time of one hop to more than the
// longest timeout in use.
var histogramBounds = func() []time.Duration {
	var bounds []time.Duration
	for b := time.Millisecond; b <= 32*time.Second; b *= 2 {
		bounds = append(bounds, b)
	}
	return bounds
}()

// Histogram counts latencies in fixed buckets. It is an expvar.Var and safe for concurrent use.
type Histogram struct {
	// counts has one bucket for each bound, and one for latencies above the last bound.
	counts []atomic.Int64
	// sum is the sum of all latencies in nanoseconds.
	sum atomic.Int64
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: make([]atomic.Int64, len(histogramBounds)+1)}
}

// Observe adds one latency to the histogram.
func (h *Histogram) Observe(d time.Duration) {
	i := 0
	for i < len(histogramBounds) && d > histogramBounds[i] {
		i++
	}
	h.counts[i].Add(1)
	h.sum.Add(int64(d))
}

// String returns the histogram as JSON: for each bound in milliseconds the cumulative
// number of latencies up to it, and the number and the sum of all latencies.
func (h *Histogram) String() string {
	text := []byte("{")
	total := int64(0)
	for i, bound := range histogramBounds {
		total += h.counts[i].Load()
		text = append(text, `"le_`...)
		text = strconv.AppendInt(text, bound.Milliseconds(), 10)
		text = append(text, `_ms":`...)
		text = strconv.AppendInt(text, total, 10)
		text = append(text, ',')
	}
	total += h.counts[len(histogramBounds)].Load()
	text = append(text, `"count":`...)
	text = strconv.AppendInt(text, total, 10)
	text = append(text, `,"sum_ms":`...)
	text = strconv.AppendInt(text, time.Duration(h.sum.Load()).Milliseconds(), 10)
	return string(append(text, '}'))
}
