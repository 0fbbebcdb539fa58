package health

import (
	"math"
	"time"
)

const (
	// suspectAbove is the evidence at or above which a backend server is suspect. It is meant
	// to be reached by three failures with few successes between them. At 1 % background
	// errors that is rare; when half of the requests fail, it takes about six requests. The
	// exception is at minFailureRate, where two failures in a row add 2*ln(0.314/0.02) = 5.507
	// and so just reach it.
	suspectAbove = 5.5
	// clearBelow is the evidence below which a backend server is no longer suspect.
	clearBelow = 3.0
	// suspicionCap bounds the evidence so that about 15 good answers clear a suspicion.
	suspicionCap = 8.0
	// suspicionDecay is subtracted from the evidence each second, which ends the suspicion of
	// a backend server for which there are no idempotent requests to re-test it.
	suspicionDecay = 0.1

	// ejectAbove is the evidence that must last for ejectAfter, with a fresh baseline, before
	// a backend server may be ejected.
	ejectAbove  = 18.0
	ejectionCap = 24.0
	ejectAfter  = 10 * time.Second

	// A bad backend server is assumed to add these shares of failed or slow requests.
	addedFailureRate = 0.3
	addedSlowRate    = 0.5
)

// evidence holds one-sided CUSUM statistics against a backend server for failures and for
// slowness, in nats.
type evidence struct{ failure, slowness float64 }

func (e *evidence) add(o observation, x routeBaseline, bound float64) {
	e.failure = cusum(e.failure, logLikelihoodRatio(o.failed, x.failureRate, addedFailureRate), bound)
	if !o.failed && x.slowRate > 0 {
		e.slowness = cusum(e.slowness, logLikelihoodRatio(x.slow(o.bucket), x.slowRate, addedSlowRate), bound)
	}
}

func (e evidence) highest() float64 { return max(e.failure, e.slowness) }

func (e *evidence) decay(by float64) {
	e.failure = max(0, e.failure-by)
	e.slowness = max(0, e.slowness-by)
}

func cusum(value, step, bound float64) float64 {
	return min(bound, max(0, value+step))
}

// logLikelihoodRatio returns the log-likelihood ratio of one request between a rate raised
// by the share added and the expected rate.
func logLikelihoodRatio(happened bool, expected, added float64) float64 {
	raised := expected + added*(1-expected)
	if happened {
		return math.Log(raised / expected)
	}
	return math.Log((1 - raised) / (1 - expected))
}
