package guard

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
)

// Guards against a target that http.Transport can only send changed reaching a backend server.
func TestTargetThatWouldChangeIsRefused(t *testing.T) {
	f := newFixture(t)
	close(f.proceed)
	for target, want := range map[string]int{
		"/a|b": http.StatusOK, "//a": http.StatusOK,
		"//a|b": http.StatusBadRequest, "mailto:x": http.StatusBadRequest, "/a b": http.StatusBadRequest,
	} {
		before := f.runs.Load()
		r := f.request(t.Context(), f.newID())
		r.RequestURI = target
		w := httptest.NewRecorder()
		f.guard.ServeHTTP(w, r)
		assert.Equal(t, w.Code, want, target)
		if want != http.StatusOK {
			assert.Equal(t, hop.Outcome(w.Header().Get(hop.HeaderOutcome)), hop.OutcomeNotRun, target)
			assert.Equal(t, f.runs.Load(), before, target)
		}
	}
}
