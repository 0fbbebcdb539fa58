package guard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

func work(n int) job {
	return job{id: fmt.Sprint(n), organisation: "o", route: "r", deadline: time.Now().Add(time.Hour)}
}

// Guards against waiters that are woken out of order, a queue without a bound,
// and slots that are lost when waiting work is cancelled.
func TestQueueWakesWaiters(t *testing.T) {
	const slots = 4
	q := newQueue(stopped, slots, membership.StateReady, false)
	for i := range slots {
		assert.Equal(t, q.admit(t.Context(), work(i)), hop.Reason(""))
	}
	var turns []chan hop.Reason
	for i := range slots {
		turn, _ := q.offer(work(slots + i))
		assert.Assert(t, turn != nil)
		turns = append(turns, turn)
	}
	assert.Equal(t, q.admit(t.Context(), work(100)), hop.ReasonFull)
	for i, turn := range turns {
		q.done(fmt.Sprint(i), time.Millisecond, admission.Answered)
		assert.Equal(t, <-turn, hop.Reason(""))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, q.admit(ctx, work(101)), hop.ReasonCancelled)
	for i := range slots {
		q.done(fmt.Sprint(slots+i), time.Millisecond, admission.Answered)
	}
	assert.Equal(t, q.load().Running+q.load().Queued, 0)
}

// Guards against waiters that nobody wakes: a queue whose timer is not set, and
// an announcement that does not reach the queue.
func TestQueueDropsWaiters(t *testing.T) {
	q := newQueue(newClock(), 1, membership.StateReady, false)
	assert.Equal(t, q.admit(t.Context(), work(0)), hop.Reason(""))
	assert.Equal(t, q.admit(t.Context(), work(1)), hop.ReasonFull)
	q = newQueue(stopped, 1, membership.StateReady, false)
	assert.Equal(t, q.admit(t.Context(), work(0)), hop.Reason(""))
	turn, _ := q.offer(work(1))
	q.announce(1, membership.StateLeaving)
	assert.Equal(t, <-turn, hop.ReasonLeaving)
}
