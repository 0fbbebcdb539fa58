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
	// cancelTimeout bounds the call that cancels work whose caller has disconnected.
	cancelTimeout = time.Second
)

// taskAttempt is one attempt of a task.
type taskAttempt struct {
	*task
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
func (t *task) attempt(w http.ResponseWriter, r *http.Request, c balance.Choice, bytes int64) *ErrorReply {
	b := c.Backend
	guardTime := t.entry.clockReadings.latest(b.Guard)
	ta := &taskAttempt{task: t, id: hop.NewAttemptID(guardTime), guardTime: guardTime, backend: b, w: w, r: r}
	defer func() { ta.recordEnd(c, bytes) }()
	if proceed, errReply := ta.claim(); !proceed {
		return errReply
	}
	ctx, cancel := context.WithDeadline(r.Context(), t.deadline.Add(hopGrace))
	defer cancel()
	req, sending := exchange.NewRequest(ctx, r, b.Guard.HopAddress, t.body.reader())
	ta.setHopHeaders(req, c.Force)
	defer context.AfterFunc(ctx, func() { sending.Interrupt(w) })()
	// Keeps the transport from reading the body after the end of the attempt.
	defer sending.Close()
	rw := exchange.NewResponseWriter(w)
	stopTimer := ta.startAcknowledgeTimer(cancel)
	res, sent, err := exchange.Do(t.entry.transport, req, func(code int, header textproto.MIMEHeader) {
		stopTimer()
		if code != hop.StatusAcknowledged && !t.entry.config.BufferAnswers {
			rw.Informational(code, header)
		}
	})
	stopTimer()
	rw.Close()
	ta.feedback.guardReplied = err == nil
	ta.feedback.pathFailed = err != nil && r.Context().Err() == nil
	if err != nil && !sent {
		return NotRun(http.StatusServiceUnavailable, hop.ReasonUnreachable, "the guard cannot be reached").markUnanswered()
	}
	if err != nil {
		// Waits until a failed read of the body has recorded its cause.
		sending.Close()
		return ta.resolveLostAnswer().markUnanswered()
	}
	defer res.Body.Close()
	t.entry.clockReadings.record(b.Guard, res.Header.Get(hop.HeaderGuardTime))
	done := true
	defer func() {
		// An upload that the backend server did not read before it answered must not delay the end
		// of the attempt.
		if done {
			sending.Interrupt(w)
		}
	}()
	granted := res.Header.Get(hop.HeaderGrant) != ""
	errReply := ta.handleReply(rw, res)
	done = errReply == nil
	if errReply != nil {
		errReply.nextGranted = granted
	}
	return errReply
}

// startAcknowledgeTimer cancels the attempt after AcknowledgeTimeout unless stop is called
// first, as attempt does when the guard acknowledges the attempt.
func (ta *taskAttempt) startAcknowledgeTimer(cancel context.CancelFunc) (stop func()) {
	limit := ta.entry.config.AcknowledgeTimeout
	if limit == 0 {
		return func() {}
	}
	timer := time.AfterFunc(limit, cancel)
	return func() { timer.Stop() }
}

func (ta *taskAttempt) setHopHeaders(req *http.Request, force bool) {
	h := req.Header
	key := h.Values("Idempotency-Key")
	if len(key) > 0 {
		h[hop.HeaderIdempotencyKey] = key
		h.Del("Idempotency-Key")
	}
	if ta.body.rest == nil && len(req.Trailer) == 0 && len(ta.body.prefix) > 0 {
		req.ContentLength = int64(len(ta.body.prefix))
	}
	ta.bodyOnRequest = ta.entry.config.AcknowledgeTimeout > 0 && !ta.route.Idempotent && len(ta.body.prefix) > 0
	if ta.body.rest != nil || ta.bodyOnRequest {
		h.Set("Expect", "100-continue")
	}
	remaining := max(time.Until(ta.deadline)/time.Millisecond, 1)
	h.Set(hop.HeaderAttempt, ta.id)
	h.Set(hop.HeaderService, ta.backend.Service)
	h.Set(hop.HeaderRoute, ta.route.Name)
	h.Set(hop.HeaderTimeoutMS, strconv.FormatInt(int64(remaining), 10))
	// Headers are left out when they would state the usual value, because traffic between regions
	// is billed by volume.
	if ta.backend.ID != membership.BackendID(ta.backend.Service, ta.backend.Guard.HopAddress) {
		h.Set(hop.HeaderBackendServer, ta.backend.ID)
	}
	if ta.route.Organisation != "" {
		h.Set(hop.HeaderOrganisation, ta.route.Organisation)
	}
	if ta.route.Idempotent {
		h.Set(hop.HeaderIdempotent, "true")
	}
	if force {
		h.Set(hop.HeaderForce, "true")
	}
	if repeat := ta.repeatKind(); repeat != hop.RepeatNone {
		h.Set(hop.HeaderRepeat, string(repeat))
	}
	if ta.mayRetest() {
		h.Set(hop.HeaderRetest, "true")
	}
}

// recordEnd passes to the balancer what the attempt showed about the backend server and the
// path to its guard.
func (ta *taskAttempt) recordEnd(c balance.Choice, expected int64) {
	ta.feedback.expectedBytes = expected
	ta.feedback.actualBytes += ta.headerSize + ta.body.bytesRead()
	ta.entry.balancer.recordEnd(c, ta.feedback)
}

// handleReply records the load and health that the guard's reply states, and acts on its
// outcome.
func (ta *taskAttempt) handleReply(rw *exchange.ResponseWriter, res *http.Response) *ErrorReply {
	reason := hop.Reason(res.Header.Get(hop.HeaderReason))
	ta.feedback.backend.Reason = reason
	ta.feedback.backend.Suspect = res.Header.Get(hop.HeaderHealth) == hop.HealthSuspect
	ta.feedback.backend.Failing = parseFailureProbability(res.Header.Get(hop.HeaderFailing))
	if load, _, err := admission.ParseLoad(res.Header.Get(hop.HeaderLoad)); err == nil {
		ta.feedback.backend.Load, ta.feedback.backend.HasLoad = load, true
	}
	switch hop.Outcome(res.Header.Get(hop.HeaderOutcome)) {
	case hop.OutcomeAnswer:
		return ta.handleAnswer(rw, res)
	case hop.OutcomeNotRun:
		return NotRun(http.StatusServiceUnavailable, reason, "the guard refused the work")
	case hop.OutcomeUnknown:
		if reason != hop.ReasonDuplicate {
			return Unknown(reason, "the backend server gave no complete answer")
		}
	}
	return ta.resolveLostAnswer()
}

// parseFailureProbability parses a probability in thousandths. Without a valid value it
// returns 1: a suspected backend server is then taken to fail all work.
func parseFailureProbability(text string) float64 {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || n > 1000 {
		return 1
	}
	return float64(n) / 1000
}

// handleAnswer delivers the answer, or returns it buffered if it is short and the entry
// buffers answers. A buffered server error (status 500 or above) of idempotent work is not
// final, so another attempt may replace it.
func (ta *taskAttempt) handleAnswer(rw *exchange.ResponseWriter, res *http.Response) *ErrorReply {
	if !ta.entry.config.BufferAnswers {
		ta.deliver(rw, res)
		return nil
	}
	a, complete, err := bufferAnswer(res)
	if err != nil {
		return ta.resolveLostAnswer()
	}
	if !complete {
		if !ta.delivering.CompareAndSwap(false, true) {
			return Unknown(hop.ReasonCancelled, "the other attempt delivers its answer")
		}
		ta.deliver(rw, res)
		return nil
	}
	ta.feedback.actualBytes += int64(len(a.body))
	result := Unknown(hop.ReasonFailed, "the backend server failed")
	result.buffered = a
	result.final = !ta.route.Idempotent || a.status < http.StatusInternalServerError
	return result
}

// deliver relays an answer to the caller. When the answer breaks off, deliver sends the rest
// of it from the copy that the guard retained, or aborts the caller's connection if there is
// none.
func (ta *taskAttempt) deliver(rw *exchange.ResponseWriter, res *http.Response) {
	streamed := res.ContentLength < 0
	ta.status = res.StatusCode
	ta.writeHeader(rw, res.StatusCode, res.Header, res.Trailer)
	if streamed {
		rw.Flush()
	}
	offset, err := rw.Copy(res.Body, streamed, func([]byte) {})
	ta.feedback.actualBytes += offset
	if err == nil {
		rw.WriteTrailer(res.Trailer)
		return
	}
	if errors.Is(err, exchange.ErrWrite) || ta.r.Context().Err() != nil {
		ta.cancelAtGuard()
		panic(http.ErrAbortHandler)
	}
	a := ta.fetchRetained()
	if a == nil || offset > int64(len(a.Body)) {
		panic(http.ErrAbortHandler)
	}
	ta.w.Write(a.Body[offset:])
	rw.WriteTrailer(a.Trailer)
}

func (t *task) writeHeader(rw *exchange.ResponseWriter, status int, header, trailer http.Header) {
	hop.DropHopByHop(header)
	hop.DropProjectHeaders(header)
	t.entry.config.Protocol.AnnotateAnswer(header)
	rw.WriteHeader(status, header, trailer)
}

// resolveLostAnswer finds out what became of an attempt that has no usable reply. It returns
// nil after delivering an answer that the guard retained.
func (ta *taskAttempt) resolveLostAnswer() *ErrorReply {
	if ta.r.Context().Err() != nil {
		// This context also ends when the caller's request body misses its read deadline.
		ta.cancelAtGuard()
		return Unknown(ta.interruptReason(), "the caller has gone or its request body made no progress")
	}
	if ta.route.Idempotent {
		return Unknown(ta.lostReason(), "the answer was lost")
	}
	if ta.guardTime == (hop.GuardTime{}) && ta.bodyOnRequest {
		return Unknown(ta.lostReason(), "the answer was lost, and an attempt without a reading of the guard's clock cannot be resolved")
	}
	if ta.guardTime == (hop.GuardTime{}) {
		return NotRun(http.StatusServiceUnavailable, hop.ReasonUnreachable, "the guard takes no work without a reading of its clock")
	}
	if ta.entry.config.StrictDeadline && !time.Now().Before(ta.deadline) {
		return Unknown(hop.ReasonTimeout, "the time of the request is over and the work may have run")
	}
	state, answer := ta.resolve()
	switch {
	case state == attempt.NotRun:
		return NotRun(http.StatusServiceUnavailable, hop.ReasonAnswerLost, "the guard never dispatched the work")
	case answer != nil:
		ta.deliverRetained(answer)
		return nil
	}
	return Unknown(ta.lostReason(), "the answer was lost and the work may have run")
}

func (ta *taskAttempt) interruptReason() hop.Reason {
	if ta.body.stalled() || !time.Now().Before(ta.deadline) {
		return hop.ReasonTimeout
	}
	return hop.ReasonCancelled
}

func (ta *taskAttempt) lostReason() hop.Reason {
	if time.Now().Before(ta.deadline) {
		return hop.ReasonAnswerLost
	}
	return hop.ReasonTimeout
}

// fetchRetained returns the complete answer that the guard retained, or nil. Guards are asked
// only about work that is not idempotent.
func (ta *taskAttempt) fetchRetained() *attempt.Answer {
	if ta.route.Idempotent {
		return nil
	}
	_, a := ta.resolve()
	return a
}

// resolve asks the guard what became of the attempt, and fetches the answer if the guard
// retained it.
func (ta *taskAttempt) resolve() (attempt.State, *attempt.Answer) {
	g := ta.backend.Guard
	g.Incarnation = ta.guardTime.Incarnation
	return ta.resolveAt(g, ta.id)
}

// resolveAt asks guard g what became of the attempt with the given ID, which may belong to
// another request.
func (ta *taskAttempt) resolveAt(g membership.Guard, id string) (attempt.State, *attempt.Answer) {
	limit := ta.deadline.Add(resolveTimeout)
	if ta.entry.config.StrictDeadline {
		limit = ta.deadline
	}
	ctx, cancel := context.WithDeadline(ta.r.Context(), limit)
	defer cancel()
	resolver := ta.entry.config.Resolver
	state, err := resolver.Resolve(ctx, g, id, time.Until(ta.deadline)+hopGrace)
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
// work that is not idempotent merely because the connection from the entry was lost.
func (ta *taskAttempt) cancelAtGuard() {
	if ta.route.Idempotent {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ta.r.Context()), cancelTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ta.backend.Guard.HopAddress+"/", http.NoBody)
	if err != nil {
		return
	}
	req.Header.Set(hop.HeaderCancel, ta.id)
	res, err := ta.entry.transport.RoundTrip(req)
	if err != nil {
		return
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
}
