package entry_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/entry"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/settings"
)

// suspicion is how long the guards of the test refuse work as suspect.
const suspicion = 300 * time.Millisecond

// newPatientEntry serves one idempotent route before guards of which the first attempt
// fails its backend server, and which refuse all others as suspect for a short time.
func newPatientEntry(t *testing.T, guards int) (url string, dispatched *atomic.Int32) {
	dispatched = &atomic.Int32{}
	started := time.Now()
	serveAttempt := func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(hop.StatusAccepted)
		switch {
		case dispatched.CompareAndSwap(0, 1):
			w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
			w.Header().Set(hop.HeaderHealth, hop.HealthSuspect)
			w.WriteHeader(http.StatusInternalServerError)
		case time.Since(started) < suspicion:
			w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeNotRun))
			w.Header().Set(hop.HeaderReason, string(hop.ReasonSuspect))
			w.Header().Set(hop.HeaderHealth, hop.HealthSuspect)
			w.Header().Set(hop.HeaderFailing, "900")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			dispatched.Add(1)
			w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
			io.WriteString(w, "served")
		}
	}
	var backends []membership.Backend
	for range guards {
		n := newNode(t)
		n.hop.set(http.HandlerFunc(serveAttempt))
		backends = append(backends, membership.Backend{
			ID: n.self.NodeID, Service: "service", Guard: n.self, Slots: 4, State: membership.StateReady,
		})
	}
	snapshot := config.NewSnapshot(1,
		[]route.Route{{Name: "read", PathPrefix: "/", Pool: "pool", Idempotent: true, TimeoutMS: 3000, TargetLatencyMS: 2000, MaxAttempts: 2}},
		[]pool.Pool{{Name: "pool", Service: "service"}}, nil)
	view := membership.NewView(backends)
	e := entry.New(entry.Config{
		Region:             "region",
		Snapshot:           func() *config.Snapshot { return snapshot },
		View:               func() *membership.View { return view },
		Resolver:           entry.NewControlResolver(&http.Client{}),
		GuardsLimitRetries: true,
		HoldAnswers:        true,
		WaitForRoom:        true,
		StrictDeadline:     true,
		AcceptTimeout:      time.Second,
		Limits:             settings.Limits{MaxHeaderBytes: 8 << 10, BodyStallTimeout: time.Second, RegionBytes: 1 << 20},
		Protocol:           open{},
	})
	l := listen(t)
	serve(t, e.Server(), l)
	return "http://" + l.Addr().String(), dispatched
}

// open lets every caller in.
type open struct{ entry.Native }

func (open) Accept(*http.Request, *config.Snapshot) (entry.Ask, *entry.Refusal) {
	return entry.Ask{}, nil
}

// Guards against a caller that gets the failure of a re-test although the request may be
// repeated and has most of its time left, because all other backend servers of a round
// were suspected.
func TestFailedReadWaitsForBackendServer(t *testing.T) {
	url, dispatched := newPatientEntry(t, 8)
	res, err := client.Get(url + "/")
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, dispatched.Load(), int32(2))
}
