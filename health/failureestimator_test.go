package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against non-idempotent work at a backend server that has just failed
// once, and against one that stays suspect after its work succeeds again.
func TestFilterFollowsResults(t *testing.T) {
	f := NewFailureEstimator(DefaultFailureModel, 0)
	now := time.Duration(0)
	for range 10 {
		now += 200 * time.Millisecond
		f.Observe(now, false)
	}
	assert.Assert(t, !f.Suspect(now))
	f.Observe(now, true)
	assert.Assert(t, f.Suspect(now), "one failure")
	f.Observe(now, true)
	assert.Assert(t, f.FailureProbability(now) > 0.7, "two failures")
	for range 4 {
		now += 200 * time.Millisecond
		f.Observe(now, false)
	}
	assert.Assert(t, !f.Suspect(now), "recovered: %v", f.FailureProbability(now))
}

// Guards against old evidence that is taken for new.
func TestFilterForgets(t *testing.T) {
	f := NewFailureEstimator(DefaultFailureModel, 0)
	f.Observe(0, true)
	f.Observe(0, true)
	longRun := f.FailureProbability(time.Minute)
	g := NewFailureEstimator(DefaultFailureModel, 0)
	g.Observe(0, false)
	assert.Assert(t, longRun-g.FailureProbability(time.Minute) < 1e-6)
	assert.Assert(t, longRun > 0.2 && longRun < 0.35)
}

// Guards against estimates that are not probabilities of the model: among moments with an
// estimate below a threshold, the backend server must rarely be failing.
func TestFilterIsCalibrated(t *testing.T) {
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

// Guards against a guard that has just started and takes the first failure for nothing.
func TestFirstResultIsEvidence(t *testing.T) {
	f := NewFailureEstimator(DefaultFailureModel, 0)
	assert.Assert(t, !f.Suspect(0))
	f.Observe(0, true)
	assert.Assert(t, f.Suspect(0))
}
