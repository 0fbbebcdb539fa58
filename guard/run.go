package guard

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/health"
)

// backendRun is a dispatch that waits for a response of its backend server.
type backendRun struct {
	ended func(health.RunEnd)
	// reported is set when the health monitor knows of the run.
	reported bool
}

// startRun reports the start of a dispatch to the health monitor. A dispatch whose body still arrives
// from the entry is not reported, because the path to the entry may be what delays the response.
func (g *Guard) startRun(req attemptRequest, body *exchange.Body) backendRun {
	if !body.InMemory() {
		return backendRun{ended: func(health.RunEnd) {}}
	}
	start := DispatchStart{BackendID: req.backendID, Route: req.route, Retest: req.retest}
	return backendRun{ended: g.config.HealthMonitor.Started(start), reported: true}
}

// lost ends a run whose exchange failed. It reports whether the time ran out before a response.
func (r backendRun) lost(ctx context.Context) (timedOut bool) {
	switch err := ctx.Err(); {
	case err == nil:
		r.ended(health.RunVoid)
	case errors.Is(err, context.DeadlineExceeded):
		r.ended(health.RunTimedOut)
		return r.reported
	default:
		r.ended(health.RunCancelled)
	}
	return false
}

// responded ends a run with the response that arrived. Responses to refused requests say nothing
// about those that run, and errors often come sooner than other responses.
func (r backendRun) responded(class ResponseClass, status int) {
	switch {
	case class != Matching || resultOf(status) == Shed:
		r.ended(health.RunVoid)
	case status >= http.StatusBadRequest:
		r.ended(health.RunErrored)
	default:
		r.ended(health.RunAnswered)
	}
}
