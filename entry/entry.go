// Package entry serves callers' requests: it finds the route, the pool and a backend server,
// and sends each attempt to the guard in front of that backend server.
package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/membudget"
	"github.com/jackdawlane/jackdawlane/pipeline"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/retry"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/settings"
)

// Config holds the settings and dependencies of an entry.
type Config struct {
	Region     string
	DataCentre string
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// View returns the current membership view, which lists the known backend servers.
	View func() *membership.View
	// ConfigVersionSeen is called with the version of the configuration that a guard's reply states; it may
	// be nil.
	ConfigVersionSeen func(version uint64)
	// ConfigVersionConfirmed is called with a version of the configuration and a time, by boottime.Now,
	// at which it was the newest one, according to a guard's reply; it may be nil.
	ConfigVersionConfirmed func(version uint64, at time.Duration)
	// Resolver asks guards about attempts whose answers were lost.
	Resolver Resolver
	// GuardsLimitRetries leaves it to the guards to limit retries; the entry then keeps no retry
	// budget.
	GuardsLimitRetries bool
	// LocalBackends are the backend servers of this node. If it is nil, the entry treats no request
	// as one that they have sent.
	LocalBackends LocalBackends
	// RetryShare is the number of retries allowed for each request of a service; 0 means
	// retry.DefaultShare.
	RetryShare float64
	// MinRetriesPerSecond is the number of retries per second that a service is allowed without
	// traffic.
	MinRetriesPerSecond float64
	Limits              settings.Limits
	// Keys is the register that decides about requests with an idempotency key. If it is nil, the
	// entry only passes such keys on.
	Keys Keys
	// Permits grants the requests of organisations with a limit; nil means that limits are not enforced.
	Permits Permits
	// Protocol is the interface to callers; nil means Native.
	Protocol Protocol
	// Hedging limits the second attempts of unanswered idempotent requests.
	Hedging settings.Hedging
	// Logger logs one line for each request; nil disables this.
	Logger *log.Logger
	// AnswerMemory bounds the memory of all buffered answers. Without room in it an answer is relayed as it
	// arrives. nil means no bound.
	AnswerMemory *membudget.Budget
	// BufferAnswers makes the entry buffer a short answer until it is complete, so that an answer
	// that breaks off can be replaced by that of another attempt.
	BufferAnswers bool
	// WaitForCapacity lets a request wait at the entry while no backend server accepts it.
	WaitForCapacity bool
	// StrictDeadline ends the recovery of a lost answer at the deadline of the request, instead of
	// up to resolveTimeout later.
	StrictDeadline bool
	// AcknowledgeTimeout is the time within which a guard must acknowledge an attempt; 0 means that
	// guards do not acknowledge attempts.
	AcknowledgeTimeout time.Duration
}

// LocalBackends are the backend servers of a node, which send requests of their own, calls, while
// they handle others.
type LocalBackends interface {
	// Running returns the work in progress at the backend servers.
	Running() retry.Running
	// CallStarted is called for each request that one of them may have sent. The entry calls ended
	// when the request has its reply.
	CallStarted() (ended func())
	// CallFailed is called when such a request fails, with the reason, which is empty when it was
	// answered with an error.
	CallFailed(reason hop.Reason)
}

// Entry is the http.Handler of the traffic address.
type Entry struct {
	config           Config
	balancer         *balancer
	splitter         *balance.Splitter
	transport        *http.Transport
	clockReadings    clockReadings
	originMu         sync.Mutex
	originClassifier *retry.OriginClassifier
	stop             *stop
	hedging          *hedging
}

const (
	// maxIdleHopConns is the number of idle connections kept to each guard, enough for a burst of
	// attempts.
	maxIdleHopConns = 64
	// continueTimeout is longer than the time for which a guard queues an attempt, so that a body
	// that cannot be replayed has not been read yet when the guard refuses the attempt.
	continueTimeout = time.Second
	// unlimitedContinueTimeout is longer than any request may take. It is not 0, because
	// http.Transport would then send the body without waiting for 100 Continue.
	unlimitedContinueTimeout = 2 * route.MaxTimeout
)

// New returns an entry.
func New(c Config) *Entry {
	if c.Protocol == nil {
		c.Protocol = Native{}
	}
	if c.RetryShare == 0 {
		c.RetryShare = retry.DefaultShare
	}
	dialTimeout := exchange.DialTimeout
	if c.AcknowledgeTimeout > 0 {
		dialTimeout = c.AcknowledgeTimeout
	}
	t := exchange.NewTransport(dialTimeout, 0, maxIdleHopConns)
	t.ExpectContinueTimeout = continueTimeout
	if c.AcknowledgeTimeout > 0 {
		// http.Transport then sends the body only after the guard has requested it with 100
		// Continue.
		t.ExpectContinueTimeout = unlimitedContinueTimeout
	}
	splitter := balance.NewSplitter(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &Entry{config: c, balancer: newBalancer(c), splitter: splitter, transport: t, originClassifier: retry.NewOriginClassifier(), stop: newStop(), hedging: newHedging(c.Hedging)}
}

// Server returns the server of the traffic address: HTTP/1.1, and HTTP/2 with prior knowledge.
func (e *Entry) Server() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           e,
		Protocols:         protocols,
		ReadHeaderTimeout: e.config.Limits.BodyStallTimeout,
		// This is above the limit that the handler checks, because the handler's refusal states
		// outcome and reason.
		MaxHeaderBytes: 2 * e.config.Limits.MaxHeaderBytes,
		// net/http would answer "OPTIONS *" itself with 200.
		DisableGeneralOptionsHandler: true,
	}
}

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if e.config.Keys != nil && r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, keyStatusPath) {
		e.serveKeyStatus(w, r)
		return
	}
	rs, errReply := e.newRequestState(r, received)
	defer func() { rs.callEnded() }()
	if errReply == nil && e.stop.refusing.Load() {
		errReply = stopping()
	}
	if errReply == nil {
		rs.body, errReply = readBody(w, r, bodyLimits{stall: e.config.Limits.BodyStallTimeout, deadline: rs.deadline, bytes: rs.maxBody}, e.stop)
	}
	if errReply == nil {
		errReply = checkTrailer(r.Trailer)
	}
	if errReply == nil {
		rs.key, errReply = rs.useKey(r, received)
	}
	if errReply != nil {
		rs.writeError(w, errReply)
		return
	}
	if !rs.route.Idempotent && !pipeline.WaitTurn(r.Context()) {
		rs.writeError(w, NotRun(http.StatusServiceUnavailable, hop.ReasonCancelled, "the connection closed before the request could be started"))
		return
	}
	defer rs.answerMemory.Release()
	e.balancer.recordRequest(rs.pool.Service)
	http.NewResponseController(w).EnableFullDuplex()
	rs.run(w, r)
}

// newRequestState checks the request and returns its state. The state is also returned with an
// error reply, with the fields that were known by then.
func (e *Entry) newRequestState(r *http.Request, received time.Time) (*requestState, *ErrorReply) {
	rs := &requestState{
		entry: e, received: received, answerMemory: e.config.AnswerMemory.Lease(), callEnded: func() {},
		delivering: new(atomic.Bool), status: new(atomic.Int64),
	}
	if errReply := checkRequest(r, e.config.Limits.MaxHeaderBytes); errReply != nil {
		return rs, errReply
	}
	if errReply := checkHeaderLines(r.Header, e.config.Limits.MaxHeaderLines); errReply != nil {
		return rs, errReply
	}
	snapshot, errReply := e.snapshot()
	if errReply != nil {
		return rs, errReply
	}
	rs.version = snapshot.Version()
	info, errReply := e.config.Protocol.ParseRequest(r, snapshot)
	rs.requestID = info.RequestID
	if errReply != nil {
		return rs, errReply
	}
	if info.HeaderBytes > 0 && int64(headerBytes(r)) > info.HeaderBytes {
		return rs, headersTooLarge()
	}
	rs.maxBody = info.BodyBytes
	hop.DropProjectHeaders(r.Header)
	target, ok := exchange.Target(r)
	if !ok {
		return rs, NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "the request target is not valid")
	}
	if errReply := rs.matchRoute(snapshot, info, r.Host, r.Method, exchange.TargetPath(target)); errReply != nil {
		return rs, errReply
	}
	rs.origin, rs.callEnded = e.classifyOrigin(rs.route.Name)
	if errReply := rs.usePool(snapshot, e.splitter.Pool(rs.route)); errReply != nil {
		return rs, errReply
	}
	timeout := rs.route.Timeout()
	if info.Timeout > 0 {
		timeout = min(timeout, info.Timeout)
	}
	rs.headerSize = int64(headerBytes(r))
	rs.deadline = received.Add(timeout)
	return rs, nil
}

// snapshot returns the configuration in force, or the reply to a request when there is none.
func (e *Entry) snapshot() (*config.Snapshot, *ErrorReply) {
	s := e.config.Snapshot()
	if s == nil || s.Version() == 0 {
		return nil, NotRun(http.StatusServiceUnavailable, hop.ReasonNotConfigured, "no configuration is in force")
	}
	return s, nil
}

// matchRoute sets the route and the caller of the request.
func (rs *requestState) matchRoute(s *config.Snapshot, info RequestInfo, host, method, path string) *ErrorReply {
	rt, ok := s.Match(info.Organisation, host, method, path)
	if !ok {
		return NotRun(http.StatusNotFound, hop.ReasonNoRoute, "no route matches host, method and path")
	}
	rs.route = rt
	if !rt.Public && info.Unauthenticated != nil {
		return info.Unauthenticated
	}
	rs.caller = info.Caller
	return nil
}

// usePool sets the pool of the request.
func (rs *requestState) usePool(s *config.Snapshot, name string) *ErrorReply {
	var ok bool
	if rs.pool, ok = s.Pool(name); !ok {
		return NotRun(http.StatusServiceUnavailable, hop.ReasonNoPool, "pool "+name+" does not exist")
	}
	return nil
}

// classifyOrigin records a request for the route and returns its origin: whether a backend
// server of this node may have sent it, and whether it counts as a repeat. callEnded must be called
// when the request has its reply.
func (e *Entry) classifyOrigin(route string) (origin retry.Origin, callEnded func()) {
	callEnded = func() {}
	if e.config.LocalBackends == nil {
		return origin, callEnded
	}
	running := e.config.LocalBackends.Running()
	e.originMu.Lock()
	defer e.originMu.Unlock()
	origin = e.originClassifier.Classify(route, running)
	if origin.MayBeCall {
		callEnded = e.config.LocalBackends.CallStarted()
	}
	return origin, callEnded
}

func checkRequest(r *http.Request, maxHeaderBytes int) *ErrorReply {
	if r.Method == http.MethodConnect {
		return NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "CONNECT is not supported")
	}
	if headerBytes(r) > maxHeaderBytes {
		return headersTooLarge()
	}
	return nil
}

// checkHeaderLines refuses a request with more header lines than the limit; 0 means no limit.
func checkHeaderLines(h http.Header, limit int) *ErrorReply {
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	if limit > 0 && lines > limit {
		return NotRun(http.StatusRequestHeaderFieldsTooLarge, hop.ReasonBadRequest, "there are too many header lines")
	}
	return nil
}

func headersTooLarge() *ErrorReply {
	return NotRun(http.StatusRequestHeaderFieldsTooLarge, hop.ReasonBadRequest, "the headers are too large")
}

// headerLineOverhead is the length of the ": " and the CRLF of a header line.
const headerLineOverhead = 4

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return n
}

// candidates returns the ready backend servers in the regions of the pool, without starting and
// leaving ones. The caller must not change the returned slice.
func (e *Entry) candidates(p pool.Pool) []membership.Backend {
	unusable := func(b membership.Backend) bool { return exclusion(p, b) != "" }
	all := e.config.View().Backends(p.Service)
	if !slices.ContainsFunc(all, unusable) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), unusable)
}

// exclusion returns why a backend server is no candidate for requests of the pool; empty if it is one.
func exclusion(p pool.Pool, b membership.Backend) string {
	switch {
	case b.State != membership.StateReady:
		return string(b.State)
	case !p.AllowsRegion(b.Guard.Region):
		return "region not allowed by the pool"
	}
	return ""
}
