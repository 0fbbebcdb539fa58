package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

const (
	unsolicitedRounds = 300
	unsolicitedLimit  = 5 * time.Second
)

// answerText returns a response to the request with the given ID.
func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAnswer-To: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// scriptedServer passes every request of a connection to reply, which writes to the connection. It
// returns its address and a function that tells how often a request was received.
func scriptedServer(t *testing.T, reply func(c net.Conn, id string)) (address string, received func(id string) int) {
	l, err := loopback.Listen()
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	seen := make(map[string]int)
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Id")
			mu.Lock()
			seen[id]++
			mu.Unlock()
			reply(c, id)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return seen[id]
	}
}

// ask sends one request.
func ask(ctx context.Context, transport http.RoundTripper, address, id string) (res *http.Response, sent bool, err error) {
	in, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
	if err != nil {
		return nil, false, err
	}
	in.Header.Set("Id", id)
	out, body := NewRequest(ctx, in, address, strings.NewReader(""), nil)
	defer body.Close()
	return Do(transport, out, func(int, textproto.MIMEHeader) {})
}

// Guards against a response being taken for that to a request that was sent after it: a surplus
// response was already in the buffer of the connection, or of the socket.
func TestResponseBeforeRequestIsNotItsResponse(t *testing.T) {
	for desc, body := range map[string]string{
		"empty body": "",
		"short body": "body",
		// The transport reads a long body past its buffer, so the surplus response stays in the socket.
		"long body": strings.Repeat("b", 8<<10),
	} {
		t.Run(desc, func(t *testing.T) {
			written := make(chan struct{}, unsolicitedRounds)
			address, received := scriptedServer(t, func(conn net.Conn, id string) {
				if id == "first" {
					io.WriteString(conn, answerText(id, body)+answerText(id, "surplus"))
					written <- struct{}{}
					return
				}
				time.Sleep(time.Millisecond)
				io.WriteString(conn, answerText(id, body))
			})
			ctx, cancel := context.WithTimeout(t.Context(), unsolicitedLimit)
			defer cancel()
			foreign, wrong := 0, 0
			for i := range unsolicitedRounds {
				// The second request waits for the connection of the first.
				transport := NewTransport(unsolicitedLimit, 1, 1)
				var all sync.WaitGroup
				first := make(chan struct{})
				all.Go(func() {
					close(first)
					if res, _, err := ask(ctx, transport, address, "first"); err == nil {
						<-written
						io.Copy(io.Discard, res.Body)
						res.Body.Close()
					}
				})
				all.Go(func() {
					<-first
					id := fmt.Sprint("second", i)
					res, sent, err := ask(ctx, transport, address, id)
					if err == nil && res.Header.Get("Answer-To") != id {
						foreign++
					}
					if err != nil && !sent && received(id) > 0 {
						wrong++
					}
					if err == nil {
						res.Body.Close()
					}
				})
				all.Wait()
				transport.CloseIdleConnections()
			}
			assert.NilError(t, ctx.Err())
			assert.Equal(t, foreign, 0, "requests of %d that got the response to another one", unsolicitedRounds)
			assert.Equal(t, wrong, 0, "requests that were received although Do stated that they were not sent")
		})
	}
}

// Guards against a request being lost because it goes out on a connection whose response to the
// request before turns out to be unusable, and that is therefore closed.
func TestNextRequestWaitsUntilResponseIsAccepted(t *testing.T) {
	address, received := scriptedServer(t, func(c net.Conn, id string) { io.WriteString(c, answerText(id, "")) })
	ctx, cancel := context.WithTimeout(t.Context(), unsolicitedLimit)
	defer cancel()
	for _, discard := range []bool{true, false} {
		transport := NewTransport(unsolicitedLimit, 1, 1)
		defer transport.CloseIdleConnections()
		name := fmt.Sprint("discard ", discard)
		res, _, err := ask(ctx, transport, address, "first "+name)
		assert.NilError(t, err)
		var second *http.Response
		var sent bool
		done := make(chan struct{})
		var ended atomic.Bool
		go func() {
			defer close(done)
			second, sent, err = ask(ctx, transport, address, "second "+name)
			ended.Store(true)
		}()
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, received("second "+name), 0, "the next request was sent too early")
		assert.Assert(t, !ended.Load())
		if discard {
			Discard(res)
		} else {
			res.Body.Close()
		}
		<-done
		assert.Equal(t, err != nil, discard)
		assert.Equal(t, received("second "+name) > 0, !discard)
		assert.Equal(t, sent, !discard)
		if err == nil {
			second.Body.Close()
		}
	}
}
