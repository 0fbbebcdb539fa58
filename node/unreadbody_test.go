package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is refused while its body arrives, and whose unread body is then read as
// further requests of the connection.
func TestUnreadBodyIsNotReadAsRequests(t *testing.T) {
	f := startFixture(t)
	const part = 64 << 10
	inBody := "GET /in-the-body HTTP/1.1\r\nHost: app.example\r\n\r\n"
	body := strings.Repeat(inBody, 16*part/len(inBody))
	start := "POST /orders/x HTTP/1.1\r\nHost: app.example\r\n" + authorization
	for desc, head := range map[string]string{
		"length": start + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(body)),
		"chunks": start + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 2*len(body)),
	} {
		t.Run(desc, func(t *testing.T) {
			conn := f.dial()
			go func() {
				// Writing fails once the node has closed the connection.
				_, _ = io.WriteString(conn, head)
				for sent := 0; sent < len(body); sent += part {
					_, _ = io.WriteString(conn, body[sent:min(sent+part, len(body))])
					time.Sleep(20 * time.Millisecond)
				}
			}()
			reader := bufio.NewReader(conn)
			res, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, res.Body)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
			rest, _ := io.ReadAll(reader)
			assert.Equal(t, string(rest), "", "answers to requests that nobody sent")
		})
	}
}
