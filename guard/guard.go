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
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/attempt"
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
	// RepeatBudget limits repeats, the attempts of requests that may already have reached
	// a backend server.
	RepeatBudget RepeatBudget
	// Logger receives a line for each dispatch; with nil nothing is logged.
	Logger *log.Logger
}

// Guard is the http.Handler of the hop address, to which entries send attempts.
type Guard struct {
	config        Config
	registry      *registry
	attempts      *attempts
	clock         attemptClock
	repeatBudgets repeatBudgets
	stopping      atomic.Bool
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
	return &Guard{
		config:   c,
		registry: &registry{self: c.Self, clock: newClock(), expiry: c.Expiry, idleTimeout: c.IdleTimeout, exclusive: c.ExclusiveBackends, servers: make(map[string]server)},
		attempts: newAttempts(c.Limits),
		clock:    newAttemptClock(c.Self.Incarnation),
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

// Stop makes the guard refuse new attempts and announcements from now on.
func (g *Guard) Stop() { g.stopping.Store(true) }

// maxBufferedBody is the size up to which a request body is read completely before
// admission. The dispatch then does not depend on the connection to the entry, whose
// loss net/http reports only after the body was read.
const maxBufferedBody = 64 << 10

// ServeHTTP serves one attempt, or cancels the attempt that HeaderCancel names.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(hop.HeaderCancel); id != "" {
		if readAt, ok := g.clock.attemptTime(id); ok {
			g.attempts.cancel(id, readAt)
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
	readAt, ok := g.clock.timeOf(j.guardTime)
	if !ok && !j.idempotent && !g.sendsBodyOnContinue(r, j) {
		// A later copy is refused too, because its ID has no reading of this clock either.
		g.fail(w, j, http.StatusServiceUnavailable, hop.OutcomeNotRun, hop.ReasonStaleGuardTime)
		return
	}
	if !ok {
		readAt = time.Now()
	}
	if result := g.attempts.accept(j.id, readAt, cancel); result != attempt.Accepted {
		g.refuseArrival(w, j, result)
		return
	}
	defer g.attempts.end(j.id)
	if _, reason := g.availableServer(&j); reason != "" {
		// The attempt is refused before its body is requested and before full duplex is
		// enabled, which would leave an unread body on the connection.
		g.refuse(w, j, reason)
		return
	}
	if !g.hasRepeatBudget(j) {
		g.refuse(w, j, hop.ReasonRetryBudget)
		return
	}
	http.NewResponseController(w).EnableFullDuplex()
	g.serve(ctx, cancel, w, r, j)
}

// sendsBodyOnContinue reports whether an attempt whose ID has no clock reading is
// accepted because its entry waits for 100 Continue before it sends the body. The entry
// sends the body on this connection only, and once it has sent the body it makes no
// claim about whether the attempt ran. Such an attempt cannot be resolved.
func (g *Guard) sendsBodyOnContinue(r *http.Request, j job) bool {
	return g.config.Acknowledge && j.guardTime == (hop.GuardTime{}) && r.ContentLength > 0 && r.Header.Get("Expect") != ""
}

func (g *Guard) serve(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, r *http.Request, j job) {
	if g.config.Acknowledge && r.ContentLength == 0 {
		w.WriteHeader(hop.StatusAcknowledged)
	}
	body, err := readBody(r)
	if err != nil {
		g.refuse(w, j, hop.ReasonBadRequest)
		return
	}
	// When the connection to the entry is lost, a queued attempt is dropped, and a
	// dispatched one only if it is idempotent.
	queueCtx, cancelQueue := context.WithCancel(ctx)
	defer cancelQueue()
	stopQueue := context.AfterFunc(r.Context(), cancelQueue)
	s, reason := g.admit(queueCtx, j)
	if reason != "" {
		g.refuse(w, j, reason)
		return
	}
	// This has no effect if the end of the dispatch was already reported.
	defer s.queue.done(j.id, 0, admission.Cancelled)
	stopQueue()
	if j.idempotent {
		defer context.AfterFunc(r.Context(), cancel)()
	}
	if !g.countDispatch(j) {
		g.refuse(w, j, hop.ReasonRetryBudget)
		return
	}
	if queueCtx.Err() != nil || !g.attempts.dispatch(j.id) {
		g.refuse(w, j, hop.ReasonCancelled)
		return
	}
	g.dispatch(ctx, w, r, body, j, s)
}

// readBody reads a short body completely, and the first byte of a long one. An entry
// that has not sent that byte yet can then state that the attempt did not run.
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
func (g *Guard) admit(ctx context.Context, j job) (server, hop.Reason) {
	s, reason := g.availableServer(&j)
	if reason != "" {
		return s, reason
	}
	q := s.queue
	if reason := q.admit(ctx, j); reason != "" {
		return s, reason
	}
	// The backend server may have left or become suspect while the attempt was queued.
	s, reason = g.availableServer(&j)
	if reason != "" {
		q.done(j.id, 0, admission.Cancelled)
	}
	return s, reason
}

func (g *Guard) availableServer(j *job) (server, hop.Reason) {
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
	return s, g.checkHealth(j)
}

// checkHealth returns a reason to refuse an attempt whose backend server is suspected or
// ejected, unless the attempt is admitted as a re-test. Force overrides suspicion only,
// because an ejection has a permit and keeps the service at or above its floor.
func (g *Guard) checkHealth(j *job) hop.Reason {
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

func (g *Guard) refuseArrival(w http.ResponseWriter, j job, result attempt.AcceptResult) {
	switch result {
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

// refuse ends an attempt that did not run.
func (g *Guard) refuse(w http.ResponseWriter, j job, reason hop.Reason) {
	g.attempts.refuse(j.id)
	g.fail(w, j, http.StatusServiceUnavailable, hop.OutcomeNotRun, reason)
}

func (g *Guard) fail(w http.ResponseWriter, j job, status int, o hop.Outcome, reason hop.Reason) {
	g.setHopHeaders(w.Header(), j, o)
	w.Header().Set(hop.HeaderReason, string(reason))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// perMille converts a probability to thousandths, the unit of HeaderFailing.
const perMille = 1000

// setHopHeaders sets the response headers that the guard sends to the entry.
func (g *Guard) setHopHeaders(h http.Header, j job, o hop.Outcome) {
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
		failing := int(perMille * g.config.HealthMonitor.FailureProbability(j.backendID))
		h.Set(hop.HeaderFailing, strconv.Itoa(failing))
	}
}
