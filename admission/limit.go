package admission

import (
	"math"
	"time"
)

const (
	// shedFactor multiplies the limit after the backend server shed a request.
	shedFactor = 0.8
	// slowFactor multiplies the limit at each step while latency is raised by load.
	slowFactor = 0.9
	// slowRatio is the ratio of latency to its baseline above which the backend
	// server counts as slow. With 64 samples and exponentially distributed latencies
	// it is six standard deviations.
	slowRatio = 2.0
	// After the limit was reduced by a third, the reduction counts as effective if the latency
	// is at most maxEffectiveRatio times the latency before. Above that, latency counts as
	// independent of the limit.
	maxEffectiveRatio = 0.85
	// settleSamples is the number of answers after which the decayed latency reflects
	// a change of the limit.
	settleSamples = 2 * routeSamples
	// stepSamples is the number of answers between reductions.
	stepSamples = routeSamples / 2
	// riseSteps times the limit is the number of answers at full use of the limit
	// after which the limit rises by one.
	riseSteps = 4
	// slowRiseSteps replaces riseSteps after a reduction that lowered latency, because
	// renewed slowness is detected only after settleSamples answers.
	slowRiseSteps = 64
	// rampTime is the time from the change to state ready until the full limit applies.
	rampTime = 10 * time.Second
	// rampStart is the share of the slots that may be used at the change to state ready.
	rampStart = 0.2
)

// limiter adapts the concurrency limit of a backend server to shed requests and latency.
type limiter struct {
	slots int
	// adaptedLimit is the limit before the reductions for a starting or ramping backend server.
	adaptedLimit float64
	starting     bool
	ramping      bool
	readyAt      time.Duration
	shedAt       time.Duration
	// latencyLogRatio is the decayed mean of the logarithm of the ratio of latency to its baseline.
	latencyLogRatio float64
	// slowSamples counts the answers since latency was found slow. lastReduced is the value
	// of that count at the last reduction of the limit.
	slowSamples, lastReduced int
	// The limit and latencyLogRatio before the reduction started.
	limitBefore, latencyLogRatioBefore float64
	// slowRise is set once a reduction of the limit has lowered latency, and cleared when a
	// reduction has had no effect. While it is set, slowRiseSteps replaces riseSteps, so that
	// the limit rises more slowly.
	slowRise bool
}

func newLimiter(slots int) limiter {
	slots = max(1, slots)
	return limiter{slots: slots, adaptedLimit: float64(slots), shedAt: math.MinInt64 / 2}
}

// limit returns the number of requests that may run now, at least 1 and at most the slots.
func (l *limiter) limit(now time.Duration) int {
	if l.starting {
		return 1
	}
	v := min(l.adaptedLimit, float64(l.slots))
	if l.ramping {
		v = min(v, float64(l.slots)*l.rampShare(now))
	}
	return max(1, int(v))
}

func (l *limiter) rampShare(now time.Duration) float64 {
	done := (now - l.readyAt).Seconds() / rampTime.Seconds()
	if done >= 1 {
		l.ramping = false
		return 1
	}
	return rampStart + (1-rampStart)*max(0, done)
}

// resize applies a newly announced number of slots. A limit that was equal to the
// number of slots stays equal to it.
func (l *limiter) resize(slots int) {
	slots = max(1, slots)
	if l.adaptedLimit >= float64(l.slots) {
		l.adaptedLimit = float64(slots)
	}
	l.slots = slots
	l.adaptedLimit = min(l.adaptedLimit, float64(slots))
}

// shed lowers the limit, at most once per service time (in seconds), because requests
// that are shed together are one sign of overload.
func (l *limiter) shed(now time.Duration, service float64) {
	if (now - l.shedAt).Seconds() < service {
		return
	}
	l.shedAt = now
	l.adaptedLimit = max(1, l.adaptedLimit*shedFactor)
}

// isSlow reports whether latency has grown beyond slowRatio times its baseline.
func (l *limiter) isSlow() bool { return l.latencyLogRatio > math.Log(slowRatio) }

// recordAnswer records an answer. Growth is the logarithm of the ratio of its latency to
// the baseline latency; full says whether the limit was in full use at dispatch. It
// reports true when the limit turned out to have no effect on latency, so that the
// caller should take the current latency as the new baseline.
func (l *limiter) recordAnswer(latencyLogRatio float64, full bool) bool {
	l.latencyLogRatio += (latencyLogRatio - l.latencyLogRatio) / routeSamples
	if !l.isSlow() {
		l.slowRise = l.slowRise || l.adaptedLimit < l.limitBefore && l.slowSamples > 0
		l.slowSamples = 0
		l.rise(full)
		return false
	}
	if full || l.slowSamples > 0 {
		return l.reduce()
	}
	return false
}

func (l *limiter) rise(full bool) {
	if !full {
		return
	}
	steps := float64(riseSteps)
	if l.slowRise {
		steps = slowRiseSteps
	}
	l.adaptedLimit = min(float64(l.slots), l.adaptedLimit+1/(steps*l.adaptedLimit))
}

// reduce counts an answer of a slow backend server. Over such answers it lowers the
// limit by a third in steps, then compares latency before and after. If latency did
// not fall, it restores the limit and reports true.
func (l *limiter) reduce() bool {
	l.slowSamples++
	switch {
	case l.slowSamples <= settleSamples:
		l.limitBefore, l.latencyLogRatioBefore = l.adaptedLimit, l.latencyLogRatio
	case l.adaptedLimit > max(1, l.limitBefore*2/3):
		if l.slowSamples%stepSamples == 0 {
			l.adaptedLimit = max(1, l.adaptedLimit*slowFactor)
		}
		l.lastReduced = l.slowSamples
	case l.slowSamples-l.lastReduced < settleSamples:
		// Wait until the decayed latency reflects the last reduction.
	case l.latencyLogRatio > l.latencyLogRatioBefore+math.Log(maxEffectiveRatio):
		l.adaptedLimit, l.latencyLogRatio, l.slowSamples = l.limitBefore, 0, 0
		l.slowRise = false
		return true
	default:
		l.slowSamples = 0
	}
	return false
}
