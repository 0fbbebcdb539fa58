package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// endlessServer reads the head of one request on each connection, sends the start, and then the
// rest again and again until the client closes. It returns its address and the largest number of
// bytes that it could send on one connection.
func endlessServer(t *testing.T, start, rest string) (address string, sent func() int) {
	l, err := loopback.Listen()
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	most := 0
	serve := func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		total, _ := io.WriteString(c, start)
		for {
			n, err := io.WriteString(c, rest)
			total += n
			if err != nil {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		most = max(most, total)
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
	return l.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return most
	}
}

// Guards against a request that lasts until its deadline, and against memory that grows, while a
// server sends bytes that are no response, or interim responses, until the client closes.
func TestEndlessHead(t *testing.T) {
	// The sockets on both ends hold some megabytes.
	const (
		socketBytes = 16 << 20
		deadline    = 10 * time.Second
	)
	rest := strings.Repeat("x", 16<<10)
	for desc, c := range map[string]struct{ start, rest string }{
		"status line":        {"", rest},
		"header line":        {"HTTP/1.1 200 OK\r\nX: ", rest},
		"header lines":       {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 1<<10)},
		"interim responses":  {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<10)},
		"head of an interim": {"HTTP/1.1 103 Early Hints\r\n", strings.Repeat("Link: y\r\n", 1<<10)},
	} {
		t.Run(desc, func(t *testing.T) {
			address, sent := endlessServer(t, c.start, c.rest)
			// A hundred connections at once are opened slowly on a loaded machine.
			transport := NewTransport(deadline, 0, 1)
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			const requests = 100
			var all sync.WaitGroup
			for range requests {
				all.Go(func() {
					in, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
					assert.Check(t, err)
					out, body := NewRequest(ctx, in, address, strings.NewReader(""), nil)
					defer body.Close()
					_, mayHaveRun, err := Do(transport, out, func(int, textproto.MIMEHeader) {})
					assert.Check(t, err != nil)
					assert.Check(t, mayHaveRun, "the server has received the request: %v", err)
				})
			}
			all.Wait()
			assert.NilError(t, ctx.Err(), "a request lasted until its deadline")
			assert.Assert(t, sent() < socketBytes, "the server could send %d bytes", sent())
		})
	}
}
