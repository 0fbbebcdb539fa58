package retry

import "time"

// windowSteps is the number of steps into which a WindowLimiter divides its span. The
// repeats of a step that lies only partly in the span all count.
const windowSteps = 20

// WindowLimiter limits the repeats within any span of time to a share of the first
// attempts in that span plus a spare number. Unlike a Budget, it saves nothing beyond the
// span. It is not safe for concurrent use.
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
}

// NewWindowLimiter returns a limiter over spans of the given length that allows share
// repeats for each first attempt.
func NewWindowLimiter(span time.Duration, share float64) *WindowLimiter {
	return &WindowLimiter{step: span / windowSteps, share: share}
}

// RecordFirst counts a first attempt.
func (w *WindowLimiter) RecordFirst(now time.Duration) { w.stepAt(now).first++ }

// CanRepeat reports whether a repeat is within the limit, with spare repeats allowed
// beyond the share. Reserve is the share by which this repeat may exceed the limit.
func (w *WindowLimiter) CanRepeat(now time.Duration, spare, reserve float64) bool {
	first, repeats := w.sum(now)
	return float64(repeats+1) <= (1+reserve)*(w.share*float64(first)+spare)
}

// TryRepeat counts a repeat if CanRepeat allows it, and reports whether it does.
func (w *WindowLimiter) TryRepeat(now time.Duration, spare, reserve float64) bool {
	if !w.CanRepeat(now, spare, reserve) {
		return false
	}
	w.stepAt(now).repeats++
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
func (w *WindowLimiter) sum(now time.Duration) (first, repeats int) {
	number := int64(now / w.step)
	for _, c := range w.counts {
		if c.number > number || c.number < number-windowSteps {
			continue
		}
		repeats += c.repeats
		if c.number > number-windowSteps {
			first += c.first
		}
	}
	return first, repeats
}
