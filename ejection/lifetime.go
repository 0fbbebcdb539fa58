package ejection

import "time"

const (
	// PermitLifetime covers several failed renewals, and bounds how long an
	// ejection lasts without the store.
	PermitLifetime = 15 * time.Second
	// RenewAfter leaves two thirds of the lifetime for repeated attempts.
	RenewAfter = 5 * time.Second
	// clockRateMargin of a lifetime is added by observers. Monotonic clocks may
	// differ in rate, by far less than this 10 %.
	clockRateMargin = 10

	minHold = 30 * time.Second
	maxHold = 30 * time.Minute
)

// Times are the adjustable times of permits and ejections.
type Times struct {
	// PermitLifetime is the time from the start of a write to the lapse of its permit.
	PermitLifetime time.Duration
	// Hold is the shortest duration of a first ejection.
	Hold time.Duration
}

// DefaultTimes are the times that the design states.
var DefaultTimes = Times{PermitLifetime: PermitLifetime, Hold: minHold}

// renewAfter keeps the default's relation of renewal and lifetime.
func (t Times) renewAfter() time.Duration {
	return t.PermitLifetime / (PermitLifetime / RenewAfter)
}

// LapseWait returns how long an observer must see a permit unchanged before it removes it.
func LapseWait(lifetime time.Duration) time.Duration {
	return lifetime + lifetime/clockRateMargin
}

// HoldTime returns the shortest duration of a backend server's n-th ejection. It
// doubles each time, so that a flapping backend server is tried ever more rarely.
func (t Times) HoldTime(n int) time.Duration {
	hold := t.Hold
	for ; n > 1 && hold < maxHold; n-- {
		hold *= 2
	}
	return min(hold, maxHold)
}

// watch is what an observer has seen of one permit.
type watch struct {
	renewal uint64
	since   time.Duration
}

// ExpiryDetector removes permits whose holder has stopped renewing them. It uses only
// its own monotonic clock. The zero value is ready to use.
type ExpiryDetector struct{ seen map[string]watch }

// Lapsed takes a state of the object and the time after it was read, and returns
// the IDs of the permits that their holders certainly no longer use.
func (o *ExpiryDetector) Lapsed(now time.Duration, p PermitSet) map[string]bool {
	seen := make(map[string]watch, len(p.Permits))
	lapsed := make(map[string]bool)
	for _, q := range p.Permits {
		w, ok := o.seen[q.ID]
		if !ok || w.renewal != q.Renewal {
			w = watch{renewal: q.Renewal, since: now}
		}
		seen[q.ID] = w
		if now-w.since > LapseWait(q.Lifetime) {
			lapsed[q.ID] = true
		}
	}
	o.seen = seen
	return lapsed
}
