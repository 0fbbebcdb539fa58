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
	// fullRetryWindow is the time within which work that a loaded backend server refused is tried
	// at another one. With one more wait of 20 ms in a queue, the last refusal reaches the caller
	// within 50 ms.
	fullRetryWindow = 25 * time.Millisecond
	// capacityPause is the pause between two rounds of attempts while no backend server accepts the
	// work.
	capacityPause = 100 * time.Millisecond
	// maxRoundAttempts bounds the backend servers tried in one round, so that a request that finds
	// all of them full does not load the guards of a large region.
	maxRoundAttempts = 5
	// maxWaitingAttempts bounds the attempts of a request that may wait for capacity. Each wait
	// counts as an attempt.
	maxWaitingAttempts = 200
)

// task is the state of one caller's request while the entry serves it.
type task struct {
	entry     *Entry
	requestID string
	received  time.Time
	route     route.Route
	pool      pool.Pool
	version   uint64
	deadline  time.Time
	body      *body
	// headerSize is the size of the request's headers in bytes.
	headerSize int64
	// maxBody limits the body in bytes; 0 sets no limit.
	maxBody int64
	// started is the time at which the task began to make attempts.
	started time.Time
	// key is nil for a request without an idempotency key.
	key *keyUse
	// attempts counts the attempts and the waits for capacity. possiblyReceived counts the failed
	// attempts that may have reached a backend server, and possiblyRun those of them that may have
	// run.
	attempts, possiblyReceived, possiblyRun int
	// origin states whether the request may be a call of a local backend server.
	origin retry.Origin
	// nextGranted is set when a guard has already counted the next attempt as a repeat.
	nextGranted bool
	// roundAttempts counts the attempts since the request last waited for capacity.
	roundAttempts int
	// declined is set when a backend server received the work and declined it.
	declined bool
	// hedged is set when two attempts ran at the same time.
	hedged bool
	// crossRegionAttempts counts the attempts in other regions.
	crossRegionAttempts int
	// lastNode is the node whose backend server was tried last.
	lastNode string
	// delivering is set once an attempt begins to write a long answer to the caller, so that a
	// parallel attempt does not.
	delivering *atomic.Bool
	// status is the status code of the reply to the caller.
	status int
}

// run makes attempts until the caller has a reply.
func (t *task) run(w http.ResponseWriter, r *http.Request) {
	t.started = time.Now()
	if !t.started.Before(t.deadline) {
		t.writeError(w, NotRun(http.StatusServiceUnavailable, hop.ReasonTimeout, "the time of the request is over"))
		return
	}
	errReply := t.runAttempts(w, r)
	t.settleKey(errReply)
	t.reportFailedCall(errReply)
	switch {
	case errReply == nil:
		t.log(nil)
	case errReply.buffered != nil:
		t.deliverBuffered(w, errReply.buffered)
		t.log(nil)
	default:
		t.writeError(w, errReply)
	}
}

// reportFailedCall reports the failure of a request that may be a call of a backend server of
// this node. It does so before the reply is written, so that the report precedes any failure
// that this reply causes in the calling backend server.
func (t *task) reportFailedCall(errReply *ErrorReply) {
	failed := errReply != nil && (errReply.buffered == nil || errReply.buffered.status >= http.StatusInternalServerError)
	if failed && t.origin.MayBeCall && t.entry.config.CallFailed != nil {
		t.entry.config.CallFailed()
	}
}

// runAttempts makes attempts until one succeeds or no further attempt is allowed.
func (t *task) runAttempts(w http.ResponseWriter, r *http.Request) *ErrorReply {
	result := NotRun(http.StatusServiceUnavailable, hop.ReasonNoBackend, "no backend server of the pool can be used")
	attempt := balance.Attempt{Tried: make(map[string]hop.Reason), Bytes: t.headerSize + t.body.length(r)}
	allRefusedForHealth := true
	for t.hasAttemptsLeft() {
		attempt.Retest, attempt.CrossRegionAttempts = t.mayRetest(), t.crossRegionAttempts
		attempt.SameRegionOnly = t.declined
		attempt.CanWait = t.mayWait()
		choice, ok := balance.Choice{}, false
		if t.roundAttempts < maxRoundAttempts || !t.entry.config.WaitForCapacity {
			choice, ok = t.choose(t.attempts+1, t.entry.candidates(t.pool), attempt)
		}
		if !ok && !t.waitForCapacity(r.Context(), attempt.Tried) {
			break
		}
		if !ok {
			continue
		}
		t.attempts++
		t.roundAttempts++
		if choice.Locality == balance.OtherRegion {
			t.crossRegionAttempts++
		}
		// A suspicion alone must not take capacity away: when guards refused every earlier attempt
		// only because of the health of their backend servers, the last attempt asks its guard to
		// serve the work anyway.
		choice.Force = choice.Force || t.attempts == t.route.Attempts() && allRefusedForHealth && !t.entry.config.WaitForCapacity
		t.lastNode = choice.Backend.Guard.NodeID
		errReply := t.attemptHedged(w, r, choice, attempt)
		if errReply != nil && errReply.Reason == hop.ReasonStaleGuardTime && t.mayRetry(r.Context(), errReply) {
			// The refusal carried the reading of the guard's clock that the attempt lacked.
			errReply = t.attempt(w, r, choice, attempt.Bytes)
		}
		if errReply.succeeded() {
			return errReply
		}
		result = moreInformative(result, errReply)
		attempt.Unanswered = errReply.unanswered
		t.nextGranted = errReply.nextGranted || t.nextGranted && !errReply.mayHaveReachedBackend()
		if !t.mayRetry(r.Context(), errReply) {
			break
		}
		attempt.Tried[choice.Backend.ID] = errReply.Reason
		allRefusedForHealth = allRefusedForHealth && refusedForHealth(errReply.Reason)
	}
	return result
}

// repeatKind states how the next attempt counts against the budget of repeats.
func (t *task) repeatKind() hop.Repeat {
	switch {
	case t.possiblyReceived > 0 && t.nextGranted:
		return hop.RepeatGranted
	case t.possiblyReceived > 0:
		return hop.RepeatLimited
	case t.origin.Repeated:
		return hop.RepeatCall
	}
	return hop.RepeatNone
}

// mayRetest reports whether the request may be used to test a suspected backend server: it is
// idempotent, may be attempted again, and none of its attempts may have reached a backend
// server yet.
func (t *task) mayRetest() bool {
	return t.route.Idempotent && t.possiblyReceived == 0 && t.route.Attempts() > 1
}

// hasAttemptsLeft reports whether the limit on attempts allows another one.
func (t *task) hasAttemptsLeft() bool {
	if t.entry.config.WaitForCapacity {
		return t.attempts < maxWaitingAttempts
	}
	return t.attempts < t.route.Attempts()
}

// waitForCapacity pauses before another round of attempts, in which every backend server may
// be tried again except those that may have received the work. It returns false when no such
// round may follow: its answer would come too late, a guard had no budget left for repeats, or
// ctx has ended.
func (t *task) waitForCapacity(ctx context.Context, tried map[string]hop.Reason) bool {
	// Once the budget of repeats is spent, waiting does not let more requests be served.
	budgetSpent := slices.Contains(slices.Collect(maps.Values(tried)), hop.ReasonRetryBudget)
	if budgetSpent || !t.mayWait() {
		return false
	}
	sleep(ctx, capacityPause)
	for id, reason := range tried {
		if !backendMayHaveReceived(reason) {
			delete(tried, id)
		}
	}
	t.attempts++
	t.roundAttempts = 0
	return ctx.Err() == nil
}

// mayWait reports whether the request has time for one more pause.
func (t *task) mayWait() bool {
	p := retry.WaitPolicy{Target: t.route.TargetLatency(), Timeout: t.deadline.Sub(t.received)}
	return t.entry.config.WaitForCapacity && time.Since(t.received)+capacityPause <= p.MaxWait(t.possiblyRun > 0)
}

// backendMayHaveReceived reports whether an attempt that ended for the reason may have reached
// its backend server.
func backendMayHaveReceived(r hop.Reason) bool {
	return r == hop.ReasonAnswerLost || r == hop.ReasonFailed || r == hop.ReasonDeclined
}

// mayRetry records the failure f of an attempt and reports whether the request may be sent to
// another backend server.
func (t *task) mayRetry(ctx context.Context, f *ErrorReply) bool {
	if f.final || ctx.Err() != nil || !t.body.replayable() || !time.Now().Before(t.deadline) {
		return false
	}
	if f.Outcome != hop.OutcomeNotRun {
		t.possiblyRun++
		t.possiblyReceived++
		return t.route.Idempotent && t.possiblyRun < t.route.Attempts() && t.allowRetry()
	}
	switch f.Reason {
	case hop.ReasonDeclined:
		t.possiblyReceived++
		t.declined = true
		return t.allowRetry()
	case hop.ReasonFull, hop.ReasonTimeout:
		return t.entry.config.WaitForCapacity || time.Since(t.started) < fullRetryWindow
	}
	return true
}

// allowRetry takes a retry from the retry budget of the entry and reports whether there was
// one. It always returns true when the guards limit retries.
func (t *task) allowRetry() bool {
	return t.entry.config.GuardsLimitRetries || t.entry.balancer.allowRetry(t.pool.Service)
}

// writeError sends the caller a reply that the entry itself gives.
func (t *task) writeError(w http.ResponseWriter, f *ErrorReply) {
	t.status = f.Status
	t.entry.config.Protocol.WriteError(w, f)
	t.log(f)
}

// log logs one line for the request: what decided how it was handled, and how it ended.
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
		"server", t.lastNode, "attempts", t.attempts, "far", t.crossRegionAttempts, "hedged", t.hedged, "outcome", string(outcome), "reason", string(reason),
		"status", t.status, "ms", time.Since(t.received).Milliseconds())
}
