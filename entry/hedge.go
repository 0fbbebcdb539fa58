package entry

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
)

// hedgeShare is the fraction of the target latency after which an unanswered idempotent request
// is also sent to a second backend server. By then most requests are answered, and the answer
// of the second attempt can still arrive within the target.
const hedgeShare = 0.5

// hedgeDelay returns the delay after which a second attempt starts in parallel to the first,
// and false when none may start. Hedging requires buffered answers, so that either attempt can
// be abandoned until its answer is complete.
func (rs *requestState) hedgeDelay() (time.Duration, bool) {
	target := rs.route.TargetLatency()
	if !rs.entry.config.BufferAnswers || target == 0 || rs.body.rest != nil || !rs.mayRetest() {
		return 0, false
	}
	return time.Duration(hedgeShare * float64(target)), true
}

// hedgeResult is the result of one of two parallel attempts.
type hedgeResult struct {
	// backend is the ID of the backend server that was tried.
	backend  string
	errReply *ErrorReply
	// panicked is the value with which the attempt panicked to abort the caller's connection, or
	// nil.
	panicked any
}

// attemptHedged makes an attempt, and a second one in parallel if the first has not ended
// within the hedge delay. The first success is used, and the other attempt is cancelled. Backend
// servers whose attempts failed are added to a.Tried, so that none gets the request again.
func (rs *requestState) attemptHedged(w http.ResponseWriter, r *http.Request, c balance.Choice, a balance.Attempt) *ErrorReply {
	delay, ok := rs.hedgeDelay()
	if !ok {
		return rs.attempt(w, r, c, a.Bytes)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	results := make(chan hedgeResult, 2)
	launch := func(rs *requestState, c balance.Choice) {
		go func() {
			result := hedgeResult{backend: c.Backend.ID}
			defer func() {
				result.panicked = recover()
				results <- result
			}()
			result.errReply = rs.attempt(w, r, c, a.Bytes)
		}()
	}
	// Copied before the first attempt starts, because that one changes rs when it delivers its answer.
	secondState := *rs
	secondState.possiblyReceived++
	launch(rs, c)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last *ErrorReply
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			secondChoice, found := rs.chooseSecond(c, a)
			if !found {
				continue
			}
			running++
			launch(&secondState, secondChoice)
			rs.attempts++
			rs.hedged = true
		case result := <-results:
			running--
			if result.panicked != nil {
				panic(result.panicked)
			}
			if result.errReply.succeeded() && rs.claimDelivery(result.errReply) {
				return result.errReply
			}
			if result.errReply.succeeded() {
				// The other attempt is relaying a long answer to the caller.
				continue
			}
			a.Tried[result.backend] = result.errReply.Reason
			last = parallelFailure(last, result.errReply)
		}
	}
	if rs.hedged {
		// Each of the two attempts may have run; mayRetry counts only one of them.
		rs.possiblyRun++
	}
	return last
}

// claimDelivery reports whether the result of one of two parallel attempts may be used. A buffered
// answer may not once the other attempt has begun to deliver its answer, which then may not begin
// any more if this one is used.
func (rs *requestState) claimDelivery(result *ErrorReply) bool {
	return result == nil || rs.delivering.CompareAndSwap(false, true)
}

// preferredFailure returns which of two failed attempts of a request to report. The answer of a
// backend server takes precedence over an unknown outcome, and the outcome not-run is returned
// only if both attempts ended with it.
func preferredFailure(a, b *ErrorReply) *ErrorReply {
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

// parallelFailure returns which failure of two parallel attempts to report. The reason of the result
// also counts as that of the first backend server, so a refusal by a backend server takes
// precedence over one by a guard, after which the backend server could be tried again.
func parallelFailure(a, b *ErrorReply) *ErrorReply {
	if a != nil && a.mayHaveReachedBackend() && !b.mayHaveReachedBackend() {
		return a
	}
	return preferredFailure(a, b)
}

// chooseSecond chooses another backend server of the same region for the second attempt. Since
// that attempt can wait, none is chosen when only suspected ones are left and each of them is
// likely to fail.
func (rs *requestState) chooseSecond(first balance.Choice, a balance.Attempt) (balance.Choice, bool) {
	if rs.entry.stop.waitsEnded() {
		return balance.Choice{}, false
	}
	a.Tried = maps.Clone(a.Tried)
	a.Tried[first.Backend.ID] = hop.ReasonTimeout
	a.Retest, a.CanWait, a.SameRegionOnly = false, true, true
	return rs.choose(rs.attempts+1, rs.entry.candidates(rs.pool), a)
}
