package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// longUploadBytes is more than all buffers on the way to the backend server hold.
	longUploadBytes = 8 << 20
	// resetDelay is the time between an answer and its reset.
	resetDelay = 5 * time.Millisecond
)

// Guards against a broken answer reaching the client as a whole one: one with a malformed head or an odd status,
// and one that the backend server resets while the upload is still being written.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	f := startFixture(t)
	answers := make(chan string, 1)
	f.startBackend(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, <-answers)
		time.Sleep(resetDelay)
		conn.(*net.TCPConn).SetLinger(0)
	})
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: z\r\n folded\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 000 x\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 600 x\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for range 3 {
			answers <- answer
			conn := f.dial()
			go func() {
				// Writing fails once the node has closed the connection.
				fmt.Fprintf(conn, "POST /orders/x HTTP/1.1\r\nHost: app.example\r\n%sContent-Length: %d\r\n\r\n", authorization, longUploadBytes)
				conn.Write(bytes.Repeat([]byte("x"), longUploadBytes))
			}()
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(res.Body)
			conn.Close()
			broken := err != nil || res.StatusCode == http.StatusBadGateway
			assert.Check(t, broken, "after %q: %d with the body %q", answer, res.StatusCode, body)
			assert.Check(t, len(answers) == 0, "the backend server was not asked")
		}
	}
}
