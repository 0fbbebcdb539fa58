package health

import (
	"math"
	"time"
)

// FilterModel describes how a backend server alternates between a sound and a
// failing condition, as a Markov process with two states.
type FilterModel struct {
	// MeanSound and MeanFailing are the mean durations of the two conditions.
	MeanSound, MeanFailing time.Duration
	// SoundFailures and FailingFailures are the shares of work that fail in each.
	SoundFailures, FailingFailures float64
}

// DefaultFilterModel fits gray failures that last seconds and fail most of the
// work. Work that fails at a sound backend server is mostly the fault of the
// request itself.
var DefaultFilterModel = FilterModel{
	MeanSound:       9 * time.Second,
	MeanFailing:     3 * time.Second,
	SoundFailures:   0.02,
	FailingFailures: 0.7,
}

const (
	// steerAbove is the probability of failing from which work that must not
	// repeat goes elsewhere.
	steerAbove = 0.1
	// steerFor bounds the time for which a failure makes a backend server
	// suspect; without newer results nothing more is known about it.
	steerFor = 4 * time.Second
)

// Filter estimates the probability that one backend server is failing now, from
// the results of its work. Without results the estimate returns to the long-run
// share of the failing condition. It is not safe for concurrent use.
type Filter struct {
	model   FilterModel
	failing float64
	at      time.Duration
	// failedAt is the time of the last failure; failed is false before the first.
	failedAt time.Duration
	failed   bool
}

// NewFilter returns the filter of a backend server that has just started and is
// taken to be sound.
func NewFilter(m FilterModel, now time.Duration) *Filter {
	return &Filter{model: m, at: now}
}

// Failing returns the probability that the backend server is failing at now.
func (f *Filter) Failing(now time.Duration) float64 {
	f.advance(now)
	return f.failing
}

// Suspect reports whether recent failures make it likely that the backend server
// is failing. Age alone makes none suspect.
func (f *Filter) Suspect(now time.Duration) bool {
	return f.failed && now-f.failedAt < steerFor && f.Failing(now) > steerAbove
}

// Observe takes the result of work that ended at now.
func (f *Filter) Observe(now time.Duration, failed bool) {
	f.advance(now)
	if failed {
		f.failed, f.failedAt = true, now
	}
	bad, good := f.model.FailingFailures, f.model.SoundFailures
	if !failed {
		bad, good = 1-bad, 1-good
	}
	bad *= f.failing
	good *= 1 - f.failing
	f.failing = bad / (bad + good)
}

// advance lets the estimate drift towards the long-run share.
func (f *Filter) advance(now time.Duration) {
	if now <= f.at {
		return
	}
	toFailing, toSound := 1/f.model.MeanSound.Seconds(), 1/f.model.MeanFailing.Seconds()
	longRun := toFailing / (toFailing + toSound)
	keep := math.Exp(-(toFailing + toSound) * (now - f.at).Seconds())
	f.failing = longRun + (f.failing-longRun)*keep
	f.at = now
}
