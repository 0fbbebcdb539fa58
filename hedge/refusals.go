package hedge

import (
	"math"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

const (
	// refusalMemory is the time constant with which attempts and refusals are forgotten. After an
	// overload in which most attempts were refused, hedging begins again after about 10 s, the time in
	// which a backend server that starts is given all its slots.
	refusalMemory = 5 * time.Second
	// priorAttempts is the number of attempts without a refusal that is assumed in addition, so that a
	// single refusal at an entry with little traffic does not count as an overload.
	priorAttempts = 10
)

// Refusals is the share of the attempts at a service that guards and backend servers refused because
// they had no room or were gone, as one entry sees it. It is not safe for concurrent use.
type Refusals struct {
	attempts, refused float64
	updated           time.Duration
}

// Record adds the end of an attempt, with the reason for which it did not run; empty when it may have
// run.
func (r *Refusals) Record(now time.Duration, reason hop.Reason) {
	r.decay(now)
	r.attempts++
	if showsLackOfRoom(reason) {
		r.refused++
	}
}

// Share returns the share of refused attempts.
func (r *Refusals) Share(now time.Duration) float64 {
	r.decay(now)
	return r.refused / (r.attempts + priorAttempts)
}

func (r *Refusals) decay(now time.Duration) {
	keep := math.Exp(-(now - r.updated).Seconds() / refusalMemory.Seconds())
	r.attempts, r.refused, r.updated = r.attempts*keep, r.refused*keep, now
}

// showsLackOfRoom reports whether a refusal for the reason is a sign of an overload or an outage of the
// service.
func showsLackOfRoom(reason hop.Reason) bool {
	switch reason {
	case hop.ReasonFull, hop.ReasonDisplaced, hop.ReasonTimeout, hop.ReasonDeclined, hop.ReasonRetryBudget, hop.ReasonUnreachable, hop.ReasonNoBackend:
		return true
	}
	return false
}
