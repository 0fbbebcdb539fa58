package guard

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/retry"
)

// RepeatBudget is a guard's part of the budget of repeats; a Share of 0 leaves the limit to entries.
type RepeatBudget struct {
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
// A guard whose backend server failed or declined work pays for the next attempt from
// its own part where it can. The parts of failing backend servers, which no repeat
// reaches, would otherwise stay unused while those of the others run out.
type repeats struct {
	mu      sync.Mutex
	windows map[string]*retry.WindowLimiter
	// running is the work at the backend servers of this guard, repeating that of repeats.
	running, repeating atomic.Int32
}

// Running returns the work that runs at the backend servers of this guard, and how much
// of it repeats. What repeated work calls counts as repeated too.
func (g *Guard) Running() (all, repeats int) {
	return int(g.repeats.running.Load()), int(g.repeats.repeating.Load())
}

// started counts an attempt as running until ended is called.
func (g *Guard) started(j job) (ended func()) {
	repeats := int32(0)
	if j.repeat == hop.RepeatLimited || j.repeat == hop.RepeatGranted {
		repeats = 1
	}
	g.repeats.running.Add(1)
	g.repeats.repeating.Add(repeats)
	return func() {
		g.repeats.running.Add(-1)
		g.repeats.repeating.Add(-repeats)
	}
}

// mayRepeat reports whether the budget has room for an attempt. It takes nothing,
// because the attempt may still be refused before it arrives.
func (g *Guard) mayRepeat(j job) bool {
	if g.config.RepeatBudget.Share == 0 || j.repeat != hop.RepeatLimited {
		return true
	}
	g.repeats.mu.Lock()
	defer g.repeats.mu.Unlock()
	return g.window(j.service).CanRepeat(g.registry.clock(), g.spare(j.service))
}

// countArrival counts an attempt that is about to be dispatched. It returns false when
// that is a repeat beyond the budget. Only what arrives counts: one request may be
// refused by several guards before.
func (g *Guard) countArrival(j job) bool {
	if g.config.RepeatBudget.Share == 0 {
		return true
	}
	g.repeats.mu.Lock()
	defer g.repeats.mu.Unlock()
	now, window := g.registry.clock(), g.window(j.service)
	switch j.repeat {
	case hop.RepeatNone:
		window.RecordFirst(now)
	case hop.RepeatCall:
		window.RecordRepeat(now)
	case hop.RepeatLimited:
		return window.TryRepeat(now, g.spare(j.service))
	}
	return true
}

// grant counts the next attempt of work that ended here without success, and tells the
// entry so. Without room the guard that receives the next attempt decides.
func (g *Guard) grant(h http.Header, j job) {
	if g.config.RepeatBudget.Share == 0 {
		return
	}
	g.repeats.mu.Lock()
	defer g.repeats.mu.Unlock()
	if g.window(j.service).TryRepeat(g.registry.clock(), g.spare(j.service)) {
		h.Set(hop.HeaderGrant, "true")
	}
}

// spare is this guard's part of the spare repeats. It grows over the first span of the
// process, because the process before it may have used up the part a moment ago.
func (g *Guard) spare(service string) float64 {
	grown := min(1, g.registry.clock().Seconds()/g.config.RepeatBudget.Span.Seconds())
	return grown * g.config.RepeatBudget.Spare(service)
}

// window returns the part of the budget of a service; repeats.mu is held.
func (g *Guard) window(service string) *retry.WindowLimiter {
	w := g.repeats.windows[service]
	if w == nil {
		w = retry.NewWindowLimiter(g.config.RepeatBudget.Span, g.config.RepeatBudget.Share)
		if g.repeats.windows == nil {
			g.repeats.windows = make(map[string]*retry.WindowLimiter)
		}
		g.repeats.windows[service] = w
	}
	return w
}
