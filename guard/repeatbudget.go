package guard

import (
	"math"
	"net/http"
	"sync"
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
	running  runningAttempts
	// callingRoutes are the routes whose work is known to make calls.
	callingRoutes map[string]bool
	// pausedUntil is the end of the pause that PauseRepeats started.
	pausedUntil time.Duration
}

const (
	// repeatPause is how long a guard takes no repeats after a call of one was refused.
	repeatPause = time.Second
	// maxCallingRoutes bounds the routes that are known to make calls.
	maxCallingRoutes = 4096
)

// CallStarted records that a backend server of this guard may have made a call. If work of a
// single route is running, that route makes calls.
func (g *Guard) CallStarted() {
	route, single := g.repeatBudgets.running.singleRoute()
	if !single {
		return
	}
	g.repeatBudgets.mu.Lock()
	defer g.repeatBudgets.mu.Unlock()
	if len(g.repeatBudgets.callingRoutes) >= maxCallingRoutes {
		g.repeatBudgets.callingRoutes = nil
	}
	if g.repeatBudgets.callingRoutes == nil {
		g.repeatBudgets.callingRoutes = make(map[string]bool)
	}
	g.repeatBudgets.callingRoutes[route] = true
}

// PauseRepeats makes the guard refuse repeats of the routes that make calls for repeatPause. It is
// called when the budget of a called service had no room for a call of a repeat: further
// repeats would fail in the same way, after they had begun.
func (g *Guard) PauseRepeats() {
	g.repeatBudgets.mu.Lock()
	defer g.repeatBudgets.mu.Unlock()
	g.repeatBudgets.pausedUntil = g.registry.clock() + repeatPause
}

// callReserve is the share by which the calls of repeats may exceed the budget. Refusing such
// a call makes work fail that has begun.
const callReserve = 0.1

// idleTime is the time constant of the share of time without running attempts.
const idleTime = 5 * time.Second

// runningAttempts counts the attempts in progress at the backend servers of a guard.
type runningAttempts struct {
	mu           sync.Mutex
	all, repeats int
	// routes counts the attempts by route.
	routes map[string]int
	// idleShare is the decayed share of time in which none was in progress, as of updatedAt.
	idleShare float64
	updatedAt time.Duration
}

// update brings the idle share up to date.
func (r *runningAttempts) update(now time.Duration) {
	idle := 0.0
	if r.all == 0 {
		idle = 1
	}
	keep := math.Exp(-(now - r.updatedAt).Seconds() / idleTime.Seconds())
	r.idleShare = idle + (r.idleShare-idle)*keep
	r.updatedAt = now
}

// add adds n attempts of a route, of which so many are repeats.
func (r *runningAttempts) add(now time.Duration, route string, n, repeats int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.update(now)
	r.all += n
	r.repeats += repeats
	if r.routes == nil {
		r.routes = make(map[string]int)
	}
	if r.routes[route] += n; r.routes[route] == 0 {
		delete(r.routes, route)
	}
}

// singleRoute returns the route of all attempts in progress, and false if there is none or
// more than one.
func (r *runningAttempts) singleRoute() (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for route := range r.routes {
		return route, len(r.routes) == 1
	}
	return "", false
}

// Running returns the attempts in progress at the backend servers of this guard. Attempts
// marked hop.RepeatCall are not counted as repeats here.
func (g *Guard) Running() retry.Running {
	r := &g.repeatBudgets.running
	r.mu.Lock()
	defer r.mu.Unlock()
	r.update(g.registry.clock())
	return retry.Running{All: r.all, Repeats: r.repeats, IdleShare: r.idleShare}
}

// countRunning counts an attempt as running until ended is called.
func (g *Guard) countRunning(req attemptRequest) (ended func()) {
	repeats := 0
	if isRepeat(req.repeat) {
		repeats = 1
	}
	running := &g.repeatBudgets.running
	running.add(g.registry.clock(), req.route, 1, repeats)
	return func() { running.add(g.registry.clock(), req.route, -1, -repeats) }
}

// isRepeat reports whether an attempt belongs to a request that may have reached a backend server
// before.
func isRepeat(r hop.Repeat) bool {
	return r == hop.RepeatLimited || r == hop.RepeatGranted || r == hop.RepeatHedge
}

// budgetRepeat returns how the attempt draws on the budget, and false when it does not do so here.
func budgetRepeat(req attemptRequest) (r retry.Repeat, limited bool) {
	switch req.repeat {
	case hop.RepeatLimited:
		return retry.Repeat{Call: req.call}, true
	case hop.RepeatHedge:
		// The part that is kept for calls saves them from failing, which a hedge is not needed for.
		return retry.Repeat{}, true
	case hop.RepeatCall:
		return retry.Repeat{Call: true, Reserve: callReserve}, true
	}
	return retry.Repeat{}, false
}

// hasRepeatBudget reports whether the budget has room for an attempt, and records a call as seen. It
// takes nothing from the budget, because the attempt may still be refused before it is dispatched.
func (g *Guard) hasRepeatBudget(req attemptRequest) bool {
	if g.config.RepeatBudget.Share == 0 {
		return true
	}
	g.repeatBudgets.mu.Lock()
	defer g.repeatBudgets.mu.Unlock()
	if req.call {
		g.limiter(req.service).RecordCall(g.registry.clock())
	}
	if g.repeatPaused(req) {
		return false
	}
	repeat, limited := budgetRepeat(req)
	return !limited || g.limiter(req.service).CanRepeat(g.registry.clock(), g.spareRepeats(req.service), repeat)
}

// repeatPaused reports whether the attempt is refused because of PauseRepeats. The caller holds
// repeatBudgets.mu.
func (g *Guard) repeatPaused(req attemptRequest) bool {
	return isRepeat(req.repeat) && g.repeatBudgets.callingRoutes[req.route] && g.registry.clock() < g.repeatBudgets.pausedUntil
}

// countAttempt counts an attempt that is about to be dispatched and returns the reason why it must not
// be. A hedge counts against the limit of hedges and against the budget, and against neither if one of
// them has no room.
func (g *Guard) countAttempt(req attemptRequest) hop.Reason {
	g.hedges.mu.Lock()
	defer g.hedges.mu.Unlock()
	if !g.hedges.allows(g.registry.clock(), req) {
		g.hedges.refused[hop.ReasonHedgeLimit]++
		return hop.ReasonHedgeLimit
	}
	if !g.countDispatch(req) {
		return hop.ReasonRetryBudget
	}
	g.hedges.record(g.registry.clock(), req)
	return ""
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
	if req.repeat == hop.RepeatNone {
		limiter.RecordFirst(now)
	}
	if repeat, limited := budgetRepeat(req); limited {
		return limiter.TryRepeat(now, g.spareRepeats(req.service), repeat)
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
	if g.limiter(req.service).TryRepeat(g.registry.clock(), g.spareRepeats(req.service), retry.Repeat{Call: req.call}) {
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
