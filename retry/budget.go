// Package retry limits retries to a share of traffic.
package retry

import "time"

const (
	// DefaultShare is the retries allowed for each request.
	DefaultShare = 0.1
	// DefaultMinimum is the retries per second allowed without traffic, so
	// that an entry with few requests can still retry.
	DefaultMinimum = 1.0
	// window bounds the saved tokens to what this much traffic earns, so that
	// a quiet hour does not pay for a burst of retries.
	window = 10 * time.Second
)

// Budget is a token bucket filled by requests. It is not safe for concurrent use.
type Budget struct {
	share, minimum float64
	tokens         float64
	rate           float64 // requests per second, decayed over window
	last           time.Duration
}

// NewBudget returns a budget of share retries for each request and at least
// minimum retries per second.
func NewBudget(now time.Duration, share, minimum float64) *Budget {
	return &Budget{share: share, minimum: minimum, tokens: max(1, minimum), last: now}
}

// Request counts a first attempt, which earns a share of a retry.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.rate += 1 / window.Seconds()
	b.tokens = min(b.tokens+b.share, b.capacity())
}

// Allow reports whether a retry may be sent, and takes its token if so.
func (b *Budget) Allow(now time.Duration) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// capacity is the largest number of saved tokens.
func (b *Budget) capacity() float64 {
	return max(1, b.minimum, b.share*b.rate*window.Seconds())
}

func (b *Budget) advance(now time.Duration) {
	if now <= b.last {
		return
	}
	elapsed := (now - b.last).Seconds()
	b.last = now
	b.rate *= max(0, 1-elapsed/window.Seconds())
	b.tokens = min(b.tokens+b.minimum*elapsed, b.capacity())
}
