package exchange

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that http.Transport sends again on another connection, whose response there is
// not checked, or after which that connection carries no further request.
func TestReplayedRequestIsChecked(t *testing.T) {
	t.Parallel()
	var drop, malformed atomic.Bool
	address, received := scriptedServer(t, func(c net.Conn, id string) {
		if drop.CompareAndSwap(true, false) {
			c.Close()
			return
		}
		line := ""
		if malformed.CompareAndSwap(true, false) {
			line = "X Y: z\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", line, len(id), id)
	})
	client := http.Client{Transport: Client{NewTransport(time.Second, 1, 1)}, Timeout: 5 * time.Second}
	get := func(id string) (string, error) {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", http.NoBody)
		assert.NilError(t, err)
		req.Header.Set("Id", id)
		res, err := client.Do(req)
		if err != nil {
			return "", err
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		return string(body), err
	}
	for i, c := range []struct{ drop, malformed bool }{{false, false}, {true, false}, {false, false}, {true, true}, {false, false}} {
		drop.Store(c.drop)
		malformed.Store(c.malformed)
		id := fmt.Sprint("request", i)
		body, err := get(id)
		assert.Check(t, c.malformed || err == nil && body == id, "%s: %q, %v", id, body, err)
		assert.Check(t, !c.malformed || err != nil, "%s: %q", id, body)
		assert.Check(t, received(id) == 2 == c.drop, "%s was received %d times", id, received(id))
	}
}
