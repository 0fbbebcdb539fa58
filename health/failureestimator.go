package health

import (
	"math"
	"time"
)

// FailureModel describes how a backend server alternates between a healthy and a
// failing condition, as a Markov process with two states.
type FailureModel struct {
	// MeanHealthy and MeanFailing are the mean durations of the two conditions.
	MeanHealthy, MeanFailing time.Duration
	// HealthyFailureRate and FailingFailureRate are the shares of work that fail in each.
	HealthyFailureRate, FailingFailureRate float64
}

// longRun returns the share of time in the failing condition.
func (m FailureModel) longRun() float64 {
	return m.MeanFailing.Seconds() / (m.MeanFailing + m.MeanHealthy).Seconds()
}

// DefaultFailureModel fits gray failures that last seconds and fail most of the
// work. Work that fails at a sound backend server is mostly the fault of the
// request itself.
var DefaultFailureModel = FailureModel{
	MeanHealthy:        14 * time.Second,
	MeanFailing:        6 * time.Second,
	HealthyFailureRate: 0.03,
	FailingFailureRate: 0.75,
}

const (
	// steerAbove is the probability of failing from which work that must not
	// repeat goes elsewhere.
	steerAbove = 0.05
	// steerFor bounds the time for which a failure makes a backend server
	// suspect; without newer results nothing more is known about it.
	steerFor = 4 * time.Second
	// failedGap is the time between two re-tests while they fail: each costs a caller a
	// second attempt, and the recovery is noticed within about this time.
	failedGap = 800 * time.Millisecond
	// passedGap is the time to the next re-test after one that succeeded.
	passedGap = 150 * time.Millisecond
)

// FailureEstimator estimates the probability that one backend server is failing now, from
// the results of its work. Without results the estimate returns to the long-run
// share of the failing condition. It is not safe for concurrent use.
type FailureEstimator struct {
	model   FailureModel
	failing float64
	at      time.Duration
	// failedAt is the time of the last failure; failed is false before the first.
	failedAt time.Duration
	failed   bool
	// passed is set when the last result was a success.
	passed bool
}

// NewFailureEstimator returns the filter of a backend server of which nothing is known.
func NewFailureEstimator(m FailureModel, now time.Duration) *FailureEstimator {
	return &FailureEstimator{model: m, at: now, failing: m.longRun()}
}

// FailureProbability returns the probability that the backend server is failing at now.
func (f *FailureEstimator) FailureProbability(now time.Duration) float64 {
	f.advance(now)
	return f.failing
}

// Suspect reports whether recent failures make it likely that the backend server
// is failing. Age alone makes none suspect.
func (f *FailureEstimator) Suspect(now time.Duration) bool {
	return f.failed && now-f.failedAt < steerFor && f.FailureProbability(now) > steerAbove
}

// RetestDue reports whether work that may be repeated should test a suspected backend
// server. sinceLast is the time since the last test was sent.
func (f *FailureEstimator) RetestDue(sinceLast time.Duration) bool {
	if f.passed {
		return sinceLast >= passedGap
	}
	return sinceLast >= failedGap
}

// Observe takes the result of work that ended at now.
func (f *FailureEstimator) Observe(now time.Duration, failed bool) {
	f.advance(now)
	f.passed = !failed
	if failed {
		f.failed, f.failedAt = true, now
	}
	bad, good := f.model.FailingFailureRate, f.model.HealthyFailureRate
	if !failed {
		bad, good = 1-bad, 1-good
	}
	bad *= f.failing
	good *= 1 - f.failing
	f.failing = bad / (bad + good)
}

// advance lets the estimate drift towards the long-run share.
func (f *FailureEstimator) advance(now time.Duration) {
	if now <= f.at {
		return
	}
	toFailing, toSound := 1/f.model.MeanHealthy.Seconds(), 1/f.model.MeanFailing.Seconds()
	longRun := f.model.longRun()
	keep := math.Exp(-(toFailing + toSound) * (now - f.at).Seconds())
	f.failing = longRun + (f.failing-longRun)*keep
	f.at = now
}
