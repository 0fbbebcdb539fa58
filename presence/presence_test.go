package presence

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/membership"
)

func beat(instance string, born, sequence int64, state membership.State) Heartbeat {
	return Heartbeat{Instance: instance, StartTimeMS: born, Sequence: sequence, Service: "s", Slots: 4, State: state}
}

// Guards against heartbeats out of order, of dead processes and of processes that
// left, any of which would send work to a backend server that must get none.
func TestHear(t *testing.T) {
	const ready, leaving = membership.StateReady, membership.StateLeaving
	steps := []struct {
		desc string
		beat Heartbeat
		want Effect
	}{
		{"first", beat("a", 10, 1, ready), Restarted},
		{"nothing new", beat("a", 10, 2, ready), Current},
		{"late copy", beat("a", 10, 2, ready), Stale},
		{"leaving", beat("a", 10, 4, leaving), Changed},
		{"late, from before it was leaving", beat("a", 10, 3, ready), Stale},
		{"older process at the address", beat("z", 9, 50, ready), Stale},
		{"same id, started again, counts anew", beat("a", 20, 1, ready), Restarted},
		{"late, of the first process", beat("a", 10, 5, ready), Stale},
		{"another process", beat("b", 30, 1, ready), Restarted},
		{"late, of the process before", beat("a", 20, 9, ready), Stale},
	}
	var tracker Tracker
	for _, s := range steps {
		assert.Equal(t, tracker.Handle(s.beat), s.want, s.desc)
	}
	assert.Assert(t, !tracker.Leave("a"), "another process is in force")
	assert.Assert(t, tracker.Leave("b"))
	assert.Equal(t, tracker.Handle(beat("b", 30, 2, ready)), Stale, "late, after it left")
	_, known := tracker.Last()
	assert.Assert(t, !known)
	assert.Equal(t, tracker.Handle(beat("b", 40, 1, ready)), Restarted)
}

// Guards against a restarted node that takes the late heartbeat of a process that left for a new one.
func TestForget(t *testing.T) {
	var tracker Tracker
	tracker.Forget("a", 10)
	assert.Equal(t, tracker.Handle(beat("a", 10, 7, membership.StateReady)), Stale)
	assert.Equal(t, tracker.Handle(beat("a", 11, 1, membership.StateReady)), Restarted)
}
