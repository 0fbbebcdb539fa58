package pipeline

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// Guards against a server that is taken for idle while a request that it has read has no response
// yet, and against one that is taken for busy because of connections that carry no request.
func TestPendingCountsRequestsWithoutResponse(t *testing.T) {
	g := newGate()
	s, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/slow" {
			g.pass()
		}
	})
	waitPending := func(want int) {
		t.Helper()
		for end := time.Now().Add(testTimeout); s.Pending() != want && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, s.Pending(), want)
	}
	dial(t, address)
	idle, ahead, post := dial(t, address), dial(t, address), dial(t, address)
	for _, c := range []*client{idle, post} {
		c.send(get("/"))
		c.answer()
	}
	waitPending(0)
	// The second request is answered, but its response must wait for the first one.
	ahead.send(get("/slow") + get("/behind"))
	waitPending(2)
	post.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	waitPending(3)
	post.send("x")
	close(g.opened)
	for _, c := range []*client{ahead, ahead, post} {
		c.answer()
	}
	waitPending(0)
	post.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	post.answer()
	waitPending(0)
	partial := dial(t, address)
	partial.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	waitPending(1)
	partial.Close()
	waitPending(0)
}

// Guards against an HTTP/2 connection without requests for which a stop waits until its timeout.
func TestIdleHTTP2ConnectionIsNotPending(t *testing.T) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l, err := loopback.Listen()
	assert.NilError(t, err)
	handler := func(_ http.ResponseWriter, r *http.Request) { assert.Check(t, r.ProtoMajor == 2) }
	s := NewServer(&http.Server{Handler: http.HandlerFunc(handler), Protocols: protocols}, nil, log.New(io.Discard))
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	protocols = new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	res, err := (&http.Client{Transport: transport}).Get("http://" + l.Addr().String())
	assert.NilError(t, err)
	res.Body.Close()
	for end := time.Now().Add(testTimeout); s.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.Pending(), 0)
}
