package exchange

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a body with a malformed trailer that ends like a whole one for who reads on behind the error.
func TestMalformedTrailerStaysAnError(t *testing.T) {
	t.Parallel()
	for trailer, want := range map[string]error{"A: b\r\n": io.EOF, "A : b\r\n": errMalformedTrailer, "Content-Length: 1\r\n": io.EOF} {
		address, _ := scriptedServer(t, func(c net.Conn, _ string) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n")
		})
		transport := NewTransport(time.Second, 1, 1)
		defer transport.CloseIdleConnections()
		res, _, err := ask(t.Context(), transport, address, "id")
		assert.NilError(t, err)
		defer res.Body.Close()
		body := make([]byte, len("body"))
		_, err = io.ReadFull(res.Body, body)
		assert.NilError(t, err)
		for range 3 {
			_, err = res.Body.Read(body)
			assert.Check(t, errors.Is(err, want), "after %q: %v", trailer, err)
		}
		assert.Check(t, len(res.Trailer["Content-Length"]) == 0, "%q", res.Trailer)
	}
}
