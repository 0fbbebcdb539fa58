package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/telemetry"
	"github.com/jackdawlane/jackdawlane/watch"
)

// Guards against a malformed reply of another node, on a kept connection, being taken for the newest
// configuration or for a confirmation of the one in force.
func TestMalformedReplyIsNoReply(t *testing.T) {
	good := fmt.Sprintf("%s: 5\r\n%s: 7\r\n%s: 0\r\n%s: 0\r\n", hop.HeaderConfigVersion, hop.HeaderConfigRevision, hop.HeaderConfigAge, hop.HeaderConfigHeld)
	for head, usable := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                                 true,
		"HTTP/1.1 200 OK\r\nX Y: z\r\n":                       false,
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n":           false,
		"HTTP/1.1 200 OK\r\nX-A: z\r\n folded\r\n":            false,
		"HTTP/1.1 103 x\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n": false,
		"HTTP/1.1 000 x\r\n":                                  false,
		"HTTP/1.1 600 x\r\n":                                  false,
	} {
		var first atomic.Bool
		first.Store(true)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if first.CompareAndSwap(true, false) {
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			io.WriteString(conn, head+good+"Content-Length: 0\r\n\r\n")
		}))
		c := NewClient(Config{
			MaxAge: testMaxAge, Replica: newReplica(5), Progress: watch.NewProgress(), Store: silentStore{},
			Metrics: telemetry.NewMetrics(), Logger: log.New(io.Discard),
		})
		action := Action{Source: Node{ID: "a", Address: strings.TrimPrefix(server.URL, "http://")}, Timeout: time.Second}
		_, err := c.request(t.Context(), action)
		assert.Check(t, err != nil, "a reply without headers was taken for one")
		_, err = c.request(t.Context(), action)
		assert.Check(t, (err == nil) == usable, "after %q: %v", head, err)
		c.transport.CloseIdleConnections()
		server.Close()
	}
}
