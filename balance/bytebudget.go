package balance

import "time"

// ByteBudget is the budget of traffic to other regions, a token bucket in bytes,
// shared by the services of an entry. It is not safe for concurrent use.
type ByteBudget struct {
	rate, burst, tokens float64
	last                time.Duration
}

// NewByteBudget returns a full budget of rate bytes per second that saves up to burst bytes.
func NewByteBudget(now time.Duration, rate, burst float64) *ByteBudget {
	return &ByteBudget{rate: rate, burst: burst, tokens: burst, last: now}
}

// Allows reports whether an exchange of n bytes fits.
func (b *ByteBudget) Allows(now time.Duration, n int64) bool {
	b.advance(now)
	return b.tokens >= float64(n)
}

// Spend takes n bytes. The budget may become negative, because the size of a
// reply is known only afterwards.
func (b *ByteBudget) Spend(now time.Duration, n int64) {
	b.advance(now)
	b.tokens -= float64(n)
}

func (b *ByteBudget) advance(now time.Duration) {
	if now > b.last {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.last).Seconds())
		b.last = now
	}
}
