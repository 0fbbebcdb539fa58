package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/attempt"
	jackdawlanev1 "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1/jackdawlanev1connect"
	"github.com/jackdawlane/jackdawlane/membership"
)

// ErrResolve marks a guard that could not be asked about an attempt, or that no longer retains
// its answer.
var ErrResolve = errors.New("guard gave no information about the attempt")

// Resolver asks guards about attempts whose answers were lost.
type Resolver interface {
	// Resolve returns the state of an attempt as its guard knows it: NotRun, Dispatched, Answered
	// or Unknown.
	Resolve(ctx context.Context, g membership.Guard, id string, wait time.Duration) (attempt.State, error)
	// FetchAnswer returns the answer that the guard retained for an attempt.
	FetchAnswer(ctx context.Context, g membership.Guard, id string) (*attempt.Answer, error)
}

// ControlResolver asks guards through their control addresses.
type ControlResolver struct {
	client  *http.Client
	clients sync.Map
}

// NewControlResolver returns a resolver that uses client for its calls.
func NewControlResolver(client *http.Client) *ControlResolver {
	return &ControlResolver{client: client}
}

func (c *ControlResolver) guardClient(address string) jackdawlanev1connect.ControlServiceClient {
	if v, ok := c.clients.Load(address); ok {
		return v.(jackdawlanev1connect.ControlServiceClient)
	}
	v, _ := c.clients.LoadOrStore(address, jackdawlanev1connect.NewControlServiceClient(c.client, "http://"+address))
	return v.(jackdawlanev1connect.ControlServiceClient)
}

// Resolve implements Resolver. It returns ErrResolve when the guard does not answer.
func (c *ControlResolver) Resolve(ctx context.Context, g membership.Guard, id string, wait time.Duration) (attempt.State, error) {
	r, err := c.guardClient(g.ControlAddress).ResolveAttempt(ctx, &jackdawlanev1.ResolveAttemptRequest{
		AttemptId:        id,
		GuardIncarnation: g.Incarnation,
		WaitMs:           uint32(max(wait, 0) / time.Millisecond),
	})
	if err != nil {
		return attempt.Unknown, errors.Mark(err, ErrResolve)
	}
	if r.GetGuardIncarnation() != g.Incarnation {
		return attempt.Unknown, nil
	}
	switch r.GetState() {
	case jackdawlanev1.AttemptState_ATTEMPT_STATE_NOT_RUN:
		return attempt.NotRun, nil
	case jackdawlanev1.AttemptState_ATTEMPT_STATE_RUNNING:
		return attempt.Dispatched, nil
	case jackdawlanev1.AttemptState_ATTEMPT_STATE_ANSWERED:
		return attempt.Answered, nil
	}
	return attempt.Unknown, nil
}

// FetchAnswer implements Resolver. It returns ErrResolve when the guard does not reply or
// retains no answer.
func (c *ControlResolver) FetchAnswer(ctx context.Context, g membership.Guard, id string) (*attempt.Answer, error) {
	r, err := c.guardClient(g.ControlAddress).FetchAnswer(ctx, &jackdawlanev1.FetchAnswerRequest{
		AttemptId:        id,
		GuardIncarnation: g.Incarnation,
	})
	if err != nil {
		return nil, errors.Mark(err, ErrResolve)
	}
	if !r.GetFound() {
		return nil, errors.Wrap(ErrResolve, "the answer is no longer retained")
	}
	return &attempt.Answer{
		Status:  int(r.GetStatus()),
		Header:  httpHeader(r.GetHeaders()),
		Body:    r.GetBody(),
		Trailer: httpHeader(r.GetTrailers()),
	}, nil
}

func httpHeader(hs []*jackdawlanev1.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[h.GetName()] = h.GetValues()
	}
	return out
}
