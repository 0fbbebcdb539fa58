package entry

import (
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

// attemptPlan is what an attempt takes over from the state of its request. The request's state belongs
// to the goroutine that starts the attempts. An attempt reads only its plan and what never changes
// there, so two attempts may run in parallel; delivering, status and the body are safe for both.
type attemptPlan struct {
	// repeat states how the attempt counts against the repeat budget.
	repeat hop.Repeat
	// mayRetest is set when the attempt may test a suspected backend server.
	mayRetest bool
	// queueWait is how long the attempt may wait at its guard; it states none if it is not positive.
	queueWait time.Duration
}

// planAttempt returns the plan of the next attempt.
func (rs *requestState) planAttempt() attemptPlan {
	return attemptPlan{repeat: rs.repeatKind(), mayRetest: rs.mayRetest(), queueWait: rs.queueWait()}
}

// planHedge returns the plan of an attempt in parallel to one that a backend server may have received.
// With a limit of hedges it does not wait at the guard, which refuses it unless it starts at once.
func (rs *requestState) planHedge(limited bool) attemptPlan {
	if limited {
		return attemptPlan{repeat: hop.RepeatHedge}
	}
	return attemptPlan{repeat: hop.RepeatLimited, queueWait: rs.queueWait()}
}
