package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/standin/backend"
)

// newHandlerFleet returns a fleet with one backend server.
func newHandlerFleet(t testing.TB, h http.HandlerFunc) *fleet {
	n := newNode(t)
	n.addBackend(t, &http.Server{Handler: h})
	return newFleet(t, n)
}

// Guards against changed or leaked headers on the way to the backend server.
func TestRequestReachesBackendUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	f := newHandlerFleet(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Jackdawlane-Outcome", "unknown")
		w.Header().Set("Connection", "X-Local")
		w.Header().Set("X-Local", "local")
		seen <- r
	})
	r := f.request("POST", "/jobs/a%2Fb?q=%20", "")
	r.Host = "example.test"
	r.Header.Set("Idempotency-Key", "key")
	r.Header.Set("Jackdawlane-Force", "true")
	r.Header.Set("Connection", "X-Secret")
	r.Header.Set("X-Secret", "secret")
	r.Header["User-Agent"] = nil
	res := f.do(r)
	assert.Equal(t, res.outcome(), "answer")
	assert.Equal(t, res.Header.Get("X-Local"), "")
	in := <-seen
	assert.Equal(t, in.Host, "example.test")
	assert.Equal(t, in.RequestURI, "/jobs/a%2Fb?q=%20")
	assert.Equal(t, in.ContentLength, int64(0))
	assert.Equal(t, len(in.TransferEncoding), 0)
	assert.Equal(t, in.Header.Get("Idempotency-Key"), "key")
	assert.Assert(t, in.Header.Get("Request-Timeout") != "")
	for name := range in.Header {
		assert.Assert(t, !strings.HasPrefix(name, hop.HeaderPrefix), name)
	}
	for _, name := range []string{"X-Secret", "Proxy-Authorization", "User-Agent", "Accept-Encoding", "Connection"} {
		assert.Equal(t, in.Header.Get(name), "", name)
	}
}

// Guards against lost trailers and informational responses.
func TestTrailersAndEarlyHints(t *testing.T) {
	f := newHandlerFleet(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "X-Announced")
		fmt.Fprintf(w, "%s %s", body, r.Trailer.Get("X-Request"))
		w.Header().Set("X-Announced", "1")
		w.Header().Set(http.TrailerPrefix+"X-Late", "2")
	})
	for _, path := range []string{"/jobs", "/read"} {
		hints := ""
		trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			hints = h.Get("Link")
			return nil
		}}
		r := f.request("POST", path, "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader("chunked")))
		r.ContentLength = -1
		r.Trailer = http.Header{"X-Request": {"trailer"}}
		res := f.do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
		assert.NilError(t, res.broken)
		assert.Equal(t, res.body, "chunked trailer")
		assert.Equal(t, res.Trailer.Get("X-Announced"), "1")
		assert.Equal(t, res.Trailer.Get("X-Late"), "2")
		assert.Equal(t, hints, "</style>")
		assert.Equal(t, res.Header.Get("Link"), "")
	}
}

// Guards against replies without a body that wait for one or lose their headers.
func TestRepliesWithoutBody(t *testing.T) {
	f := newHandlerFleet(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"v"`)
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "12345")
			return
		}
		w.WriteHeader(map[string]int{"/jobs/304": 304, "/jobs/204": 204}[r.URL.Path])
	})
	res := f.do(f.request("HEAD", "/jobs", ""))
	assert.Equal(t, res.ContentLength, int64(12345))
	assert.Equal(t, res.Header.Get("ETag"), `"v"`)
	for _, status := range []int{304, 204} {
		res := f.do(f.request("GET", fmt.Sprint("/jobs/", status), ""))
		assert.Equal(t, res.StatusCode, status)
		assert.Equal(t, res.outcome(), "answer")
		assert.Equal(t, res.Header.Get("ETag"), `"v"`)
	}
}

// Guards against a streaming reply that is held back until its end.
func TestReplyIsStreamed(t *testing.T) {
	proceed := make(chan struct{})
	f := newHandlerFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "first")
		http.NewResponseController(w).Flush()
		<-proceed
		io.WriteString(w, "second")
	})
	res, err := client.Do(f.request("GET", "/jobs", ""))
	assert.NilError(t, err)
	first := make([]byte, 5)
	_, err = io.ReadFull(res.Body, first)
	assert.NilError(t, err)
	close(proceed)
	rest, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(first)+string(rest), "firstsecond")
}

// Guards against HTTP/2 callers that are not served.
func TestHTTP2Caller(t *testing.T) {
	f := newHandlerFleet(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Write(body)
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	h2 := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	res, err := h2.Do(f.request("POST", "/jobs", "content"))
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, res.ProtoMajor, 2)
	assert.Equal(t, string(body), "content")
}

// Guards against refusals without outcome or reason, and against work that runs in spite of one.
func TestRefusals(t *testing.T) {
	var served atomic.Int32
	f := newHandlerFleet(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	cases := []struct {
		path, header, value string
		status              int
		reason              hop.Reason
	}{
		{"/jobs", "Proxy-Authorization", "", 407, hop.ReasonNoCredential},
		{"/jobs", "Proxy-Authorization", "Basic b3JnOndyb25n", 407, hop.ReasonNoCredential},
		{"/jobs", "Request-Timeout", "soon", 400, hop.ReasonBadRequest},
		{"/jobs", "X-Large", strings.Repeat("x", 9<<10), 431, hop.ReasonBadRequest},
		{"/none", "X", "", 404, hop.ReasonNoRoute},
		{"/lost", "X", "", 503, hop.ReasonNoPool},
		{"/idle", "X", "", 503, hop.ReasonNoBackend},
	}
	for _, c := range cases {
		r := f.request("GET", c.path, "")
		r.Header.Set(c.header, c.value)
		res := f.do(r)
		assert.Equal(t, res.StatusCode, c.status, c.path)
		assert.Equal(t, res.outcome(), "not-run")
		assert.Equal(t, res.reason(), c.reason)
		assert.Equal(t, res.Header.Get("Retry-After") != "", c.status == 503)
	}
	assert.Equal(t, served.Load(), int32(0))
}

// raw sends text on a connection of its own and returns the reply.
func (f *fleet) raw(text string) *http.Response {
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(f.t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(f.t, err)
	return res
}

func rawHead(t testing.TB, extra string) string {
	r := &http.Request{Header: http.Header{}}
	authorise(r)
	return "POST /jobs HTTP/1.1\r\nHost: h\r\nProxy-Authorization: " + r.Header.Get("Proxy-Authorization") + "\r\n" + extra + "\r\n"
}

// Guards against a body that holds a request for ever: kept bodies are refused
// as not run, streamed ones are unknown.
func TestStalledBody(t *testing.T) {
	f := newHandlerFleet(t, func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	res := f.raw(rawHead(t, "Content-Length: 100\r\n") + "short")
	assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, res.Header.Get(hop.HeaderOutcome), "not-run")
	res = f.raw(rawHead(t, "Content-Length: 1000000\r\n") + strings.Repeat("x", 200_000))
	detail, _ := io.ReadAll(res.Body)
	assert.Equal(t, res.StatusCode, http.StatusGatewayTimeout, string(detail))
	assert.Equal(t, res.Header.Get(hop.HeaderOutcome), "unknown")
}

// Guards against ambiguous framing that reaches a backend server.
func TestAmbiguousFraming(t *testing.T) {
	seen := make(chan *http.Request, 1)
	f := newHandlerFleet(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		seen <- r
	})
	res := f.raw(rawHead(t, "Content-Length: 1\r\nContent-Length: 2\r\n") + "ab")
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
	res = f.raw(rawHead(t, "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	in := <-seen
	assert.Equal(t, in.Header.Get("Content-Length"), "")
	assert.Equal(t, in.ContentLength, int64(-1))
}

// observer judges backend servers as a test says.
type observer struct{ state atomic.Value }

func (o *observer) Observe(guard.DispatchReport) {}
func (o *observer) Health(string) guard.Health   { return o.state.Load().(guard.Health) }

func (o *observer) FailureProbability(string) float64      { return 1 }
func (o *observer) AnnouncedHealth(id string) guard.Health { return o.Health(id) }
func (o *observer) AdmitRetest(string, bool) bool          { return false }

// Guards against a request that is refused because all backend servers are
// suspect, and against a body that is lost when the first guard refuses.
func TestSuspectedBackends(t *testing.T) {
	for _, size := range []int{0, 100, 1 << 20} {
		o := &observer{}
		o.state.Store(guard.Healthy)
		n := newNode(t)
		n.start(o)
		b := backend.New(backend.DefaultSettings, 1)
		n.addBackend(t, b.HTTPServer())
		f := newFleet(t, n)
		// The entry learns of the suspicion by the first refusal only.
		f.frozen = f.view()
		// The first answer brings the reading of the guard's clock that work needs.
		assert.Equal(t, f.do(f.request("POST", "/jobs", "")).outcome(), "answer")
		before := n.hop.requests.Load()
		o.state.Store(guard.Suspect)
		res := f.do(f.request("POST", "/jobs", strings.Repeat("x", size)))
		assert.Equal(t, res.outcome(), "answer", res.body)
		assert.Equal(t, n.hop.requests.Load()-before, int32(2))
		o.state.Store(guard.Ejected)
		res = f.do(f.request("POST", "/jobs", ""))
		assert.Equal(t, res.outcome(), "not-run")
		assert.Equal(t, res.reason(), hop.ReasonEjected)
	}
}

// Guards against work that fails because one guard cannot be reached.
func TestUnreachableGuard(t *testing.T) {
	closed := listen(t)
	closed.Close()
	down, up := newNode(t), newNode(t)
	down.self.HopAddress = closed.Addr().String()
	down.start(nil)
	b := backend.New(backend.DefaultSettings, 1)
	for range 4 {
		down.addBackend(t, b.HTTPServer())
	}
	up.addBackend(t, b.HTTPServer())
	f := newFleet(t, down, up)
	for _, size := range []int{0, 100, 1 << 20} {
		res := f.do(f.request("POST", "/jobs", strings.Repeat("x", size)))
		assert.Equal(t, res.outcome(), "answer", res.body)
	}
}

// Guards against new work for a leaving backend server while entries do not know yet.
func TestLeavingBackend(t *testing.T) {
	n := newNode(t)
	b := backend.New(backend.DefaultSettings, 1)
	address := n.addBackend(t, b.HTTPServer())
	f := newFleet(t, n)
	ready := f.view()
	n.announce(t, address, membership.StateLeaving)
	f.frozen = ready
	res := f.do(f.request("POST", "/jobs", ""))
	assert.Equal(t, res.outcome(), "not-run")
	assert.Equal(t, res.reason(), hop.ReasonLeaving)
	assert.Equal(t, b.Stats().Done, 0)
}
