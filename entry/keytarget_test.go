package entry_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/standin/backend"
)

// Guards against the answer of one path being given for another that differs in its encoding only.
func TestKeyTellsEncodedTargetsApart(t *testing.T) {
	f, b := newKeyFleet(t)
	first := sendWithKey(f, "/jobs/x%7Cy", "k", "first")
	assert.Equal(t, first.outcome(), "answer", first.body)
	r := f.request("POST", "/jobs/x", "content")
	r.URL.Opaque = "/jobs/x|y"
	r.Header.Set("Idempotency-Key", "k")
	r.Header.Set(backend.HeaderWorkID, "second")
	second := f.do(r)
	assert.Equal(t, second.StatusCode, http.StatusUnprocessableEntity, second.body)
	assert.Equal(t, second.reason(), hop.ReasonKeyReused)
	assert.Equal(t, b.Runs()["second"], 0)
}
