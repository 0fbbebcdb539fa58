package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests of callers that are taken for calls of repeated attempts and so use
// up the budget of repeats. Also guards against counting none of the calls, or all of
// them, while only some of the running requests are repeated attempts.
func TestCallsOfRepeatedAttemptsCount(t *testing.T) {
	o := NewOriginClassifier()
	random := rand.New(rand.NewPCG(1, 2))
	callers, calls, expected := 0, 0, 0.0
	for range 2000 {
		running := random.IntN(4)
		repeats := random.IntN(running + 1)
		if o.Classify("of callers", running, repeats).Repeated {
			callers++
		}
		// A call rarely arrives while no request runs: only if the guard has just stopped
		// waiting for the request that made the call.
		if running == 0 && random.IntN(100) > 0 {
			continue
		}
		if o.Classify("of calls", running, repeats).Repeated {
			calls++
		}
		if running > 0 {
			expected += float64(repeats) / float64(running)
		}
	}
	assert.Equal(t, o.Classify("of callers", 1, 0), Origin{})
	assert.Equal(t, o.Classify("of calls", 1, 0), Origin{MayBeCall: true})
	assert.Assert(t, callers < minRequests, "%d requests of callers counted as calls of repeated attempts", callers)
	assert.Assert(t, float64(calls) > expected-1 && float64(calls) <= expected, "%d calls counted as repeated, expected %.1f", calls, expected)
}

// Guards against memory that grows without limit with the number of routes. A route that
// is not kept still gets its requests classified.
func TestRoutesAreBounded(t *testing.T) {
	o := NewOriginClassifier()
	for i := range 2 * maxRoutes {
		o.Classify(fmt.Sprint(i), 0, 0)
	}
	assert.Equal(t, len(o.routes), maxRoutes)
	assert.Equal(t, o.Classify("another", 1, 1), Origin{MayBeCall: true, Repeated: true})
}
