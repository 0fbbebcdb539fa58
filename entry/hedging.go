package entry

import (
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/hedge"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/settings"
)

// maxHedgedRoutes bounds the routes whose latencies an entry keeps, to 3.3 MB. A route beyond it is
// hedged by its target latency.
const maxHedgedRoutes = 2048

// maxHedgedServices bounds the services whose refusals an entry keeps; more than the target size has.
const maxHedgedServices = 4096

// hedging holds what an entry has observed for hedging, and its counters.
type hedging struct {
	setting settings.Hedging
	mu      sync.Mutex
	// latencies are the latencies of the routes by key.
	latencies map[string]*hedge.Latencies
	// refusals are the refused attempts by service.
	refusals map[string]*hedge.Refusals
	counts   map[string]int64
}

func newHedging(s settings.Hedging) *hedging {
	return &hedging{
		setting:   s,
		latencies: make(map[string]*hedge.Latencies),
		refusals:  make(map[string]*hedge.Refusals),
		counts:    make(map[string]int64),
	}
}

// delay returns the delay of the second attempt of a route with the given key and target latency.
func (h *hedging) delay(now time.Duration, route string, target time.Duration) (time.Duration, hedge.Basis, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return hedge.Delay(now, h.latencies[route], h.setting.Quantile, target)
}

// recordLatency records the latency of a first attempt of a route.
func (h *hedging) recordLatency(now time.Duration, route string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.latencies[route]
	if l == nil {
		if len(h.latencies) >= maxHedgedRoutes {
			h.removeIdle(now)
		}
		if len(h.latencies) >= maxHedgedRoutes {
			return
		}
		l = &hedge.Latencies{}
		h.latencies[route] = l
	}
	l.Record(now, latency)
}

func (h *hedging) removeIdle(now time.Duration) {
	for route, l := range h.latencies {
		if l.Idle(now) {
			delete(h.latencies, route)
		}
	}
}

// recordEnd records the end of an attempt at a service, with the reason for which it did not run;
// empty when it may have run.
func (h *hedging) recordEnd(now time.Duration, service string, reason hop.Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.refusals[service]
	if r == nil {
		if len(h.refusals) >= maxHedgedServices {
			clear(h.refusals)
		}
		r = &hedge.Refusals{}
		h.refusals[service] = r
	}
	r.Record(now, reason)
}

func (h *hedging) refusedShare(now time.Duration, service string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.refusals[service]; r != nil {
		return r.Share(now)
	}
	return 0
}

// count adds n to the counter of that name.
func (h *hedging) count(name string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name] += n
}

// HedgeCounts returns the counters of hedged requests by name: started, won (answered first), refused
// by reason, and the attempts that were given up because the other one was answered first, with the
// time in milliseconds that they had taken.
func (e *Entry) HedgeCounts() map[string]int64 {
	h := e.hedging
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]int64, len(h.counts))
	for name, n := range h.counts {
		out[name] = n
	}
	return out
}
