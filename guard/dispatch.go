package guard

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/health"
	"github.com/jackdawlane/jackdawlane/hop"
)

// maxLoggedRunes bounds the text of an error in the log, which may quote what a backend server sent.
const maxLoggedRunes = 200

// dispatch sends the attempt to its backend server and relays the answer to the entry.
func (g *Guard) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request, body io.Reader, req attemptRequest, s server) {
	defer g.countRunning(req)()
	timing := &backendTime{start: time.Now()}
	rw := exchange.NewResponseWriter(w)
	out, outBody := exchange.NewRequest(ctx, r, s.backend.Address, body, g.config.Protocol.EndToEndHeaders())
	g.setBackendHeaders(out, req, s)
	// http.Transport waits for a Read of the request body that is in progress, so the
	// deadline must interrupt that Read.
	defer context.AfterFunc(ctx, func() { outBody.Interrupt(w) })()
	// Keeps the transport from reading the body after the handler has returned.
	defer outBody.Close()
	defer outBody.Interrupt(w)
	run := g.startRun(req, outBody)
	// This has no effect if the end of the run was already reported.
	defer run.ended(health.RunVoid)
	res, sent, err := exchange.Do(s.transport, out, rw.Informational)
	rw.StopInformational()
	if err != nil {
		if ctx.Err() != nil {
			// Waits until a Read that the deadline interrupted has returned.
			outBody.Interrupt(w)
			outBody.Close()
		}
		timing.responseArrived(outBody)
		timing.noResponse = run.lost(ctx)
		if sent && !timing.uploadFailed {
			g.logBroken(ctx, req, s, err)
		}
		g.dispatchFailed(ctx, w, req, s, sent, timing)
		return
	}
	timing.responseArrived(outBody)
	defer res.Body.Close()
	class := g.config.Protocol.ClassifyResponse(out, res)
	run.responded(class, res.StatusCode)
	switch class {
	case Overloaded:
		g.reportResult(ctx, req, s, Shed, timing)
		g.dispatchDeclined(w, req, s, res.StatusCode, timing)
		return
	case Declined, Misdirected:
		s.queue.done(req.id, time.Since(timing.start), admission.Cancelled)
		g.dispatchDeclined(w, req, s, res.StatusCode, timing)
		return
	case Mismatched:
		// The connection is closed because it may hold more data that belongs to no request.
		exchange.Discard(res)
		g.logMismatch(req, s, res)
		g.dispatchFailed(ctx, w, req, s, true, timing)
		return
	}
	res.Body = &timedBody{ReadCloser: res.Body, timing: timing}
	if g.config.BufferAnswers {
		if err := bufferShortAnswer(res); err != nil {
			g.logBroken(ctx, req, s, err)
			g.dispatchFailed(ctx, w, req, s, true, timing)
			return
		}
	}
	err = g.relay(rw, res, req)
	if errors.Is(err, exchange.ErrRead) {
		g.logBroken(ctx, req, s, err)
		g.reportResult(ctx, req, s, Failed, timing)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	timing.answered = true
	g.reportResult(ctx, req, s, resultOf(res.StatusCode), timing)
	g.logDispatch(req, s, hop.OutcomeAnswer, "", res.StatusCode, timing)
}

// dispatchDeclined ends an attempt that was sent to the backend server but, according to
// the response, did not run.
func (g *Guard) dispatchDeclined(w http.ResponseWriter, req attemptRequest, s server, status int, timing *backendTime) {
	g.logDispatch(req, s, hop.OutcomeNotRun, hop.ReasonDeclined, status, timing)
	g.grantRepeat(w.Header(), req)
	g.refuse(w, req, hop.ReasonDeclined)
}

// bufferShortAnswer reads a short answer completely before any of it is relayed, so
// that the entry is told that the answer is lost if the answer breaks off.
func bufferShortAnswer(res *http.Response) error {
	whole, data, err := exchange.BufferBody(res)
	if err != nil || !whole {
		return err
	}
	res.Body = io.NopCloser(bytes.NewReader(data))
	if res.ContentLength < 0 && len(res.Trailer) == 0 && res.Request.Method != http.MethodHead {
		res.ContentLength = int64(len(data))
		res.Header.Set("Content-Length", strconv.Itoa(len(data)))
	}
	return nil
}

// logDispatch logs a dispatch: the process that received the attempt, the load and
// the health of the backend server, and the outcome.
func (g *Guard) logDispatch(req attemptRequest, s server, outcome hop.Outcome, reason hop.Reason, status int, timing *backendTime) {
	if g.config.Logger == nil {
		return
	}
	load := s.queue.load()
	g.config.Logger.Info("dispatch",
		"id", req.requestID, "instance", s.instance, "service", req.service, "retest", req.retest, "forced", req.force, "repeat", string(req.repeat), "priority", req.priority.String(),
		"running", load.Running, "limit", load.Limit, "queued", load.Queued, "outcome", string(outcome), "reason", string(reason),
		"status", status, "health", string(g.config.HealthMonitor.Health(req.backendID)),
		"ms", time.Since(timing.start).Milliseconds())
}

// logMismatch logs a response that does not answer the request, with the ID of the request that it
// belongs to, if it has one.
func (g *Guard) logMismatch(req attemptRequest, s server, res *http.Response) {
	if g.config.Logger == nil {
		return
	}
	g.config.Logger.Warn("response does not answer the request",
		"id", req.requestID, "instance", s.instance, "service", req.service,
		"status", res.StatusCode, "response_id", g.config.Protocol.RequestID(res.Header))
}

// logBroken logs why the answer to a request is missing or not whole, unless the time of the request has run out
// or the caller has gone.
func (g *Guard) logBroken(ctx context.Context, req attemptRequest, s server, err error) {
	if g.config.Logger == nil || ctx.Err() != nil {
		return
	}
	g.config.Logger.Warn("answer is broken",
		"id", req.requestID, "instance", s.instance, "service", req.service,
		"err", fmt.Sprintf("%.*s", maxLoggedRunes, errors.UnwrapAll(err).Error()))
}

// setBackendHeaders replaces the headers between entry and guard by those that the
// backend server expects.
func (g *Guard) setBackendHeaders(out *http.Request, req attemptRequest, s server) {
	key := out.Header.Values(hop.HeaderIdempotencyKey)
	hop.DropProjectHeaders(out.Header)
	if len(key) > 0 {
		out.Header["Idempotency-Key"] = key
	}
	remaining := max(time.Until(req.deadline), time.Millisecond)
	g.config.Protocol.Prepare(out.Header, Delivery{Instance: s.instance, Remaining: remaining})
}

func (g *Guard) dispatchFailed(ctx context.Context, w http.ResponseWriter, req attemptRequest, s server, sent bool, timing *backendTime) {
	reason := hop.ReasonUnreachable
	if ctx.Err() != nil {
		reason = reasonOf(ctx)
	}
	if !sent {
		if ctx.Err() == nil {
			g.reportResult(ctx, req, s, Failed, timing)
		}
		g.refuse(w, req, reason)
		return
	}
	g.attempts.finish(req.id, nil)
	g.reportResult(ctx, req, s, Failed, timing)
	if reason == hop.ReasonUnreachable {
		reason = hop.ReasonAnswerLost
	}
	g.logDispatch(req, s, hop.OutcomeUnknown, reason, 0, timing)
	if req.mayRetest {
		g.grantRepeat(w.Header(), req)
	}
	status := http.StatusBadGateway
	if reason == hop.ReasonTimeout {
		status = http.StatusGatewayTimeout
	}
	g.writeFailure(w, req, status, hop.OutcomeUnknown, reason)
}

// relay sends the answer to the entry and, unless the attempt is idempotent, retains
// it in the ledger. If the connection to the entry is lost, the rest of such an
// answer is still read and retained.
func (g *Guard) relay(rw *exchange.ResponseWriter, res *http.Response, req attemptRequest) error {
	streamed := res.ContentLength < 0
	hop.DropHopByHop(res.Header, g.config.Protocol.EndToEndHeaders())
	hop.DropProjectHeaders(res.Header)
	head := res.Header.Clone()
	g.setHopHeaders(head, req, hop.OutcomeAnswer)
	if req.mayRetest && resultOf(res.StatusCode) == Failed {
		g.grantRepeat(head, req)
	}
	rw.WriteHeader(res.StatusCode, head, res.Trailer)
	if streamed {
		rw.Flush()
	}
	recorder := &answerRecorder{attempts: g.attempts, id: req.id, discarded: req.idempotent}
	_, err := rw.Copy(res.Body, streamed, recorder.add)
	if errors.Is(err, exchange.ErrWrite) && !req.idempotent {
		err = recorder.drain(res.Body)
	}
	if err != nil {
		return err
	}
	recorder.finish(res)
	rw.WriteTrailer(res.Trailer)
	return nil
}

// admissionResults maps the results of dispatches to those of package admission.
var admissionResults = map[Result]admission.Result{
	OK: admission.Answered, Failed: admission.Failed, Shed: admission.Shed,
}

// reportResult reports the end of a dispatch to the queue and to the health monitor.
// A dispatch that was cancelled, or whose failure the path to the entry may have
// caused, counts as cancelled in the queue and is not reported to the health monitor.
func (g *Guard) reportResult(ctx context.Context, req attemptRequest, s server, r Result, timing *backendTime) {
	if errors.Is(ctx.Err(), context.Canceled) || r == Failed && timing.pathMayBeAtFault(ctx) {
		s.queue.done(req.id, time.Since(timing.start), admission.Cancelled)
		return
	}
	s.queue.done(req.id, time.Since(timing.start), admissionResults[r])
	g.config.HealthMonitor.Observe(DispatchReport{
		BackendID: req.backendID, Service: req.service, Route: req.route, Result: r, Answered: timing.answered, NoResponse: timing.noResponse, Latency: timing.waited,
	})
}

func resultOf(status int) Result {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Shed
	case status >= http.StatusInternalServerError:
		return Failed
	}
	return OK
}

// answerRecorder collects the answer to an attempt for the ledger.
type answerRecorder struct {
	attempts *attempts
	id       string
	body     []byte
	// discarded is set when the answer is not collected, because the attempt is idempotent
	// or because the ledger did not reserve room for the answer.
	discarded bool
}

func (a *answerRecorder) add(p []byte) {
	if a.discarded {
		return
	}
	if !a.attempts.reserve(a.id, len(p)) {
		a.discarded = true
		a.body = nil
		return
	}
	a.body = append(a.body, p...)
}

// drain reads the rest of the body and adds it to the answer.
func (a *answerRecorder) drain(body io.Reader) error {
	if _, err := io.Copy(writerFunc(a.add), body); err != nil {
		return errors.Mark(err, exchange.ErrRead)
	}
	return nil
}

func (a *answerRecorder) finish(res *http.Response) {
	if a.discarded {
		a.attempts.finish(a.id, nil)
		return
	}
	a.attempts.finish(a.id, &attempt.Answer{
		Status:  res.StatusCode,
		Header:  res.Header,
		Body:    a.body,
		Trailer: res.Trailer.Clone(),
	})
}

type writerFunc func([]byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}
