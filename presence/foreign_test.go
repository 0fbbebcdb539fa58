package presence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/membership"
)

const interval = 1500 * time.Millisecond

// clock passes on the heartbeats of a test at times that the test sets.
type clock struct {
	tracker Tracker
	now     time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func (c *clock) after(d time.Duration, h Heartbeat) Effect {
	c.now = c.now.Add(d)
	return c.tracker.Handle(h, c.now)
}

// untilPresent sends ready heartbeats of a process, one in each interval, until one is not stale. It
// returns how long that took.
func (c *clock) untilPresent(t *testing.T, instance string, startMS, sequence int64) time.Duration {
	t.Helper()
	started := c.now
	for range 100 {
		sequence++
		if c.after(interval, heartbeat(instance, startMS, sequence, membership.StateReady)) != Stale {
			return c.now.Sub(started)
		}
	}
	t.Fatal("the process stays out")
	return 0
}

// Guards against a process that stays out until its next start, because an announcement of another
// writer or of an earlier process made its heartbeats stale.
func TestStillSendingProcessBecomesPresent(t *testing.T) {
	const far = 1 << 60
	ready, leaving := membership.StateReady, membership.StateLeaving
	for _, c := range []struct {
		desc  string
		apart func(c *clock)
		bound time.Duration
	}{
		{"DELETE", func(c *clock) { c.tracker.Leave("a", c.now) }, MaxDelay + 2*interval},
		{"DELETE before a heartbeat", func(c *clock) { c.tracker = Tracker{}; c.tracker.MarkDeparted("a", far, c.now) }, MaxDelay + 2*interval},
		{"later start", func(c *clock) { c.after(0, heartbeat("a", far, 1, ready)) }, 2 * interval},
		{"another id", func(c *clock) { c.after(0, heartbeat("x", far, 1, ready)) }, 2 * interval},
		{"another id twice", func(c *clock) {
			c.after(0, heartbeat("x", far, 1, ready))
			c.after(0, heartbeat("x", far, 2, ready))
		}, MaxDelay + 2*interval},
		{"another id, leaving", func(c *clock) { c.after(0, heartbeat("x", far, 1, leaving)) }, 2 * interval},
		{"later start, leaving", func(c *clock) { c.after(0, heartbeat("a", far, 1, leaving)) }, MaxDelay + 2*interval},
		{"later sequence", func(c *clock) { c.after(0, heartbeat("a", 10, far, ready)) }, 2 * interval},
		{"later sequence, leaving", func(c *clock) { c.after(0, heartbeat("a", 10, far, leaving)) }, MaxDelay + 2*interval},
		{"two in a row", func(c *clock) {
			c.after(0, heartbeat("x", far, 1, ready))
			c.after(0, heartbeat("a", far, far, leaving))
		}, MaxDelay + 2*interval},
	} {
		t.Run(c.desc, func(t *testing.T) {
			clock := newClock()
			clock.after(0, heartbeat("a", 10, 1, ready))
			clock.after(interval, heartbeat("a", 10, 2, ready))
			c.apart(clock)
			took := clock.untilPresent(t, "a", 10, 3)
			assert.Assert(t, took <= c.bound, "out for %s", took)
			last, known := clock.tracker.Last()
			assert.Assert(t, known)
			assert.Equal(t, last.process(), process{"a", 10})
			assert.Equal(t, clock.after(interval, heartbeat("a", 10, 90, ready)), Current)
			assert.Equal(t, clock.after(interval, heartbeat("a", 20, 1, ready)), Restarted, "the next start")
			assert.Equal(t, clock.after(interval, heartbeat("a", 20, 2, ready)), Current)
		})
	}
}

// Guards against late heartbeats that bring a departed process back: several in order within the longest
// delay, several that were held up together, and those of an earlier process with the same instance.
func TestLateHeartbeatsAreStale(t *testing.T) {
	const ready, leaving = membership.StateReady, membership.StateLeaving
	for desc, leave := range map[string]func(c *clock){
		"gone":                       func(c *clock) { c.tracker.Leave("a", c.now) },
		"leaving":                    func(c *clock) { c.after(0, heartbeat("a", 10, 9, leaving)) },
		"leaving, of a next process": func(c *clock) { c.after(0, heartbeat("a", 20, 1, leaving)) },
		"leaving while another is taken for present": func(c *clock) {
			c.after(0, heartbeat("x", 99, 1, ready))
			c.after(0, heartbeat("a", 10, 9, leaving))
		},
	} {
		t.Run(desc, func(t *testing.T) {
			c := newClock()
			c.after(0, heartbeat("a", 10, 2, ready))
			leave(c)
			for sequence := range int64(6) {
				assert.Equal(t, c.after(interval, heartbeat("a", 10, 3+sequence, ready)), Stale)
			}
			c.now = c.now.Add(time.Minute)
			for sequence := range int64(3) {
				assert.Equal(t, c.after(time.Millisecond, heartbeat("a", 10, 3+sequence, ready)), Stale, "held up together")
			}
		})
	}
}

// Guards against a leaving heartbeat that is acknowledged without effect because a heartbeat with a
// higher sequence came before.
func TestLeavingHeartbeatOutOfOrder(t *testing.T) {
	c := newClock()
	c.after(0, heartbeat("a", 10, 5, membership.StateReady))
	assert.Equal(t, c.after(interval, heartbeat("a", 10, 4, membership.StateLeaving)), Changed)
	assert.Equal(t, c.after(interval, heartbeat("a", 10, 5, membership.StateReady)), Stale)
	last, _ := c.tracker.Last()
	assert.Equal(t, last.State, membership.StateLeaving)
}
