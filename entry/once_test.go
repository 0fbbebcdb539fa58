package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/backend"
)

// Guards against running work twice when a backend server reads the request and then closes a
// reused connection. http.Transport would resend such a request.
func TestWorkRunsAtMostOnce(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		for _, key := range []string{"", "key"} {
			for _, body := range []string{"", "content"} {
				t.Run(fmt.Sprintf("%s key=%q body=%q", method, key, body), func(t *testing.T) {
					assertRunsAtMostOnce(t, method, key, body)
				})
			}
		}
	}
}

func assertRunsAtMostOnce(t *testing.T, method, key, body string) {
	b := backend.New(backend.DefaultSettings, 1)
	n := newNode(t)
	n.addBackend(t, b.HTTPServer())
	f := newFleet(t, n)
	send := func(id string) response {
		r := f.request(method, "/jobs", body)
		r.Header.Set(backend.HeaderWorkID, id)
		if key != "" {
			// The register would answer a second request with the same key itself.
			r.Header.Set("Idempotency-Key", key+id)
		}
		return f.do(r)
	}
	for i := range 3 {
		served, dropped := fmt.Sprint("good-", i), fmt.Sprint("bad-", i)
		b.Change(func(s *backend.Settings) { s.CloseShare = 0 })
		res := send(served)
		assert.Equal(t, res.outcome(), "answer", res.body)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		b.Change(func(s *backend.Settings) { s.CloseShare = 1 })
		res = send(dropped)
		assert.Equal(t, res.outcome(), "unknown", res.body)
		assert.Equal(t, res.StatusCode, http.StatusBadGateway)
		assert.Equal(t, b.Runs()[served], 1)
		assert.Equal(t, b.Runs()[dropped], 1)
	}
}
