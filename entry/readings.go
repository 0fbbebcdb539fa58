package entry

import (
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// readingAge bounds the age at which a reading is still sent. It leaves an
// attempt half of attempt.MaxAge to arrive.
const readingAge = attempt.MaxAge / 2

// reading is a reading of a guard's clock and when it came.
type reading struct {
	guardTime hop.GuardTime
	heard     time.Time
}

// readings holds the last reading of the clock of each guard, by hop address.
type readings struct {
	byGuard sync.Map
}

// learn notes the reading in a reply. A malformed one is ignored.
func (r *readings) learn(g membership.Guard, text string) {
	if t, ok := hop.ParseGuardTime(text); ok {
		r.byGuard.Store(g.HopAddress, reading{guardTime: t, heard: time.Now()})
	}
}

// known returns the last reading, or the zero value when there is no recent one.
// The guard then refuses work that is not idempotent, and its refusal brings one.
func (r *readings) known(g membership.Guard) hop.GuardTime {
	v, ok := r.byGuard.Load(g.HopAddress)
	if !ok {
		return hop.GuardTime{}
	}
	last := v.(reading)
	// A directory that does not state incarnations leaves it to the guard to tell a reading of an earlier one.
	other := g.Incarnation != 0 && last.guardTime.Incarnation != g.Incarnation
	if time.Since(last.heard) > readingAge || other {
		return hop.GuardTime{}
	}
	return last.guardTime
}
