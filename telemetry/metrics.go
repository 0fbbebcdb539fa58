package telemetry

import (
	"expvar"
	"net/http"
)

// Metrics holds the counters of one node. Each node has its own, so that
// several nodes can run in one test process.
type Metrics struct {
	root expvar.Map
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	m := &Metrics{}
	m.root.Init()
	return m
}

// CountRequest adds one request to the counter for an outcome and a reason at a hop.
// An empty outcome means that the response has no outcome header or was aborted before its
// header was written.
func (m *Metrics) CountRequest(hopName, outcome, reason string) {
	name := hopName + "." + outcome
	if outcome == "" {
		name = hopName + ".aborted"
	}
	if reason != "" {
		name += "." + reason
	}
	m.root.Add(name, 1)
}

// Add adds delta to the counter called name.
func (m *Metrics) Add(name string, delta int64) { m.root.Add(name, delta) }

// Value returns the current value of a metric as JSON, or an empty string if there is no
// such metric.
func (m *Metrics) Value(name string) string {
	if v := m.root.Get(name); v != nil {
		return v.String()
	}
	return ""
}

// Publish adds a metric called name, whose value is the result of f at each read.
func (m *Metrics) Publish(name string, f func() any) { m.root.Set(name, expvar.Func(f)) }

// Handler serves the metrics and the memory statistics of the Go runtime as JSON.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		memstats := expvar.Get("memstats").String()
		_, _ = w.Write([]byte(`{"jackdawlane":` + m.root.String() + `,"memstats":` + memstats + `}`))
	})
}
