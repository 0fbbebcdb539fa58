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
	// maxKeyBytes bounds an idempotency key as the caller writes it.
	maxKeyBytes = 255
	// holderGrace lets an attempt that was claimed just now reach its backend
	// server. Asking its guard earlier would cancel it, because a guard never
	// dispatches an attempt that it resolved as not run.
	holderGrace = 250 * time.Millisecond
	// settleTimeout bounds the settlement of a key after the reply.
	settleTimeout = 2 * time.Second
)

// Keys is the register of idempotency keys.
type Keys interface {
	// Claim claims a key for an attempt or looks up its holder.
	Claim(ctx context.Context, r *jackdawlanev1.ClaimKeyRequest) *jackdawlanev1.ClaimKeyResponse
	// Settle records what became of an attempt. It may be lost.
	Settle(ctx context.Context, r *jackdawlanev1.SettleKeyRequest)
}

// keyUse is the use of an idempotency key by one request.
type keyUse struct {
	key         idempotency.Key
	fingerprint uint64
	received    time.Time
	// claimed is the last attempt of this request that may hold the key.
	claimed string
	// replaces is an attempt that was proved not run and may hold the key.
	replaces string
	// resolved is set when the guard of another request's attempt was asked.
	resolved bool
}

// useKey returns the use of the request's key, nil when the request has none or
// may be repeated anyway.
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

// claim claims the request's key for the attempt. It reports whether the
// attempt may be sent; if not, the refusal is nil when the caller has its reply.
func (y *try) claim() (bool, *ErrorReply) {
	// A guard takes no attempt without a reading of its clock, so that one cannot run.
	if y.key == nil || y.known == (hop.GuardTime{}) {
		return true, nil
	}
	for {
		// Checked after the ID was made: its reading bounds when the guard takes it.
		if time.Since(y.key.received) > idempotency.ClaimWindow {
			return false, NotRun(http.StatusServiceUnavailable, hop.ReasonTimeout, "the request is too old to claim its key").ended()
		}
		reply := y.askForKey()
		switch reply.GetClaim() {
		case jackdawlanev1.KeyClaim_KEY_CLAIM_FIRST:
			y.key.replaces = y.id
			return true, nil
		case jackdawlanev1.KeyClaim_KEY_CLAIM_SEEN:
			y.key.claimed = ""
			if done, refused := y.seen(reply); done {
				return false, refused
			}
		default:
			return false, NotRun(http.StatusServiceUnavailable, hop.ReasonKeyRegister, "the register of idempotency keys cannot decide").ended()
		}
	}
}

func (y *try) askForKey() *jackdawlanev1.ClaimKeyResponse {
	y.key.claimed = y.id
	ctx, cancel := context.WithDeadline(y.r.Context(), y.deadline)
	defer cancel()
	return y.entry.config.Keys.Claim(ctx, &jackdawlanev1.ClaimKeyRequest{
		Key:         y.key.key[:],
		Fingerprint: y.key.fingerprint,
		Attempt: &jackdawlanev1.KeyAttempt{
			GuardNode:        y.backend.Guard.NodeID,
			ControlAddress:   y.backend.Guard.ControlAddress,
			GuardIncarnation: y.backend.Guard.Incarnation,
			AttemptId:        y.id,
		},
		Replaces: y.key.replaces,
	})
}

// seen acts on a key that another attempt holds. It reports false when that
// attempt was proved not run and the key can be claimed again.
func (y *try) seen(reply *jackdawlanev1.ClaimKeyResponse) (bool, *ErrorReply) {
	if reply.GetFingerprint() != y.key.fingerprint {
		return true, NotRun(http.StatusUnprocessableEntity, hop.ReasonKeyReused, "the key was used for another request").ended()
	}
	duplicate := Unknown(hop.ReasonDuplicateKey, "the work was sent before with this key and may have run")
	if y.key.resolved {
		return true, duplicate
	}
	y.key.resolved = true
	sleep(y.r.Context(), min(holderGrace, time.Until(y.deadline)))
	holder := reply.GetHolder()
	state, answer := y.resolveAt(holderGuard(holder), holder.GetAttemptId())
	switch {
	case state == attempt.NotRun:
		y.key.replaces = holder.GetAttemptId()
		return false, nil
	case answer != nil:
		y.deliverRetained(answer)
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

// deliverRetained sends an answer that a guard retained.
func (y *try) deliverRetained(a *attempt.Answer) {
	reply := exchange.NewResponseWriter(y.w)
	y.status = a.Status
	y.sendHead(reply, a.Status, a.Header.Clone(), a.Trailer)
	y.w.Write(a.Body)
	reply.WriteTrailer(a.Trailer)
}

// settleKey tells the register what became of the request's last claim, after
// the reply. Work whose outcome is unknown keeps the key.
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
