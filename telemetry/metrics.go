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

// CountRequest adds one request to the counters of a hop, by outcome and reason.
// An empty outcome stands for a reply that was broken off before its header.
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

// Add adds delta to a counter.
func (m *Metrics) Add(name string, delta int64) { m.root.Add(name, delta) }

// Value returns the current value of a metric as JSON; it is empty when there is none.
func (m *Metrics) Value(name string) string {
	if v := m.root.Get(name); v != nil {
		return v.String()
	}
	return ""
}

// Publish shows the current value of f under name.
func (m *Metrics) Publish(name string, f func() any) { m.root.Set(name, expvar.Func(f)) }

// Handler serves the metrics and the runtime's own variables as JSON.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		memstats := expvar.Get("memstats").String()
		_, _ = w.Write([]byte(`{"jackdawlane":` + m.root.String() + `,"memstats":` + memstats + `}`))
	})
}
