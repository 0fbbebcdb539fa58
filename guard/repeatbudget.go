package guard

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/retry"
)

// RepeatBudget is a guard's part of the repeat budget. Repeats are the attempts of requests
// that may already have reached a backend server. With a Share of 0 the guard does not limit
// repeats and leaves that to the entries.
type RepeatBudget struct {
	// Share is the number of repeats allowed per first attempt.
	Share float64
	// Spare returns the number of repeats of a service allowed in addition to Share.
	Spare func(service string) float64
	// Span is the length of the time window to which Share and Spare apply.
	Span time.Duration
}

// repeatBudgets limits the repeats of each service. The guard of each backend server
// holds a part of the budget of the service, because it sees every attempt that arrives
// there. Compared with a part for each entry, this gives fewer and larger parts, and the
// nodes exchange no messages about the budget. When a backend server fails or declines an
// attempt, its guard charges the next attempt of the request to its own part if there is
// room. Otherwise guards of failing backend servers, which receive no repeats, would leave
// their parts unused while the parts of the other guards run out.
type repeatBudgets struct {
	mu       sync.Mutex
	limiters map[string]*retry.WindowLimiter
	// running is the number of attempts in progress at the backend servers of this guard,
	// runningRepeats the number of repeats among them.
	running, runningRepeats atomic.Int32
}

// RunningAttempts returns the number of attempts in progress at the backend servers of this guard,
// and how many of them are repeats. Attempts marked hop.RepeatCall are not counted as
// repeats here.
func (g *Guard) RunningAttempts() (all, repeats int) {
	return int(g.repeatBudgets.running.Load()), int(g.repeatBudgets.runningRepeats.Load())
}

// countRunning counts an attempt as running until ended is called.
func (g *Guard) countRunning(req attemptRequest) (ended func()) {
	repeats := int32(0)
	if req.repeat == hop.RepeatLimited || req.repeat == hop.RepeatGranted {
		repeats = 1
	}
	g.repeatBudgets.running.Add(1)
	g.repeatBudgets.runningRepeats.Add(repeats)
	return func() {
		g.repeatBudgets.running.Add(-1)
		g.repeatBudgets.runningRepeats.Add(-repeats)
	}
}

// hasRepeatBudget reports whether the budget has room for an attempt. It takes nothing
// from the budget, because the attempt may still be refused before it is dispatched.
func (g *Guard) hasRepeatBudget(req attemptRequest) bool {
	if g.config.RepeatBudget.Share == 0 || req.repeat != hop.RepeatLimited {
		return true
	}
	g.repeatBudgets.mu.Lock()
	defer g.repeatBudgets.mu.Unlock()
	return g.limiter(req.service).CanRepeat(g.registry.clock(), g.spareRepeats(req.service))
}

// countDispatch counts an attempt that is about to be dispatched. An attempt that is
// cancelled between the count and its dispatch stays counted. countDispatch returns false when
// the attempt is a repeat that exceeds the budget. Attempts that were refused before
// this call do not count, because several guards may refuse one request before it is
// dispatched.
func (g *Guard) countDispatch(req attemptRequest) bool {
	if g.config.RepeatBudget.Share == 0 {
		return true
	}
	g.repeatBudgets.mu.Lock()
	defer g.repeatBudgets.mu.Unlock()
	now, limiter := g.registry.clock(), g.limiter(req.service)
	switch req.repeat {
	case hop.RepeatNone:
		limiter.RecordFirst(now)
	case hop.RepeatCall:
		limiter.RecordRepeat(now)
	case hop.RepeatLimited:
		return limiter.TryRepeat(now, g.spareRepeats(req.service))
	}
	return true
}

// grantRepeat charges the next attempt of a request that ended here without success to
// the budget of this guard and tells the entry so. If the budget has no room, the guard
// that receives the next attempt decides.
func (g *Guard) grantRepeat(h http.Header, req attemptRequest) {
	if g.config.RepeatBudget.Share == 0 {
		return
	}
	g.repeatBudgets.mu.Lock()
	defer g.repeatBudgets.mu.Unlock()
	if g.limiter(req.service).TryRepeat(g.registry.clock(), g.spareRepeats(req.service)) {
		h.Set(hop.HeaderGrant, "true")
	}
}

// spareRepeats returns this guard's part of the spare repeats of a service. It grows from
// 0 during the first span after the start of the process, because the previous process
// may have used up the part just before.
func (g *Guard) spareRepeats(service string) float64 {
	fraction := min(1, g.registry.clock().Seconds()/g.config.RepeatBudget.Span.Seconds())
	return fraction * g.config.RepeatBudget.Spare(service)
}

// limiter returns the limiter of the repeats of a service. The caller holds
// repeatBudgets.mu.
func (g *Guard) limiter(service string) *retry.WindowLimiter {
	w := g.repeatBudgets.limiters[service]
	if w == nil {
		w = retry.NewWindowLimiter(g.config.RepeatBudget.Span, g.config.RepeatBudget.Share)
		if g.repeatBudgets.limiters == nil {
			g.repeatBudgets.limiters = make(map[string]*retry.WindowLimiter)
		}
		g.repeatBudgets.limiters[service] = w
	}
	return w
}
