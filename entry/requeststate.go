package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membudget"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/retry"
	"github.com/jackdawlane/jackdawlane/route"
)

const (
	// fullRetryWindow is the time within which a request that a loaded backend server refused is
	// tried at another one. With one more wait of 20 ms in a queue, the last refusal reaches the caller
	// within 50 ms.
	fullRetryWindow = 25 * time.Millisecond
	// capacityPause is the pause between two rounds of attempts while no backend server accepts the
	// request.
	capacityPause = 100 * time.Millisecond
	// maxRoundAttempts bounds the backend servers tried in one round, so that a request that finds
	// all of them full does not load the guards of a large region.
	maxRoundAttempts = 5
	// maxWaitingAttempts bounds the attempts of a request that may wait for capacity. Each wait
	// counts as an attempt.
	maxWaitingAttempts = 200
)

// requestState is the state of one caller's request while the entry serves it.
type requestState struct {
	entry     *Entry
	requestID string
	// caller is the organisation that sent the request; its name is empty where none is known.
	caller organisation.Organisation
	// permit is nil for a request that needs none.
	permit   *permitUse
	received time.Time
	route    route.Route
	pool     pool.Pool
	version  uint64
	deadline time.Time
	body     *body
	// answerMemory is what the buffered answers take of the memory for all of them.
	answerMemory *membudget.Lease
	// headerSize is the size of the request's headers in bytes.
	headerSize int64
	// maxBody limits the body in bytes; 0 sets no limit.
	maxBody int64
	// started is the time at which the entry began to make attempts.
	started time.Time
	// key is nil for a request without an idempotency key.
	key *keyUse
	// attempts counts the attempts and the waits for capacity. possiblyReceived counts the failed
	// attempts that may have reached a backend server, and possiblyRun those of them that may have
	// run.
	attempts, possiblyReceived, possiblyRun int
	// origin states whether a backend server of this node may have sent the request, and whether
	// the request counts as a repeat.
	origin retry.Origin
	// callEnded reports the end of a call.
	callEnded func()
	// nextGranted is set when a guard has already counted the next attempt as a repeat.
	nextGranted bool
	// roundAttempts counts the attempts since the request last waited for capacity.
	roundAttempts int
	// declined is set when a backend server received the request and declined it.
	declined bool
	// hedged is set when two attempts ran at the same time.
	hedged bool
	// crossRegionAttempts counts the attempts in other regions.
	crossRegionAttempts int
	// refusals counts the attempts that ended as not run, by reason.
	refusals map[hop.Reason]int
	// lastNode is the node whose backend server was tried last.
	lastNode string
	// delivering is set once an attempt begins to write a long answer to the caller, so that a
	// parallel attempt does not.
	delivering *atomic.Bool
	// status is the status code of the reply to the caller. Parallel attempts share it.
	status *atomic.Int64
}

// organisation returns the name of the organisation that the request belongs to; empty if it belongs
// to none.
func (rs *requestState) organisation() string {
	if rs.caller.Name != "" {
		return rs.caller.Name
	}
	return rs.route.Organisation
}

// run makes attempts until the caller has a reply.
func (rs *requestState) run(w http.ResponseWriter, r *http.Request) {
	rs.started = time.Now()
	if !rs.started.Before(rs.deadline) {
		rs.writeError(w, NotRun(http.StatusServiceUnavailable, hop.ReasonTimeout, "the time of the request is over"))
		return
	}
	r, release := rs.withAttempts(r)
	defer release()
	if refusal := rs.takePermit(r.Context()); refusal != nil {
		rs.settleKey(refusal)
		rs.writeError(w, refusal)
		return
	}
	errReply := rs.runAttempts(w, r)
	rs.returnPermit(errReply)
	rs.settleKey(errReply)
	rs.reportFailedCall(errReply)
	switch {
	case errReply == nil:
		rs.log(nil)
	case errReply.buffered != nil:
		rs.deliverBuffered(w, errReply.buffered)
		rs.log(nil)
	default:
		rs.writeError(w, errReply)
	}
}

// reportFailedCall reports the failure of a request that a backend server of this node may have
// sent. It must run before the reply is written, because the reply may make that backend server
// fail the request that it is handling, and the report must precede that failure.
func (rs *requestState) reportFailedCall(errReply *ErrorReply) {
	failed := errReply != nil && (errReply.buffered == nil || errReply.buffered.status >= http.StatusInternalServerError)
	if failed && rs.origin.MayBeCall {
		rs.entry.config.LocalBackends.CallFailed(errReply.Reason)
	}
}

// runAttempts makes attempts until one succeeds or no further attempt is allowed.
func (rs *requestState) runAttempts(w http.ResponseWriter, r *http.Request) *ErrorReply {
	result := noBackend()
	attempt := balance.Attempt{Tried: make(map[string]hop.Reason), Bytes: rs.headerSize + rs.body.length(r)}
	allRefusedForHealth := true
	for rs.hasAttemptsLeft() {
		if rs.entry.stop.waitsEnded() {
			result = preferredFailure(result, stopping())
			break
		}
		rs.describeAttempt(&attempt)
		choice, ok := balance.Choice{}, false
		if rs.roundAttempts < maxRoundAttempts || !rs.entry.config.WaitForCapacity {
			choice, ok = rs.choose(rs.attempts+1, rs.entry.candidates(rs.pool), attempt)
		}
		if !ok && !rs.waitForCapacity(r.Context(), attempt.Tried) {
			break
		}
		if !ok {
			continue
		}
		rs.attempts++
		rs.roundAttempts++
		if choice.Locality == balance.OtherRegion {
			rs.crossRegionAttempts++
		}
		// A suspicion alone must not take capacity away: when guards refused every earlier attempt
		// only because of the health of their backend servers, the last attempt asks its guard to
		// serve it anyway.
		choice.Force = choice.Force || rs.attempts == rs.route.AttemptLimit() && allRefusedForHealth && !rs.entry.config.WaitForCapacity
		rs.lastNode = choice.Backend.Guard.NodeID
		errReply := rs.attemptHedged(w, r, choice, attempt)
		if errReply != nil && errReply.Reason == hop.ReasonStaleGuardTime && rs.mayRetry(r.Context(), errReply) {
			// The refusal carried the reading of the guard's clock that the attempt lacked.
			errReply = rs.attempt(w, r, choice, attempt.Bytes)
		}
		if errReply.succeeded() {
			return errReply
		}
		result = preferredFailure(result, errReply)
		attempt.Unanswered = errReply.unanswered
		rs.nextGranted = errReply.nextGranted || rs.nextGranted && !errReply.mayHaveReachedBackend()
		if !rs.mayRetry(r.Context(), errReply) {
			break
		}
		attempt.Tried[choice.Backend.ID] = errReply.Reason
		allRefusedForHealth = allRefusedForHealth && refusedForHealth(errReply.Reason)
	}
	return result
}

// describeAttempt sets what the choice of a backend server takes from the state of the request.
func (rs *requestState) describeAttempt(a *balance.Attempt) {
	a.Retest, a.CrossRegionAttempts = rs.mayRetest(), rs.crossRegionAttempts
	a.SameRegionOnly = rs.declined
	a.CanWait, a.QueueWait, a.Rank = rs.mayWait(), rs.queueWait(), rs.rank()
}

func noBackend() *ErrorReply {
	return NotRun(http.StatusServiceUnavailable, hop.ReasonNoBackend, "no backend server of the pool can be used")
}

// repeatKind returns how the next attempt counts against the repeat budget.
func (rs *requestState) repeatKind() hop.Repeat {
	switch {
	case rs.possiblyReceived > 0 && rs.nextGranted:
		return hop.RepeatGranted
	case rs.possiblyReceived > 0:
		return hop.RepeatLimited
	case rs.origin.Repeated:
		return hop.RepeatCall
	case rs.origin.MayBeCall:
		return hop.RepeatFirstCall
	}
	return hop.RepeatNone
}

// mayRetest reports whether the request may be used to test a suspected backend server: it is
// idempotent, may be attempted again, and none of its attempts may have reached a backend
// server yet.
func (rs *requestState) mayRetest() bool {
	return rs.route.Idempotent && rs.possiblyReceived == 0 && rs.route.AttemptLimit() > 1
}

// hasAttemptsLeft reports whether the limit on attempts allows another one.
func (rs *requestState) hasAttemptsLeft() bool {
	if rs.entry.config.WaitForCapacity {
		return rs.attempts < maxWaitingAttempts
	}
	return rs.attempts < rs.route.AttemptLimit()
}

// waitForCapacity pauses before another round of attempts, in which every backend server may
// be tried again except those that may have received the request. It returns false when no such
// round may follow: its answer would come too late, the repeat budget of a guard was used up,
// or ctx has ended.
func (rs *requestState) waitForCapacity(ctx context.Context, tried map[string]hop.Reason) bool {
	// While the repeat budget is used up, waiting does not increase the number of requests that
	// can be served.
	budgetSpent := slices.Contains(slices.Collect(maps.Values(tried)), hop.ReasonRetryBudget)
	if budgetSpent || !rs.mayWait() {
		return false
	}
	sleep(ctx, capacityPause)
	for id, reason := range tried {
		if !backendMayHaveReceived(reason) {
			delete(tried, id)
		}
	}
	rs.attempts++
	rs.roundAttempts = 0
	return ctx.Err() == nil
}

// mayWait reports whether the request has time for one more pause.
func (rs *requestState) mayWait() bool {
	return rs.waitLeft() >= capacityPause
}

// waitLeft returns how long the request may still wait for capacity.
func (rs *requestState) waitLeft() time.Duration {
	if !rs.entry.config.WaitForCapacity {
		return 0
	}
	p := retry.WaitPolicy{Target: rs.route.TargetLatency(), Timeout: rs.deadline.Sub(rs.received), Call: rs.rank().Call}
	return rs.entry.stop.limitWait(p.MaxWait(rs.possiblyRun > 0) - time.Since(rs.received))
}

// queueShare is the share of the time left for waiting that a request may spend in the queue of
// one guard. With the rest it can go to another one, if the backend server turns slow or fails.
const queueShare = 0.5

// queueWait returns how long the next attempt may wait at its guard.
func (rs *requestState) queueWait() time.Duration {
	if !rs.entry.config.WaitForCapacity {
		return -1
	}
	return max(0, time.Duration(queueShare*float64(rs.waitLeft())))
}

// backendMayHaveReceived reports whether an attempt that ended for the reason may have reached
// its backend server.
func backendMayHaveReceived(r hop.Reason) bool {
	return r == hop.ReasonAnswerLost || r == hop.ReasonFailed || r == hop.ReasonDeclined
}

// mayRetry records the failure f of an attempt and reports whether the request may be sent to
// another backend server.
func (rs *requestState) mayRetry(ctx context.Context, f *ErrorReply) bool {
	if f.final || ctx.Err() != nil || !rs.body.replayable() || !time.Now().Before(rs.deadline) {
		return false
	}
	if f.Outcome == hop.OutcomeNotRun {
		rs.countRefusal(f.Reason)
	}
	if f.Outcome != hop.OutcomeNotRun {
		rs.possiblyRun++
		rs.possiblyReceived++
		return rs.route.Idempotent && rs.possiblyRun < rs.route.AttemptLimit() && rs.allowRetry()
	}
	switch {
	case f.Reason == hop.ReasonDeclined:
		rs.possiblyReceived++
		rs.declined = true
		return rs.allowRetry()
	case lackedRoom(f.Reason):
		return rs.entry.config.WaitForCapacity || time.Since(rs.started) < fullRetryWindow
	}
	return true
}

func (rs *requestState) countRefusal(r hop.Reason) {
	if rs.refusals == nil {
		rs.refusals = make(map[hop.Reason]int)
	}
	rs.refusals[r]++
}

// describeRefusals returns the refusals for the log, such as "full:3 suspect:1".
func (rs *requestState) describeRefusals() string {
	var parts []string
	for _, r := range slices.Sorted(maps.Keys(rs.refusals)) {
		parts = append(parts, string(r)+":"+strconv.Itoa(rs.refusals[r]))
	}
	return strings.Join(parts, " ")
}

// allowRetry takes a retry from the retry budget of the entry and reports whether there was
// one. It always returns true when the guards limit retries.
func (rs *requestState) allowRetry() bool {
	return rs.entry.config.GuardsLimitRetries || rs.entry.balancer.allowRetry(rs.pool.Service)
}

// returnRetry returns the retry that allowRetry took, for an attempt that reached no backend server.
func (rs *requestState) returnRetry() {
	if !rs.entry.config.GuardsLimitRetries {
		rs.entry.balancer.returnRetry(rs.pool.Service)
	}
}

// writeError sends the caller a reply that the entry itself gives.
func (rs *requestState) writeError(w http.ResponseWriter, f *ErrorReply) {
	rs.status.Store(int64(f.Status))
	rs.entry.config.Protocol.WriteError(w, f)
	rs.log(f)
}

// log logs one line for the request: what decided how it was handled, and how it ended.
func (rs *requestState) log(f *ErrorReply) {
	logger := rs.entry.config.Logger
	if logger == nil {
		return
	}
	outcome, reason := hop.OutcomeAnswer, hop.Reason("")
	if f != nil {
		outcome, reason = f.Outcome, f.Reason
	}
	fields := []any{
		"id", rs.requestID, "organisation", rs.organisation(), "priority", rs.priority().String(), "call", rs.origin.MayBeCall, "route", rs.route.Name, "version", rs.version, "service", rs.pool.Service,
		"server", rs.lastNode, "attempts", rs.attempts, "refusals", rs.describeRefusals(), "far", rs.crossRegionAttempts, "hedged", rs.hedged, "outcome", string(outcome), "reason", string(reason),
		"status", rs.status.Load(), "ms", time.Since(rs.received).Milliseconds(),
	}
	logger.Info("request", append(fields, rs.permit.logFields()...)...)
}
