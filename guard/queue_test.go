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

func testAttemptRequest(n int) *attemptRequest {
	return &attemptRequest{id: fmt.Sprint(n), organisation: "o", route: "r", deadline: time.Now().Add(time.Hour)}
}

// Guards against waking waiters out of order, against an unbounded queue, and against
// losing slots when a waiting attempt is cancelled.
func TestQueueWakesWaiters(t *testing.T) {
	const slots = 4
	q := newQueue(stoppedClock, slots, membership.StateReady, false)
	for i := range slots {
		assert.Equal(t, q.admit(t.Context(), testAttemptRequest(i)), hop.Reason(""))
	}
	var decisions []chan hop.Reason
	for i := range slots {
		decision, _ := q.offer(*testAttemptRequest(slots + i))
		assert.Assert(t, decision != nil)
		decisions = append(decisions, decision)
	}
	assert.Equal(t, q.admit(t.Context(), testAttemptRequest(100)), hop.ReasonFull)
	for i, decision := range decisions {
		q.done(fmt.Sprint(i), time.Millisecond, admission.Answered)
		assert.Equal(t, <-decision, hop.Reason(""))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, q.admit(ctx, testAttemptRequest(101)), hop.ReasonCancelled)
	for i := range slots {
		q.done(fmt.Sprint(slots+i), time.Millisecond, admission.Answered)
	}
	assert.Equal(t, q.load().Running+q.load().Queued, 0)
}

// Guards against waiters that are never refused, because the expiry timer of the queue is
// not set or because a new state of the backend server does not reach the queue.
func TestQueueRefusesWaiters(t *testing.T) {
	q := newQueue(newClock(), 1, membership.StateReady, false)
	assert.Equal(t, q.admit(t.Context(), testAttemptRequest(0)), hop.Reason(""))
	assert.Equal(t, q.admit(t.Context(), testAttemptRequest(1)), hop.ReasonFull)
	q = newQueue(stoppedClock, 1, membership.StateReady, false)
	assert.Equal(t, q.admit(t.Context(), testAttemptRequest(0)), hop.Reason(""))
	decision, _ := q.offer(*testAttemptRequest(1))
	q.announce(1, membership.StateLeaving)
	assert.Equal(t, <-decision, hop.ReasonLeaving)
}
