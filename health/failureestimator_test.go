package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sending non-idempotent requests to a backend server that has just failed
// once, and against one that stays suspect after its requests succeed again.
func TestEstimatorFollowsResults(t *testing.T) {
	f := NewFailureEstimator(DefaultFailureModel, 0)
	now := time.Duration(0)
	for range 10 {
		now += 200 * time.Millisecond
		f.Observe(now, false)
	}
	assert.Assert(t, !f.Suspect(now))
	f.Observe(now, true)
	assert.Assert(t, f.Suspect(now), "not suspect after one failure")
	f.Observe(now, true)
	assert.Assert(t, f.FailureProbability(now) > 0.7, "probability of failing after two failures is too low")
	for range 4 {
		now += 200 * time.Millisecond
		f.Observe(now, false)
	}
	assert.Assert(t, !f.Suspect(now), "still suspect after four successes, probability of failing %v", f.FailureProbability(now))
}

// Guards against an estimate that still depends on results from a minute ago.
func TestEstimatorForgetsOldResults(t *testing.T) {
	f := NewFailureEstimator(DefaultFailureModel, 0)
	f.Observe(0, true)
	f.Observe(0, true)
	longRun := f.FailureProbability(time.Minute)
	g := NewFailureEstimator(DefaultFailureModel, 0)
	g.Observe(0, false)
	assert.Assert(t, longRun-g.FailureProbability(time.Minute) < 1e-6)
	assert.Assert(t, longRun > 0.2 && longRun < 0.35)
}

// Guards against estimates that are not probabilities of the model: at the times when the
// estimate is below 0.1, the simulated backend server must be failing in less than 10 % of them.
func TestEstimatorIsCalibrated(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	m := DefaultFailureModel
	f := NewFailureEstimator(m, 0)
	failing := false
	const step = 100 * time.Millisecond
	low, lowFailing := 0, 0
	for now := step; now < time.Hour; now += step {
		mean := m.MeanHealthy
		if failing {
			mean = m.MeanFailing
		}
		if rng.Float64() < step.Seconds()/mean.Seconds() {
			failing = !failing
		}
		if f.FailureProbability(now) < 0.1 {
			low++
			if failing {
				lowFailing++
			}
		}
		if rng.Float64() < 0.4 {
			share := m.HealthyFailureRate
			if failing {
				share = m.FailingFailureRate
			}
			f.Observe(now, rng.Float64() < share)
		}
	}
	assert.Assert(t, low > 1000)
	assert.Assert(t, float64(lowFailing)/float64(low) < 0.1)
}

// Guards against a newly started guard that ignores the first failure because it has no
// earlier results of the backend server.
func TestFirstResultIsEvidence(t *testing.T) {
	f := NewFailureEstimator(DefaultFailureModel, 0)
	assert.Assert(t, !f.Suspect(0))
	f.Observe(0, true)
	assert.Assert(t, f.Suspect(0))
}
