// Package guard dispatches attempts to the backend servers that announce themselves to
// this node, each attempt at most once. When an answer is lost, the guard tells the
// entry whether the attempt ran and returns the answer if it was retained.
package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// Config configures a guard.
type Config struct {
	// Self identifies the node. Its incarnation is also that of the guard.
	Self membership.Guard
	// MayAnnounce reports whether a credential allows announcing a service.
	MayAnnounce func(service, credential string) bool
	// HealthMonitor may be nil: then every backend server is healthy.
	HealthMonitor HealthMonitor
	// Limits bounds the attempt ledger.
	Limits attempt.Limits
	// Protocol is the protocol that the backend servers use; nil means Native.
	Protocol Protocol
	// Expiry is how long a backend server counts as present after its last announcement;
	// 0 means 3 s.
	Expiry time.Duration
	// IdleTimeout is how long an unused connection to a backend server is kept open; 0
	// means 90 s. It must be shorter than the time after which the backend servers close
	// an unused connection.
	IdleTimeout time.Duration
	// ExclusiveBackends states that the backend servers receive requests from this guard
	// only.
	ExclusiveBackends bool
	// BufferAnswers makes the guard read a short answer completely before relaying it.
	BufferAnswers bool
	// Acknowledge makes the guard acknowledge each attempt to the entry on arrival.
	Acknowledge bool
	// ConfigVersion returns the version of the configuration in force, which each reply states; nil means
	// that none does.
	ConfigVersion func() uint64
	// ConfigAge returns the time since that version was known to be the newest one, which each reply
	// states; nil means that none does.
	ConfigAge func() time.Duration
	// RepeatBudget limits repeats, the attempts of requests that may already have reached
	// a backend server.
	RepeatBudget RepeatBudget
	// HedgeLimit limits hedges, the second attempts of unanswered requests.
	HedgeLimit HedgeLimit
	// Logger receives a line for each dispatch; with nil nothing is logged.
	Logger *log.Logger
}

// Guard is the http.Handler of the hop address, to which entries send attempts.
type Guard struct {
	config        Config
	registry      *registry
	attempts      *attempts
	attemptClock  attemptClock
	repeatBudgets repeatBudgets
	hedges        hedges
	// stopped ends when the guard stops.
	stopped context.Context
	stop    context.CancelFunc
}

// New returns a guard.
func New(c Config) *Guard {
	if c.HealthMonitor == nil {
		c.HealthMonitor = alwaysHealthy{}
	}
	if c.Protocol == nil {
		c.Protocol = Native{}
	}
	if c.Expiry == 0 {
		c.Expiry = announceExpiry
	}
	stopped, stop := context.WithCancel(context.Background())
	return &Guard{
		config:       c,
		registry:     &registry{self: c.Self, clock: newClock(), expiry: c.Expiry, idleTimeout: c.IdleTimeout, exclusive: c.ExclusiveBackends, servers: make(map[string]server), pastCounts: make(map[admission.Rank]admission.Counts)},
		attempts:     newAttempts(c.Limits),
		attemptClock: newAttemptClock(c.Self.Incarnation),
		hedges:       newHedges(c.HedgeLimit),
		stopped:      stopped,
		stop:         stop,
	}
}

// Backends returns the backend servers whose last announcement is more recent than
// Config.Expiry (3 s by default), sorted by ID.
func (g *Guard) Backends(now time.Time) []membership.Backend {
	bs := g.registry.backends(now)
	for i := range bs {
		state := g.config.HealthMonitor.AnnouncedHealth(bs[i].ID)
		bs[i].Suspect = state == Suspect
		bs[i].Ejected = state == Ejected
	}
	return bs
}

// Stop makes the guard refuse new and queued attempts, and announcements, from now on.
func (g *Guard) Stop() { g.stop() }

// stopping reports whether the guard takes no new work.
func (g *Guard) stopping() bool { return g.stopped.Err() != nil }

// maxBufferedBody is the size up to which a request body is read completely before
// admission. The dispatch then does not depend on the connection to the entry, whose
// loss net/http reports only after the body was read.
const maxBufferedBody = 64 << 10

// ServeHTTP serves one attempt, or cancels the attempt that HeaderCancel names.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(hop.HeaderCancel); id != "" {
		if readAt, ok := g.attemptClock.attemptTime(id); ok {
			g.attempts.cancel(id, readAt)
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	req, err := parseAttemptRequest(r.Header, time.Now())
	if req.backendID == "" {
		req.backendID = membership.BackendID(req.service, g.config.Self.HopAddress)
	}
	if _, ok := exchange.Target(r); !ok || err != nil {
		g.writeFailure(w, req, http.StatusBadRequest, hop.OutcomeNotRun, hop.ReasonBadRequest)
		return
	}
	req.requestID = g.config.Protocol.RequestID(r.Header)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.deadline)
	defer cancel()
	readAt, ok := g.attemptClock.timeOf(req.guardTime)
	if !ok && !req.idempotent && !g.acceptsWithoutReading(r, req) {
		// A later copy is refused too, because its ID has no reading of this clock either.
		g.writeFailure(w, req, http.StatusServiceUnavailable, hop.OutcomeNotRun, hop.ReasonStaleGuardTime)
		return
	}
	if !ok {
		readAt = time.Now()
	}
	if result := g.attempts.accept(req.id, readAt, cancel); result != attempt.Accepted {
		g.writeNotAccepted(w, req, result)
		return
	}
	defer g.attempts.end(req.id)
	s, reason := g.availableServer(&req)
	if reason != "" {
		// The attempt is refused before its body is requested and before full duplex is
		// enabled, so that the server reads a short body itself and keeps the connection.
		g.refuse(w, req, reason)
		return
	}
	if !g.hasRepeatBudget(req) {
		g.refuse(w, req, hop.ReasonRetryBudget)
		return
	}
	if reason := g.checkHedge(s, req); reason != "" {
		g.refuse(w, req, reason)
		return
	}
	if reason := s.queue.check(&req); reason != "" {
		g.logNoRoom(req, s, reason)
		// The same holds for an attempt that finds no room.
		g.refuse(w, req, reason)
		return
	}
	http.NewResponseController(w).EnableFullDuplex()
	g.serve(ctx, cancel, w, r, req)
}

// acceptsWithoutReading reports whether the guard accepts an attempt although its ID has no
// clock reading, because its entry waits for 100 Continue before it sends the body. The
// entry sends the body on this connection only. If the entry has sent the body and gets no
// reply, it reports the outcome unknown, because such an attempt cannot be resolved.
func (g *Guard) acceptsWithoutReading(r *http.Request, req attemptRequest) bool {
	return g.config.Acknowledge && req.guardTime == (hop.GuardTime{}) && r.ContentLength > 0 && r.Header.Get("Expect") != ""
}

func (g *Guard) serve(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, r *http.Request, req attemptRequest) {
	if g.config.Acknowledge && r.Header.Get("Expect") == "" {
		// Otherwise the 100 Continue that asks for the body acknowledges the attempt.
		w.WriteHeader(hop.StatusAcknowledged)
	}
	body, err := readBody(r)
	if err != nil {
		g.refuse(w, req, hop.ReasonBadRequest)
		return
	}
	// When the connection to the entry is lost or the guard stops, a queued attempt is dropped. A
	// dispatched one is dropped only when the connection is lost, if it is idempotent.
	queueCtx, cancelQueue := context.WithCancelCause(ctx)
	defer cancelQueue(nil)
	stopQueue := context.AfterFunc(r.Context(), func() { cancelQueue(nil) })
	defer context.AfterFunc(g.stopped, func() { cancelQueue(errStopping) })()
	s, reason := g.admit(queueCtx, &req)
	if reason != "" {
		g.logNoRoom(req, s, reason)
		g.refuse(w, req, reason)
		return
	}
	// This has no effect if the end of the dispatch was already reported.
	defer s.queue.done(req.id, 0, admission.Cancelled)
	stopQueue()
	if req.idempotent {
		defer context.AfterFunc(r.Context(), cancel)()
	}
	if queueCtx.Err() != nil {
		g.refuse(w, req, reasonOf(queueCtx))
		return
	}
	if reason := g.countAttempt(req); reason != "" {
		g.refuse(w, req, reason)
		return
	}
	if !g.attempts.dispatch(req.id) {
		g.refuse(w, req, hop.ReasonCancelled)
		return
	}
	g.dispatch(ctx, w, r, body, req, s)
}

// readBody reads a short body completely, and only the first byte of a long one. The
// attempt is not dispatched before that byte arrives, so an entry that has sent no byte
// of the body can state that the attempt did not run.
func readBody(r *http.Request) (io.Reader, error) {
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
	// This Read lets net/http see the end of the body and watch for the loss of the
	// connection.
	r.Body.Read(make([]byte, 1))
	return bytes.NewReader(body), nil
}

// admit waits for admission and returns the backend server if the attempt may be
// dispatched to it now, or the reason why not.
func (g *Guard) admit(ctx context.Context, req *attemptRequest) (server, hop.Reason) {
	s, reason := g.availableServer(req)
	if reason != "" {
		return s, reason
	}
	q := s.queue
	if reason := q.admit(ctx, req); reason != "" {
		return s, reason
	}
	// The backend server may have left or become suspect while the attempt was queued.
	s, reason = g.availableServer(req)
	if reason != "" {
		q.done(req.id, 0, admission.Cancelled)
	}
	return s, reason
}

func (g *Guard) availableServer(req *attemptRequest) (server, hop.Reason) {
	if g.stopping() {
		return server{}, hop.ReasonStopping
	}
	s, ok := g.registry.lookup(req.backendID, time.Now())
	if !ok || s.backend.Service != req.service || s.backend.State == membership.StateStarting {
		return s, hop.ReasonNoBackend
	}
	if s.backend.State == membership.StateLeaving {
		return s, hop.ReasonLeaving
	}
	return s, g.checkHealth(req)
}

// checkHealth returns a reason to refuse an attempt whose backend server is suspected or
// ejected, unless the attempt is admitted as a re-test. Force overrides a suspicion
// but not an ejection: an ejection has a permit, and permits are granted only as long as
// the service stays at or above its floor.
func (g *Guard) checkHealth(req *attemptRequest) hop.Reason {
	state := g.config.HealthMonitor.Health(req.backendID)
	if state == Healthy || req.retest || (state == Suspect && req.force) {
		return ""
	}
	if g.config.HealthMonitor.AdmitRetest(req.backendID, req.idempotent && req.mayRetest) {
		req.retest = true
		return ""
	}
	if state == Ejected {
		return hop.ReasonEjected
	}
	req.again = g.config.HealthMonitor.RetestIn(req.backendID)
	return hop.ReasonSuspect
}

// writeNotAccepted replies to an attempt that the ledger did not accept.
func (g *Guard) writeNotAccepted(w http.ResponseWriter, req attemptRequest, result attempt.AcceptResult) {
	switch result {
	case attempt.RefusedDuplicate:
		g.writeFailure(w, req, http.StatusBadGateway, hop.OutcomeUnknown, hop.ReasonDuplicate)
	case attempt.RefusedTooOld:
		g.writeFailure(w, req, http.StatusGatewayTimeout, hop.OutcomeUnknown, hop.ReasonTimeout)
	case attempt.RefusedFull:
		g.writeFailure(w, req, http.StatusServiceUnavailable, hop.OutcomeNotRun, hop.ReasonFull)
	default:
		g.writeFailure(w, req, http.StatusServiceUnavailable, hop.OutcomeNotRun, hop.ReasonCancelled)
	}
}

// refuse ends an attempt that did not run.
func (g *Guard) refuse(w http.ResponseWriter, req attemptRequest, reason hop.Reason) {
	g.attempts.refuse(req.id)
	g.writeFailure(w, req, http.StatusServiceUnavailable, hop.OutcomeNotRun, reason)
}

// writeFailure replies that the attempt has no answer, with the outcome and the reason.
func (g *Guard) writeFailure(w http.ResponseWriter, req attemptRequest, status int, o hop.Outcome, reason hop.Reason) {
	g.setHopHeaders(w.Header(), req, o)
	w.Header().Set(hop.HeaderReason, string(reason))
	if req.again > 0 {
		w.Header().Set(hop.HeaderAgainMS, strconv.FormatInt(req.again.Milliseconds(), 10))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// perMille converts a probability to thousandths, the unit of HeaderFailing.
const perMille = 1000

// setHopHeaders sets the response headers that the guard sends to the entry.
func (g *Guard) setHopHeaders(h http.Header, req attemptRequest, o hop.Outcome) {
	if s, ok := g.registry.lookup(req.backendID, time.Now()); ok {
		h.Set(hop.HeaderLoad, s.queue.loadForReply(o).String())
	}
	h.Set(hop.HeaderOutcome, string(o))
	h.Set(hop.HeaderGuardTime, g.attemptClock.read().String())
	if g.config.ConfigAge != nil {
		// Read before the version: a version that comes into force in between is newer than the age says.
		h.Set(hop.HeaderConfigAge, strconv.FormatInt(g.config.ConfigAge().Milliseconds()+1, 10))
	}
	if g.config.ConfigVersion != nil {
		h.Set(hop.HeaderConfigVersion, strconv.FormatUint(g.config.ConfigVersion(), 10))
	}
	health := g.config.HealthMonitor.Health(req.backendID)
	if health != Healthy {
		h.Set(hop.HeaderHealth, string(health))
	}
	if health == Suspect {
		failing := int(perMille * g.config.HealthMonitor.FailureProbability(req.backendID))
		h.Set(hop.HeaderFailing, strconv.Itoa(failing))
	}
}
