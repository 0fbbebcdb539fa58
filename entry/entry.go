// Package entry takes callers' requests, finds route, pool and backend server,
// and sends each attempt to the guard of the backend server.
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
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/retry"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/settings"
)

// Config of an entry.
type Config struct {
	Region     string
	DataCentre string
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// View returns the current directory.
	View func() *membership.View
	// Resolver asks guards about lost answers.
	Resolver Resolver
	// GuardsLimitRetries leaves the budget of retries to the guards.
	GuardsLimitRetries bool
	// Running returns the work at the backend servers of this node, and how much of it
	// repeats. Calls of repeated work count as repeats; nil means that none is made.
	Running func() (all, repeats int)
	// CallFailed is told when a call of a backend server of this node may have failed; nil
	// tells nobody.
	CallFailed func()
	// RetryShare is the retries allowed for each request of a service; 0 means retry.DefaultShare.
	RetryShare float64
	// RetryMinimum is the retries per second of a service allowed without traffic.
	RetryMinimum float64
	Limits       settings.Limits
	// Keys decides about requests with an idempotency key. Without it such a key has no meaning here.
	Keys Keys
	// Protocol is the interface to callers; nil means Native.
	Protocol Protocol
	// Logger gets a line for each request; nil logs none.
	Logger *log.Logger
	// BufferAnswers lets the entry keep a short answer until it is complete, so that one
	// that breaks off can be replaced.
	BufferAnswers bool
	// WaitForCapacity lets a request wait at the entry while no backend server takes it.
	WaitForCapacity bool
	// StrictDeadline ends the search for a lost answer at the deadline of the request.
	StrictDeadline bool
	// AcknowledgeTimeout is the time in which a guard has to acknowledge an attempt; 0 means
	// that guards acknowledge none.
	AcknowledgeTimeout time.Duration
}

// Entry is the http.Handler of the traffic address.
type Entry struct {
	config    Config
	balancer  *balancer
	splitter  *balance.Splitter
	transport *http.Transport
	readings  readings
	originsMu sync.Mutex
	origins   *retry.OriginClassifier
}

const (
	// maxIdleHopConns keeps connections for a burst to one guard.
	maxIdleHopConns = 64
	// continueTimeout is above the time a guard queues work, so that a refused
	// attempt has not yet consumed a body that cannot be replayed.
	continueTimeout = time.Second
	// noTimeout outlasts every request.
	noTimeout = 2 * route.MaxTimeout
)

// New returns an entry.
func New(c Config) *Entry {
	if c.Protocol == nil {
		c.Protocol = Native{}
	}
	if c.RetryShare == 0 {
		c.RetryShare = retry.DefaultShare
	}
	dial := exchange.DialTimeout
	if c.AcknowledgeTimeout > 0 {
		dial = c.AcknowledgeTimeout
	}
	t := exchange.NewTransport(dial, 0, maxIdleHopConns)
	t.ExpectContinueTimeout = continueTimeout
	if c.AcknowledgeTimeout > 0 {
		// The body goes to a guard that asked for it, and to no other.
		t.ExpectContinueTimeout = noTimeout
	}
	splitter := balance.NewSplitter(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &Entry{config: c, balancer: newBalancer(c), splitter: splitter, transport: t, origins: retry.NewOriginClassifier()}
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
		// Above the limit that the handler checks, which gives a typed refusal.
		MaxHeaderBytes: 2 * e.config.Limits.MaxHeaderBytes,
	}
}

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if e.config.Keys != nil && r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, keyStatusPath) {
		e.serveKeyStatus(w, r)
		return
	}
	t, refused := e.accept(r, received)
	if refused == nil {
		t.body, refused = readBody(w, r, e.config.Limits.BodyStallTimeout, t.maxBody)
	}
	if refused == nil {
		t.key, refused = t.useKey(r, received)
	}
	if refused != nil {
		t.refuse(w, refused)
		return
	}
	e.balancer.request(t.pool.Service)
	http.NewResponseController(w).EnableFullDuplex()
	t.run(w, r)
}

// accept checks the request and returns its task, also with a refusal.
func (e *Entry) accept(r *http.Request, received time.Time) (*task, *ErrorReply) {
	t := &task{entry: e, received: received, delivering: new(atomic.Bool)}
	if refused := checkRequest(r, e.config.Limits.MaxHeaderBytes); refused != nil {
		return t, refused
	}
	snapshot := e.config.Snapshot()
	if snapshot == nil || snapshot.Version() == 0 {
		return t, NotRun(http.StatusServiceUnavailable, hop.ReasonNotConfigured, "no configuration is in force")
	}
	t.version = snapshot.Version()
	ask, refused := e.config.Protocol.ParseRequest(r, snapshot)
	t.requestID = ask.RequestID
	if refused != nil {
		return t, refused
	}
	if ask.HeaderBytes > 0 && int64(headerBytes(r)) > ask.HeaderBytes {
		return t, headersTooLarge()
	}
	t.maxBody = ask.BodyBytes
	hop.DropProjectHeaders(r.Header)
	rt, ok := snapshot.Match(ask.Organisation, r.Host, r.Method, r.URL.Path)
	if !ok {
		return t, NotRun(http.StatusNotFound, hop.ReasonNoRoute, "no route matches host, method and path")
	}
	t.route = rt
	t.origin = e.origin(rt.Name)
	name := e.splitter.Pool(rt)
	t.pool, ok = snapshot.Pool(name)
	if !ok {
		return t, NotRun(http.StatusServiceUnavailable, hop.ReasonNoPool, "pool "+name+" does not exist")
	}
	timeout := rt.Timeout()
	if ask.Timeout > 0 {
		timeout = min(timeout, ask.Timeout)
	}
	t.size = int64(headerBytes(r))
	t.deadline = received.Add(timeout)
	return t, nil
}

// origin takes a request of a route, and returns where it may come from.
func (e *Entry) origin(route string) retry.Origin {
	if e.config.Running == nil {
		return retry.Origin{}
	}
	running, repeats := e.config.Running()
	e.originsMu.Lock()
	defer e.originsMu.Unlock()
	return e.origins.Classify(route, running, repeats)
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

func headersTooLarge() *ErrorReply {
	return NotRun(http.StatusRequestHeaderFieldsTooLarge, hop.ReasonBadRequest, "the headers are too large")
}

// lineBytes is the length of ": " and CRLF of a header line.
const lineBytes = 4

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineBytes
		}
	}
	return n
}

// candidates returns the ready backend servers in the regions of the pool. The
// caller must not change them.
func (e *Entry) candidates(p pool.Pool) []membership.Backend {
	unusable := func(b membership.Backend) bool {
		return b.State != membership.StateReady || !p.Allows(b.Guard.Region)
	}
	all := e.config.View().Backends(p.Service)
	if !slices.ContainsFunc(all, unusable) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), unusable)
}
