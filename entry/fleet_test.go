package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/entry"
	"github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1/jackdawlanev1connect"
	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/settings"
	"github.com/jackdawlane/jackdawlane/standin/link"
	store "github.com/jackdawlane/jackdawlane/standin/objectstore"
)

const (
	secret       = "organisation-secret"
	announceKey  = "announce-secret"
	routeTimeout = 2 * time.Second
	waitLimit    = 20 * time.Second

	announceInterval = 500 * time.Millisecond
)

// node is a guard with its servers; entries reach its hop address through link.
type node struct {
	mu    sync.Mutex
	guard *guard.Guard
	// states holds the announced state of each backend server by address.
	states map[string]membership.State
	link   *link.Relay
	self   membership.Guard
	hop    *swap
	ctl    *swap
}

// swap lets a test restart a guard behind the same address.
type swap struct {
	handler  atomic.Pointer[http.Handler]
	requests atomic.Int32
}

func (s *swap) set(h http.Handler) { s.handler.Store(&h) }

func (s *swap) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	(*s.handler.Load()).ServeHTTP(w, r)
}

// otherCalls is nested so that the methods of guard.Control take precedence.
type otherCalls struct {
	jackdawlanev1connect.UnimplementedControlServiceHandler
}

type control struct {
	otherCalls
	guard.Control
}

// fleet is an entry in front of some nodes, the first of which is the nearest.
type fleet struct {
	t     testing.TB
	nodes []*node
	url   string
	// views counts the uses of the view, one for each request that goes on to a guard.
	views atomic.Int32
	// store holds the idempotency keys.
	store *store.Server
	// frozen replaces the current view.
	frozen *membership.View
}

func snapshot() *config.Snapshot {
	ms := routeTimeout.Milliseconds()
	routes := []route.Route{
		{Name: "work", Organisation: "org", PathPrefix: "/jobs", Pool: "pool", TimeoutMS: ms},
		{Name: "read", Organisation: "org", PathPrefix: "/read", Pool: "pool", Idempotent: true, TimeoutMS: ms},
		// These outlast waitLimit, so that only a cancellation ends their work in a test.
		{Name: "long-work", Organisation: "org", PathPrefix: "/long/jobs", Pool: "pool", TimeoutMS: 60_000},
		{Name: "long-read", Organisation: "org", PathPrefix: "/long/read", Pool: "pool", Idempotent: true, TimeoutMS: 60_000},
		{Name: "lost", Organisation: "org", PathPrefix: "/lost", Pool: "absent"},
		{Name: "idle", Organisation: "org", PathPrefix: "/idle", Pool: "idle"},
	}
	hash := organisation.HashSecret(announceKey)
	pools := []pool.Pool{
		{Name: "pool", Service: "service", AnnounceSecretSHA256: hash},
		{Name: "idle", Service: "idle", AnnounceSecretSHA256: hash},
	}
	return config.NewSnapshot(1, routes, pools, []organisation.Organisation{
		{Name: "org", SecretSHA256: organisation.HashSecret(secret)},
	})
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func serve(t testing.TB, s *http.Server, l net.Listener) {
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
}

func newNode(t testing.TB) *node {
	hopListener, ctlListener, linkListener := listen(t), listen(t), listen(t)
	n := &node{hop: &swap{}, ctl: &swap{}, link: link.New(hopListener.Addr().String()), states: map[string]membership.State{}}
	n.self = membership.Guard{
		NodeID:         linkListener.Addr().String(),
		Region:         "region",
		DataCentre:     linkListener.Addr().String(),
		HopAddress:     linkListener.Addr().String(),
		ControlAddress: ctlListener.Addr().String(),
	}
	n.start(nil)
	serve(t, &http.Server{Handler: n.hop}, hopListener)
	serve(t, &http.Server{Handler: n.ctl}, ctlListener)
	go n.link.Serve(linkListener)
	stop := make(chan struct{})
	go n.repeat(stop)
	t.Cleanup(func() { close(stop); linkListener.Close(); n.link.Reset() })
	return n
}

// repeat announces the backend servers again and again, as they do themselves.
func (n *node) repeat(stop <-chan struct{}) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		for address := range n.states {
			n.send(address)
		}
		n.mu.Unlock()
	}
}

// start puts a guard with the next incarnation into service.
func (n *node) start(o guard.HealthMonitor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Incarnation++
	n.guard = guard.New(guard.Config{
		Self:          n.self,
		MayAnnounce:   snapshot().MayAnnounce,
		HealthMonitor: o,
		Limits:        attempt.DefaultLimits,
	})
	_, h := jackdawlanev1connect.NewControlServiceHandler(control{Control: guard.Control{Guard: n.guard}})
	n.hop.set(n.guard)
	n.ctl.set(h)
}

func (n *node) announce(t testing.TB, address string, state membership.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[address] = state
	assert.Equal(t, n.send(address), http.StatusNoContent)
}

// send announces one backend server; n.mu is held.
func (n *node) send(address string) int {
	body, _ := json.Marshal(guard.Announcement{
		Service: "service", Address: address, Slots: 32, Connections: 32, State: n.states[address], Credential: announceKey,
	})
	w := httptest.NewRecorder()
	n.guard.AnnounceHandler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/announce", bytes.NewReader(body)))
	return w.Code
}

func (n *node) backends() []membership.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.guard.Backends(time.Now())
}

// addBackend starts a backend server that announces itself to the node.
func (n *node) addBackend(t testing.TB, s *http.Server) string {
	l := listen(t)
	serve(t, s, l)
	n.announce(t, l.Addr().String(), membership.StateReady)
	return l.Addr().String()
}

func newFleet(t testing.TB, nodes ...*node) *fleet {
	f := &fleet{t: t, nodes: nodes}
	e := entry.New(entry.Config{
		Region:     "region",
		DataCentre: nodes[0].self.DataCentre,
		Snapshot:   snapshot,
		View:       f.view,
		Resolver:   entry.NewControlResolver(&http.Client{}),
		Limits:     settings.Limits{MaxHeaderBytes: 8 << 10, BodyStallTimeout: 300 * time.Millisecond, CrossRegionBytesPerSecond: 1},
		Keys:       newLocalKeys(t, f),
	})
	l := listen(t)
	serve(t, e.Server(), l)
	f.url = "http://" + l.Addr().String()
	return f
}

func (f *fleet) view() *membership.View {
	f.views.Add(1)
	if f.frozen != nil {
		return f.frozen
	}
	var all []membership.Backend
	for _, n := range f.nodes {
		all = append(all, n.backends()...)
	}
	return membership.NewView(all)
}

func (f *fleet) request(method, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(context.Background(), method, f.url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	authorise(r)
	return r
}

func authorise(r *http.Request) {
	plain := &http.Request{Header: http.Header{}}
	plain.SetBasicAuth("org", secret)
	r.Header.Set("Proxy-Authorization", plain.Header.Get("Authorization"))
}

// client opens a connection for each request, so that it never resends.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

type response struct {
	*http.Response
	body string
	// broken is the error that ended the body early.
	broken error
}

// start sends r in the background.
func (f *fleet) start(r *http.Request) <-chan response {
	done := make(chan response, 1)
	go func() {
		res, err := client.Do(r)
		if err != nil {
			done <- response{broken: err}
			return
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		done <- response{res, string(body), err}
	}()
	return done
}

func (f *fleet) do(r *http.Request) response {
	f.t.Helper()
	res, err := client.Do(r)
	assert.NilError(f.t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return response{res, string(body), err}
}

func (r response) outcome() string { return r.Header.Get(hop.HeaderOutcome) }

func (r response) reason() hop.Reason { return hop.Reason(r.Header.Get(hop.HeaderReason)) }

// until waits for a condition.
func until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitLimit {
			t.Fatalf("not reached: %s", what)
		}
	}
}
