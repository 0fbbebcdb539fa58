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
	// hopGrace lets the guard's own reply about a timeout, arrive.
	hopGrace = 150 * time.Millisecond
	// resolveTimeout bounds the resolution after the deadline of the request.
	resolveTimeout = 2 * time.Second
	// cancelTimeout bounds the call that cancels work whose caller has gone.
	cancelTimeout = time.Second
)

// try is one attempt of a task.
type try struct {
	*task
	id      string
	known   hop.GuardTime
	backend membership.Backend
	ending  ending
	// confirmed is set when the guard gets the body only after it asked for it.
	confirmed bool
	w         http.ResponseWriter
	r         *http.Request
}

// attempt makes one attempt. It returns nil when the caller has its reply, and
// aborts the caller's connection when a reply that has begun cannot be completed.
func (t *task) attempt(w http.ResponseWriter, r *http.Request, c balance.Choice, bytes int64) *ErrorReply {
	b := c.Backend
	known := t.entry.readings.known(b.Guard)
	y := &try{task: t, id: hop.NewAttemptID(known), known: known, backend: b, w: w, r: r}
	defer func() { y.end(c, bytes) }()
	if proceed, refused := y.claim(); !proceed {
		return refused
	}
	ctx, cancel := context.WithDeadline(r.Context(), t.deadline.Add(hopGrace))
	defer cancel()
	out, sending := exchange.NewRequest(ctx, r, b.Guard.HopAddress, t.body.reader())
	y.prepare(out, c.Force)
	defer context.AfterFunc(ctx, func() { sending.Interrupt(w) })()
	// Keeps the transport from reading the body after the attempt.
	defer sending.Close()
	reply := exchange.NewResponseWriter(w)
	accepted := y.expectAcceptance(cancel)
	res, sent, err := exchange.Do(t.entry.transport, out, func(code int, header textproto.MIMEHeader) {
		accepted()
		if code != hop.StatusAcknowledged && !t.entry.config.BufferAnswers {
			reply.Informational(code, header)
		}
	})
	accepted()
	reply.Close()
	y.ending.replied = err == nil
	y.ending.failed = err != nil && r.Context().Err() == nil
	if err != nil && !sent {
		return NotRun(http.StatusServiceUnavailable, hop.ReasonUnreachable, "the guard cannot be reached").withoutReply()
	}
	if err != nil {
		// Waits until a Read that failed has said why.
		sending.Close()
		return y.lost().withoutReply()
	}
	defer res.Body.Close()
	t.entry.readings.learn(b.Guard, res.Header.Get(hop.HeaderGuardTime))
	replied := true
	defer func() {
		// An upload that the answer did not wait for must not delay its end.
		if replied {
			sending.Interrupt(w)
		}
	}()
	granted := res.Header.Get(hop.HeaderGrant) != ""
	refused := y.judge(reply, res)
	replied = refused == nil
	if refused != nil {
		refused.granted = granted
	}
	return refused
}

// expectAcceptance cancels the attempt unless the function that it returns is called in
// time, when the guard acknowledges the attempt.
func (y *try) expectAcceptance(cancel context.CancelFunc) (accepted func()) {
	limit := y.entry.config.AcknowledgeTimeout
	if limit == 0 {
		return func() {}
	}
	timer := time.AfterFunc(limit, cancel)
	return func() { timer.Stop() }
}

func (y *try) prepare(out *http.Request, force bool) {
	h := out.Header
	key := h.Values("Idempotency-Key")
	if len(key) > 0 {
		h[hop.HeaderIdempotencyKey] = key
		h.Del("Idempotency-Key")
	}
	if y.body.rest == nil && len(out.Trailer) == 0 && len(y.body.prefix) > 0 {
		out.ContentLength = int64(len(y.body.prefix))
	}
	y.confirmed = y.entry.config.AcknowledgeTimeout > 0 && !y.route.Idempotent && len(y.body.prefix) > 0
	if y.body.rest != nil || y.confirmed {
		h.Set("Expect", "100-continue")
	}
	left := max(time.Until(y.deadline)/time.Millisecond, 1)
	h.Set(hop.HeaderAttempt, y.id)
	h.Set(hop.HeaderService, y.backend.Service)
	h.Set(hop.HeaderRoute, y.route.Name)
	h.Set(hop.HeaderTimeoutMS, strconv.FormatInt(int64(left), 10))
	// Headers that say the usual are left out, because links between regions are billed by volume.
	if y.backend.ID != membership.BackendID(y.backend.Service, y.backend.Guard.HopAddress) {
		h.Set(hop.HeaderBackendServer, y.backend.ID)
	}
	if y.route.Organisation != "" {
		h.Set(hop.HeaderOrganisation, y.route.Organisation)
	}
	if y.route.Idempotent {
		h.Set(hop.HeaderIdempotent, "true")
	}
	if force {
		h.Set(hop.HeaderForce, "true")
	}
	if repeat := y.repeat(); repeat != hop.RepeatNone {
		h.Set(hop.HeaderRepeat, string(repeat))
	}
	if y.mayRetest() {
		h.Set(hop.HeaderRetest, "true")
	}
}

// end records what the attempt showed of the backend server and the path to it.
func (y *try) end(c balance.Choice, expected int64) {
	y.ending.expected = expected
	y.ending.actual += y.size + y.body.read()
	y.entry.balancer.end(c, y.ending)
}

// judge acts on the guard's reply.
func (y *try) judge(reply *exchange.ResponseWriter, res *http.Response) *ErrorReply {
	reason := hop.Reason(res.Header.Get(hop.HeaderReason))
	y.ending.reply.Reason = reason
	y.ending.reply.Suspect = res.Header.Get(hop.HeaderHealth) == hop.HealthSuspect
	y.ending.reply.Failing = failing(res.Header.Get(hop.HeaderFailing))
	if load, _, err := admission.ParseLoad(res.Header.Get(hop.HeaderLoad)); err == nil {
		y.ending.reply.Load, y.ending.reply.HasLoad = load, true
	}
	switch hop.Outcome(res.Header.Get(hop.HeaderOutcome)) {
	case hop.OutcomeAnswer:
		return y.answered(reply, res)
	case hop.OutcomeNotRun:
		return NotRun(http.StatusServiceUnavailable, reason, "the guard refused the work")
	case hop.OutcomeUnknown:
		if reason != hop.ReasonDuplicate {
			return Unknown(reason, "the backend server gave no complete answer")
		}
	}
	return y.lost()
}

// failing reads a probability in thousandths. Without a valid one a suspected
// backend server is taken to fail all work.
func failing(text string) float64 {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || n > 1000 {
		return 1
	}
	return float64(n) / 1000
}

// answered holds a short answer for the caller, and delivers a long one. The failure of
// work that may be repeated is not final.
func (y *try) answered(reply *exchange.ResponseWriter, res *http.Response) *ErrorReply {
	if !y.entry.config.BufferAnswers {
		y.deliver(reply, res)
		return nil
	}
	a, whole, err := hold(res)
	if err != nil {
		return y.lost()
	}
	if !whole {
		if !y.delivering.CompareAndSwap(false, true) {
			return Unknown(hop.ReasonCancelled, "the other attempt delivers its answer")
		}
		y.deliver(reply, res)
		return nil
	}
	y.ending.actual += int64(len(a.body))
	held := Unknown(hop.ReasonFailed, "the backend server failed")
	held.answer = a
	held.final = !y.route.Idempotent || a.status < http.StatusInternalServerError
	return held
}

// deliver relays an answer. When it breaks off, the rest of a retained answer
// follows, or the caller's connection is aborted.
func (y *try) deliver(reply *exchange.ResponseWriter, res *http.Response) {
	streamed := res.ContentLength < 0
	y.status = res.StatusCode
	y.sendHead(reply, res.StatusCode, res.Header, res.Trailer)
	if streamed {
		reply.Flush()
	}
	offset, err := reply.Copy(res.Body, streamed, func([]byte) {})
	y.ending.actual += offset
	if err == nil {
		reply.WriteTrailer(res.Trailer)
		return
	}
	if errors.Is(err, exchange.ErrWrite) || y.r.Context().Err() != nil {
		y.cancel()
		panic(http.ErrAbortHandler)
	}
	a := y.recover()
	if a == nil || offset > int64(len(a.Body)) {
		panic(http.ErrAbortHandler)
	}
	y.w.Write(a.Body[offset:])
	reply.WriteTrailer(a.Trailer)
}

func (t *task) sendHead(reply *exchange.ResponseWriter, status int, header, trailer http.Header) {
	hop.DropHopByHop(header)
	hop.DropProjectHeaders(header)
	t.entry.config.Protocol.AnnotateAnswer(header)
	reply.WriteHeader(status, header, trailer)
}

// lost finds out what became of an attempt without a reply.
func (y *try) lost() *ErrorReply {
	if y.r.Context().Err() != nil {
		// A read deadline on the body ends this context too.
		y.cancel()
		return Unknown(y.endReason(), "the caller has gone or its request body made no progress")
	}
	if y.route.Idempotent {
		return Unknown(y.lostReason(), "the answer was lost")
	}
	if y.known == (hop.GuardTime{}) && y.confirmed {
		return Unknown(y.lostReason(), "the answer was lost, and an attempt without a reading of the guard's clock cannot be resolved")
	}
	if y.known == (hop.GuardTime{}) {
		return NotRun(http.StatusServiceUnavailable, hop.ReasonUnreachable, "the guard takes no work without a reading of its clock")
	}
	if y.entry.config.StrictDeadline && !time.Now().Before(y.deadline) {
		return Unknown(hop.ReasonTimeout, "the time of the request is over and the work may have run")
	}
	state, answer := y.resolve()
	switch {
	case state == attempt.NotRun:
		return NotRun(http.StatusServiceUnavailable, hop.ReasonAnswerLost, "the guard never dispatched the work")
	case answer != nil:
		y.deliverRetained(answer)
		return nil
	}
	return Unknown(y.lostReason(), "the answer was lost and the work may have run")
}

func (y *try) endReason() hop.Reason {
	if y.body.stalled() || !time.Now().Before(y.deadline) {
		return hop.ReasonTimeout
	}
	return hop.ReasonCancelled
}

func (y *try) lostReason() hop.Reason {
	if time.Now().Before(y.deadline) {
		return hop.ReasonAnswerLost
	}
	return hop.ReasonTimeout
}

// recover returns the whole answer of work that must not repeat, or nil.
func (y *try) recover() *attempt.Answer {
	if y.route.Idempotent {
		return nil
	}
	_, a := y.resolve()
	return a
}

// resolve asks the guard about the attempt and fetches a retained answer.
func (y *try) resolve() (attempt.State, *attempt.Answer) {
	g := y.backend.Guard
	g.Incarnation = y.known.Incarnation
	return y.resolveAt(g, y.id)
}

// resolveAt asks a guard about an attempt, which may be that of another request.
func (y *try) resolveAt(g membership.Guard, id string) (attempt.State, *attempt.Answer) {
	limit := y.deadline.Add(resolveTimeout)
	if y.entry.config.StrictDeadline {
		limit = y.deadline
	}
	ctx, cancel := context.WithDeadline(y.r.Context(), limit)
	defer cancel()
	resolver := y.entry.config.Resolver
	state, err := resolver.Resolve(ctx, g, id, time.Until(y.deadline)+hopGrace)
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

// cancel tells the guard that the caller has gone. Loss of the hop connection
// alone does not cancel work that must not repeat.
func (y *try) cancel() {
	if y.route.Idempotent {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(y.r.Context()), cancelTimeout)
	defer stop()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+y.backend.Guard.HopAddress+"/", http.NoBody)
	if err != nil {
		return
	}
	out.Header.Set(hop.HeaderCancel, y.id)
	res, err := y.entry.transport.RoundTrip(out)
	if err != nil {
		return
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
}
