package admission

import (
	"math"
	"time"
)

const (
	// shedFactor lowers the limit after the backend server shed work.
	shedFactor = 0.8
	// slowFactor lowers the limit while latency is grown by load.
	slowFactor = 0.9
	// slowRatio is the growth of latency over the usual one that counts as
	// slow. With 64 samples it is six standard deviations for exponential times.
	slowRatio = 2.0
	// helped is the ratio of latency that a reduction of the limit by a third
	// must reach, otherwise latency does not depend on the limit.
	helped = 0.85
	// settleSamples lets the decayed latency follow a change of the limit.
	settleSamples = 2 * routeSamples
	// stepSamples is the number of answers between reductions.
	stepSamples = routeSamples / 2
	// riseSteps is the number of answers at a full limit for one more slot,
	// divided by the limit.
	riseSteps = 4
	// cautiousSteps replaces riseSteps after a reduction that helped, because
	// slowness is found only after settleSamples.
	cautiousSteps = 64
	// rampTime is the time from state ready to the full limit.
	rampTime = 10 * time.Second
	// rampStart is the share of the slots at state ready.
	rampStart = 0.2
)

// limiter holds the concurrency limit of a backend server.
type limiter struct {
	slots    int
	value    float64
	starting bool
	ramping  bool
	readyAt  time.Duration
	shedAt   time.Duration
	// growth is the decayed logarithm of latency over its usual value.
	growth float64
	// samples counts the answers since latency was found slow, and reduced is
	// its value at the last reduction.
	samples, reduced int
	// Limit and growth before the reduction.
	fromLimit, fromGrowth float64
	// cautious is set once a reduction has helped.
	cautious bool
}

func newLimiter(slots int) limiter {
	slots = max(1, slots)
	return limiter{slots: slots, value: float64(slots), shedAt: math.MinInt64 / 2}
}

// limit is the number of requests that may run now, at least 1 and at most the slots.
func (l *limiter) limit(now time.Duration) int {
	if l.starting {
		return 1
	}
	v := min(l.value, float64(l.slots))
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

// resize takes newly announced slots. A limit that was at the slots stays there.
func (l *limiter) resize(slots int) {
	slots = max(1, slots)
	if l.value >= float64(l.slots) {
		l.value = float64(slots)
	}
	l.slots = slots
	l.value = min(l.value, float64(slots))
}

// shed lowers the limit, at most once per service time: the requests shed
// together are one sign.
func (l *limiter) shed(now time.Duration, service float64) {
	if (now - l.shedAt).Seconds() < service {
		return
	}
	l.shedAt = now
	l.value = max(1, l.value*shedFactor)
}

// slow reports whether latency has grown.
func (l *limiter) slow() bool { return l.growth > math.Log(slowRatio) }

// answered takes the latency of an answer as the logarithm of its ratio to the
// usual latency, and whether the limit was in full use. It reports whether the
// usual latency should follow the present one because the limit has no effect
// on it.
func (l *limiter) answered(growth float64, full bool) bool {
	l.growth += (growth - l.growth) / routeSamples
	if !l.slow() {
		l.cautious = l.cautious || l.value < l.fromLimit && l.samples > 0
		l.samples = 0
		l.rise(full)
		return false
	}
	if full || l.samples > 0 {
		return l.reduce()
	}
	return false
}

func (l *limiter) rise(full bool) {
	if !full {
		return
	}
	steps := float64(riseSteps)
	if l.cautious {
		steps = cautiousSteps
	}
	l.value = min(float64(l.slots), l.value+1/(steps*l.value))
}

// reduce lowers the limit by a third in steps, then compares latency before
// and after. It restores the limit and reports true if latency did not fall.
func (l *limiter) reduce() bool {
	l.samples++
	switch {
	case l.samples <= settleSamples:
		l.fromLimit, l.fromGrowth = l.value, l.growth
	case l.value > max(1, l.fromLimit*2/3):
		if l.samples%stepSamples == 0 {
			l.value = max(1, l.value*slowFactor)
		}
		l.reduced = l.samples
	case l.samples-l.reduced < settleSamples:
	case l.growth > l.fromGrowth+math.Log(helped):
		l.value, l.growth, l.samples = l.fromLimit, 0, 0
		l.cautious = false
		return true
	default:
		l.samples = 0
	}
	return false
}
