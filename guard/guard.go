// Package guard dispatches attempts to the backend servers that announce to
// this node, each at most once, and accounts for those whose answer was lost.
package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// Config of a guard.
type Config struct {
	// Self identifies the node; its incarnation is the guard's.
	Self membership.Guard
	// MayAnnounce reports whether a credential allows announcing a service.
	MayAnnounce func(service, credential string) bool
	// HealthMonitor may be nil: then every backend server is healthy.
	HealthMonitor HealthMonitor
	// Limits bounds the attempt ledger.
	Limits attempt.Limits
	// Protocol is the interface to backend servers; nil means Native.
	Protocol Protocol
	// Expiry is how long a backend server counts as present after it was last heard; 0 means 3 s.
	Expiry time.Duration
	// IdleTimeout is how long a connection to a backend server stays unused; 0 means 90 s.
	// It must be below the time after which backend servers close such a connection.
	IdleTimeout time.Duration
	// ExclusiveBackends tells that the backend servers take work from this guard only.
	ExclusiveBackends bool
	// BufferAnswers lets the guard keep a short answer until it is complete.
	BufferAnswers bool
	// Acknowledge tells the entry of each attempt when it arrives.
	Acknowledge bool
	// RepeatBudget limits the attempts of requests that may have arrived before.
	RepeatBudget RepeatBudget
	// Logger gets a line for each dispatch; nil logs none.
	Logger *log.Logger
}

// Guard is the http.Handler of the hop address.
type Guard struct {
	config   Config
	registry *registry
	calls    *calls
	clock    attemptClock
	repeats  repeats
	stopping atomic.Bool
}

// New returns a guard.
func New(c Config) *Guard {
	if c.HealthMonitor == nil {
		c.HealthMonitor = noObserver{}
	}
	if c.Protocol == nil {
		c.Protocol = Native{}
	}
	if c.Expiry == 0 {
		c.Expiry = announceExpiry
	}
	return &Guard{
		config:   c,
		registry: &registry{self: c.Self, clock: newClock(), expiry: c.Expiry, idle: c.IdleTimeout, trustSlots: c.ExclusiveBackends, servers: make(map[string]server)},
		calls:    newCalls(c.Limits),
		clock:    newAttemptClock(c.Self.Incarnation),
	}
}

// Backends returns the backend servers heard within the last 3 s, in the order of their IDs.
func (g *Guard) Backends(now time.Time) []membership.Backend {
	bs := g.registry.backends(now)
	for i := range bs {
		state := g.config.HealthMonitor.AnnouncedHealth(bs[i].ID)
		bs[i].Suspect = state == Suspect
		bs[i].Ejected = state == Ejected
	}
	return bs
}

// Stop refuses new work and announcements from now on.
func (g *Guard) Stop() { g.stopping.Store(true) }

// maxBufferedBody is the size up to which a body is read before admission. Its
// dispatch then does not depend on the entry's connection, whose loss net/http
// reports only after the body was read.
const maxBufferedBody = 64 << 10

// ServeHTTP takes one attempt.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(hop.HeaderCancel); id != "" {
		if known, ok := g.clock.attemptTime(id); ok {
			g.calls.cancel(id, known)
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	j, err := parseJob(r.Header, time.Now())
	if j.backendID == "" {
		j.backendID = membership.BackendID(j.service, g.config.Self.HopAddress)
	}
	if err != nil {
		g.fail(w, j, http.StatusBadRequest, hop.OutcomeNotRun, hop.ReasonBadRequest)
		return
	}
	j.requestID = g.config.Protocol.RequestID(r.Header)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), j.deadline)
	defer cancel()
	known, ok := g.clock.at(j.reading)
	if !ok && !j.idempotent && !g.asksForBody(r, j) {
		// The ID stays without a reading of this clock, so no copy is taken later.
		g.fail(w, j, http.StatusServiceUnavailable, hop.OutcomeNotRun, hop.ReasonStaleGuardTime)
		return
	}
	if !ok {
		known = time.Now()
	}
	if v := g.calls.arrive(j.id, known, cancel); v != attempt.Accepted {
		g.refuseArrival(w, j, v)
		return
	}
	defer g.calls.end(j.id)
	if _, reason := g.available(&j); reason != "" {
		// Refused before its body is asked for, and before full duplex, which leaves an unread body on the connection.
		g.refuse(w, j, reason)
		return
	}
	if !g.mayRepeat(j) {
		g.refuse(w, j, hop.ReasonRetryBudget)
		return
	}
	http.NewResponseController(w).EnableFullDuplex()
	g.serve(ctx, cancel, w, r, j)
}

// asksForBody reports whether an attempt without a reading of any clock is taken: its
// entry sends the body only now, on this connection, and claims nothing about the attempt
// once it has. Such an attempt cannot be resolved.
func (g *Guard) asksForBody(r *http.Request, j job) bool {
	return g.config.Acknowledge && j.reading == (hop.GuardTime{}) && r.ContentLength > 0 && r.Header.Get("Expect") != ""
}

func (g *Guard) serve(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, r *http.Request, j job) {
	if g.config.Acknowledge && r.ContentLength == 0 {
		w.WriteHeader(hop.StatusAcknowledged)
	}
	body, err := bodyOf(r)
	if err != nil {
		g.refuse(w, j, hop.ReasonBadRequest)
		return
	}
	// Queued work is dropped with the entry's connection; dispatched work only if it may repeat.
	queueCtx, cancelQueue := context.WithCancel(ctx)
	defer cancelQueue()
	stopQueue := context.AfterFunc(r.Context(), cancelQueue)
	s, reason := g.admit(queueCtx, j)
	if reason != "" {
		g.refuse(w, j, reason)
		return
	}
	// Has no effect when the end of the dispatch was reported.
	defer s.queue.done(j.id, 0, admission.Cancelled)
	stopQueue()
	if j.idempotent {
		defer context.AfterFunc(r.Context(), cancel)()
	}
	if !g.countArrival(j) {
		g.refuse(w, j, hop.ReasonRetryBudget)
		return
	}
	if queueCtx.Err() != nil || !g.calls.dispatch(j.id) {
		g.refuse(w, j, hop.ReasonCancelled)
		return
	}
	g.dispatch(ctx, w, r, body, j, s)
}

// bodyOf reads a short body, and the first part of a long one. An entry that has
// not sent the part can then say that the work did not run.
func bodyOf(r *http.Request) (io.Reader, error) {
	if r.ContentLength == 0 {
		return r.Body, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		first := make([]byte, 1)
		n, err := io.ReadFull(r.Body, first)
		if err != nil && err != io.EOF {
			return nil, err
		}
		return io.MultiReader(bytes.NewReader(first[:n]), r.Body), nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	// Lets net/http see the end of the body and watch for the loss of the connection.
	r.Body.Read(make([]byte, 1))
	return bytes.NewReader(body), nil
}

// admit returns the backend server when the work may be dispatched to it now.
func (g *Guard) admit(ctx context.Context, j job) (server, hop.Reason) {
	s, reason := g.available(&j)
	if reason != "" {
		return s, reason
	}
	q := s.queue
	if reason := q.admit(ctx, j); reason != "" {
		return s, reason
	}
	// It may have left or become suspect while the work was queued.
	s, reason = g.available(&j)
	if reason != "" {
		q.done(j.id, 0, admission.Cancelled)
	}
	return s, reason
}

func (g *Guard) available(j *job) (server, hop.Reason) {
	if g.stopping.Load() {
		return server{}, hop.ReasonStopping
	}
	s, ok := g.registry.lookup(j.backendID, time.Now())
	if !ok || s.backend.Service != j.service || s.backend.State == membership.StateStarting {
		return s, hop.ReasonNoBackend
	}
	if s.backend.State == membership.StateLeaving {
		return s, hop.ReasonLeaving
	}
	return s, g.steer(j)
}

// steer refuses work of a suspected or ejected backend server, except re-tests.
// Force overrides suspicion only, because an ejection has a permit and keeps the floor.
func (g *Guard) steer(j *job) hop.Reason {
	state := g.config.HealthMonitor.Health(j.backendID)
	if state == Healthy || j.retest || (state == Suspect && j.force) {
		return ""
	}
	if g.config.HealthMonitor.AdmitRetest(j.backendID, j.idempotent && j.mayRetest) {
		j.retest = true
		return ""
	}
	if state == Ejected {
		return hop.ReasonEjected
	}
	return hop.ReasonSuspect
}

func (g *Guard) refuseArrival(w http.ResponseWriter, j job, v attempt.AcceptResult) {
	switch v {
	case attempt.RefusedDuplicate:
		g.fail(w, j, http.StatusBadGateway, hop.OutcomeUnknown, hop.ReasonDuplicate)
	case attempt.RefusedTooOld:
		g.fail(w, j, http.StatusGatewayTimeout, hop.OutcomeUnknown, hop.ReasonTimeout)
	case attempt.RefusedFull:
		g.fail(w, j, http.StatusServiceUnavailable, hop.OutcomeNotRun, hop.ReasonFull)
	default:
		g.fail(w, j, http.StatusServiceUnavailable, hop.OutcomeNotRun, hop.ReasonCancelled)
	}
}

// refuse ends an attempt of which nothing was sent.
func (g *Guard) refuse(w http.ResponseWriter, j job, reason hop.Reason) {
	g.calls.refuse(j.id)
	g.fail(w, j, http.StatusServiceUnavailable, hop.OutcomeNotRun, reason)
}

func (g *Guard) fail(w http.ResponseWriter, j job, status int, o hop.Outcome, reason hop.Reason) {
	g.stamp(w.Header(), j, o)
	w.Header().Set(hop.HeaderReason, string(reason))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// thousand is the unit of a probability in a header.
const thousand = 1000

// stamp sets the reply headers of the hop.
func (g *Guard) stamp(h http.Header, j job, o hop.Outcome) {
	if s, ok := g.registry.lookup(j.backendID, time.Now()); ok {
		h.Set(hop.HeaderLoad, s.queue.loadAfter(o).String())
	}
	h.Set(hop.HeaderOutcome, string(o))
	h.Set(hop.HeaderGuardTime, g.clock.read().String())
	health := g.config.HealthMonitor.Health(j.backendID)
	if health != Healthy {
		h.Set(hop.HeaderHealth, string(health))
	}
	if health == Suspect {
		failing := int(thousand * g.config.HealthMonitor.FailureProbability(j.backendID))
		h.Set(hop.HeaderFailing, strconv.Itoa(failing))
	}
}
