package ejection

import "time"

const (
	// PermitLifetime is the default lifetime of a permit. It is long enough for several failed
	// renewals, and bounds how long an ejection lasts while the store is unavailable.
	PermitLifetime = 15 * time.Second
	// RenewAfter is the time after which a permit is renewed. It leaves two thirds of the
	// lifetime for repeated attempts.
	RenewAfter = 5 * time.Second
	// A node waits for a lifetime and a further lifetime/clockRateDivisor before it removes a
	// permit. Monotonic clocks may differ in rate, but by far less than these 10 %.
	clockRateDivisor = 10

	// minHold is the default hold time of a first ejection; maxHold bounds every hold time.
	minHold = 30 * time.Second
	maxHold = 30 * time.Minute
)

// Times holds the configurable durations of permits and ejections.
type Times struct {
	// PermitLifetime is the time from the start of the write of a permit to its lapse.
	PermitLifetime time.Duration
	// Hold is the shortest duration of a first ejection.
	Hold time.Duration
}

// DefaultTimes holds the default durations.
var DefaultTimes = Times{PermitLifetime: PermitLifetime, Hold: minHold}

// renewAfter returns the time after which a permit is renewed. Its ratio to the lifetime is
// that of RenewAfter to the default PermitLifetime.
func (t Times) renewAfter() time.Duration {
	return t.PermitLifetime / (PermitLifetime / RenewAfter)
}

// LapseWait returns how long a node must see a permit without a renewal before it removes
// the permit.
func LapseWait(lifetime time.Duration) time.Duration {
	return lifetime + lifetime/clockRateDivisor
}

// HoldTime returns the shortest duration of a backend server's n-th ejection. It
// doubles each time, so that a flapping backend server gets traffic again ever more rarely.
func (t Times) HoldTime(n int) time.Duration {
	hold := t.Hold
	for ; n > 1 && hold < maxHold; n-- {
		hold *= 2
	}
	return min(hold, maxHold)
}

// lastRenewal holds the latest Permit.Renewal that was seen of a permit, and when it was first seen.
type lastRenewal struct {
	renewal uint64
	since   time.Duration
}

// ExpiryDetector finds the permits whose holders have stopped renewing them. It uses only
// the monotonic clock of its own node. The zero value is ready to use.
type ExpiryDetector struct{ seen map[string]lastRenewal }

// Lapsed returns the IDs of the permits in p that their holders certainly no longer use. p
// is the stored set of permits; now must be read from the clock after p was read from the
// store.
func (d *ExpiryDetector) Lapsed(now time.Duration, p PermitSet) map[string]bool {
	seen := make(map[string]lastRenewal, len(p.Permits))
	lapsed := make(map[string]bool)
	for _, q := range p.Permits {
		last, ok := d.seen[q.ID]
		if !ok || last.renewal != q.Renewal {
			last = lastRenewal{renewal: q.Renewal, since: now}
		}
		seen[q.ID] = last
		if now-last.since > LapseWait(q.Lifetime) {
			lapsed[q.ID] = true
		}
	}
	d.seen = seen
	return lapsed
}
