package health

import (
	"math"
	"time"
)

// FailureModel describes how a backend server alternates between a healthy and a
// failing state, as a Markov process with two states.
type FailureModel struct {
	// MeanHealthy and MeanFailing are the mean durations of the two states.
	MeanHealthy, MeanFailing time.Duration
	// HealthyFailureRate and FailingFailureRate are the shares of requests that fail in each state.
	HealthyFailureRate, FailingFailureRate float64
}

// longRunFailingShare returns the long-run share of time in the failing state.
func (m FailureModel) longRunFailingShare() float64 {
	return m.MeanFailing.Seconds() / (m.MeanFailing + m.MeanHealthy).Seconds()
}

// drift returns the probability of failing after a time without results, if it was p before. It
// returns to the long-run share.
func (m FailureModel) drift(p float64, after time.Duration) float64 {
	toFailing, toHealthy := 1/m.MeanHealthy.Seconds(), 1/m.MeanFailing.Seconds()
	longRun := m.longRunFailingShare()
	return longRun + (p-longRun)*math.Exp(-(toFailing+toHealthy)*after.Seconds())
}

// DefaultFailureModel fits gray failures that last seconds and fail most of the
// requests. Failures at a healthy backend server are mostly the fault of the request
// itself.
var DefaultFailureModel = FailureModel{
	MeanHealthy:        14 * time.Second,
	MeanFailing:        6 * time.Second,
	HealthyFailureRate: 0.03,
	FailingFailureRate: 0.75,
}

const (
	// suspectProbability is the probability of failing above which requests that must not
	// be repeated go to other backend servers.
	suspectProbability = 0.05
	// suspicionTimeout bounds the time for which a failure makes a backend server
	// suspect; without newer results nothing more is known about it.
	suspicionTimeout = 4 * time.Second
	// failedRetestGap is the time between two re-tests while they fail. Each failed re-test
	// costs a caller a second attempt; with a longer gap these are fewer, but a recovery is
	// detected later, because that takes about this time.
	failedRetestGap = 800 * time.Millisecond
	// passedRetestGap is the time to the next re-test after one that succeeded.
	passedRetestGap = 150 * time.Millisecond
)

// FailureEstimator estimates the probability that one backend server is failing now, from
// the results of its requests. Without results the estimate returns to the long-run
// share of the failing state. It is not safe for concurrent use.
type FailureEstimator struct {
	model       FailureModel
	probability float64
	updatedAt   time.Duration
	// failedAt is the time of the last failure; failed is false before the first failure.
	failedAt time.Duration
	failed   bool
	// lastSucceeded is set when the last result was a success.
	lastSucceeded bool
}

// NewFailureEstimator returns the estimator of a backend server without results. Its
// estimate is the long-run share of the failing state.
func NewFailureEstimator(m FailureModel, now time.Duration) *FailureEstimator {
	return &FailureEstimator{model: m, updatedAt: now, probability: m.longRunFailingShare()}
}

// FailureProbability returns the probability that the backend server is failing at now.
func (f *FailureEstimator) FailureProbability(now time.Duration) float64 {
	f.advance(now)
	return f.probability
}

// Suspect reports whether recent failures make it likely that the backend server
// is failing. The drift of the estimate towards the long-run share does not make a
// backend server suspect unless one of its requests has failed.
func (f *FailureEstimator) Suspect(now time.Duration) bool {
	return f.failed && now-f.failedAt < suspicionTimeout && f.FailureProbability(now) > suspectProbability
}

// SinceFailure returns the time since the last failure, or 0 if there was none.
func (f *FailureEstimator) SinceFailure(now time.Duration) time.Duration {
	if !f.failed {
		return 0
	}
	return now - f.failedAt
}

// RetestGap returns the time from one re-test of a suspected backend server to the next.
func (f *FailureEstimator) RetestGap() time.Duration {
	if f.lastSucceeded {
		return passedRetestGap
	}
	return failedRetestGap
}

// Observe updates the estimate with the result of a request that ended at now.
func (f *FailureEstimator) Observe(now time.Duration, failed bool) {
	f.advance(now)
	f.lastSucceeded = !failed
	if failed {
		f.failed, f.failedAt = true, now
	}
	bad, good := f.model.FailingFailureRate, f.model.HealthyFailureRate
	if !failed {
		bad, good = 1-bad, 1-good
	}
	bad *= f.probability
	good *= 1 - f.probability
	f.probability = bad / (bad + good)
}

// advance lets the estimate drift towards the long-run share.
func (f *FailureEstimator) advance(now time.Duration) {
	if now <= f.updatedAt {
		return
	}
	f.probability = f.model.drift(f.probability, now-f.updatedAt)
	f.updatedAt = now
}
