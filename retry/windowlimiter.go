package retry

import "time"

// windowSteps is the resolution of a WindowLimiter. A step that is partly over still counts in full.
const windowSteps = 20

// WindowLimiter limits repeats within any span of time to a share of the first attempts in
// that span and a spare number. Unlike a Budget it saves nothing beyond the span. It is
// not safe for concurrent use.
type WindowLimiter struct {
	step  time.Duration
	share float64
	// counts holds the steps of the span and the current one, by their number.
	counts [windowSteps + 1]count
}

type count struct {
	number         int64
	first, repeats int
}

// NewWindowLimiter returns a limit over spans of the given length.
func NewWindowLimiter(span time.Duration, share float64) *WindowLimiter {
	return &WindowLimiter{step: span / windowSteps, share: share}
}

// RecordFirst counts a first attempt.
func (w *WindowLimiter) RecordFirst(now time.Duration) { w.at(now).first++ }

// CanRepeat reports whether a repeat fits, with spare repeats allowed beyond the share.
func (w *WindowLimiter) CanRepeat(now time.Duration, spare float64) bool {
	first, repeats := w.sum(now)
	return float64(repeats+1) <= w.share*float64(first)+spare
}

// TryRepeat counts a repeat if it fits.
func (w *WindowLimiter) TryRepeat(now time.Duration, spare float64) bool {
	if !w.CanRepeat(now, spare) {
		return false
	}
	w.at(now).repeats++
	return true
}

// RecordRepeat counts a repeat that cannot be refused, whether it fits or not.
func (w *WindowLimiter) RecordRepeat(now time.Duration) { w.at(now).repeats++ }

// at returns the current step.
func (w *WindowLimiter) at(now time.Duration) *count {
	number := int64(now / w.step)
	c := &w.counts[number%int64(len(w.counts))]
	if c.number != number {
		*c = count{number: number}
	}
	return c
}

// sum adds the steps that overlap the span before now. First attempts of the oldest,
// which may lie before the span, are left out.
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
