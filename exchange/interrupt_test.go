package exchange

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request without a body ending the later ones on its connection, whose contexts
// net/http cancels once a read from the connection has failed.
func TestInterruptKeepsConnectionOfRequestWithoutBody(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := r.Context().Err(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		// As after an answer that came before the transport has read the empty body.
		_, body := NewRequest(r.Context(), r, "127.0.0.1:1", r.Body, nil)
		body.Interrupt(w)
		time.Sleep(20 * time.Millisecond)
		body.Close()
	}))
	defer server.Close()
	for range 3 {
		res, err := server.Client().Get(server.URL)
		assert.NilError(t, err)
		text, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK, string(text))
	}
}
