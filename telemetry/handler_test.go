package telemetry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/settings"
	"github.com/jackdawlane/jackdawlane/telemetry"
)

// Guards against a hop that starts a new trace instead of continuing the trace of the
// request: the parts of such a trace do not show where the request spent its time.
func TestHandlerLinksHops(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans")
	tracing, err := telemetry.NewTracing(context.Background(), settings.Trace{Exporter: "file", File: file, SampleRatio: 1}, "n1")
	assert.NilError(t, err)
	m := telemetry.NewMetrics()
	var seen string
	inner := tracing.Handler("guard", m, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Get("Traceparent")
		w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
		w.WriteHeader(http.StatusNoContent)
	}))
	outer := tracing.Handler("entry", m, inner)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	outer.ServeHTTP(httptest.NewRecorder(), r)
	assert.NilError(t, tracing.Shutdown(context.Background()))
	spans, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(spans), `"TraceID":"0af7651916cd43dd8448eb211c80319c"`), 4)
	assert.Assert(t, strings.HasPrefix(seen, "00-0af7651916cd43dd8448eb211c80319c-"))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `"guard.answer": 1`), w.Body.String())
}
