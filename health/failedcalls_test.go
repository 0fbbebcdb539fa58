package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against suspecting healthy backend servers because a service that they call
// fails, and against explaining several failed requests by one failed call.
func TestFailedCallExplainsOneRequest(t *testing.T) {
	var c FailedCalls
	const ms = time.Millisecond
	assert.Assert(t, !c.MatchFailure(0, 100*ms), "no call failed")
	c.Record(50 * ms)
	c.Record(60 * ms)
	assert.Assert(t, !c.MatchFailure(70*ms, 100*ms), "the request started after the calls failed")
	assert.Assert(t, !c.MatchFailure(10*ms, 40*ms), "the request ended before the calls failed")
	assert.Assert(t, c.MatchFailure(10*ms, 55*ms))
	assert.Assert(t, c.MatchFailure(10*ms, 100*ms))
	assert.Assert(t, !c.MatchFailure(10*ms, 100*ms), "each failed call has already explained a request")
}

// Guards against memory use that grows while a called service keeps failing.
func TestFailedCallsAreBounded(t *testing.T) {
	var c FailedCalls
	for i := range 2 * maxFailedCalls {
		c.Record(time.Duration(i))
	}
	assert.Equal(t, len(c.failed), maxFailedCalls)
	assert.Assert(t, !c.MatchFailure(0, maxFailedCalls-1), "the oldest calls are dropped")
}
