package link

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// newRelay returns a relay to an echo server, and a connection through the relay.
func newRelay(t *testing.T) (*Relay, net.Conn) {
	target, err := loopback.Listen()
	assert.NilError(t, err)
	front, err := loopback.Listen()
	assert.NilError(t, err)
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	l := New(target.Addr().String())
	go l.Serve(front)
	c, err := net.Dial("tcp", front.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(); front.Close(); target.Close(); l.Reset() })
	return l, c
}

func echo(c net.Conn, wait time.Duration) (string, error) {
	if _, err := io.WriteString(c, "ping"); err != nil {
		return "", err
	}
	c.SetReadDeadline(time.Now().Add(wait))
	reply := make([]byte, 4)
	_, err := io.ReadFull(c, reply)
	return string(reply), err
}

// Guards against a cut of either direction that closes the connection or lets bytes through.
func TestCut(t *testing.T) {
	for _, f := range []Faults{{ToTarget: Direction{Cut: true}}, {ToClient: Direction{Cut: true}}} {
		l, c := newRelay(t)
		text, err := echo(c, 10*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, text, "ping")
		l.Set(f)
		_, err = echo(c, 50*time.Millisecond)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// Guards against a delay that is not applied, and against a reset that does not reach the client.
func TestDelayAndReset(t *testing.T) {
	l, c := newRelay(t)
	w := httptest.NewRecorder()
	r := httptest.NewRequest("PUT", "/link", strings.NewReader(`{"to_client":{"delay_ms":30}}`))
	l.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	start := time.Now()
	_, err := echo(c, 10*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 30*time.Millisecond)
	l.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/reset", nil))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}
