// Package entry takes callers' requests, finds route, pool and backend server,
// and sends each attempt to the guard of the backend server.
package entry

import (
	"encoding/base64"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/pool"
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
	// RetryMinimum is the retries per second allowed without traffic.
	RetryMinimum float64
	Limits       settings.Limits
	// Keys decides about requests with an idempotency key. It may be nil when none come.
	Keys Keys
}

// Entry is the http.Handler of the traffic address.
type Entry struct {
	config    Config
	balancer  *balancer
	transport *http.Transport
	readings  readings
}

const (
	// maxIdleHopConns keeps connections for a burst to one guard.
	maxIdleHopConns = 64
	// continueTimeout is above the time a guard queues work, so that a refused
	// attempt has not yet consumed a body that cannot be replayed.
	continueTimeout = time.Second
)

// New returns an entry.
func New(c Config) *Entry {
	t := exchange.NewTransport(0, maxIdleHopConns)
	t.ExpectContinueTimeout = continueTimeout
	return &Entry{config: c, balancer: newBalancer(c), transport: t}
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
	if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, keyStatusPath) {
		e.serveKeyStatus(w, r)
		return
	}
	t, refused := e.accept(r)
	if refused == nil {
		t.body, refused = readBody(w, r, e.config.Limits.BodyStallTimeout)
	}
	if refused == nil {
		t.key, refused = t.useKey(r, received)
	}
	if refused != nil {
		refused.write(w)
		return
	}
	e.balancer.request()
	http.NewResponseController(w).EnableFullDuplex()
	t.run(w, r)
}

// accept checks the request and returns its task.
func (e *Entry) accept(r *http.Request) (*task, *refusal) {
	if refused := checkRequest(r, e.config.Limits.MaxHeaderBytes); refused != nil {
		return nil, refused
	}
	snapshot := e.config.Snapshot()
	if snapshot == nil || snapshot.Version() == 0 {
		return nil, notRun(http.StatusServiceUnavailable, hop.ReasonNotConfigured, "no configuration is in force")
	}
	name, secret, ok := credentials(r.Header)
	if !ok || !snapshot.Authenticate(name, secret) {
		return nil, notRun(http.StatusProxyAuthRequired, hop.ReasonNoCredential, "Proxy-Authorization is missing or wrong")
	}
	hop.DropProjectHeaders(r.Header)
	rt, ok := snapshot.Match(name, r.Host, r.Method, r.URL.Path)
	if !ok {
		return nil, notRun(http.StatusNotFound, hop.ReasonNoRoute, "no route matches host, method and path")
	}
	p, ok := snapshot.Pool(rt.Pool)
	if !ok {
		return nil, notRun(http.StatusServiceUnavailable, hop.ReasonNoPool, "pool "+rt.Pool+" does not exist")
	}
	timeout, ok := timeoutOf(r.Header, rt)
	if !ok {
		return nil, notRun(http.StatusBadRequest, hop.ReasonBadRequest, "Request-Timeout is not a positive number of seconds")
	}
	return &task{
		entry:    e,
		size:     int64(headerBytes(r)),
		route:    rt,
		pool:     p,
		version:  snapshot.Version(),
		deadline: time.Now().Add(timeout),
	}, nil
}

func checkRequest(r *http.Request, maxHeaderBytes int) *refusal {
	if r.Method == http.MethodConnect {
		return notRun(http.StatusBadRequest, hop.ReasonBadRequest, "CONNECT is not supported")
	}
	if headerBytes(r) > maxHeaderBytes {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, hop.ReasonBadRequest, "the headers are too large")
	}
	return nil
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

func credentials(h http.Header) (name, secret string, ok bool) {
	scheme, encoded, _ := strings.Cut(h.Get("Proxy-Authorization"), " ")
	if !strings.EqualFold(scheme, "Basic") {
		return "", "", false
	}
	decoded, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", "", false
	}
	return strings.Cut(string(decoded), ":")
}

// timeoutOf returns the route's timeout, or a shorter one that the caller asks for.
func timeoutOf(h http.Header, rt route.Route) (time.Duration, bool) {
	text := h.Get("Request-Timeout")
	if text == "" {
		return rt.Timeout(), true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0, false
	}
	if seconds >= rt.Timeout().Seconds() {
		return rt.Timeout(), true
	}
	return time.Duration(seconds * float64(time.Second)), true
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
