package guard

import (
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/retry"
)

// Repeats is a guard's part of the budget of repeats; a Share of 0 leaves the limit to entries.
type Repeats struct {
	// Share is the repeats allowed for each request that arrives for the first time.
	Share float64
	// Spare returns the repeats of a service allowed beyond that.
	Spare func(service string) float64
	// Span is the time over which both hold.
	Span time.Duration
}

// repeats limits the attempts that may have reached a backend server before. The guard
// of each backend server holds a part of the budget of its service, because it sees all
// that arrives there: fewer and larger parts than one for each entry, and no messages.
type repeats struct {
	mu      sync.Mutex
	windows map[string]*retry.Window
}

// mayRepeat reports whether the budget has room for an attempt. It takes nothing,
// because the attempt may still be refused before it arrives.
func (g *Guard) mayRepeat(j job) bool {
	if g.config.Repeats.Share == 0 || !j.repeat {
		return true
	}
	g.repeats.mu.Lock()
	defer g.repeats.mu.Unlock()
	return g.window(j.service).Has(g.registry.clock(), g.config.Repeats.Spare(j.service))
}

// countArrival counts an attempt that is about to be dispatched. It returns false when
// that is a repeat beyond the budget. Only what arrives counts: one request may be
// refused by several guards before.
func (g *Guard) countArrival(j job) bool {
	if g.config.Repeats.Share == 0 {
		return true
	}
	g.repeats.mu.Lock()
	defer g.repeats.mu.Unlock()
	now := g.registry.clock()
	window := g.window(j.service)
	if j.repeat {
		return window.Repeat(now, g.config.Repeats.Spare(j.service))
	}
	window.First(now)
	return true
}

// window returns the part of the budget of a service; repeats.mu is held.
func (g *Guard) window(service string) *retry.Window {
	w := g.repeats.windows[service]
	if w == nil {
		w = retry.NewWindow(g.config.Repeats.Span, g.config.Repeats.Share)
		if g.repeats.windows == nil {
			g.repeats.windows = make(map[string]*retry.Window)
		}
		g.repeats.windows[service] = w
	}
	return w
}
