package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/retry"
	"github.com/jackdawlane/jackdawlane/route"
)

const (
	// retryWithin is the time in which work that a loaded backend server refused
	// is tried elsewhere. With one more wait of 20 ms in a queue, the last
	// refusal reaches the caller within 50 ms.
	retryWithin = 25 * time.Millisecond
	// roomPause is the time between two rounds over the backend servers while none takes the work.
	roomPause = 100 * time.Millisecond
	// roundAttempts bounds the backend servers tried in one round, so that a request that
	// finds all of them full does not load the guards of a large region.
	roundAttempts = 5
	// maxRounds bounds the attempts of a request that waits for room.
	maxRounds = 200
)

// task is one request of a caller on its way.
type task struct {
	entry     *Entry
	requestID string
	received  time.Time
	route     route.Route
	pool      pool.Pool
	version   uint64
	deadline  time.Time
	body      *body
	// size is that of the request's headers in bytes.
	size int64
	// maxBody bounds the body in bytes; 0 does not.
	maxBody int64
	// started is when the first attempt could be made.
	started time.Time
	// key is nil for a request without an idempotency key.
	key *keyUse
	// attempts counts the attempts made, arrivals those that may have reached a backend
	// server, and sent those of them that may have run.
	attempts, arrivals, sent int
	// origin says where the request may come from.
	origin retry.Origin
	// granted is set when a guard has counted the next attempt as a repeat.
	granted bool
	// round counts the attempts since the request last waited for room.
	round int
	// declined is set when a backend server received the work and declined it.
	declined bool
	// hedged is set when two attempts were made at the same time.
	hedged bool
	// far counts the attempts in other regions.
	far int
	// server is the node whose backend server was tried last.
	server string
	// delivering is set once one of the attempts writes to the caller.
	delivering *atomic.Bool
	// status is that of the reply to the caller.
	status int
}

// run makes attempts until the caller has a reply.
func (t *task) run(w http.ResponseWriter, r *http.Request) {
	t.started = time.Now()
	if !t.started.Before(t.deadline) {
		t.refuse(w, NotRun(http.StatusServiceUnavailable, hop.ReasonTimeout, "the time of the request is over"))
		return
	}
	refused := t.attemptAll(w, r)
	t.settleKey(refused)
	t.blameCall(refused)
	switch {
	case refused == nil:
		t.log(nil)
	case refused.answer != nil:
		t.deliverHeld(w, refused.answer)
		t.log(nil)
	default:
		t.refuse(w, refused)
	}
}

// blameCall reports the failure of a request that may be a call of a backend server of
// this node, before the call's own failure can reach that.
func (t *task) blameCall(refused *ErrorReply) {
	failed := refused != nil && (refused.answer == nil || refused.answer.status >= http.StatusInternalServerError)
	if failed && t.origin.MayBeCall && t.entry.config.CallFailed != nil {
		t.entry.config.CallFailed()
	}
}

// attemptAll makes attempts until one answers or none may follow.
func (t *task) attemptAll(w http.ResponseWriter, r *http.Request) *ErrorReply {
	result := NotRun(http.StatusServiceUnavailable, hop.ReasonNoBackend, "no backend server of the pool can be used")
	attempt := balance.Attempt{Tried: make(map[string]hop.Reason), Bytes: t.size + t.body.length(r)}
	allSuspect := true
	for t.mayTry() {
		attempt.Retest, attempt.CrossRegionAttempts = t.mayRetest(), t.far
		attempt.SameRegionOnly = t.declined
		attempt.CanWait = t.mayWait()
		choice, ok := balance.Choice{}, false
		if t.round < roundAttempts || !t.entry.config.WaitForCapacity {
			choice, ok = t.choose(t.attempts+1, t.entry.candidates(t.pool), attempt)
		}
		if !ok && !t.waitForRoom(r.Context(), attempt.Tried) {
			break
		}
		if !ok {
			continue
		}
		t.attempts++
		t.round++
		if choice.Locality == balance.OtherRegion {
			t.far++
		}
		// Suspicion alone takes no capacity away, so the last attempt does not heed it.
		choice.Force = choice.Force || t.attempts == t.route.Attempts() && allSuspect && !t.entry.config.WaitForCapacity
		t.server = choice.Backend.Guard.NodeID
		next := t.attemptHedged(w, r, choice, attempt)
		if next != nil && next.Reason == hop.ReasonStaleGuardTime && t.mayRetry(r.Context(), next) {
			// The refusal brought the reading that the guard asks for.
			next = t.attempt(w, r, choice, attempt.Bytes)
		}
		if next.succeeded() {
			return next
		}
		result = moreTelling(result, next)
		attempt.Unanswered = next.unanswered
		t.granted = next.granted || t.granted && !next.arrived()
		if !t.mayRetry(r.Context(), next) {
			break
		}
		attempt.Tried[choice.Backend.ID] = next.Reason
		allSuspect = allSuspect && steered(next.Reason)
	}
	return result
}

// repeat says how the next attempt counts against the budget of repeats.
func (t *task) repeat() hop.Repeat {
	switch {
	case t.arrivals > 0 && t.granted:
		return hop.RepeatGranted
	case t.arrivals > 0:
		return hop.RepeatLimited
	case t.origin.Repeated:
		return hop.RepeatCall
	}
	return hop.RepeatNone
}

// mayRetest reports whether the request may test a suspected backend server: it can be
// repeated, and did not fail before.
func (t *task) mayRetest() bool {
	return t.route.Idempotent && t.arrivals == 0 && t.route.Attempts() > 1
}

// mayTry reports whether the number of attempts allows another one.
func (t *task) mayTry() bool {
	if t.entry.config.WaitForCapacity {
		return t.attempts < maxRounds
	}
	return t.attempts < t.route.Attempts()
}

// waitForRoom waits before all backend servers are tried again, except those that
// received the work. It reports false when the answer would come too late.
func (t *task) waitForRoom(ctx context.Context, tried map[string]hop.Reason) bool {
	// Without a budget for repeats more waiting serves no more requests.
	spent := slices.Contains(slices.Collect(maps.Values(tried)), hop.ReasonRetryBudget)
	if spent || !t.mayWait() {
		return false
	}
	sleep(ctx, roomPause)
	for id, reason := range tried {
		if !arrived(reason) {
			delete(tried, id)
		}
	}
	t.attempts++
	t.round = 0
	return ctx.Err() == nil
}

// mayWait reports whether the request has time for one more pause.
func (t *task) mayWait() bool {
	p := retry.WaitPolicy{Target: t.route.TargetLatency(), Timeout: t.deadline.Sub(t.received)}
	return t.entry.config.WaitForCapacity && time.Since(t.received)+roomPause <= p.MaxWait(t.sent > 0)
}

// arrived reports whether an attempt that ended for the reason may have reached its backend server.
func arrived(r hop.Reason) bool {
	return r == hop.ReasonAnswerLost || r == hop.ReasonFailed || r == hop.ReasonDeclined
}

// mayRetry reports whether the request may go to another backend server.
func (t *task) mayRetry(ctx context.Context, f *ErrorReply) bool {
	if f.final || ctx.Err() != nil || !t.body.replayable() || !time.Now().Before(t.deadline) {
		return false
	}
	if f.Outcome != hop.OutcomeNotRun {
		t.sent++
		t.arrivals++
		return t.route.Idempotent && t.sent < t.route.Attempts() && t.allowRetry()
	}
	switch f.Reason {
	case hop.ReasonDeclined:
		t.arrivals++
		t.declined = true
		return t.allowRetry()
	case hop.ReasonFull, hop.ReasonTimeout:
		return t.entry.config.WaitForCapacity || time.Since(t.started) < retryWithin
	}
	return true
}

// allowRetry takes a retry from the budget of the entry, if it keeps one.
func (t *task) allowRetry() bool {
	return t.entry.config.GuardsLimitRetries || t.entry.balancer.allowRetry(t.pool.Service)
}

// refuse replies to the caller in the entry's own name.
func (t *task) refuse(w http.ResponseWriter, f *ErrorReply) {
	t.status = f.Status
	t.entry.config.Protocol.WriteError(w, f)
	t.log(f)
}

// log writes the line of a request: what decided it, and how it ended.
func (t *task) log(f *ErrorReply) {
	logger := t.entry.config.Logger
	if logger == nil {
		return
	}
	outcome, reason := hop.OutcomeAnswer, hop.Reason("")
	if f != nil {
		outcome, reason = f.Outcome, f.Reason
	}
	logger.Info("request",
		"id", t.requestID, "route", t.route.Name, "version", t.version, "service", t.pool.Service,
		"server", t.server, "attempts", t.attempts, "far", t.far, "hedged", t.hedged, "outcome", string(outcome), "reason", string(reason),
		"status", t.status, "ms", time.Since(t.received).Milliseconds())
}
