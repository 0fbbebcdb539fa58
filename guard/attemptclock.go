package guard

import (
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

// attemptClock is the clock of one incarnation of a guard.
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

// at returns the time of a reading, false for one of another incarnation.
func (c attemptClock) at(t hop.GuardTime) (time.Time, bool) {
	return c.start.Add(t.Age), t.Incarnation == c.incarnation
}

// attemptTime returns the time of the reading in an attempt ID, false when the
// ID is malformed or the reading is not of this clock.
func (c attemptClock) attemptTime(id string) (time.Time, bool) {
	reading, ok := hop.AttemptGuardTime(id)
	if !ok {
		return time.Time{}, false
	}
	return c.at(reading)
}
