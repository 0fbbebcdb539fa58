package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// retryWithin is the time in which work that a loaded backend server refused
	// is tried elsewhere. With one more wait of 20 ms in a queue, the last
	// refusal reaches the caller within 50 ms.
	retryWithin = 25 * time.Millisecond
)

// task is one request of a caller on its way.
type task struct {
	entry    *Entry
	route    route.Route
	pool     pool.Pool
	version  uint64
	deadline time.Time
	body     *body
	// size is that of the request's headers in bytes.
	size int64
	// started is when the first attempt could be made.
	started time.Time
	// key is nil for a request without an idempotency key.
	key *keyUse
}

// run makes attempts until the caller has a reply.
func (t *task) run(w http.ResponseWriter, r *http.Request) {
	t.started = time.Now()
	if !t.started.Before(t.deadline) {
		notRun(http.StatusServiceUnavailable, hop.ReasonTimeout, "the time of the request is over").write(w)
		return
	}
	candidates := t.entry.candidates(t.pool)
	refused := notRun(http.StatusServiceUnavailable, hop.ReasonNoBackend, "no backend server of the pool can be used")
	attempt := balance.Attempt{Tried: make(map[string]hop.Reason), Bytes: t.size + t.body.length(r)}
	allSuspect := true
	for n := 1; n <= maxAttempts; n++ {
		choice, ok := t.choose(n, candidates, attempt)
		if !ok {
			break
		}
		// Suspicion alone takes no capacity away, so the last attempt does not heed it.
		choice.Force = choice.Force || n == maxAttempts && allSuspect
		refused = t.attempt(w, r, choice, attempt.Bytes)
		if refused != nil && refused.reason == hop.ReasonStaleGuardTime && t.mayRetry(r.Context(), refused) {
			// The refusal brought the reading that the guard asks for.
			refused = t.attempt(w, r, choice, attempt.Bytes)
		}
		if refused == nil || !t.mayRetry(r.Context(), refused) {
			break
		}
		attempt.Tried[choice.Backend.ID] = refused.reason
		allSuspect = allSuspect && steered(refused.reason)
	}
	t.settleKey(refused)
	if refused != nil {
		refused.write(w)
	}
}

// mayRetry reports whether the request may go to another backend server.
func (t *task) mayRetry(ctx context.Context, f *refusal) bool {
	if f.final || ctx.Err() != nil || !t.body.replayable() || !time.Now().Before(t.deadline) {
		return false
	}
	if f.outcome == hop.OutcomeNotRun {
		loaded := f.reason == hop.ReasonFull || f.reason == hop.ReasonTimeout
		return !loaded || time.Since(t.started) < retryWithin
	}
	return t.route.Idempotent && t.entry.balancer.allowRetry()
}
