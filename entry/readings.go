package entry

import (
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// maxReadingAge is the age up to which a reading is sent with an attempt. It leaves the
// attempt half of attempt.MaxAge to arrive.
const maxReadingAge = attempt.MaxAge / 2

// clockReading is a reading of a guard's clock and the time at which the entry received it.
type clockReading struct {
	guardTime  hop.GuardTime
	receivedAt time.Time
}

// clockReadings holds the latest reading of each guard's clock, by the hop address of the guard.
type clockReadings struct {
	byGuard sync.Map
}

// record stores the reading that a reply of the guard contains. A malformed one is ignored.
func (c *clockReadings) record(g membership.Guard, text string) {
	if t, ok := hop.ParseGuardTime(text); ok {
		c.byGuard.Store(g.HopAddress, clockReading{guardTime: t, receivedAt: time.Now()})
	}
}

// latest returns the latest reading, or the zero value when there is no recent one of the
// guard's current incarnation. Without a reading the guard refuses attempts that are not
// idempotent, and its refusal contains a reading.
func (c *clockReadings) latest(g membership.Guard) hop.GuardTime {
	v, ok := c.byGuard.Load(g.HopAddress)
	if !ok {
		return hop.GuardTime{}
	}
	last := v.(clockReading)
	// When the membership view states no incarnation, the guard itself rejects a reading from an
	// earlier one.
	other := g.Incarnation != 0 && last.guardTime.Incarnation != g.Incarnation
	if time.Since(last.receivedAt) > maxReadingAge || other {
		return hop.GuardTime{}
	}
	return last.guardTime
}
