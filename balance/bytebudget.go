package balance

import "time"

// ByteBudget limits an entry's traffic to other regions. It is a token bucket in
// bytes, shared by all services of the entry. It is not safe for concurrent use.
type ByteBudget struct {
	rate, burst, tokens float64
	last                time.Duration
}

// NewByteBudget returns a full budget that refills at rate bytes per second and holds
// at most burst bytes.
func NewByteBudget(now time.Duration, rate, burst float64) *ByteBudget {
	return &ByteBudget{rate: rate, burst: burst, tokens: burst, last: now}
}

// Allows reports whether the budget has n bytes left.
func (b *ByteBudget) Allows(now time.Duration, n int64) bool {
	return b.available(now) >= float64(n)
}

// Spend takes n bytes from the budget. The budget may become negative, because the
// size of a reply is known only after the exchange.
func (b *ByteBudget) Spend(now time.Duration, n int64) {
	b.advance(now)
	b.tokens -= float64(n)
}

func (b *ByteBudget) advance(now time.Duration) {
	b.tokens, b.last = b.available(now), max(b.last, now)
}

// available returns the bytes left at the time now.
func (b *ByteBudget) available(now time.Duration) float64 {
	if now <= b.last {
		return b.tokens
	}
	return min(b.burst, b.tokens+b.rate*(now-b.last).Seconds())
}
