package cli

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// explanation is a whole explanation of the path /x.
const explanation = `{"version":7,"path":"/x","route":"read","notes":[]}`

// runExplain explains the path /x at a node that answers with the given bytes and closes the connection.
func runExplain(t *testing.T, answer string) (code int, out string) {
	l, err := loopback.Listen()
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, answer)
	})}
	go server.Serve(l)
	defer server.Close()
	var output, errOut bytes.Buffer
	code = Main([]string{"--node", l.Addr().String(), "explain", "/x"}, strings.NewReader(""), &output, &errOut, "test")
	return code, output.String()
}

// Guards against an explanation that is cut off at any byte, or whose head is malformed, being shown.
func TestBrokenExplanationIsNotShown(t *testing.T) {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(explanation), explanation)
	code, out := runExplain(t, whole)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "read"), out)
	for n := range len(whole) {
		code, out := runExplain(t, whole[:n])
		assert.Check(t, code != ExitOK && out == "", "cut after %d of %d bytes: exit code %d, %q", n, len(whole), code, out)
	}
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX Y: z\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n", "HTTP/1.1 200 OK\r\nX-A: z\r\n folded\r\n",
		"HTTP/1.1 200 OK\r\nX\x01A: z\r\n", "HTTP/1.1 000 x\r\n", "HTTP/1.1 600 x\r\n",
	} {
		code, out := runExplain(t, head+"\r\n"+explanation)
		assert.Check(t, code != ExitOK && out == "", "after %q: exit code %d, %q", head, code, out)
	}
}
