package linger

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// longPart is a part of an answer that net/http sends on before the handler ends.
var longPart = strings.Repeat("x", 64<<10)

// Guards against an answer that breaks off and that a client of HTTP/1.0, to whom it ends with the
// connection, takes for a whole one.
func TestBrokenAnswerIsResetForHTTP10(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for desc, c := range map[string]struct {
		request string
		end     func(f *fixture)
	}{
		"handler aborts":   {"GET / HTTP/1.0\r\n\r\n", func(*fixture) { panic(http.ErrAbortHandler) }},
		"unread body":      {"POST / HTTP/1.0\r\nContent-Length: 1000000\r\n\r\nabc", func(*fixture) { panic(http.ErrAbortHandler) }},
		"server is closed": {"GET / HTTP/1.0\r\n\r\n", func(f *fixture) { f.server.Close(); time.Sleep(100 * time.Millisecond) }},
		"kept connection":  {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", func(*fixture) { panic(http.ErrAbortHandler) }},
		"stop runs out":    {"GET / HTTP/1.0\r\n\r\n", func(f *fixture) { f.server.Shutdown(ended); f.server.Close(); time.Sleep(100 * time.Millisecond) }},
	} {
		t.Run(desc, func(t *testing.T) {
			var f *fixture
			f = start(t, func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, longPart)
				http.NewResponseController(w).Flush()
				c.end(f)
			})
			conn := f.dial()
			conn.send(c.request)
			res, err := http.ReadResponse(conn.reader, nil)
			assert.NilError(t, err)
			_, err = io.ReadAll(res.Body)
			assert.Assert(t, err != nil, "the answer looks complete")
		})
	}
}

// Guards against whole answers to clients of HTTP/1.0 that are reset, and against kept connections that
// are reset after an answer.
func TestWholeAnswerReachesHTTP10(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			io.WriteString(w, "short")
			return
		}
		for range 20 {
			io.WriteString(w, longPart)
		}
	})
	c := f.dial()
	c.send("GET /short HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
	_, body := c.answer()
	assert.Equal(t, body, "short")
	c.send("GET / HTTP/1.0\r\n\r\n")
	_, body = c.answer()
	assert.Equal(t, len(body), 20*len(longPart))
	c.assertEnded()

	unread := f.dial()
	unread.send("POST /short HTTP/1.0\r\nContent-Length: 1000000\r\n\r\nabc")
	_, body = unread.answer()
	assert.Equal(t, body, "short")
	unread.assertEnded()
}

// Guards against a change of the connection's options through wrappers that hide the TCP connection.
func TestResetPassesWrappers(t *testing.T) {
	l, err := loopback.Listen()
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	resetOnClose(wrapper{accepted}, true)
	assert.NilError(t, accepted.Close())
	_, err = client.Read(make([]byte, 1))
	assert.Assert(t, err != nil && err != io.EOF, "%v", err)
}

type wrapper struct{ net.Conn }

func (w wrapper) NetConn() net.Conn { return w.Conn }
