package guard

import (
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

// attemptClock is the clock of one incarnation of a guard. Attempt IDs carry its readings.
type attemptClock struct {
	incarnation uint64
	start       time.Time
}

func newAttemptClock(incarnation uint64) attemptClock {
	return attemptClock{incarnation: incarnation, start: time.Now()}
}

func (c attemptClock) read() hop.GuardTime {
	return hop.GuardTime{Incarnation: c.incarnation, Age: time.Since(c.start)}
}

// timeOf returns the time at which the clock was read. It returns false when the
// reading comes from another incarnation.
func (c attemptClock) timeOf(t hop.GuardTime) (time.Time, bool) {
	return c.start.Add(t.Age), t.Incarnation == c.incarnation
}

// attemptTime returns the time of the clock reading in an attempt ID. It returns
// false when the ID is malformed or the reading comes from another clock.
func (c attemptClock) attemptTime(id string) (time.Time, bool) {
	reading, ok := hop.AttemptGuardTime(id)
	if !ok {
		return time.Time{}, false
	}
	return c.timeOf(reading)
}
