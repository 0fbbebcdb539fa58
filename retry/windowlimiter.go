package retry

import "time"

// windowSteps is the number of steps into which a WindowLimiter divides its span. The
// repeats of a step that lies only partly in the span all count.
const windowSteps = 20

// nonCallShare is the share of the limit that repeats of requests that are not calls may use while calls
// are seen. A failed call loses work that has begun, and a client comes back with its request.
const nonCallShare = 0.75

// WindowLimiter limits the repeats within any span of time to a share of the first
// attempts in that span plus a spare number. Unlike a Budget, it saves nothing beyond the
// span. While calls are seen, a part of the limit is kept for them. It is not safe for concurrent use.
type WindowLimiter struct {
	step  time.Duration
	share float64
	// counts is a ring buffer of the steps of the span and the current step, indexed by
	// step number.
	counts [windowSteps + 1]stepCount
}

type stepCount struct {
	number         int64
	first, repeats int
	// nonCalls counts the repeats that are not those of calls.
	nonCalls int
	// calls is set when a call was seen.
	calls bool
}

// Repeat describes a repeat that a WindowLimiter may allow.
type Repeat struct {
	// Call is set for a repeat of a call.
	Call bool
	// Reserve is the share by which the repeat may exceed the limit.
	Reserve float64
}

// NewWindowLimiter returns a limiter over spans of the given length that allows share
// repeats for each first attempt.
func NewWindowLimiter(span time.Duration, share float64) *WindowLimiter {
	return &WindowLimiter{step: span / windowSteps, share: share}
}

// RecordFirst counts a first attempt.
func (w *WindowLimiter) RecordFirst(now time.Duration) { w.stepAt(now).first++ }

// RecordCall records that a call was seen, repeated or not. For one span from then on, repeats that are
// not those of calls may use only nonCallShare of the limit.
func (w *WindowLimiter) RecordCall(now time.Duration) { w.stepAt(now).calls = true }

// CanRepeat reports whether a repeat is within the limit, with spare repeats allowed
// beyond the share.
func (w *WindowLimiter) CanRepeat(now time.Duration, spare float64, r Repeat) bool {
	sum := w.sum(now)
	limit := w.share*float64(sum.first) + spare
	if sum.calls && !r.Call && float64(sum.nonCalls+1) > nonCallShare*limit {
		return false
	}
	return float64(sum.repeats+1) <= (1+r.Reserve)*limit
}

// TryRepeat counts a repeat if CanRepeat allows it, and reports whether it does.
func (w *WindowLimiter) TryRepeat(now time.Duration, spare float64, r Repeat) bool {
	if !w.CanRepeat(now, spare, r) {
		return false
	}
	c := w.stepAt(now)
	c.repeats++
	if !r.Call {
		c.nonCalls++
	}
	return true
}

// stepAt returns the counts of the step that contains now.
func (w *WindowLimiter) stepAt(now time.Duration) *stepCount {
	number := int64(now / w.step)
	c := &w.counts[number%int64(len(w.counts))]
	if c.number != number {
		*c = stepCount{number: number}
	}
	return c
}

// sum returns the counts over the steps that overlap the span before now. First attempts
// of the oldest step are left out, because they may lie before the span.
func (w *WindowLimiter) sum(now time.Duration) stepCount {
	var sum stepCount
	number := int64(now / w.step)
	for _, c := range w.counts {
		if c.number > number || c.number < number-windowSteps {
			continue
		}
		sum.repeats += c.repeats
		sum.nonCalls += c.nonCalls
		sum.calls = sum.calls || c.calls
		if c.number > number-windowSteps {
			sum.first += c.first
		}
	}
	return sum
}
