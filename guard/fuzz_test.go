package guard

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// Guards against an announcement that crashes the node, and against accepting an
// announcement with an empty service or address, or with less than one slot or connection.
// The form of the address and the state are not checked here.
func FuzzAnnounce(f *testing.F) {
	f.Add(`{"service":"s","address":"127.0.0.1:1","slots":1,"connections":1,"state":"ready","credential":"good"}`)
	f.Add(`{"service":"s","address":"127.0.0.1:99999","slots":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		g := New(Config{
			Self:        membership.Guard{Incarnation: incarnation},
			MayAnnounce: func(_, credential string) bool { return credential == "good" },
			Limits:      attempt.DefaultLimits,
		})
		w := httptest.NewRecorder()
		g.AnnounceHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
		for _, b := range g.Backends(time.Now()) {
			if b.Slots < 1 || b.Connections < 1 || b.Service == "" || b.Address == "" {
				t.Fatalf("an announcement with an invalid field was accepted: %+v", b)
			}
		}
	})
}

// Guards against hop headers that crash the guard, and against an answer for a backend
// server that is not announced to the guard.
func FuzzHopHeaders(f *testing.F) {
	f.Add(hop.NewAttemptID(hop.GuardTime{Incarnation: incarnation}), "s@127.0.0.1:1", "1000", "true")
	f.Add("0-1.9223372036854775807", "", "-1", "")
	f.Fuzz(func(t *testing.T, id, backend, timeout, idempotent string) {
		g := New(Config{Self: membership.Guard{Incarnation: incarnation}, Limits: attempt.DefaultLimits})
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(hop.HeaderAttempt, id)
		r.Header.Set(hop.HeaderBackendServer, backend)
		r.Header.Set(hop.HeaderTimeoutMS, timeout)
		r.Header.Set(hop.HeaderIdempotent, idempotent)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if outcome := hop.Outcome(w.Header().Get(hop.HeaderOutcome)); outcome == hop.OutcomeAnswer {
			t.Fatalf("the guard answered although no backend server announced itself: %v", w.Header())
		}
	})
}
