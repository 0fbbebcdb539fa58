package guard

import (
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

// clock is the clock of one incarnation of a guard.
type clock struct {
	incarnation uint64
	start       time.Time
}

func newClock(incarnation uint64) clock {
	return clock{incarnation: incarnation, start: time.Now()}
}

func (c clock) read() hop.GuardTime {
	return hop.GuardTime{Incarnation: c.incarnation, Age: time.Since(c.start)}
}

// at returns the time of a reading, false for one of another incarnation.
func (c clock) at(t hop.GuardTime) (time.Time, bool) {
	return c.start.Add(t.Age), t.Incarnation == c.incarnation
}

// attemptTime returns the time of the reading in an attempt ID, false when the
// ID is malformed or the reading is not of this clock.
func (c clock) attemptTime(id string) (time.Time, bool) {
	reading, ok := hop.AttemptGuardTime(id)
	if !ok {
		return time.Time{}, false
	}
	return c.at(reading)
}
