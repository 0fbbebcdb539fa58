package entry

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/boottime"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// hopGrace is added to the deadline of the request so that the guard's own reply about a
	// timeout can still arrive.
	hopGrace = 150 * time.Millisecond
	// resolveTimeout bounds how long after the deadline of the request the entry may take to
	// recover a lost answer.
	resolveTimeout = 2 * time.Second
	// cancelTimeout bounds the call that cancels an attempt whose caller has disconnected.
	cancelTimeout = time.Second
)

// requestAttempt is one attempt of a request.
type requestAttempt struct {
	*requestState
	plan      attemptPlan
	id        string
	guardTime hop.GuardTime
	backend   membership.Backend
	feedback  attemptFeedback
	// bodyOnRequest is set when the body is sent only after the guard has asked for it.
	bodyOnRequest bool
	w             http.ResponseWriter
	r             *http.Request
}

// attempt makes one attempt. It returns nil when the caller has its reply. When a reply that
// has begun cannot be completed, it panics with http.ErrAbortHandler, which aborts the
// caller's connection.
func (rs *requestState) attempt(w http.ResponseWriter, r *http.Request, c balance.Choice, bytes int64) *ErrorReply {
	return rs.attemptAs(rs.planAttempt(), w, r, c, bytes)
}

// attemptAs is attempt with a plan that was made before, for attempts that run in parallel.
func (rs *requestState) attemptAs(plan attemptPlan, w http.ResponseWriter, r *http.Request, c balance.Choice, bytes int64) *ErrorReply {
	b := c.Backend
	guardTime := rs.entry.clockReadings.latest(b.Guard)
	ra := &requestAttempt{requestState: rs, plan: plan, id: hop.NewAttemptID(guardTime), guardTime: guardTime, backend: b, w: w, r: r}
	ra.feedback.backend.Rank = rs.rank()
	defer func() { ra.recordEnd(c, bytes) }()
	if proceed, errReply := ra.claim(); !proceed {
		return errReply
	}
	ctx, cancel := context.WithDeadline(r.Context(), rs.deadline.Add(hopGrace))
	defer cancel()
	req, sending := exchange.NewRequest(ctx, r, b.Guard.HopAddress, rs.body.reader(), rs.entry.config.Protocol.EndToEndHeaders())
	ra.setHopHeaders(req, c.Force)
	defer context.AfterFunc(ctx, func() { sending.Interrupt(w) })()
	// Keeps the transport from reading the body after the end of the attempt.
	defer sending.Close()
	rw := exchange.NewResponseWriter(w)
	stopTimer := ra.startAcknowledgeTimer(cancel)
	sentAt := boottime.Now()
	res, sent, err := exchange.Do(rs.entry.transport, req, func(code int, header textproto.MIMEHeader) {
		stopTimer()
		if code != hop.StatusAcknowledged && !rs.buffersAnswer() {
			rw.Informational(code, header)
		}
	})
	stopTimer()
	rw.StopInformational()
	ra.feedback.guardReplied = err == nil
	ra.feedback.pathFailed = err != nil && r.Context().Err() == nil
	if err != nil && !sent && ra.givenUp() {
		return stopping()
	}
	if err != nil && !sent {
		ra.feedback.refusal = hop.ReasonUnreachable
		return NotRun(http.StatusServiceUnavailable, hop.ReasonUnreachable, "the guard cannot be reached").markUnanswered()
	}
	if err != nil {
		// Waits until a failed read of the body has recorded its cause.
		sending.Close()
		return ra.resolveLostAnswer().markUnanswered()
	}
	defer res.Body.Close()
	rs.entry.clockReadings.record(b.Guard, res.Header.Get(hop.HeaderGuardTime))
	rs.entry.noteConfigVersion(res.Header, sentAt)
	replayable := false
	defer func() {
		// An upload that the backend server did not read before it answered must not delay the end
		// of the attempt. A body that another attempt may send is not being read.
		if !replayable {
			sending.Interrupt(w)
		}
	}()
	granted := res.Header.Get(hop.HeaderGrant) != ""
	errReply := ra.handleReply(rw, res)
	replayable = errReply != nil && ra.body.replayable()
	if errReply != nil {
		errReply.nextGranted = granted
	}
	return errReply
}

// noteConfigVersion passes on the version of the configuration that a reply states, if it states one,
// and its age. The attempt was sent at sentAt, so the age is that of a later time.
func (e *Entry) noteConfigVersion(h http.Header, sentAt time.Duration) {
	version, err := strconv.ParseUint(h.Get(hop.HeaderConfigVersion), 10, 64)
	if err != nil {
		return
	}
	if e.config.ConfigVersionSeen != nil {
		e.config.ConfigVersionSeen(version)
	}
	age, err := strconv.ParseUint(h.Get(hop.HeaderConfigAge), 10, 32)
	if err == nil && e.config.ConfigVersionConfirmed != nil {
		e.config.ConfigVersionConfirmed(version, sentAt-time.Duration(age)*time.Millisecond)
	}
}

// startAcknowledgeTimer cancels the attempt after AcknowledgeTimeout unless stop is called
// first, as attempt does when the guard acknowledges the attempt.
func (ra *requestAttempt) startAcknowledgeTimer(cancel context.CancelFunc) (stop func()) {
	limit := ra.entry.config.AcknowledgeTimeout
	if limit == 0 {
		return func() {}
	}
	timer := time.AfterFunc(limit, cancel)
	return func() { timer.Stop() }
}

func (ra *requestAttempt) setHopHeaders(req *http.Request, force bool) {
	h := req.Header
	key := h.Values("Idempotency-Key")
	if len(key) > 0 {
		h[hop.HeaderIdempotencyKey] = key
		h.Del("Idempotency-Key")
	}
	if ra.body.rest == nil && len(req.Trailer) == 0 && len(ra.body.prefix) > 0 {
		req.ContentLength = int64(len(ra.body.prefix))
	}
	ra.bodyOnRequest = ra.entry.config.AcknowledgeTimeout > 0 && !ra.route.Idempotent && len(ra.body.prefix) > 0
	if ra.body.rest != nil || ra.bodyOnRequest {
		h.Set("Expect", "100-continue")
	}
	remaining := max(time.Until(ra.deadline)/time.Millisecond, 1)
	h.Set(hop.HeaderAttempt, ra.id)
	h.Set(hop.HeaderService, ra.backend.Service)
	h.Set(hop.HeaderRoute, ra.route.Name)
	h.Set(hop.HeaderTimeoutMS, strconv.FormatInt(int64(remaining), 10))
	// Headers are left out when they would state the usual value, because traffic between regions
	// is billed by volume.
	if ra.backend.ID != membership.BackendID(ra.backend.Service, ra.backend.Guard.HopAddress) {
		h.Set(hop.HeaderBackendServer, ra.backend.ID)
	}
	if name := ra.organisation(); name != "" {
		h.Set(hop.HeaderOrganisation, name)
	}
	if ra.route.Idempotent {
		h.Set(hop.HeaderIdempotent, "true")
	}
	if force {
		h.Set(hop.HeaderForce, "true")
	}
	if wait := ra.plan.queueWait; wait > 0 {
		h.Set(hop.HeaderWaitMS, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	if repeat := ra.plan.repeat; repeat != hop.RepeatNone {
		h.Set(hop.HeaderRepeat, string(repeat))
	}
	if p := ra.priority(); p != (admission.Priority{}) {
		h.Set(hop.HeaderPriority, p.String())
	}
	if ra.origin.MayBeCall {
		h.Set(hop.HeaderCall, "true")
	}
	if ra.plan.mayRetest {
		h.Set(hop.HeaderRetest, "true")
	}
}

// recordEnd reports to the balancer the load and health of the backend server, whether its guard
// could be reached, and the number of bytes transferred.
func (ra *requestAttempt) recordEnd(c balance.Choice, expected int64) {
	ra.feedback.expectedBytes = expected
	ra.feedback.actualBytes += ra.headerSize + ra.body.bytesRead()
	ra.entry.balancer.recordEnd(c, ra.feedback)
	ra.entry.hedging.recordEnd(ra.entry.balancer.now(), ra.backend.Service, ra.feedback.refusal)
}

// handleReply records the load and health that the guard's reply states, and acts on its
// outcome.
func (ra *requestAttempt) handleReply(rw *exchange.ResponseWriter, res *http.Response) *ErrorReply {
	reason := hop.Reason(res.Header.Get(hop.HeaderReason))
	ra.feedback.backend.Reason = reason
	ra.feedback.backend.Suspect = res.Header.Get(hop.HeaderHealth) == hop.HealthSuspect
	ra.feedback.backend.FailureProbability = parseFailureProbability(res.Header.Get(hop.HeaderFailing))
	ra.feedback.backend.Again = parseAgain(res.Header.Get(hop.HeaderAgainMS))
	if load, _, err := admission.ParseLoad(res.Header.Get(hop.HeaderLoad)); err == nil {
		ra.feedback.backend.Load, ra.feedback.backend.HasLoad = load, true
	}
	switch hop.Outcome(res.Header.Get(hop.HeaderOutcome)) {
	case hop.OutcomeAnswer:
		return ra.handleAnswer(rw, res)
	case hop.OutcomeNotRun:
		ra.feedback.refusal = reason
		return NotRun(http.StatusServiceUnavailable, reason, "the guard refused the work")
	case hop.OutcomeUnknown:
		if reason != hop.ReasonDuplicate {
			return Unknown(reason, "the backend server gave no complete answer")
		}
	}
	return ra.resolveLostAnswer()
}

// parseFailureProbability parses a probability in thousandths. Without a valid value it
// returns 1: a suspected backend server is then taken to fail all attempts.
func parseFailureProbability(text string) float64 {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || n > 1000 {
		return 1
	}
	return float64(n) / 1000
}

// parseAgain parses a time in milliseconds. Without a valid value it returns 0.
func parseAgain(text string) time.Duration {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// handleAnswer delivers the answer, or returns it buffered if it is short and the entry
// buffers answers. A buffered server error (status 500 or above) on an idempotent route
// is not final, so another attempt may replace it.
func (ra *requestAttempt) handleAnswer(rw *exchange.ResponseWriter, res *http.Response) *ErrorReply {
	if !ra.buffersAnswer() {
		ra.deliver(rw, res)
		return nil
	}
	a, complete, err := ra.bufferAnswer(res)
	if err != nil {
		return ra.resolveLostAnswer()
	}
	if !complete {
		if !ra.delivering.CompareAndSwap(false, true) {
			return Unknown(hop.ReasonCancelled, "the other attempt delivers its answer")
		}
		ra.deliver(rw, res)
		return nil
	}
	ra.feedback.actualBytes += int64(len(a.body))
	result := Unknown(hop.ReasonFailed, "the backend server failed")
	result.buffered = a
	// An entry that does not buffer answers by its configuration delivers them all, also those that it
	// buffers for hedging.
	result.final = !ra.route.Idempotent || a.status < http.StatusInternalServerError || !ra.entry.config.BufferAnswers
	return result
}

// deliver relays an answer to the caller. When the answer breaks off, deliver sends the rest
// of it from the copy that the guard retained, or aborts the caller's connection if there is
// none.
func (ra *requestAttempt) deliver(rw *exchange.ResponseWriter, res *http.Response) {
	streamed := res.ContentLength < 0
	ra.status.Store(int64(res.StatusCode))
	ra.writeHeader(rw, res.StatusCode, res.Header, res.Trailer)
	if streamed {
		rw.Flush()
	}
	offset, err := rw.Copy(res.Body, streamed, func([]byte) {})
	ra.feedback.actualBytes += offset
	if err == nil {
		rw.WriteTrailer(res.Trailer)
		return
	}
	if errors.Is(err, exchange.ErrWrite) || ra.r.Context().Err() != nil {
		ra.cancelAtGuard()
		panic(http.ErrAbortHandler)
	}
	a := ra.fetchRetained()
	if a == nil || offset > int64(len(a.Body)) {
		panic(http.ErrAbortHandler)
	}
	ra.w.Write(a.Body[offset:])
	rw.WriteTrailer(a.Trailer)
}

func (rs *requestState) writeHeader(rw *exchange.ResponseWriter, status int, header, trailer http.Header) {
	hop.DropHopByHop(header, rs.entry.config.Protocol.EndToEndHeaders())
	hop.DropProjectHeaders(header)
	rs.entry.config.Protocol.AnnotateAnswer(header)
	rw.WriteHeader(status, header, trailer)
}

// resolveLostAnswer finds out what became of an attempt that has no usable reply. It returns
// nil after delivering an answer that the guard retained.
func (ra *requestAttempt) resolveLostAnswer() *ErrorReply {
	if ra.givenUp() {
		return ra.givenUpReply()
	}
	if ra.r.Context().Err() != nil {
		// This context also ends when the caller's request body misses its read deadline.
		ra.cancelAtGuard()
		return Unknown(ra.interruptReason(), "the caller has gone or its request body made no progress")
	}
	if ra.route.Idempotent {
		return Unknown(ra.lostReason(), "the answer was lost")
	}
	if ra.guardTime == (hop.GuardTime{}) && ra.bodyOnRequest {
		return Unknown(ra.lostReason(), "the answer was lost, and an attempt without a reading of the guard's clock cannot be resolved")
	}
	if ra.guardTime == (hop.GuardTime{}) {
		return NotRun(http.StatusServiceUnavailable, hop.ReasonUnreachable, "the guard takes no work without a reading of its clock")
	}
	if ra.entry.config.StrictDeadline && !time.Now().Before(ra.deadline) {
		return Unknown(hop.ReasonTimeout, "the time of the request is over and the work may have run")
	}
	state, answer := ra.resolve()
	switch {
	case state == attempt.NotRun:
		return NotRun(http.StatusServiceUnavailable, hop.ReasonAnswerLost, "the guard never dispatched the work")
	case answer != nil:
		ra.deliverRetained(answer)
		return nil
	}
	return Unknown(ra.lostReason(), "the answer was lost and the work may have run")
}

func (ra *requestAttempt) interruptReason() hop.Reason {
	if ra.body.stalled() || !time.Now().Before(ra.deadline) {
		return hop.ReasonTimeout
	}
	return hop.ReasonCancelled
}

func (ra *requestAttempt) lostReason() hop.Reason {
	if time.Now().Before(ra.deadline) {
		return hop.ReasonAnswerLost
	}
	return hop.ReasonTimeout
}

// fetchRetained returns the complete answer that the guard retained, or nil. Guards are asked
// only about attempts whose route is not idempotent.
func (ra *requestAttempt) fetchRetained() *attempt.Answer {
	if ra.route.Idempotent {
		return nil
	}
	_, a := ra.resolve()
	return a
}

// resolve asks the guard what became of the attempt, and fetches the answer if the guard
// retained it.
func (ra *requestAttempt) resolve() (attempt.State, *attempt.Answer) {
	return ra.resolveAt(ra.guardOfAttempt(), ra.id)
}

// guardOfAttempt returns the guard in the incarnation to which the attempt was sent.
func (ra *requestAttempt) guardOfAttempt() membership.Guard {
	g := ra.backend.Guard
	g.Incarnation = ra.guardTime.Incarnation
	return g
}

// resolveAt asks guard g what became of the attempt with the given ID, which may belong to
// another request.
func (ra *requestAttempt) resolveAt(g membership.Guard, id string) (attempt.State, *attempt.Answer) {
	limit := ra.deadline.Add(resolveTimeout)
	if ra.entry.config.StrictDeadline {
		limit = ra.deadline
	}
	ctx, cancel := context.WithDeadline(ra.r.Context(), limit)
	defer cancel()
	return ra.query(ctx, g, id, time.Until(ra.deadline)+hopGrace)
}

// query asks guard g what became of the attempt with the given ID, for which it waits while the
// attempt runs.
func (ra *requestAttempt) query(ctx context.Context, g membership.Guard, id string, wait time.Duration) (attempt.State, *attempt.Answer) {
	resolver := ra.entry.config.Resolver
	state, err := resolver.Resolve(ctx, g, id, wait)
	if err != nil {
		return attempt.Unknown, nil
	}
	if state != attempt.Answered {
		return state, nil
	}
	a, err := resolver.FetchAnswer(ctx, g, id)
	if err != nil {
		return attempt.Unknown, nil
	}
	return state, a
}

// cancelAtGuard tells the guard that the caller has disconnected. The guard does not cancel
// an attempt that is not idempotent merely because the connection from the entry was lost.
func (ra *requestAttempt) cancelAtGuard() {
	if ra.route.Idempotent || ra.givenUp() {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ra.r.Context()), cancelTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ra.backend.Guard.HopAddress+"/", http.NoBody)
	if err != nil {
		return
	}
	req.Header.Set(hop.HeaderCancel, ra.id)
	res, err := ra.entry.transport.RoundTrip(req)
	if err != nil {
		return
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
}
