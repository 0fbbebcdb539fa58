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
		work := Running{All: running, Repeats: repeats, IdleShare: 0.25}
		if o.Classify("of callers", work).Repeated {
			callers++
		}
		// A call rarely arrives while no request runs: only if the guard has just stopped
		// waiting for the request that made the call.
		if running == 0 && random.IntN(100) > 0 {
			continue
		}
		if o.Classify("of calls", work).Repeated {
			calls++
		}
		if running > 0 {
			expected += float64(repeats) / float64(running)
		}
	}
	busy := Running{All: 1, IdleShare: 0.25}
	assert.Equal(t, o.Classify("of callers", busy), Origin{})
	assert.Equal(t, o.Classify("of calls", busy), Origin{MayBeCall: true})
	const beforeConclusion = 10
	assert.Assert(t, callers < beforeConclusion, "%d requests of callers counted as calls of repeated attempts", callers)
	assert.Assert(t, float64(calls) > expected-1 && float64(calls) <= expected, "%d calls counted as repeated, expected %.1f", calls, expected)
}

// Guards against memory that grows without limit with the number of routes. A route that
// is not kept still gets its requests classified.
func TestRoutesAreBounded(t *testing.T) {
	o := NewOriginClassifier()
	for i := range 2 * maxRoutes {
		o.Classify(fmt.Sprint(i), Running{IdleShare: 1})
	}
	assert.Equal(t, len(o.routes), maxRoutes)
	assert.Equal(t, o.Classify("another", Running{All: 1, Repeats: 1}), Origin{MayBeCall: true, Repeated: true})
}

// Guards against requests of callers that are taken for calls on a node that is hardly ever
// idle, where few of them arrive while nothing runs, and against calls that are taken for
// requests of callers because of the few that arrive after their request has been given up.
func TestOriginOnBusyNode(t *testing.T) {
	const idleShare = 0.04
	random := rand.New(rand.NewPCG(3, 4))
	o := NewOriginClassifier()
	wrongCallers, wrongCalls, n := 0, 0, 4000
	arrival := func(idle float64) Running {
		w := Running{All: 3, IdleShare: idleShare}
		if random.Float64() < idle {
			w.All = 0
		}
		return w
	}
	for i := range n {
		caller, call := arrival(idleShare), arrival(0.005)
		a, b := o.Classify("of callers", caller), o.Classify("of calls", call)
		if i < n/10 {
			continue
		}
		if a.MayBeCall {
			wrongCallers++
		}
		if call.All > 0 && !b.MayBeCall {
			wrongCalls++
		}
	}
	assert.Assert(t, wrongCallers < n/10, "%d of %d requests of callers taken for calls", wrongCallers, n)
	assert.Assert(t, wrongCalls < n/10, "%d of %d calls taken for requests of callers", wrongCalls, n)
}
