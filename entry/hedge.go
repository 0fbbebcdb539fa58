package entry

import (
	"context"
	"maps"
	"math"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hedge"
	"github.com/jackdawlane/jackdawlane/hop"
)

// noHedge is a delay after which no attempt is still running.
const noHedge = math.MaxInt64

// hedgePlan says when the second attempt of a request starts.
type hedgePlan struct {
	delay time.Duration
	basis hedge.Basis
	// limited is set when the settings or the route state a share of hedges. Otherwise only the budget
	// of repeats limits them.
	limited bool
}

// hedgeShare returns the share of hedges that applies to the request's route.
func (rs *requestState) hedgeShare() hedge.Share {
	return hedge.ShareOf(rs.route.HedgeShare, rs.entry.config.Hedging.Share)
}

// buffersAnswer reports whether a short answer is buffered until it is complete.
func (rs *requestState) buffersAnswer() bool {
	return rs.entry.config.BufferAnswers || rs.route.Idempotent && rs.hedgeShare().Value > 0
}

// planHedging returns when a second attempt starts in parallel to the next one, and false when none may
// start. Hedging requires buffered answers, so that either attempt can be abandoned until its answer
// is complete.
func (rs *requestState) planHedging() (hedgePlan, bool) {
	if !rs.buffersAnswer() || rs.body.rest != nil || !rs.mayRetest() {
		return hedgePlan{}, false
	}
	target := rs.route.TargetLatency()
	share := rs.hedgeShare()
	if !share.Given {
		return hedgePlan{delay: hedge.TargetDelay(target), basis: hedge.BasisTarget}, target > 0
	}
	if share.Value == 0 {
		return hedgePlan{}, false
	}
	now := rs.entry.balancer.now()
	delay, basis, ok := rs.entry.hedging.delay(now, rs.route.Key(), target)
	if !ok {
		// The latency of the first attempt is still observed.
		delay = noHedge
	}
	return hedgePlan{delay: delay, basis: basis, limited: true}, true
}

// parallelAttempt is one of the attempts that run in parallel.
type parallelAttempt struct {
	choice  balance.Choice
	started time.Time
	// second is set for an attempt that was started by hedging.
	second bool
}

// parallelResult is the result of a parallel attempt.
type parallelResult struct {
	*parallelAttempt
	errReply *ErrorReply
	// panicked is the value with which the attempt panicked to abort the caller's connection, or
	// nil.
	panicked any
}

// hedgedAttempts makes the parallel attempts of a request. It owns the state of the request while they
// run.
type hedgedAttempts struct {
	*requestState
	plan hedgePlan
	w    http.ResponseWriter
	r    *http.Request
	// base describes the first attempt.
	base    balance.Attempt
	results chan parallelResult
	running map[*parallelAttempt]bool
	// timer fires when the second attempt is due, which was tried so many times.
	timer *time.Timer
	tries int
	// failed are the results of the attempts that failed.
	failed []*ErrorReply
}

// attemptHedged makes an attempt, and a second one in parallel if the first has not ended
// within the hedge delay. The first success is used, and the other attempt is cancelled. Backend
// servers whose attempts failed are added to a.Tried, so that none gets the request again.
func (rs *requestState) attemptHedged(w http.ResponseWriter, r *http.Request, c balance.Choice, a balance.Attempt) *ErrorReply {
	plan, ok := rs.planHedging()
	if !ok {
		return rs.attempt(w, r, c, a.Bytes)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	h := &hedgedAttempts{
		requestState: rs, plan: plan, w: w, r: r.WithContext(ctx), base: a,
		results: make(chan parallelResult, 1+hedge.MaxTries), running: make(map[*parallelAttempt]bool),
	}
	return h.run(c)
}

// run makes the attempts, the first of them with the given choice.
func (h *hedgedAttempts) run(first balance.Choice) *ErrorReply {
	h.start(first, h.planAttempt(), false)
	h.timer = time.NewTimer(h.plan.delay)
	defer h.timer.Stop()
	var last *ErrorReply
	for len(h.running) > 0 {
		select {
		case <-h.timer.C:
			h.startSecond()
		case result := <-h.results:
			delete(h.running, result.parallelAttempt)
			if result.panicked != nil {
				panic(result.panicked)
			}
			if result.errReply.succeeded() && h.claimDelivery(result.errReply) {
				h.recordWin(result.parallelAttempt)
				return result.errReply
			}
			if result.errReply.succeeded() {
				// The other attempt is relaying a long answer to the caller.
				h.countLost(result.parallelAttempt)
				continue
			}
			if h.recordFailure(result) {
				last = parallelFailure(last, result.errReply)
			}
		}
	}
	h.countFailures(last)
	return last
}

// start makes an attempt in a goroutine of its own.
func (h *hedgedAttempts) start(c balance.Choice, plan attemptPlan, second bool) {
	p := &parallelAttempt{choice: c, started: time.Now(), second: second}
	h.running[p] = true
	go func() {
		result := parallelResult{parallelAttempt: p}
		defer func() {
			result.panicked = recover()
			h.results <- result
		}()
		result.errReply = h.attemptAs(plan, h.w, h.r, c, h.base.Bytes)
	}()
}

// startSecond starts a second attempt if one may be sent.
func (h *hedgedAttempts) startSecond() {
	if h.plan.limited && h.delivering.Load() {
		return
	}
	h.tries++
	service, refusal := h.checkHedge()
	choice := balance.Choice{}
	if refusal == "" {
		if choice, refusal = h.chooseSecond(); refusal != "" {
			h.returnHedge()
		}
	}
	if refusal != "" {
		h.entry.hedging.count("refused."+string(refusal), 1)
		h.logHedge(string(refusal), "", service)
		h.tryAgain()
		return
	}
	h.start(choice, h.planHedge(h.plan.limited), true)
	h.attempts++
	h.hedged = true
	h.entry.hedging.count("started", 1)
	h.logHedge("started", choice.Backend.Guard.NodeID, service)
}

// tryAgain sets the timer for another try after a refusal.
func (h *hedgedAttempts) tryAgain() {
	if h.plan.limited && h.tries < hedge.MaxTries {
		h.timer.Reset(h.plan.delay)
	}
}

// checkHedge returns the state of the service, and why it must not get a second attempt. Otherwise a
// limited one has taken a retry from the entry's budget.
func (h *hedgedAttempts) checkHedge() (serviceState, hedge.Refusal) {
	if !h.plan.limited {
		return serviceState{}, ""
	}
	state := h.entry.balancer.serviceState(h.pool.Service, h.entry.candidates(h.pool))
	state.RefusedShare = h.entry.hedging.refusedShare(h.entry.balancer.now(), h.pool.Service)
	if refusal := state.Check(); refusal != "" {
		return state, refusal
	}
	if !h.allowRetry() {
		return state, hedge.RefusedRetryShare
	}
	return state, ""
}

// returnHedge returns the retry that checkHedge took.
func (h *hedgedAttempts) returnHedge() {
	if h.plan.limited {
		h.returnRetry()
	}
}

// chooseSecond chooses another backend server of the same region for the second attempt: with a limit
// of hedges one of another VM that is ready. Without one it may be suspected, but since the
// attempt can wait, none is chosen when only suspected ones are left and each is likely to fail.
func (h *hedgedAttempts) chooseSecond() (balance.Choice, hedge.Refusal) {
	if h.entry.stop.waitsEnded() {
		return balance.Choice{}, hedge.RefusedStopping
	}
	a, candidates := h.base, h.entry.candidates(h.pool)
	a.Tried = maps.Clone(a.Tried)
	for p := range h.running {
		a.Tried[p.choice.Backend.ID] = hop.ReasonTimeout
		if h.plan.limited {
			candidates = balance.OfOtherVMs(candidates, p.choice.Backend)
		}
	}
	a.Retest, a.CanWait, a.SameRegionOnly, a.ReadyOnly = false, true, true, h.plan.limited
	choice, found := h.choose(h.attempts+1, candidates, a)
	if !found {
		return choice, hedge.RefusedNoBackend
	}
	return choice, ""
}

// recordWin records the latency of the first attempt and what the other attempts lost.
func (h *hedgedAttempts) recordWin(winner *parallelAttempt) {
	h.lastNode = winner.choice.Backend.Guard.NodeID
	if winner.second {
		h.entry.hedging.count("won", 1)
	} else {
		h.recordLatency(winner)
	}
	for p := range h.running {
		h.countLost(p)
		if !p.second {
			h.recordLatency(p)
		}
	}
}

func (h *hedgedAttempts) recordLatency(p *parallelAttempt) {
	if h.plan.limited {
		h.entry.hedging.recordLatency(h.entry.balancer.now(), h.route.Key(), time.Since(p.started))
	}
}

// countLost counts an attempt whose answer is not used.
func (h *hedgedAttempts) countLost(p *parallelAttempt) {
	h.entry.hedging.count("lost", 1)
	h.entry.hedging.count("lost_ms", time.Since(p.started).Milliseconds())
}

// recordFailure records a failed attempt. It returns false for a hedge that its guard refused as such or
// for lack of a repeat budget, which says nothing about the request.
func (h *hedgedAttempts) recordFailure(result parallelResult) bool {
	reason := result.errReply.Reason
	if result.second {
		h.countRefusedHedge(result.errReply)
	}
	beyondBudget := result.second && h.plan.limited && reason == hop.ReasonRetryBudget
	if beyondBudget || reason == hop.ReasonHedgeLimit || reason == hop.ReasonHedgeLoad {
		h.returnHedge()
		h.tryAgain()
		return false
	}
	h.base.Tried[result.choice.Backend.ID] = reason
	h.failed = append(h.failed, result.errReply)
	return true
}

// countRefusedHedge counts the reason of a hedge that failed before it reached its backend server.
func (h *hedgedAttempts) countRefusedHedge(f *ErrorReply) {
	if !f.mayHaveReachedBackend() {
		h.entry.hedging.count("refused."+string(f.Reason), 1)
	}
}

// countFailures counts the failed attempts except the reported one, which mayRetry counts.
func (h *hedgedAttempts) countFailures(reported *ErrorReply) {
	for _, f := range h.failed {
		if f == reported {
			continue
		}
		if f.mayHaveReachedBackend() {
			h.possiblyReceived++
		}
		if f.Outcome != hop.OutcomeNotRun {
			h.possiblyRun++
		} else {
			h.countRefusal(f.Reason)
		}
	}
}

// logHedge logs the decision about a second attempt, and what it was based on.
func (h *hedgedAttempts) logHedge(decision, server string, s serviceState) {
	if h.entry.config.Logger == nil || !h.plan.limited {
		return
	}
	h.entry.config.Logger.Info("hedge",
		"id", h.requestID, "route", h.route.Name, "service", h.pool.Service, "decision", decision, "server", server,
		"after_ms", h.plan.delay.Milliseconds(), "basis", string(h.plan.basis), "servers", s.Servers, "suspected", s.Suspected,
		"load", s.Load, "report_age_ms", s.reportAge.Milliseconds(), "refused_share", s.RefusedShare)
}

// claimDelivery reports whether the result of one of two parallel attempts may be used. A buffered
// answer may not once the other attempt has begun to deliver its answer, which then may not begin
// any more if this one is used.
func (rs *requestState) claimDelivery(result *ErrorReply) bool {
	return result == nil || rs.delivering.CompareAndSwap(false, true)
}

// preferredFailure returns which of two failed attempts of a request to report. The answer of a
// backend server takes precedence over an unknown outcome, and the outcome not-run is returned
// only if both attempts ended with it.
func preferredFailure(a, b *ErrorReply) *ErrorReply {
	switch {
	case a == nil:
		return b
	case a.buffered != nil:
		return a
	case b.buffered != nil || a.Outcome == hop.OutcomeNotRun:
		return b
	}
	return a
}

// parallelFailure returns which failure of two parallel attempts to report. The reason of the result
// also counts as that of the first backend server, so a refusal by a backend server takes
// precedence over one by a guard, after which the backend server could be tried again.
func parallelFailure(a, b *ErrorReply) *ErrorReply {
	if a != nil && a.mayHaveReachedBackend() && !b.mayHaveReachedBackend() {
		return a
	}
	return preferredFailure(a, b)
}
