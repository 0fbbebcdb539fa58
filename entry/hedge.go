package entry

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
)

// hedgeShare is the share of the target latency after which idempotent work without an answer
// is also sent to a second backend server. By then most work has ended, and the answer of the
// second attempt can still meet the target.
const hedgeShare = 0.5

// hedgeDelay returns the delay after which a second attempt starts in parallel to the first,
// and false when none may start. Hedging requires buffered answers, so that either attempt can
// be abandoned until its answer is complete.
func (t *task) hedgeDelay() (time.Duration, bool) {
	target := t.route.TargetLatency()
	if !t.entry.config.BufferAnswers || target == 0 || t.body.rest != nil || !t.mayRetest() {
		return 0, false
	}
	return time.Duration(hedgeShare * float64(target)), true
}

// hedgeResult is the result of one of two parallel attempts.
type hedgeResult struct {
	errReply *ErrorReply
	// panicked is the value with which the attempt panicked to abort the caller's connection, or
	// nil.
	panicked any
}

// attemptHedged makes an attempt, and a second one in parallel when the first gives no answer
// within the hedge delay. The first success wins, and the other attempt is cancelled.
func (t *task) attemptHedged(w http.ResponseWriter, r *http.Request, c balance.Choice, a balance.Attempt) *ErrorReply {
	delay, ok := t.hedgeDelay()
	if !ok {
		return t.attempt(w, r, c, a.Bytes)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	results := make(chan hedgeResult, 2)
	launch := func(t *task, c balance.Choice) {
		go func() {
			var result hedgeResult
			defer func() {
				result.panicked = recover()
				results <- result
			}()
			result.errReply = t.attempt(w, r, c, a.Bytes)
		}()
	}
	launch(t, c)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last *ErrorReply
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			secondChoice, found := t.chooseSecond(c, a)
			if !found {
				continue
			}
			running++
			secondTask := *t
			secondTask.possiblyReceived++
			launch(&secondTask, secondChoice)
			t.attempts++
			t.hedged = true
		case result := <-results:
			running--
			if result.panicked != nil {
				panic(result.panicked)
			}
			if result.errReply.succeeded() {
				return result.errReply
			}
			last = moreInformative(last, result.errReply)
		}
	}
	if t.hedged {
		// Each of the two attempts may have run; mayRetry counts only one of them.
		t.possiblyRun++
	}
	return last
}

// moreInformative returns whichever of two failures says more about what became of the work:
// the answer of a backend server comes first, then an unknown outcome. The outcome not-run is
// returned only if both attempts ended with it.
func moreInformative(a, b *ErrorReply) *ErrorReply {
	switch {
	case a == nil:
		return b
	case a.buffered != nil:
		return a
	case b.buffered != nil || a.Outcome == hop.OutcomeNotRun:
		return b
	}
	return a
}

// chooseSecond chooses a backend server for the second attempt: another one of the same region
// that is not suspected.
func (t *task) chooseSecond(first balance.Choice, a balance.Attempt) (balance.Choice, bool) {
	a.Tried = maps.Clone(a.Tried)
	a.Tried[first.Backend.ID] = hop.ReasonTimeout
	a.Retest, a.CanWait, a.SameRegionOnly = false, true, true
	return t.choose(t.attempts+1, t.entry.candidates(t.pool), a)
}
