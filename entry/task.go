package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// task is one request of a caller on its way.
type task struct {
	entry    *Entry
	route    route.Route
	pool     pool.Pool
	version  uint64
	deadline time.Time
	body     *body
	// key is nil for a request without an idempotency key.
	key *keyUse
}

// run makes attempts until the caller has a reply.
func (t *task) run(w http.ResponseWriter, r *http.Request) {
	if !time.Now().Before(t.deadline) {
		notRun(http.StatusServiceUnavailable, hop.ReasonTimeout, "the time of the request is over").write(w)
		return
	}
	candidates := t.entry.candidates(t.pool)
	if len(candidates) == 0 {
		notRun(http.StatusServiceUnavailable, hop.ReasonNoBackend, "no backend server of the pool is ready").write(w)
		return
	}
	left := slices.Clone(candidates)
	allSuspect := true
	var last *refusal
	for n := 1; n <= maxAttempts; n++ {
		final := n == maxAttempts || len(left) == 0
		if len(left) == 0 {
			if !allSuspect {
				break
			}
			left = candidates
		}
		b := t.entry.config.Picker.Pick(left)
		left = slices.DeleteFunc(slices.Clone(left), func(o membership.Backend) bool { return o.ID == b.ID })
		force := final && n > 1 && allSuspect
		last = t.attempt(w, r, b, force)
		if last != nil && last.reason == hop.ReasonStaleGuardTime && t.mayRetry(r.Context(), last) {
			// The refusal brought the reading that the guard asks for.
			last = t.attempt(w, r, b, force)
		}
		if last == nil || !t.mayRetry(r.Context(), last) {
			break
		}
		if last.guardDown {
			left = slices.DeleteFunc(left, func(o membership.Backend) bool { return o.Guard.HopAddress == b.Guard.HopAddress })
		}
		allSuspect = allSuspect && last.reason == hop.ReasonSuspect
	}
	t.settleKey(last)
	if last != nil {
		last.write(w)
	}
}

// mayRetry reports whether the request may go to another backend server.
func (t *task) mayRetry(ctx context.Context, f *refusal) bool {
	if f.final || ctx.Err() != nil || !t.body.replayable() || !time.Now().Before(t.deadline) {
		return false
	}
	if f.outcome == hop.OutcomeNotRun {
		return true
	}
	return t.route.Idempotent && t.entry.config.Budget.TakeRetry()
}
