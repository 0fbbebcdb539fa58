package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/hop"
)

// dispatch sends the attempt to its backend server and relays the answer.
func (g *Guard) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request, body io.Reader, j job, s server) {
	defer g.started(j)()
	span := &backendTime{start: time.Now()}
	reply := exchange.NewResponseWriter(w)
	out, sending := exchange.NewRequest(ctx, r, s.backend.Address, body)
	g.prepare(out, j, s)
	// http.Transport waits for a Read in progress, so the deadline must end it.
	defer context.AfterFunc(ctx, func() { sending.Interrupt(w) })()
	// Keeps the transport from reading the body after the handler has returned.
	defer sending.Close()
	defer sending.Interrupt(w)
	res, sent, err := exchange.Do(s.transport, out, reply.Informational)
	reply.Close()
	if err != nil {
		if ctx.Err() != nil {
			// Waits until a Read that the deadline ended has failed.
			sending.Interrupt(w)
			sending.Close()
		}
		span.replied(sending)
		g.dispatchFailed(ctx, w, j, s, sent, span)
		return
	}
	span.replied(sending)
	defer res.Body.Close()
	switch g.config.Protocol.ClassifyResponse(out, res) {
	case Overloaded:
		g.observe(ctx, j, s, Shed, span)
		g.declined(w, j, s, res.StatusCode, span)
		return
	case Declined, Misdirected:
		s.queue.done(j.id, time.Since(span.start), admission.Cancelled)
		g.declined(w, j, s, res.StatusCode, span)
		return
	case Mismatched:
		// The connection may hold more that belongs to no request.
		exchange.Discard(res)
		g.dispatchFailed(ctx, w, j, s, true, span)
		return
	}
	res.Body = &timedBody{ReadCloser: res.Body, span: span}
	if g.config.BufferAnswers {
		if err := holdShort(res); err != nil {
			g.dispatchFailed(ctx, w, j, s, true, span)
			return
		}
	}
	err = g.relay(reply, res, j)
	if errors.Is(err, exchange.ErrRead) {
		g.observe(ctx, j, s, Failed, span)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	span.answered = true
	g.observe(ctx, j, s, resultOf(res.StatusCode), span)
	g.log(j, s, hop.OutcomeAnswer, "", res.StatusCode, span)
}

// declined ends an attempt that the backend server did not run.
func (g *Guard) declined(w http.ResponseWriter, j job, s server, status int, span *backendTime) {
	g.log(j, s, hop.OutcomeNotRun, hop.ReasonDeclined, status, span)
	g.grant(w.Header(), j)
	g.refuse(w, j, hop.ReasonDeclined)
}

// holdShort reads a short answer to its end, so that one that breaks off is reported as lost.
func holdShort(res *http.Response) error {
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

// log writes the line of a dispatch: which process got the work, how it was judged, and what came back.
func (g *Guard) log(j job, s server, outcome hop.Outcome, reason hop.Reason, status int, span *backendTime) {
	if g.config.Logger == nil {
		return
	}
	load := s.queue.load()
	g.config.Logger.Info("dispatch",
		"id", j.requestID, "instance", s.instance, "service", j.service, "retest", j.retest, "forced", j.force, "repeat", string(j.repeat),
		"running", load.Running, "limit", load.Limit, "queued", load.Queued, "outcome", string(outcome), "reason", string(reason),
		"status", status, "health", string(g.config.HealthMonitor.Health(j.backendID)),
		"ms", time.Since(span.start).Milliseconds())
}

// prepare replaces the headers of the hop by those for the backend server.
func (g *Guard) prepare(out *http.Request, j job, s server) {
	key := out.Header.Values(hop.HeaderIdempotencyKey)
	hop.DropProjectHeaders(out.Header)
	if len(key) > 0 {
		out.Header["Idempotency-Key"] = key
	}
	left := max(time.Until(j.deadline), time.Millisecond)
	g.config.Protocol.Prepare(out.Header, Delivery{Instance: s.instance, Remaining: left})
}

func (g *Guard) dispatchFailed(ctx context.Context, w http.ResponseWriter, j job, s server, sent bool, span *backendTime) {
	reason := hop.ReasonUnreachable
	if ctx.Err() != nil {
		reason = reasonOf(ctx)
	}
	if !sent {
		if ctx.Err() == nil {
			g.observe(ctx, j, s, Failed, span)
		}
		g.refuse(w, j, reason)
		return
	}
	g.calls.finish(j.id, nil)
	g.observe(ctx, j, s, Failed, span)
	if reason == hop.ReasonUnreachable {
		reason = hop.ReasonAnswerLost
	}
	g.log(j, s, hop.OutcomeUnknown, reason, 0, span)
	if j.mayRetest {
		g.grant(w.Header(), j)
	}
	status := http.StatusBadGateway
	if reason == hop.ReasonTimeout {
		status = http.StatusGatewayTimeout
	}
	g.fail(w, j, status, hop.OutcomeUnknown, reason)
}

// relay sends the answer to the entry and, unless the work may repeat, records
// it. The recording goes on when the entry's connection is lost.
func (g *Guard) relay(reply *exchange.ResponseWriter, res *http.Response, j job) error {
	streamed := res.ContentLength < 0
	hop.DropHopByHop(res.Header)
	hop.DropProjectHeaders(res.Header)
	head := res.Header.Clone()
	g.stamp(head, j, hop.OutcomeAnswer)
	if j.mayRetest && resultOf(res.StatusCode) == Failed {
		g.grant(head, j)
	}
	reply.WriteHeader(res.StatusCode, head, res.Trailer)
	if streamed {
		reply.Flush()
	}
	a := &answer{calls: g.calls, id: j.id, lost: j.idempotent}
	_, err := reply.Copy(res.Body, streamed, a.add)
	if errors.Is(err, exchange.ErrWrite) && !j.idempotent {
		err = a.drain(res.Body)
	}
	if err != nil {
		return err
	}
	a.finish(res)
	reply.WriteTrailer(res.Trailer)
	return nil
}

// admissionResults are the results of dispatches as admission knows them.
var admissionResults = map[Result]admission.Result{
	OK: admission.Answered, Failed: admission.Failed, Shed: admission.Shed,
}

// observe reports a dispatch to the queue and, unless it was cancelled or the
// path to the entry is to blame, to the observer.
func (g *Guard) observe(ctx context.Context, j job, s server, r Result, span *backendTime) {
	if errors.Is(ctx.Err(), context.Canceled) || r == Failed && span.pathIsToBlame(ctx) {
		s.queue.done(j.id, time.Since(span.start), admission.Cancelled)
		return
	}
	s.queue.done(j.id, time.Since(span.start), admissionResults[r])
	g.config.HealthMonitor.Observe(DispatchReport{
		BackendID: j.backendID, Service: j.service, Route: j.route, Result: r, Answered: span.answered, Latency: span.waited,
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

// answer collects the answer of an attempt for the ledger.
type answer struct {
	calls *calls
	id    string
	body  []byte
	// lost is set when the answer is not, or no longer, collected.
	lost bool
}

func (a *answer) add(p []byte) {
	if a.lost {
		return
	}
	if !a.calls.reserve(a.id, len(p)) {
		a.lost = true
		a.body = nil
		return
	}
	a.body = append(a.body, p...)
}

// drain reads the rest of the body.
func (a *answer) drain(body io.Reader) error {
	if _, err := io.Copy(writerFunc(a.add), body); err != nil {
		return errors.Mark(err, exchange.ErrRead)
	}
	return nil
}

func (a *answer) finish(res *http.Response) {
	if a.lost {
		a.calls.finish(a.id, nil)
		return
	}
	a.calls.finish(a.id, &attempt.Answer{
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
