package health

import (
	"math"
	"time"
)

const (
	// suspectAbove is just more than two failures can add (5.4), so that it takes
	// three with few successes between them. At 1 % background errors that is
	// rare, and at half of the work failing it takes about six requests.
	suspectAbove = 5.5
	trustedBelow = 3.0
	// steeringCap lets about 15 good answers clear a suspicion.
	steeringCap = 8.0
	// steeringFade per second ends a suspicion that no idempotent work can re-test.
	steeringFade = 0.1

	// ejectAbove must be exceeded for ejectAfter with a fresh baseline.
	ejectAbove  = 18.0
	ejectionCap = 24.0
	ejectAfter  = 10 * time.Second

	// A bad backend server is taken to add these shares of failed or slow work.
	addedFailureRate = 0.3
	addedSlowRate    = 0.5
)

// evidence holds two one-sided CUSUM statistics, in nats.
type evidence struct{ failure, slowness float64 }

func (e *evidence) add(o observation, x expectation, bound float64) {
	e.failure = cusum(e.failure, logRatio(o.failed, x.failureRate, addedFailureRate), bound)
	if !o.failed && x.slowRate > 0 {
		e.slowness = cusum(e.slowness, logRatio(x.slow(o.bucket), x.slowRate, addedSlowRate), bound)
	}
}

func (e evidence) highest() float64 { return max(e.failure, e.slowness) }

func (e *evidence) fade(by float64) {
	e.failure = max(0, e.failure-by)
	e.slowness = max(0, e.slowness-by)
}

func cusum(value, step, bound float64) float64 {
	return min(bound, max(0, value+step))
}

// logRatio returns the log-likelihood ratio of one event between a rate raised
// by the share added and the expected rate.
func logRatio(happened bool, expected, added float64) float64 {
	raised := expected + added*(1-expected)
	if happened {
		return math.Log(raised / expected)
	}
	return math.Log((1 - raised) / (1 - expected))
}
