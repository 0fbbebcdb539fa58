// Package presence tracks the state of the backend server that runs next to a node, from
// its heartbeats. It detects stale heartbeats and restarts. It does no I/O and reads no clock.
package presence

import (
	"slices"
	"time"

	"github.com/jackdawlane/jackdawlane/membership"
)

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

// process returns the process that sent the heartbeat.
func (h Heartbeat) process() process { return process{h.Instance, h.StartTimeMS} }

// Effect is what a heartbeat changes in the tracked state.
type Effect int

// Effects of a heartbeat.
const (
	// Stale heartbeats change nothing. They arrived after a heartbeat of the same process with
	// the same or a higher sequence, or after one of a process that started later, or their
	// process has left or been replaced, and nothing shows that the process is still there.
	Stale Effect = iota
	// Current heartbeats repeat the known state.
	Current
	// Changed heartbeats report another service, number of slots or state.
	Changed
	// Restarted heartbeats are the first of a new process.
	Restarted
)

const (
	// MaxDelay is the longest time that a heartbeat is assumed to take until it arrives.
	MaxDelay = 10 * time.Second
	// minSpacing is the shortest time between two heartbeats of a process that count as two.
	// Heartbeats that were held up together arrive together.
	minSpacing = 300 * time.Millisecond
	// maxDeparted bounds the number of departed processes that are kept.
	maxDeparted = 64
)

// departure is a process that has left or been replaced; its late heartbeats are stale.
type departure struct {
	process
	// left is set when the process announced that it leaves, and not only was replaced.
	left bool
	at   time.Time
}

// candidate is the process of the latest stale heartbeat. Another one with a higher sequence shows
// that the process is still there.
type candidate struct {
	process
	sequence int64
	at       time.Time
}

// Tracker holds the latest state of the backend server of a node.
//
// A departure or a later start may have been announced by another writer, or by an earlier process
// with the same instance, and makes the heartbeats of the present process stale. The process counts as
// present again after two stale ready heartbeats with rising sequences and no other heartbeat accepted
// between them. They do not count, because they may be late,
//   - within MaxDelay after the process, or a later one of its instance, announced that it leaves, and
//   - within MaxDelay after a heartbeat of another process that has sent at least two.
type Tracker struct {
	// known is set while last describes a process that has not left.
	known bool
	last  Heartbeat
	// lastAt is the arrival time of last; count is the number of heartbeats of its process.
	lastAt    time.Time
	count     int
	departed  []departure
	candidate candidate
}

// Last returns the latest heartbeat that was not stale. It returns false before the first
// heartbeat and after the backend server has left.
func (t *Tracker) Last() (Heartbeat, bool) { return t.last, t.known }

// Handle updates the state with a heartbeat that arrives now and returns what the heartbeat
// changed.
func (t *Tracker) Handle(h Heartbeat, now time.Time) Effect {
	if t.isStale(h) && !t.isStillSending(h, now) {
		if h.State == membership.StateLeaving {
			// The heartbeat is acknowledged, and that is binding.
			t.addDeparted(departure{h.process(), true, now})
		}
		return Stale
	}
	if t.isPresent(h.process()) && h.State == membership.StateLeaving {
		h.Sequence = max(h.Sequence, t.last.Sequence)
	}
	return t.accept(h, now)
}

func (t *Tracker) isPresent(p process) bool { return t.known && t.last.process() == p }

func (t *Tracker) isStale(h Heartbeat) bool {
	switch {
	case t.isPresent(h.process()):
		leaves := h.State == membership.StateLeaving && t.last.State == membership.StateReady
		return h.Sequence <= t.last.Sequence && !leaves
	case t.hasDeparted(h.process()):
		return true
	}
	return t.known && h.StartTimeMS < t.last.StartTimeMS
}

// isStillSending reports whether a stale heartbeat shows that its process is still there.
func (t *Tracker) isStillSending(h Heartbeat, now time.Time) bool {
	if h.State != membership.StateReady || t.mayBeLate(h.process(), now) {
		return false
	}
	if t.candidate.process != h.process() || h.Sequence <= t.candidate.sequence {
		t.candidate = candidate{h.process(), h.Sequence, now}
		return false
	}
	return now.Sub(t.candidate.at) >= minSpacing
}

// mayBeLate reports whether stale heartbeats of a process are most likely late ones.
func (t *Tracker) mayBeLate(p process, now time.Time) bool {
	if t.known && now.Sub(t.lastAt) < MaxDelay {
		leaving := t.last.Instance == p.instance && t.last.State == membership.StateLeaving
		if leaving || t.last.process() != p && t.count > 1 {
			return true
		}
	}
	for _, d := range t.departed {
		if d.covers(p) && d.left && now.Sub(d.at) < MaxDelay {
			return true
		}
	}
	return false
}

// accept makes a heartbeat the latest one.
func (t *Tracker) accept(h Heartbeat, now time.Time) Effect {
	old, known, same := t.last, t.known, t.isPresent(h.process())
	left := old.State == membership.StateLeaving
	if known && !same && (left || h.StartTimeMS >= old.StartTimeMS) {
		t.addDeparted(departure{old.process(), left, t.lastAt})
	}
	t.departed = slices.DeleteFunc(t.departed, func(d departure) bool { return d.covers(h.process()) })
	t.known, t.last, t.lastAt, t.candidate = true, h, now, candidate{}
	if !same {
		t.count = 0
	}
	t.count++
	switch {
	case !same:
		return Restarted
	case h.Service != old.Service || h.Slots != old.Slots || h.State != old.State:
		return Changed
	}
	return Current
}

// Leave records that the process of an instance has left. It reports whether that was the
// process of the latest heartbeat; otherwise nothing changes.
func (t *Tracker) Leave(instance string, now time.Time) bool {
	if !t.known || t.last.Instance != instance {
		return false
	}
	t.addDeparted(departure{t.last.process(), true, now})
	t.known = false
	return true
}

// MarkDeparted marks a process as departed, for example one that left before the tracker was
// created. Its heartbeats are stale from then on.
func (t *Tracker) MarkDeparted(instance string, startMS int64, now time.Time) {
	t.addDeparted(departure{process{instance, startMS}, true, now})
}

func (t *Tracker) addDeparted(d departure) {
	t.departed = slices.DeleteFunc(t.departed, func(old departure) bool { return old.process == d.process })
	t.departed = append(t.departed, d)
	if len(t.departed) > maxDeparted {
		t.departed = t.departed[1:]
	}
}

// covers reports whether the departure is that of a process or of a later one of its instance. A
// process that starts later has a later start time.
func (d departure) covers(p process) bool {
	return d.instance == p.instance && p.startMS <= d.startMS
}

func (t *Tracker) hasDeparted(p process) bool {
	return slices.ContainsFunc(t.departed, func(d departure) bool { return d.covers(p) })
}
