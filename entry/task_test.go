package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/standin/backend"
)

// Guards against a late refusal when all backend servers are full: the entry must make only a
// few attempts, and no further one once fullRetryWindow has passed since it began.
func TestFullRefusalsAreRetriedBriefly(t *testing.T) {
	for _, test := range []struct {
		delay       time.Duration
		maxAttempts int32
	}{{0, 3}, {50 * time.Millisecond, 1}} {
		var nodes []*node
		for i := range 5 {
			n := newNode(t)
			n.announce(t, fmt.Sprintf("127.0.0.1:%d", i+1), membership.StateReady)
			n.hop.set(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(test.delay)
				w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeNotRun))
				w.Header().Set(hop.HeaderReason, string(hop.ReasonFull))
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			nodes = append(nodes, n)
		}
		f := newFleet(t, nodes...)
		res := f.do(f.request("POST", "/jobs", ""))
		assert.Equal(t, res.outcome(), "not-run")
		assert.Equal(t, res.reason(), hop.ReasonFull)
		var attempts int32
		for _, n := range nodes {
			attempts += n.hop.requests.Load()
		}
		assert.Assert(t, attempts >= 1 && attempts <= test.maxAttempts, "%d attempts", attempts)
	}
}

// Guards against traffic to other regions beyond the byte budget, and against never sending a
// request that is larger than the whole budget. The budget holds at most 10 bytes and refills
// at 1 byte per second: the first request must be sent although it is larger than the budget,
// and the next one must be refused because the first used the budget up.
func TestCrossRegionByteBudget(t *testing.T) {
	n := newNode(t)
	n.self.Region = "far"
	n.start(nil)
	n.addBackend(t, backend.New(backend.DefaultSettings, 1).HTTPServer())
	near := newNode(t)
	f := newFleet(t, near, n)
	assert.Equal(t, f.do(f.request("POST", "/jobs", "content")).outcome(), "answer")
	res := f.do(f.request("POST", "/jobs", "content"))
	assert.Equal(t, res.outcome(), "not-run")
	assert.Equal(t, res.reason(), hop.ReasonNoBackend)
}
