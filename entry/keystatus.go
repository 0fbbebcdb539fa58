package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	jackdawlanev1 "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/idempotency"
)

// keyStatusPath starts the paths that ask what became of a key. They are not routed.
const keyStatusPath = "/.well-known/jackdawlane/keys/"

// States of a key as callers see them.
const (
	// keyUnclaimed keys are held by no work; the work may still be on its way.
	keyUnclaimed = "unclaimed"
	// keyClaimed keys are held by work that may have run.
	keyClaimed = "claimed"
	// keyRan keys are held by work that ran.
	keyRan = "ran"
	// keyAnswered keys are held by work whose answer a repetition still gets.
	keyAnswered = "answered"
)

// serveKeyStatus tells an organisation what became of a key of its own. The key
// is looked up by a hash with the organisation that the credential proves.
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
	reply := e.config.Keys.Claim(r.Context(), &jackdawlanev1.ClaimKeyRequest{Key: k[:], LookOnly: true})
	state := e.keyState(r, reply)
	if state == "" {
		e.config.Protocol.WriteError(w, NotRun(http.StatusServiceUnavailable, hop.ReasonKeyRegister, "the register of idempotency keys cannot be read"))
		return
	}
	w.Header().Set(hop.HeaderOutcome, string(hop.OutcomeAnswer))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]string{"state": state})
}

// keyState returns the state of a key, empty when it is not known. It asks the
// guard only for the answer: resolving the attempt would cancel queued work.
func (e *Entry) keyState(r *http.Request, reply *jackdawlanev1.ClaimKeyResponse) string {
	switch reply.GetClaim() {
	case jackdawlanev1.KeyClaim_KEY_CLAIM_FREE:
		return keyUnclaimed
	case jackdawlanev1.KeyClaim_KEY_CLAIM_SEEN:
	default:
		return ""
	}
	holder := reply.GetHolder()
	if _, err := e.config.Resolver.FetchAnswer(r.Context(), holderGuard(holder), holder.GetAttemptId()); err == nil {
		return keyAnswered
	}
	if reply.GetRan() {
		return keyRan
	}
	return keyClaimed
}
