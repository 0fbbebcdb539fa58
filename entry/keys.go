package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/exchange"
	jackdawlanev1 "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/idempotency"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// maxKeyBytes limits the length of an idempotency key as the caller sends it.
	maxKeyBytes = 255
	// holderDispatchGrace is the time that an attempt which was claimed just now is given to reach
	// its backend server. Asking its guard earlier would cancel it, because a guard never
	// dispatches an attempt that it resolved as not run.
	holderDispatchGrace = 250 * time.Millisecond
	// settleTimeout bounds the call that settles a key after the reply.
	settleTimeout = 2 * time.Second
)

// Keys is the register of idempotency keys.
type Keys interface {
	// Claim claims a key for an attempt, or returns the attempt that holds the key.
	Claim(ctx context.Context, r *jackdawlanev1.ClaimKeyRequest) *jackdawlanev1.ClaimKeyResponse
	// Settle records what became of an attempt. The record may be lost.
	Settle(ctx context.Context, r *jackdawlanev1.SettleKeyRequest)
}

// keyUse is the state of one request's idempotency key.
type keyUse struct {
	key         idempotency.Key
	fingerprint uint64
	received    time.Time
	// claimed is the ID of the last attempt of this request that may hold the key.
	claimed string
	// replaces is the ID of an attempt that is known not to have run but may still hold the key.
	replaces string
	// resolved is set once a guard was asked about another request's attempt that holds the key.
	resolved bool
}

// useKey returns the state of the request's idempotency key. It returns nil when the request
// has no key, when its route is idempotent, or when the entry has no register.
func (t *task) useKey(r *http.Request, received time.Time) (*keyUse, *ErrorReply) {
	values := r.Header.Values("Idempotency-Key")
	if t.route.Idempotent || len(values) == 0 || t.entry.config.Keys == nil {
		return nil, nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return nil, NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "Idempotency-Key is not one value of 1 to 255 bytes")
	}
	length := r.ContentLength
	if t.body.rest == nil {
		length = int64(len(t.body.prefix))
	}
	return &keyUse{
		key:         idempotency.HashKey(t.route.Organisation, t.route.Name, values[0]),
		fingerprint: idempotency.Fingerprint(r.Method, r.URL.RequestURI(), length, t.body.prefix),
		received:    received,
	}, nil
}

// claim claims the request's key for the attempt and reports whether the attempt may be sent.
// If it returns false with a nil reply, the caller already has its reply.
func (ta *taskAttempt) claim() (bool, *ErrorReply) {
	// Without a reading of its clock the guard refuses the attempt, so it cannot run and needs no
	// claim.
	if ta.key == nil || ta.guardTime == (hop.GuardTime{}) {
		return true, nil
	}
	for {
		// This is checked after the attempt ID was made, because the clock reading in the ID bounds
		// the time at which the guard can accept the attempt.
		if time.Since(ta.key.received) > idempotency.ClaimWindow {
			return false, NotRun(http.StatusServiceUnavailable, hop.ReasonTimeout, "the request is too old to claim its key").markFinal()
		}
		reply := ta.requestClaim()
		switch reply.GetClaim() {
		case jackdawlanev1.KeyClaim_KEY_CLAIM_FIRST:
			ta.key.replaces = ta.id
			return true, nil
		case jackdawlanev1.KeyClaim_KEY_CLAIM_SEEN:
			ta.key.claimed = ""
			if done, errReply := ta.handleSeenKey(reply); done {
				return false, errReply
			}
		default:
			return false, NotRun(http.StatusServiceUnavailable, hop.ReasonKeyRegister, "the register of idempotency keys cannot decide").markFinal()
		}
	}
}

func (ta *taskAttempt) requestClaim() *jackdawlanev1.ClaimKeyResponse {
	ta.key.claimed = ta.id
	ctx, cancel := context.WithDeadline(ta.r.Context(), ta.deadline)
	defer cancel()
	return ta.entry.config.Keys.Claim(ctx, &jackdawlanev1.ClaimKeyRequest{
		Key:         ta.key.key[:],
		Fingerprint: ta.key.fingerprint,
		Attempt: &jackdawlanev1.KeyAttempt{
			GuardNode:        ta.backend.Guard.NodeID,
			ControlAddress:   ta.backend.Guard.ControlAddress,
			GuardIncarnation: ta.backend.Guard.Incarnation,
			AttemptId:        ta.id,
		},
		Replaces: ta.key.replaces,
	})
}

// handleSeenKey handles a key that another attempt holds. It returns false when that attempt
// is known not to have run, so that the key can be claimed again.
func (ta *taskAttempt) handleSeenKey(reply *jackdawlanev1.ClaimKeyResponse) (bool, *ErrorReply) {
	if reply.GetFingerprint() != ta.key.fingerprint {
		return true, NotRun(http.StatusUnprocessableEntity, hop.ReasonKeyReused, "the key was used for another request").markFinal()
	}
	duplicate := Unknown(hop.ReasonDuplicateKey, "the work was sent before with this key and may have run")
	if ta.key.resolved {
		return true, duplicate
	}
	ta.key.resolved = true
	sleep(ta.r.Context(), min(holderDispatchGrace, time.Until(ta.deadline)))
	holder := reply.GetHolder()
	state, answer := ta.resolveAt(holderGuard(holder), holder.GetAttemptId())
	switch {
	case state == attempt.NotRun:
		ta.key.replaces = holder.GetAttemptId()
		return false, nil
	case answer != nil:
		ta.deliverRetained(answer)
		return true, nil
	}
	return true, duplicate
}

func holderGuard(a *jackdawlanev1.KeyAttempt) membership.Guard {
	return membership.Guard{
		NodeID:         a.GetGuardNode(),
		Incarnation:    a.GetGuardIncarnation(),
		ControlAddress: a.GetControlAddress(),
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// deliverRetained sends the caller an answer that a guard retained.
func (ta *taskAttempt) deliverRetained(a *attempt.Answer) {
	rw := exchange.NewResponseWriter(ta.w)
	ta.status = a.Status
	ta.writeHeader(rw, a.Status, a.Header.Clone(), a.Trailer)
	ta.w.Write(a.Body)
	rw.WriteTrailer(a.Trailer)
}

// settleKey tells the register, after the last attempt, what became of the attempt that this
// request claimed last. Work whose outcome is unknown keeps its key.
func (t *task) settleKey(last *ErrorReply) {
	if t.key == nil || t.key.claimed == "" {
		return
	}
	if last != nil && last.Outcome != hop.OutcomeNotRun {
		return
	}
	r := &jackdawlanev1.SettleKeyRequest{Key: t.key.key[:], AttemptId: t.key.claimed, Ran: last == nil}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		t.entry.config.Keys.Settle(ctx, r)
	}()
}
