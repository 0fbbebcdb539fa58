package entry

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
)

// hedgeShare is the share of the target latency after which idempotent work without an
// answer is sent to a second backend server as well: late enough that most work has
// ended, early enough that the second answer can be in time.
const hedgeShare = 0.5

// hedgeDelay returns when a second attempt begins beside the first, false when none may.
// It needs answers that are held, so that either attempt can still be given up.
func (t *task) hedgeDelay() (time.Duration, bool) {
	target := t.route.TargetLatency()
	if !t.entry.config.BufferAnswers || target == 0 || t.body.rest != nil || !t.mayRetest() {
		return 0, false
	}
	return time.Duration(hedgeShare * float64(target)), true
}

// attemptEnd is the end of one of two attempts.
type attemptEnd struct {
	refused *ErrorReply
	// panicked is what the attempt raised to abort the caller's connection.
	panicked any
}

// attemptHedged makes an attempt, and a second one beside it when no answer comes in
// time. The first success wins and the other attempt is cancelled.
func (t *task) attemptHedged(w http.ResponseWriter, r *http.Request, c balance.Choice, a balance.Attempt) *ErrorReply {
	delay, ok := t.hedgeDelay()
	if !ok {
		return t.attempt(w, r, c, a.Bytes)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	ends := make(chan attemptEnd, 2)
	launch := func(t *task, c balance.Choice) {
		go func() {
			var end attemptEnd
			defer func() {
				end.panicked = recover()
				ends <- end
			}()
			end.refused = t.attempt(w, r, c, a.Bytes)
		}()
	}
	launch(t, c)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last *ErrorReply
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			second, found := t.chooseSecond(c, a)
			if !found {
				continue
			}
			running++
			repeat := *t
			repeat.arrivals++
			launch(&repeat, second)
			t.attempts++
			t.hedged = true
		case end := <-ends:
			running--
			if end.panicked != nil {
				panic(end.panicked)
			}
			if end.refused.succeeded() {
				return end.refused
			}
			last = moreTelling(last, end.refused)
		}
	}
	if t.hedged {
		// Both may have run.
		t.sent++
	}
	return last
}

// moreTelling returns the one of two failures that says more of what became of the work:
// the answer of a backend server, then an unknown outcome. "Not run" is true only if it
// holds for both attempts.
func moreTelling(a, b *ErrorReply) *ErrorReply {
	switch {
	case a == nil:
		return b
	case a.answer != nil:
		return a
	case b.answer != nil || a.Outcome == hop.OutcomeNotRun:
		return b
	}
	return a
}

// chooseSecond returns another backend server that is not suspected.
func (t *task) chooseSecond(first balance.Choice, a balance.Attempt) (balance.Choice, bool) {
	a.Tried = maps.Clone(a.Tried)
	a.Tried[first.Backend.ID] = hop.ReasonTimeout
	a.Retest, a.CanWait, a.SameRegionOnly = false, true, true
	return t.choose(t.attempts+1, t.entry.candidates(t.pool), a)
}
