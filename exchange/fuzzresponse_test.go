package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"
)

const (
	// incompleteTimeout bounds the time for which a request waits for a response that does not end.
	incompleteTimeout = 50 * time.Millisecond
	// secondAnswer is the response to the second request.
	secondAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
)

// wholeResponse returns the final response in data, and whether it is complete. If the server closes the
// connection after data, this may end the body.
func wholeResponse(data []byte, closes bool) (status int, body string, ok bool) {
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		res, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, "", false
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		text, err := io.ReadAll(res.Body)
		endsWithConnection := res.ContentLength < 0 && len(res.TransferEncoding) == 0
		return res.StatusCode, string(text), err == nil && hasValidNames(res.Header) && hasValidNames(res.Trailer) && (closes || !endsWithConnection)
	}
}

// hasValidNames reports whether all names of fields are tokens. http.ReadResponse lets blanks pass.
func hasValidNames(h http.Header) bool {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}

// askWhole sends a request and returns the response if it arrives completely.
func askWhole(transport http.RoundTripper, address, id string) (status int, body string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), incompleteTimeout)
	defer cancel()
	res, _, err := ask(ctx, transport, address, id)
	if err != nil {
		return 0, "", false
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err == nil
}

// Guards against bytes of a server that are taken for a whole response although they are none, and
// against what is left of them being taken for the response to the next request.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4;x=y\r\nbody\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nbody",
		"HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\n\r\nbody",
		"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbody",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 1000 High\r\n\r\n", "HTTP/1.1 200\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA : b\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", "HTTP/1.1 200 OK\r\n folded\r\n\r\n", "\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "\x00",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, closes bool) {
		address, _ := scriptedServer(t, func(c net.Conn, id string) {
			if id == "second" {
				io.WriteString(c, secondAnswer)
				return
			}
			c.Write(data)
			if closes {
				c.Close()
			}
		})
		transport := NewTransport(time.Second, 2, 2)
		defer transport.CloseIdleConnections()
		status, body, whole := askWhole(transport, address, "first")
		if whole {
			wantStatus, wantBody, complete := wholeResponse(data, closes)
			assert.Assert(t, complete, "%d %q was taken for a whole response", status, body)
			assert.Equal(t, status, wantStatus)
			assert.Equal(t, body, wantBody)
		}
		if status, body, whole := askWhole(transport, address, "second"); whole {
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "second")
		}
	})
}
