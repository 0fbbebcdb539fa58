package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// testTimeout bounds the time for which a test waits for something that must happen.
const testTimeout = 5 * time.Second

// start serves the handler and returns the server and its address.
func start(t testing.TB, h http.HandlerFunc) (*Server, string) {
	l, err := loopback.Listen()
	assert.NilError(t, err)
	s := NewServer(&http.Server{Handler: h, ReadHeaderTimeout: time.Second}, nil, log.New(io.Discard))
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return s, l.Addr().String()
}

// client is a raw client connection.
type client struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, address string) *client {
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{t: t, Conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// answer reads one response and returns its body.
func (c *client) answer() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	return res, string(body)
}

// assertEnded checks that the connection ends without a further response.
func (c *client) assertEnded() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.ErrorIs(c.t, err, io.EOF)
}

// wait fails the test if the channel is not closed in time.
func wait(t testing.TB, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("not in time: " + what)
	}
}

// gate holds the requests for a path until it is opened.
type gate struct {
	arrived, opened chan struct{}
	once            sync.Once
}

func newGate() *gate { return &gate{arrived: make(chan struct{}), opened: make(chan struct{})} }

func (g *gate) pass() {
	g.once.Do(func() { close(g.arrived) })
	<-g.opened
}

// Guards against requests that wait, and time out, behind an earlier one on their connection,
// and against responses that arrive in another order than the requests.
func TestLaterRequestsDoNotWait(t *testing.T) {
	first, second := newGate(), make(chan struct{})
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			first.pass()
		} else {
			defer close(second)
		}
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	wait(t, "the second request is handled while the first is", second)
	close(first.opened)
	for _, want := range []string{"/1", "/2"} {
		_, body := c.answer()
		assert.Equal(t, body, want)
	}
}

// Guards against a request that must not run twice and is begun although the response before
// it closes the connection: the client then sends it again.
func TestRequestBehindClosingResponseDoesNotRun(t *testing.T) {
	first := newGate()
	ran := make(chan bool, 1)
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			first.pass()
			panic(http.ErrAbortHandler)
		}
		ran <- WaitTurn(r.Context())
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	wait(t, "the first request arrives", first.arrived)
	select {
	case <-ran:
		t.Fatal("the second request did not wait for the first")
	case <-time.After(50 * time.Millisecond):
	}
	close(first.opened)
	assert.Equal(t, <-ran, false)
	c.assertEnded()
}

// Guards against the loss of responses that come before an aborted one.
func TestResponsesBeforeAbortArrive(t *testing.T) {
	first := newGate()
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			panic(http.ErrAbortHandler)
		}
		first.pass()
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2") + get("/3"))
	wait(t, "the first request arrives", first.arrived)
	close(first.opened)
	_, body := c.answer()
	assert.Equal(t, body, "/1")
	c.assertEnded()
}

// Guards against a request with a body that is taken apart wrongly, or that overtakes the
// requests before it, and against a request behind it that is lost.
func TestRequestWithBodyIsHandedOver(t *testing.T) {
	first := newGate()
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			first.pass()
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.Method, r.URL.Path, string(body))
	})
	c := dial(t, address)
	c.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get("/3"))
	wait(t, "the first request arrives", first.arrived)
	close(first.opened)
	for _, want := range []string{"GET/1", "POST/2abc", "GET/3"} {
		_, body := c.answer()
		assert.Equal(t, body, want)
	}
}

// Guards against work that goes on for a client that has left.
func TestClientGone(t *testing.T) {
	cancelled := make(chan struct{})
	arrived := make(chan struct{})
	_, address := start(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			close(arrived)
			<-r.Context().Done()
			close(cancelled)
		}
	})
	c := dial(t, address)
	c.send(get("/1") + get("/2"))
	wait(t, "the first request arrives", arrived)
	c.Close()
	wait(t, "the first request is cancelled", cancelled)
}

// Guards against a planned stop that cuts off requests that were received, also such as have
// arrived only in part, and against one that does not end while a client stays connected.
func TestShutdownAnswersWhatWasReceived(t *testing.T) {
	g := newGate()
	s, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			g.pass()
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.URL.Path, string(body))
	})
	idle, busy, partial, post := dial(t, address), dial(t, address), dial(t, address), dial(t, address)
	for _, c := range []*client{idle, partial} {
		c.send(get("/before"))
		c.answer()
	}
	busy.send(get("/slow") + get("/behind"))
	partial.send("GET /partial HTT")
	post.send("POST /post HTTP/1.1\r\nHost: h\r\nContent-Le")
	wait(t, "the slow request arrives", g.arrived)
	time.Sleep(50 * time.Millisecond)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		assert.Check(t, s.Shutdown(t.Context()))
	}()
	idle.assertEnded()
	partial.send("P/1.1\r\nHost: h\r\n\r\n")
	post.send("ngth: 1\r\n\r\nx")
	for c, want := range map[*client]string{partial: "/partial", post: "/postx"} {
		res, body := c.answer()
		assert.Equal(t, body, want)
		assert.Assert(t, res.Close, "the response to %s does not announce the close", want)
		c.assertEnded()
	}
	close(g.opened)
	res, body := busy.answer()
	assert.Equal(t, body, "/slow")
	assert.Assert(t, !res.Close, "a response with another one behind it announces a close")
	res, body = busy.answer()
	assert.Equal(t, body, "/behind")
	assert.Assert(t, res.Close)
	busy.assertEnded()
	wait(t, "the server ends", ended)
}

// Guards against a stop that waits longer than it may for a request that does not end.
func TestShutdownTimeout(t *testing.T) {
	g := newGate()
	s, address := start(t, func(http.ResponseWriter, *http.Request) { g.pass() })
	defer close(g.opened)
	c := dial(t, address)
	c.send(get("/"))
	wait(t, "the request arrives", g.arrived)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
}

// Guards against memory that grows with the number of requests that a client sends ahead.
func TestRequestsSentAheadAreBounded(t *testing.T) {
	g := newGate()
	var mu sync.Mutex
	running, most := 0, 0
	_, address := start(t, func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		running++
		most = max(most, running)
		mu.Unlock()
		g.pass()
		mu.Lock()
		running--
		mu.Unlock()
	})
	c := dial(t, address)
	c.send(strings.Repeat(get("/"), 3*maxPipelined))
	wait(t, "the first request arrives", g.arrived)
	time.Sleep(100 * time.Millisecond)
	close(g.opened)
	for range 3 * maxPipelined {
		c.answer()
	}
	assert.Equal(t, most, maxPipelined)
}

// Guards against responses whose end the client finds at another place than the server.
func TestResponseFraming(t *testing.T) {
	long := strings.Repeat("x", 2*maxHeldBytes)
	tests := []struct {
		desc, request string
		handler       http.HandlerFunc
		status        int
		body, length  string
		trailer       string
	}{
		{desc: "empty", request: get("/"), handler: func(http.ResponseWriter, *http.Request) {}, status: 200, length: "0"},
		{desc: "short", request: get("/"), handler: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "abc") }, status: 200, body: "abc", length: "3"},
		{desc: "long", request: get("/"), handler: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, long) }, status: 200, body: long},
		{
			desc: "long with a length", request: get("/"), status: 201, body: long, length: fmt.Sprint(len(long)),
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(len(long)))
				w.WriteHeader(201)
				io.WriteString(w, long)
			},
		},
		{
			desc: "flushed", request: get("/"), status: 200, body: "ab",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, "a")
				http.NewResponseController(w).Flush()
				io.WriteString(w, "b")
			},
		},
		{
			desc: "with a trailer", request: get("/"), status: 200, body: "ab", trailer: "t",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Trailer", "X-Sum")
				io.WriteString(w, "ab")
				w.Header().Set("X-Sum", "t")
			},
		},
		{
			desc: "no content", request: get("/"), status: 204,
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) },
		},
		{
			desc: "informational before it", request: get("/"), status: 200, body: "a", length: "1",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(103)
				io.WriteString(w, "a")
			},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/next" {
					io.WriteString(w, "next")
					return
				}
				test.handler(w, r)
			})
			c := dial(t, address)
			c.send(test.request + get("/next"))
			res, body := c.answer()
			assert.Equal(t, res.StatusCode, test.status)
			assert.Assert(t, body == test.body, "%d bytes in place of %d", len(body), len(test.body))
			assert.Equal(t, res.Header.Get("Content-Length"), test.length)
			assert.Equal(t, res.Trailer.Get("X-Sum"), test.trailer)
			assert.Assert(t, res.Header.Get("Date") != "")
			_, body = c.answer()
			assert.Equal(t, body, "next")
		})
	}
}

// Guards against a body after the response to a HEAD request.
func TestHeadHasNoBody(t *testing.T) {
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "3")
		if _, err := io.WriteString(w, "abc"); err != nil {
			t.Error(err)
		}
	})
	c := dial(t, address)
	c.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + get("/"))
	res, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	assert.NilError(t, err)
	assert.Equal(t, res.ContentLength, int64(3))
	_, body := c.answer()
	assert.Equal(t, body, "abc")
}

// Guards against a response that ends early and still looks complete.
func TestShortResponseIsBroken(t *testing.T) {
	for _, sent := range []int{0, 3, 2 * maxHeldBytes} {
		_, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(3*maxHeldBytes))
			io.WriteString(w, strings.Repeat("x", sent))
		})
		c := dial(t, address)
		c.send(get("/"))
		res, err := http.ReadResponse(c.reader, nil)
		if err == nil {
			_, err = io.ReadAll(res.Body)
		}
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d bytes were sent", sent)
	}
}
