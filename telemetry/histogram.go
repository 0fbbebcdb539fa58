package telemetry

import (
	"strconv"
	"sync/atomic"
	"time"
)

// histogramBounds are the upper bounds of the buckets of a latency histogram. They double,
// from below the time of one hop to above the longest timeouts in use.
var histogramBounds = func() []time.Duration {
	var bounds []time.Duration
	for b := time.Millisecond; b <= 32*time.Second; b *= 2 {
		bounds = append(bounds, b)
	}
	return bounds
}()

// Histogram counts latencies in fixed buckets. It is an expvar.Var and safe for concurrent use.
type Histogram struct {
	// counts has one more bucket than there are bounds, for everything above.
	counts []atomic.Int64
	sum    atomic.Int64
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: make([]atomic.Int64, len(histogramBounds)+1)}
}

// Observe counts one latency.
func (h *Histogram) Observe(d time.Duration) {
	i := 0
	for i < len(histogramBounds) && d > histogramBounds[i] {
		i++
	}
	h.counts[i].Add(1)
	h.sum.Add(int64(d))
}

// String returns the histogram as JSON: the number of latencies up to each bound in
// milliseconds, cumulated, and the count and sum of all.
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
