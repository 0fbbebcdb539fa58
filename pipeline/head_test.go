package pipeline

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// heads are the starts of connections, valid and invalid ones.
var heads = []string{
	get("/"),
	get("/a") + get("/b"),
	"\r\n" + get("/"),
	"GET / HTTP/1.1\nHost: h\n\n",
	"GET / HTTP/1.1\r\nHost: h\n\r\n",
	"GET / HTTP/1.0\r\n\r\n",
	"GET / HTTP/1.0\r\nHost: h\r\n\r\n" + get("/b"),
	"GET / HTTP/1.2\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX y: 1\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX: \x01\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\n X: folded\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" + get("/b"),
	"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
	"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + get("/b"),
	"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/b"),
	"GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nExpect: other\r\n\r\n",
	"GET http://other/x HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET * HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n\r\n" + get("/b"),
	"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" + get("/b"),
	"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	"GETT / HTTP/1.1\r\nHost: h\r\n\r\n",
	"G", "", "GET / HTTP/1.1\r\nHost: h\r\n",
	"\x16\x03\x01",
}

// echo writes what the server has understood of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s %s %d %q %q", r.Method, r.RequestURI, r.URL, r.Host, r.ContentLength, r.Header, body)
}

// transcript sends the bytes, ends the sending direction, and returns the status lines and the
// bodies that come back.
func transcript(t testing.TB, address, sent string) string {
	c := dial(t, address)
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	c.send(sent)
	assert.NilError(t, c.Conn.(*net.TCPConn).CloseWrite())
	data, err := io.ReadAll(c.reader)
	if err != nil {
		data = append(data, "(reset)"...)
	}
	var kept []string
	for line := range strings.SplitSeq(string(data), "\r\n") {
		if !strings.HasPrefix(line, "Date:") && !strings.HasPrefix(line, "Content-Type:") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// startPlain serves the handler with net/http alone.
func startPlain(t testing.TB, h http.HandlerFunc) string {
	l, err := loopback.Listen()
	assert.NilError(t, err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// Guards against requests that the server understands differently from net/http, which would
// let one request hide inside another.
func TestSameAsNetHTTP(t *testing.T) {
	_, address := start(t, echo)
	plain := startPlain(t, echo)
	for _, sent := range heads {
		got, want := transcript(t, address, sent), transcript(t, plain, sent)
		assert.Equal(t, got, want, "after %q", sent)
	}
}

// FuzzHead checks that a head that the server takes itself is complete, has no body, and does
// not concern the connection.
func FuzzHead(f *testing.F) {
	for _, head := range heads {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := headEnd(data)
		if n == 0 {
			return
		}
		assert.Assert(t, strings.HasSuffix(string(data[:n]), "\n\r\n") || strings.HasSuffix(string(data[:n]), "\n\n"))
		r, ok := simpleRequest(data[:n])
		if !ok {
			return
		}
		assert.Assert(t, r.Method == http.MethodGet || r.Method == http.MethodHead)
		assert.Equal(t, r.ContentLength, int64(0))
		assert.Equal(t, len(r.TransferEncoding), 0)
		assert.Assert(t, !r.Close)
	})
}
