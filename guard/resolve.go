package guard

import (
	"context"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/attempt"
	jackdawlanev1 "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// maxResolveWait bounds how long a resolution waits for a running attempt.
const maxResolveWait = time.Minute

// Resolve settles the state of an attempt whose answer was lost. While the attempt
// runs, Resolve waits for up to wait. It returns Dispatched when the attempt still runs
// after that, and Unknown when the attempt was sent to another incarnation of the guard.
func (g *Guard) Resolve(ctx context.Context, id string, incarnation uint64, wait time.Duration) attempt.State {
	readAt, ok := g.attemptClock.attemptTime(id)
	if !ok || incarnation != g.config.Self.Incarnation {
		return attempt.Unknown
	}
	state, done := g.attempts.resolve(id, readAt)
	if state != attempt.Dispatched {
		return state
	}
	timer := time.NewTimer(min(wait, maxResolveWait))
	defer timer.Stop()
	select {
	case <-done:
		state, _ = g.attempts.resolve(id, readAt)
	case <-timer.C:
	case <-ctx.Done():
	}
	return state
}

// FetchAnswer returns the retained answer of an attempt.
func (g *Guard) FetchAnswer(id string, incarnation uint64) (*attempt.Answer, bool) {
	if incarnation != g.config.Self.Incarnation {
		return nil, false
	}
	return g.attempts.answer(id)
}

// ControlService serves the calls of the control service that concern attempts.
type ControlService struct{ Guard *Guard }

// ResolveAttempt implements the call of the same name in the control service.
func (c ControlService) ResolveAttempt(ctx context.Context, r *jackdawlanev1.ResolveAttemptRequest) (*jackdawlanev1.ResolveAttemptResponse, error) {
	wait := time.Duration(r.GetWaitMs()) * time.Millisecond
	state := c.Guard.Resolve(ctx, r.GetAttemptId(), r.GetGuardIncarnation(), wait)
	return &jackdawlanev1.ResolveAttemptResponse{
		State:            wireState(state),
		GuardIncarnation: c.Guard.config.Self.Incarnation,
	}, nil
}

// FetchAnswer implements the call of the same name in the control service.
func (c ControlService) FetchAnswer(_ context.Context, r *jackdawlanev1.FetchAnswerRequest) (*jackdawlanev1.FetchAnswerResponse, error) {
	a, ok := c.Guard.FetchAnswer(r.GetAttemptId(), r.GetGuardIncarnation())
	if !ok {
		return &jackdawlanev1.FetchAnswerResponse{}, nil
	}
	return &jackdawlanev1.FetchAnswerResponse{
		Found:    true,
		Status:   uint32(a.Status),
		Headers:  wireHeader(a.Header),
		Body:     a.Body,
		Trailers: wireHeader(a.Trailer),
	}, nil
}

func wireState(s attempt.State) jackdawlanev1.AttemptState {
	switch s {
	case attempt.NotRun:
		return jackdawlanev1.AttemptState_ATTEMPT_STATE_NOT_RUN
	case attempt.Dispatched:
		return jackdawlanev1.AttemptState_ATTEMPT_STATE_RUNNING
	case attempt.Answered:
		return jackdawlanev1.AttemptState_ATTEMPT_STATE_ANSWERED
	}
	return jackdawlanev1.AttemptState_ATTEMPT_STATE_UNKNOWN
}

func wireHeader(h http.Header) []*jackdawlanev1.Header {
	var out []*jackdawlanev1.Header
	for name, values := range h {
		out = append(out, &jackdawlanev1.Header{Name: name, Values: values})
	}
	return out
}
