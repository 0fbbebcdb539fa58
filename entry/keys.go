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
	// holderDispatchGrace is how long an attempt that has just claimed a key is given to reach its
	// backend server. Resolving it earlier would cancel it, because a guard never dispatches an
	// attempt that it has resolved as not run.
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
	// claimantID is the ID of the last attempt of this request that may hold the key.
	claimantID string
	// replaces is the ID of an attempt that is known not to have run but may still hold the key.
	replaces string
	// holderResolved is set once a guard was asked about another request's attempt that holds
	// the key.
	holderResolved bool
}

// useKey returns the state of the request's idempotency key. It returns nil when the request
// has no key, when its route is idempotent, or when the entry has no register.
func (rs *requestState) useKey(r *http.Request, received time.Time) (*keyUse, *ErrorReply) {
	values := r.Header.Values("Idempotency-Key")
	if rs.route.Idempotent || len(values) == 0 || rs.entry.config.Keys == nil {
		return nil, nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return nil, NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "Idempotency-Key is not one value of 1 to 255 bytes")
	}
	length := r.ContentLength
	if rs.body.rest == nil {
		length = int64(len(rs.body.prefix))
	}
	target, _ := exchange.Target(r)
	return &keyUse{
		key:         idempotency.HashKey(rs.route.Organisation, rs.route.Name, values[0]),
		fingerprint: idempotency.Fingerprint(r.Method, target, length, rs.body.prefix),
		received:    received,
	}, nil
}

// claim claims the request's key for the attempt and reports whether the attempt may be sent.
// If it returns false with a nil reply, the caller already has its reply.
func (ra *requestAttempt) claim() (bool, *ErrorReply) {
	// Without a reading of its clock the guard refuses the attempt, unless guards acknowledge
	// attempts and the body is sent on request (see guard.acceptsWithoutReading). A refused attempt
	// cannot run and needs no claim.
	if ra.key == nil || ra.guardTime == (hop.GuardTime{}) {
		return true, nil
	}
	for {
		// This is checked after the attempt ID was made, because the clock reading in the ID bounds
		// the time at which the guard can accept the attempt.
		if time.Since(ra.key.received) > idempotency.ClaimWindow {
			return false, NotRun(http.StatusServiceUnavailable, hop.ReasonTimeout, "the request is too old to claim its key").markFinal()
		}
		reply := ra.requestClaim()
		switch reply.GetClaim() {
		case jackdawlanev1.KeyClaim_KEY_CLAIM_FIRST:
			ra.key.replaces = ra.id
			return true, nil
		case jackdawlanev1.KeyClaim_KEY_CLAIM_SEEN:
			ra.key.claimantID = ""
			if done, errReply := ra.handleSeenKey(reply); done {
				return false, errReply
			}
		default:
			return false, NotRun(http.StatusServiceUnavailable, hop.ReasonKeyRegister, "the register of idempotency keys cannot decide").markFinal()
		}
	}
}

func (ra *requestAttempt) requestClaim() *jackdawlanev1.ClaimKeyResponse {
	ra.key.claimantID = ra.id
	ctx, cancel := context.WithDeadline(ra.r.Context(), ra.deadline)
	defer cancel()
	return ra.entry.config.Keys.Claim(ctx, &jackdawlanev1.ClaimKeyRequest{
		Key:         ra.key.key[:],
		Fingerprint: ra.key.fingerprint,
		Attempt: &jackdawlanev1.KeyAttempt{
			GuardNode:        ra.backend.Guard.NodeID,
			ControlAddress:   ra.backend.Guard.ControlAddress,
			GuardIncarnation: ra.backend.Guard.Incarnation,
			AttemptId:        ra.id,
		},
		Replaces: ra.key.replaces,
	})
}

// handleSeenKey handles a key that another attempt holds. It returns false when that attempt
// is known not to have run, so that the key can be claimed again.
func (ra *requestAttempt) handleSeenKey(reply *jackdawlanev1.ClaimKeyResponse) (bool, *ErrorReply) {
	if reply.GetFingerprint() != ra.key.fingerprint {
		return true, NotRun(http.StatusUnprocessableEntity, hop.ReasonKeyReused, "the key was used for another request").markFinal()
	}
	duplicate := Unknown(hop.ReasonDuplicateKey, "the work was sent before with this key and may have run")
	if ra.key.holderResolved {
		return true, duplicate
	}
	ra.key.holderResolved = true
	sleep(ra.r.Context(), min(holderDispatchGrace, time.Until(ra.deadline)))
	holder := reply.GetHolder()
	state, answer := ra.resolveAt(holderGuard(holder), holder.GetAttemptId())
	switch {
	case state == attempt.NotRun:
		ra.key.replaces = holder.GetAttemptId()
		return false, nil
	case answer != nil:
		ra.deliverRetained(answer)
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
func (ra *requestAttempt) deliverRetained(a *attempt.Answer) {
	rw := exchange.NewResponseWriter(ra.w)
	ra.status.Store(int64(a.Status))
	ra.writeHeader(rw, a.Status, a.Header.Clone(), a.Trailer)
	ra.w.Write(a.Body)
	rw.WriteTrailer(a.Trailer)
}

// settleKey tells the register, after the last attempt, what became of the attempt that this
// request claimed last. Work whose outcome is unknown keeps its key.
func (rs *requestState) settleKey(last *ErrorReply) {
	if rs.key == nil || rs.key.claimantID == "" {
		return
	}
	if last != nil && last.Outcome != hop.OutcomeNotRun {
		return
	}
	r := &jackdawlanev1.SettleKeyRequest{Key: rs.key.key[:], AttemptId: rs.key.claimantID, Ran: last == nil}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		rs.entry.config.Keys.Settle(ctx, r)
	}()
}
