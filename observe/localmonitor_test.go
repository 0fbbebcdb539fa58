package observe

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/guard"
)

// Guards against suspecting a backend server that answers with an error because a service
// that it called failed. A failure without an answer must still count against the backend
// server, even after a failed call.
func TestFailureOfCallIsNoEvidence(t *testing.T) {
	now := time.Second
	s := NewLocalMonitor(func() time.Duration { return now })
	s.Observe(guard.DispatchReport{BackendID: "b", Result: guard.OK, Answered: true})
	now += time.Second
	failed := guard.DispatchReport{BackendID: "b", Result: guard.Failed, Answered: true, Latency: 200 * time.Millisecond}
	s.RecordFailedCall()
	now += 100 * time.Millisecond
	s.Observe(failed)
	assert.Equal(t, s.Health("b"), guard.Healthy)
	s.RecordFailedCall()
	failed.Answered = false
	s.Observe(failed)
	assert.Equal(t, s.Health("b"), guard.Suspect)
}
