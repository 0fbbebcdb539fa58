package presence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/membership"
)

func heartbeat(instance string, startTimeMS, sequence int64, state membership.State) Heartbeat {
	return Heartbeat{Instance: instance, StartTimeMS: startTimeMS, Sequence: sequence, Service: "s", Slots: 4, State: state}
}

// Guards against acting on heartbeats that are out of order or come from processes that
// have ended or left. Each of these would send requests to a backend server that must get none.
func TestHandle(t *testing.T) {
	const ready, leaving = membership.StateReady, membership.StateLeaving
	steps := []struct {
		desc      string
		heartbeat Heartbeat
		want      Effect
	}{
		{"first", heartbeat("a", 10, 1, ready), Restarted},
		{"same state again", heartbeat("a", 10, 2, ready), Current},
		{"duplicate", heartbeat("a", 10, 2, ready), Stale},
		{"leaving", heartbeat("a", 10, 4, leaving), Changed},
		{"delayed, sent before it was leaving", heartbeat("a", 10, 3, ready), Stale},
		{"process with an earlier start time", heartbeat("z", 9, 50, ready), Stale},
		{"same instance restarted, sequence starts again", heartbeat("a", 20, 1, ready), Restarted},
		{"delayed, from the first process", heartbeat("a", 10, 5, ready), Stale},
		{"another instance", heartbeat("b", 30, 1, ready), Restarted},
		{"delayed, from the previous process", heartbeat("a", 20, 9, ready), Stale},
	}
	var tracker Tracker
	now := time.Now()
	for _, s := range steps {
		assert.Equal(t, tracker.Handle(s.heartbeat, now), s.want, s.desc)
	}
	assert.Assert(t, !tracker.Leave("a", now), "the latest heartbeat is from another instance")
	assert.Assert(t, tracker.Leave("b", now))
	assert.Equal(t, tracker.Handle(heartbeat("b", 30, 2, ready), now), Stale, "delayed, from a process that has left")
	_, known := tracker.Last()
	assert.Assert(t, !known)
	assert.Equal(t, tracker.Handle(heartbeat("b", 40, 1, ready), now), Restarted)
}

// Guards against a restarted node that takes a delayed heartbeat of a process that left
// before the restart for one of a new process.
func TestForget(t *testing.T) {
	var tracker Tracker
	now := time.Now()
	tracker.MarkDeparted("a", 10, now)
	assert.Equal(t, tracker.Handle(heartbeat("a", 10, 7, membership.StateReady), now), Stale)
	assert.Equal(t, tracker.Handle(heartbeat("a", 11, 1, membership.StateReady), now), Restarted)
}
