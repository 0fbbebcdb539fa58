package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against suspecting healthy backend servers because a service that they call
// fails, and against explaining several failed runs by one failed call.
func TestFailedCallExplainsOneRun(t *testing.T) {
	var d Dependencies
	const ms = time.Millisecond
	assert.Assert(t, !d.Explains(0, 100*ms), "no call failed")
	d.CallFailed(50 * ms)
	d.CallFailed(60 * ms)
	assert.Assert(t, !d.Explains(70*ms, 100*ms), "the run began after the calls")
	assert.Assert(t, !d.Explains(10*ms, 40*ms), "the run ended before the calls")
	assert.Assert(t, d.Explains(10*ms, 55*ms))
	assert.Assert(t, d.Explains(10*ms, 100*ms))
	assert.Assert(t, !d.Explains(10*ms, 100*ms), "each failed call has already explained a run")
}

// Guards against memory use that grows while a called service keeps failing.
func TestFailedCallsAreBounded(t *testing.T) {
	var d Dependencies
	for i := range 2 * maxFailedCalls {
		d.CallFailed(time.Duration(i))
	}
	assert.Equal(t, len(d.failed), maxFailedCalls)
	assert.Assert(t, !d.Explains(0, maxFailedCalls-1), "the oldest calls are dropped")
}
