package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sound backend servers that are suspected while a service that they call
// fails, and against one failed call that excuses several failures.
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
	assert.Assert(t, !d.Explains(10*ms, 100*ms), "both are used up")
}

// Guards against memory that grows while a service fails for long.
func TestFailedCallsAreBounded(t *testing.T) {
	var d Dependencies
	for i := range 2 * maxFailedCalls {
		d.CallFailed(time.Duration(i))
	}
	assert.Equal(t, len(d.failed), maxFailedCalls)
	assert.Assert(t, !d.Explains(0, maxFailedCalls-1), "the oldest are forgotten")
}
