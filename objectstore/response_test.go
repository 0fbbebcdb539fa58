package objectstore_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

const (
	// resetRounds is the number of writes whose response is reset.
	resetRounds = 10
	// resetDelay is the time between a response and its reset.
	resetDelay = 5 * time.Millisecond
)

// answerRaw answers each call with the same bytes and then closes the connection, or resets it without having
// read the body of the request.
func answerRaw(answer string, reset bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !reset {
			io.Copy(io.Discard, r.Body)
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, answer)
		if reset {
			time.Sleep(resetDelay)
			conn.(*net.TCPConn).SetLinger(0)
		}
	})
}

// calls are the calls of a client, each with the error of a call without a usable response.
var calls = []struct {
	desc string
	call func(ctx context.Context, c *objectstore.Client) error
	lost error
}{
	{"get", func(ctx context.Context, c *objectstore.Client) error {
		_, err := c.Get(ctx, "k")
		return err
	}, objectstore.ErrUnavailable},
	{"list", func(ctx context.Context, c *objectstore.Client) error {
		_, err := c.List(ctx, "")
		return err
	}, objectstore.ErrUnavailable},
	{"watch", func(ctx context.Context, c *objectstore.Client) error {
		_, _, err := c.Watch(ctx, "k", "", time.Second)
		return err
	}, objectstore.ErrUnavailable},
	{"put", func(ctx context.Context, c *objectstore.Client) error {
		_, err := c.Put(ctx, "k", []byte("v"), objectstore.Condition{})
		return err
	}, objectstore.ErrUncertain},
	{"delete", func(ctx context.Context, c *objectstore.Client) error {
		return c.Delete(ctx, "k", objectstore.Condition{})
	}, objectstore.ErrUncertain},
}

// Guards against a response with a malformed head, or a status that is no final one, being taken for an
// object, a list or the acknowledgement of a write.
func TestMalformedResponseIsNoResponse(t *testing.T) {
	for _, s := range calls {
		for head, good := range map[string]bool{
			"HTTP/1.1 200 OK\r\n":                                 true,
			"HTTP/1.1 200 OK\r\nX Y: z\r\n":                       false,
			"HTTP/1.1 200 OK\r\nX-A : z\r\n":                      false,
			"HTTP/1.1 200 OK\r\nX\x01A: z\r\n":                    false,
			"HTTP/1.1 200 OK\r\nX-A: z\r\n folded\r\n":            false,
			"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n":           false,
			"HTTP/1.1 103 x\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n": false,
			"HTTP/1.1 000 x\r\n":                                  false,
			"HTTP/1.1 099 x\r\n":                                  false,
			"HTTP/1.1 101 x\r\n":                                  false,
			"HTTP/1.1 600 x\r\n":                                  false,
		} {
			client, _ := newTestClient(t, answerRaw(head+"ETag: \"1\"\r\n\r\n[]", false))
			err := s.call(t.Context(), client)
			assert.Check(t, (err == nil) == good, "%s, after %q: %v", s.desc, head, err)
			assert.Check(t, good || errors.Is(err, s.lost), "%s, after %q: %v", s.desc, head, err)
		}
	}
}

// Guards against a write being taken for acknowledged by a response that the store reset while the write was
// still being sent.
func TestResetWhileWriteIsSentIsNoAcknowledgement(t *testing.T) {
	client, _ := newTestClient(t, answerRaw("HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\npart", true))
	for i := range resetRounds {
		_, err := client.Put(t.Context(), "k", make([]byte, objectstore.MaxValueBytes), objectstore.Condition{})
		assert.Check(t, errors.Is(err, objectstore.ErrUncertain), "round %d: %v", i, err)
	}
}
