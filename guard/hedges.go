package guard

import (
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/hedge"
	"github.com/jackdawlane/jackdawlane/hop"
)

// HedgeLimit is a guard's limit of hedges. Every guard applies the same share to the first attempts
// that it dispatches itself, so that the sum stays within the share without messages between guards.
type HedgeLimit struct {
	// Share returns the share of a route of an organisation. With nil, or where it is not given, only
	// the repeat budget limits hedges.
	Share func(organisation, route string) hedge.Share
	// Window is the length of the time window to which the share applies.
	Window time.Duration
}

// hedges is the state of the limit of hedges. Its mutex is taken before that of the repeat budgets.
type hedges struct {
	mu      sync.Mutex
	share   func(organisation, route string) hedge.Share
	limiter *hedge.Limiter
	// dispatched and refused count hedges, the refused ones by reason.
	dispatched int64
	refused    map[hop.Reason]int64
}

func newHedges(c HedgeLimit) hedges {
	if c.Share == nil {
		c.Share = func(string, string) hedge.Share { return hedge.Share{} }
	}
	return hedges{share: c.Share, limiter: hedge.NewLimiter(c.Window), refused: make(map[hop.Reason]int64)}
}

// work returns which limit an attempt counts against.
func (h *hedges) work(req attemptRequest) hedge.Work {
	return hedge.Work{
		Service: req.service, Organisation: req.organisation, Route: req.route,
		Share: h.share(req.organisation, req.route),
	}
}

// allows reports whether the limit has room for the attempt, which it has for every attempt that is not
// a hedge. The caller holds mu.
func (h *hedges) allows(now time.Duration, req attemptRequest) bool {
	return req.repeat != hop.RepeatHedge || h.limiter.Allows(now, h.work(req))
}

// record counts an attempt that is dispatched. The caller holds mu.
func (h *hedges) record(now time.Duration, req attemptRequest) {
	switch req.repeat {
	case hop.RepeatNone:
		h.limiter.RecordFirst(now, h.work(req))
	case hop.RepeatHedge:
		h.limiter.RecordHedge(now, h.work(req))
		h.dispatched++
	}
}

// checkHedge returns why the backend server must not get the attempt if it is a hedge: the limit has no
// room, or the hedge could not start at once. It takes nothing from the limit.
func (g *Guard) checkHedge(s server, req attemptRequest) hop.Reason {
	if req.repeat != hop.RepeatHedge {
		return ""
	}
	load := s.queue.load()
	g.hedges.mu.Lock()
	defer g.hedges.mu.Unlock()
	reason := hop.Reason("")
	switch {
	case !g.hedges.allows(g.registry.clock(), req):
		reason = hop.ReasonHedgeLimit
	case !hedge.FitsBackend(load.Running, load.Queued, load.Limit):
		reason = hop.ReasonHedgeLoad
	default:
		return ""
	}
	g.hedges.refused[reason]++
	return reason
}

// HedgeCounts returns how many hedges this guard has dispatched, and refused by reason.
func (g *Guard) HedgeCounts() map[string]int64 {
	g.hedges.mu.Lock()
	defer g.hedges.mu.Unlock()
	counts := map[string]int64{"dispatched": g.hedges.dispatched}
	for reason, n := range g.hedges.refused {
		counts["refused."+string(reason)] = n
	}
	return counts
}
