// Package presence decides what the heartbeats of the backend server next to a
// node mean. It is pure: it does no I/O and reads no clock.
package presence

import "github.com/jackdawlane/jackdawlane/membership"

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	// Instance identifies the process of the backend server; a restart may keep it.
	Instance string
	// StartTimeMS is the Unix time of the start of the process in milliseconds, 0 when not stated.
	StartTimeMS int64
	// Sequence rises with each heartbeat of a process.
	Sequence int64
	Service  string
	Slots    int
	State    membership.State
}

// process is one start of a backend server.
type process struct {
	instance string
	born     int64
}

// Effect says what a heartbeat changes.
type Effect int

// Effects of a heartbeat.
const (
	// Stale heartbeats change nothing: a later one, or a later process, was heard before.
	Stale Effect = iota
	// Current heartbeats state what is already known.
	Current
	// Changed heartbeats state something new.
	Changed
	// Restarted heartbeats come from a new process.
	Restarted
)

// maxLeft bounds the processes whose leaving is remembered.
const maxLeft = 64

// Tracker holds the last state of the backend server of a node.
type Tracker struct {
	known bool
	last  Heartbeat
	// left holds the processes that have gone; their late heartbeats are stale.
	left []process
}

// Last returns the last heartbeat in force, false before the first and after the
// backend server left.
func (t *Tracker) Last() (Heartbeat, bool) { return t.last, t.known }

// Handle takes a heartbeat.
func (t *Tracker) Handle(h Heartbeat) Effect {
	if t.hasLeft(h.Instance, h.StartTimeMS) {
		return Stale
	}
	if !t.known {
		t.known, t.last = true, h
		return Restarted
	}
	same := h.Instance == t.last.Instance && h.StartTimeMS == t.last.StartTimeMS
	switch {
	case same && h.Sequence <= t.last.Sequence:
		return Stale
	case !same && h.StartTimeMS < t.last.StartTimeMS:
		return Stale
	}
	old := t.last
	t.last = h
	switch {
	case !same:
		t.remember(process{old.Instance, old.StartTimeMS})
		return Restarted
	case h.Service != old.Service || h.Slots != old.Slots || h.State != old.State:
		return Changed
	}
	return Current
}

// Leave takes the notice that a process has gone. It reports whether that was the
// process in force.
func (t *Tracker) Leave(instance string) bool {
	if !t.known || t.last.Instance != instance {
		return false
	}
	t.remember(process{t.last.Instance, t.last.StartTimeMS})
	t.known = false
	return true
}

// Forget marks a process as gone that left before this tracker began.
func (t *Tracker) Forget(instance string, born int64) { t.remember(process{instance, born}) }

func (t *Tracker) remember(p process) {
	t.left = append(t.left, p)
	if len(t.left) > maxLeft {
		t.left = t.left[1:]
	}
}

// hasLeft reports whether a heartbeat comes from a process that has gone. A later
// process may have the same instance, but was born later.
func (t *Tracker) hasLeft(instance string, born int64) bool {
	for _, p := range t.left {
		if p.instance == instance && born <= p.born {
			return true
		}
	}
	return false
}
