// Package presence tracks the state of the backend server that runs next to a node, from
// its heartbeats. It detects stale heartbeats and restarts. It does no I/O and reads no clock.
package presence

import "github.com/jackdawlane/jackdawlane/membership"

// Heartbeat is what a backend server reports about itself.
type Heartbeat struct {
	// Instance identifies the instance of the backend server. A restarted process may
	// have the same one; StartTimeMS then tells the two processes apart.
	Instance string
	// StartTimeMS is the Unix time of the start of the process in milliseconds, 0 when not stated.
	StartTimeMS int64
	// Sequence rises with each heartbeat of one process.
	Sequence int64
	Service  string
	Slots    int
	State    membership.State
}

// process identifies one process of a backend server.
type process struct {
	instance string
	startMS  int64
}

// Effect is what a heartbeat changes in the tracked state.
type Effect int

// Effects of a heartbeat.
const (
	// Stale heartbeats change nothing. They arrived after a heartbeat of the same process with
	// the same or a higher sequence, or after one of a process that started later, or their
	// process has left or been replaced.
	Stale Effect = iota
	// Current heartbeats repeat the known state.
	Current
	// Changed heartbeats report another service, number of slots or state.
	Changed
	// Restarted heartbeats are the first of a new process.
	Restarted
)

// maxDeparted bounds the number of departed processes that are kept.
const maxDeparted = 64

// Tracker holds the latest state of the backend server of a node.
type Tracker struct {
	// known is set while last describes a process that has not left.
	known bool
	last  Heartbeat
	// departed holds the processes that have left or been replaced; their late heartbeats are stale.
	departed []process
}

// Last returns the latest heartbeat that was not stale. It returns false before the first
// heartbeat and after the backend server has left.
func (t *Tracker) Last() (Heartbeat, bool) { return t.last, t.known }

// Handle updates the state with a heartbeat and returns what the heartbeat changed.
func (t *Tracker) Handle(h Heartbeat) Effect {
	if t.hasDeparted(h.Instance, h.StartTimeMS) {
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
		t.addDeparted(process{old.Instance, old.StartTimeMS})
		return Restarted
	case h.Service != old.Service || h.Slots != old.Slots || h.State != old.State:
		return Changed
	}
	return Current
}

// Leave records that the process of an instance has left. It reports whether that was the
// process of the latest heartbeat; otherwise nothing changes.
func (t *Tracker) Leave(instance string) bool {
	if !t.known || t.last.Instance != instance {
		return false
	}
	t.addDeparted(process{t.last.Instance, t.last.StartTimeMS})
	t.known = false
	return true
}

// MarkDeparted marks a process as departed, for example one that left before the tracker was
// created. Its heartbeats are stale from then on.
func (t *Tracker) MarkDeparted(instance string, startMS int64) {
	t.addDeparted(process{instance, startMS})
}

func (t *Tracker) addDeparted(p process) {
	t.departed = append(t.departed, p)
	if len(t.departed) > maxDeparted {
		t.departed = t.departed[1:]
	}
}

// hasDeparted reports whether a process has departed. A later process may have the same
// instance, but has a later start time.
func (t *Tracker) hasDeparted(instance string, startMS int64) bool {
	for _, p := range t.departed {
		if p.instance == instance && startMS <= p.startMS {
			return true
		}
	}
	return false
}
