package linger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
	"github.com/jackdawlane/jackdawlane/telemetry/telemetrytest"
)

// testTimeout bounds the time for which a test waits for something that must happen.
const testTimeout = 5 * time.Second

// fixture is a server whose handler is called for each request.
type fixture struct {
	t        *testing.T
	server   *Server
	address  string
	inFlight atomic.Int64
	requests atomic.Int32
}

func start(t *testing.T, h http.HandlerFunc) *fixture {
	l, err := loopback.Listen()
	assert.NilError(t, err)
	f := &fixture{t: t, address: l.Addr().String()}
	logs := &telemetrytest.Buffer{}
	f.server = NewServer(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.requests.Add(1)
			h(w, r)
		}),
		ErrorLog: log.New(logs, "", 0),
	}, &f.inFlight)
	go f.server.Serve(l)
	t.Cleanup(func() {
		f.server.Close()
		assert.Check(t, !strings.Contains(logs.String(), "panic"), logs.String())
	})
	return f
}

type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	c, err := net.Dial("tcp", f.address)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	assert.NilError(f.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{t: f.t, Conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// answer reads an answer to its end.
func (c *client) answer() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	return res, string(body)
}

// assertEnded checks that the connection ends without a further answer and without a reset.
func (c *client) assertEnded() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.ErrorIs(c.t, err, io.EOF)
}

// framings are the ways in which a body is framed.
var framings = map[string]func(parts ...string) (head string, framed []string){
	"length": func(parts ...string) (string, []string) {
		return fmt.Sprintf("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(strings.Join(parts, ""))), parts
	},
	"chunked": func(parts ...string) (string, []string) {
		framed := make([]string, len(parts))
		for i, p := range parts {
			framed[i] = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		framed[len(parts)-1] += "0\r\n\r\n"
		return "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", framed
	},
}

const (
	embeddedRequest = "POST /embedded HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	partBytes       = 100 << 10
)

// embeddedPart is a part of a body that begins with requests.
var embeddedPart = strings.Repeat(embeddedRequest, partBytes/len(embeddedRequest))

// Guards against an unread body that is run as requests, that breaks the answer before it, or that
// makes net/http panic, whatever the handler does before it answers.
func TestUnreadBodyEndsConnection(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	readPart := func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		io.CopyN(io.Discard, r.Body, int64(len(embeddedPart)))
	}
	tests := map[string]struct {
		handler http.HandlerFunc
		status  int
		body    string
	}{
		"answers at once": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 503, ""},
		"writes nothing":  {func(http.ResponseWriter, *http.Request) {}, 200, ""},
		"reads a part": {func(w http.ResponseWriter, r *http.Request) {
			readPart(w, r)
			w.WriteHeader(503)
		}, 503, ""},
		"replaces the body": {func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, 1)
			io.Copy(io.Discard, r.Body)
			w.WriteHeader(413)
		}, 413, ""},
		"interrupts the body": {func(w http.ResponseWriter, r *http.Request) {
			readPart(w, r)
			http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
			io.Copy(io.Discard, r.Body)
			w.WriteHeader(504)
		}, 504, ""},
		"gives a long answer": {func(w http.ResponseWriter, r *http.Request) {
			readPart(w, r)
			io.WriteString(w, long)
		}, 200, long},
		"flushes first": {func(w http.ResponseWriter, r *http.Request) {
			readPart(w, r)
			http.NewResponseController(w).Flush()
			io.WriteString(w, "body")
		}, 200, "body"},
	}
	for desc, test := range tests {
		for framing, frame := range framings {
			for _, parts := range []int{3, 6} {
				t.Run(fmt.Sprintf("%s, %s, %d parts", desc, framing, parts), func(t *testing.T) {
					t.Parallel()
					f := start(t, test.handler)
					c := f.dial()
					head, framed := frame(strings.Split(strings.Repeat(embeddedPart+"|", parts-1)+embeddedPart, "|")...)
					c.send(head)
					for _, part := range framed {
						c.send(part)
						time.Sleep(100 * time.Millisecond)
					}
					res, body := c.answer()
					assert.Equal(t, res.StatusCode, test.status)
					assert.Assert(t, body == test.body, "%d bytes in place of %d", len(body), len(test.body))
					assert.Assert(t, res.Close, "the answer does not announce the close")
					c.assertEnded()
					assert.Equal(t, f.requests.Load(), int32(1))
				})
			}
		}
	}
}

// Guards against an answer that is cut off, or does not look cut off, when a handler gives up while
// the client is sending its body.
func TestAbortedAnswerBeforeUnreadBody(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	c := f.dial()
	head, framed := framings["length"](embeddedPart, embeddedPart, embeddedPart)
	c.send(head)
	for _, part := range framed {
		time.Sleep(50 * time.Millisecond)
		c.send(part)
	}
	res, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(body), "part")
	assert.Equal(t, f.requests.Load(), int32(1))
}

// Guards against a new connection for each rejected request whose short body has arrived, and
// against the rest of such a body in the next request.
func TestShortRestKeepsConnection(t *testing.T) {
	for framing, frame := range framings {
		t.Run(framing, func(t *testing.T) {
			f := start(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.URL.Path) })
			c := f.dial()
			head, framed := frame(embeddedPart)
			for range 3 {
				c.send(head + framed[0])
				res, body := c.answer()
				assert.Equal(t, body, "/body")
				assert.Assert(t, !res.Close)
			}
			assert.Equal(t, f.requests.Load(), int32(3))
		})
	}
}

// Guards against an answer that waits for a body that the client does not send.
func TestAnswerDoesNotWaitForBody(t *testing.T) {
	for framing, frame := range framings {
		t.Run(framing, func(t *testing.T) {
			f := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
			c := f.dial()
			head, _ := frame("body")
			started := time.Now()
			c.send(head)
			res, _ := c.answer()
			assert.Equal(t, res.StatusCode, 503)
			assert.Assert(t, res.Close)
			assert.Assert(t, time.Since(started) < 5*maxRestTime)
		})
	}
}

// Guards against a request for a body that the handler does not want, and against the body of a
// client that sends it without the request.
func TestExpectedBodyIsNotRequested(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	c := f.dial()
	c.send("POST /body HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: " + fmt.Sprint(len(embeddedPart)) + "\r\n\r\n")
	res, _ := c.answer()
	assert.Equal(t, res.StatusCode, 503)
	assert.Assert(t, res.Close)
	c.send(embeddedPart)
	c.assertEnded()
	assert.Equal(t, f.requests.Load(), int32(1))
}

// Guards against a body that is cut off because the answer began before its end.
func TestBodyIsReadBesideAnswer(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		io.WriteString(w, "begin ")
		http.NewResponseController(w).Flush()
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, len(body))
	})
	c := f.dial()
	head, framed := framings["length"](embeddedPart, embeddedPart)
	c.send(head + framed[0])
	res, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	c.send(framed[1])
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), fmt.Sprint("begin ", 2*len(embeddedPart)))
	c.assertEnded()
	assert.Equal(t, f.requests.Load(), int32(1))
}

// Guards against connections that stay open for clients that go on sending, or neither send nor
// close.
func TestLingerIsBounded(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	const head = "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n"
	silent, sending := f.dial(), f.dial()
	silent.send(head)
	silent.answer()
	sending.send(head)
	sent, err := 0, error(nil)
	for part := make([]byte, 1<<20); err == nil && sent < 2*maxBytes; sent += len(part) {
		_, err = sending.Write(part)
	}
	assert.Assert(t, err != nil, "the server read %d bytes", sent)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the server holds the connection")
	for begin := time.Now(); f.inFlight.Load() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(begin) < 2*maxIdle, "a connection still lingers")
	}
}

// Guards against a planned stop that ends before clients could read their last answers, and against
// connections that outlast the server.
func TestShutdownWaitsForLinger(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	const head = "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n"
	c := f.dial()
	c.send(head)
	c.answer()
	assert.Equal(t, f.inFlight.Load(), int64(1))
	ctx, cancel := context.WithTimeout(t.Context(), maxIdle/10)
	defer cancel()
	assert.ErrorIs(t, f.server.Shutdown(ctx), context.DeadlineExceeded)
	assert.NilError(t, f.server.Close())
	for begin := time.Now(); f.inFlight.Load() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < maxIdle/2, "a connection outlasts the server")
	}
}
