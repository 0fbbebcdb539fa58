package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	jackdawlanev1 "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/idempotency"
)

// keyStatusPath is the prefix of the paths on which callers query the state of a key. Requests
// for them are not routed.
const keyStatusPath = "/.well-known/jackdawlane/keys/"

// States of a key as callers see them.
const (
	// keyUnclaimed means that no attempt holds the key. A request with this key may still be in
	// flight.
	keyUnclaimed = "unclaimed"
	// keyClaimed means that the key is held by an attempt that may have run.
	keyClaimed = "claimed"
	// keyRan means that the key is held by an attempt that ran.
	keyRan = "ran"
	// keyAnswered means that the key is held by an attempt whose answer is retained: a request with
	// the same key still gets it.
	keyAnswered = "answered"
)

// serveKeyStatus tells an organisation the state of one of its own keys. The key is looked up
// by a hash that includes the organisation which the credential proves, so no keys of others
// can be queried.
func (e *Entry) serveKeyStatus(w http.ResponseWriter, r *http.Request) {
	snapshot := e.config.Snapshot()
	name, secret, ok := credentials(r.Header)
	if !ok || snapshot == nil || !snapshot.Authenticate(name, secret) {
		e.config.Protocol.WriteError(w, NotRun(http.StatusProxyAuthRequired, hop.ReasonNoCredential, "Proxy-Authorization is missing or wrong"))
		return
	}
	routeName := r.URL.Query().Get("route")
	if routeName == "" {
		e.config.Protocol.WriteError(w, NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "the query parameter route is missing"))
		return
	}
	k := idempotency.HashKey(name, routeName, strings.TrimPrefix(r.URL.Path, keyStatusPath))
	claim := e.config.Keys.Claim(r.Context(), &jackdawlanev1.ClaimKeyRequest{Key: k[:], LookOnly: true})
	state := e.keyState(r, claim)
	if state == "" {
		e.config.Protocol.WriteError(w, NotRun(http.StatusServiceUnavailable, hop.ReasonKeyRegister, "the register of idempotency keys cannot be read"))
		return
	}
	w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]string{"state": state})
}

// keyState returns the state of a key, or "" when it is not known. It asks the guard only for
// the answer, because resolving the attempt would cancel a queued one.
func (e *Entry) keyState(r *http.Request, claim *jackdawlanev1.ClaimKeyResponse) string {
	switch claim.GetClaim() {
	case jackdawlanev1.KeyClaim_KEY_CLAIM_FREE:
		return keyUnclaimed
	case jackdawlanev1.KeyClaim_KEY_CLAIM_SEEN:
	default:
		return ""
	}
	holder := claim.GetHolder()
	if _, err := e.config.Resolver.FetchAnswer(r.Context(), holderGuard(holder), holder.GetAttemptId()); err == nil {
		return keyAnswered
	}
	if claim.GetRan() {
		return keyRan
	}
	return keyClaimed
}
