// Package retry limits how many attempts are repeated and how long a request waits for
// a backend server.
package retry

import "time"

const (
	// DefaultShare is the number of retries that each first attempt adds to the budget.
	DefaultShare = 0.1
	// DefaultMinimum is the number of retries per second that is allowed without any
	// traffic, so that an entry with few requests can still retry.
	DefaultMinimum = 1.0
	// savingsWindow bounds the saved tokens to those that the traffic of this time earns, so
	// that tokens saved during a quiet hour do not allow a burst of retries.
	savingsWindow = 10 * time.Second
)

// Budget is a token bucket of retries that first attempts and passing time fill. It is
// not safe for concurrent use.
type Budget struct {
	share, minimum float64
	tokens         float64
	rate           float64 // requests per second, decayed over savingsWindow
	last           time.Duration
}

// NewBudget returns a budget that allows share retries for each request and, in
// addition, minimum retries per second.
func NewBudget(now time.Duration, share, minimum float64) *Budget {
	return &Budget{share: share, minimum: minimum, tokens: max(1, minimum), last: now}
}

// RecordRequest counts a first attempt, which adds a share of a retry to the budget.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.rate += 1 / savingsWindow.Seconds()
	b.tokens = min(b.tokens+b.share, b.capacity())
}

// TryRetry reports whether a retry may be sent. If so, it takes a token from the budget.
func (b *Budget) TryRetry(now time.Duration) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ReturnRetry returns the token of a retry that was not sent.
func (b *Budget) ReturnRetry(now time.Duration) {
	b.advance(now)
	b.tokens = min(b.tokens+1, b.capacity())
}

// capacity returns the largest number of tokens that may be saved.
func (b *Budget) capacity() float64 {
	return max(1, b.minimum, b.share*b.rate*savingsWindow.Seconds())
}

func (b *Budget) advance(now time.Duration) {
	if now <= b.last {
		return
	}
	elapsed := (now - b.last).Seconds()
	b.last = now
	b.rate *= max(0, 1-elapsed/savingsWindow.Seconds())
	b.tokens = min(b.tokens+b.minimum*elapsed, b.capacity())
}
