package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers' requests that use up the budget of repeats as calls of repeated
// runs, and against calls that nobody counts or that all count while one run repeats.
func TestCallsOfRepeatedWorkCount(t *testing.T) {
	o := NewOriginClassifier()
	random := rand.New(rand.NewPCG(1, 2))
	callers, calls, expected := 0, 0, 0.0
	for range 2000 {
		running := random.IntN(4)
		repeats := random.IntN(running + 1)
		if o.Classify("of callers", running, repeats).Repeated {
			callers++
		}
		// A call of a run that was given up arrives late.
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
	assert.Assert(t, callers < minOrigins, "%d requests of callers", callers)
	assert.Assert(t, float64(calls) > expected-1 && float64(calls) <= expected, "%d calls of %.1f", calls, expected)
}

// Guards against memory that grows with the routes of the configuration.
func TestOriginsAreBounded(t *testing.T) {
	o := NewOriginClassifier()
	for i := range 2 * maxRoutes {
		o.Classify(fmt.Sprint(i), 0, 0)
	}
	assert.Equal(t, len(o.routes), maxRoutes)
	assert.Equal(t, o.Classify("another", 1, 1), Origin{MayBeCall: true, Repeated: true})
}
