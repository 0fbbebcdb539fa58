// Package hop defines the headers that entries and guards exchange, and the outcomes and
// reasons that callers see.
package hop

import (
	"net/http"
	"slices"
	"strings"
)

// HeaderPrefix is the prefix of every header that the project defines. Headers with this
// prefix are dropped when they come from callers or backend servers.
const HeaderPrefix = "Jackdawlane-"

// Request headers from entry to guard.
const (
	HeaderAttempt       = "Jackdawlane-Attempt"
	HeaderBackendServer = "Jackdawlane-Backend-Server"
	HeaderService       = "Jackdawlane-Service"
	HeaderOrganisation  = "Jackdawlane-Organisation"
	HeaderRoute         = "Jackdawlane-Route"
	HeaderIdempotent    = "Jackdawlane-Idempotent"
	HeaderTimeoutMS     = "Jackdawlane-Timeout-Ms"
	HeaderForce         = "Jackdawlane-Force"
	// HeaderWaitMS is how long the attempt may wait at the guard for a free slot, in milliseconds.
	HeaderWaitMS = "Jackdawlane-Wait-Ms"
	// HeaderPriority holds the priorities of the organisation and of the route, such as "1,2". It is
	// absent when both are 0, the most urgent.
	HeaderPriority = "Jackdawlane-Priority"
	// HeaderCall is "true" for every attempt of a request that a backend server may have sent while it
	// handles another one.
	HeaderCall = "Jackdawlane-Call"
	// HeaderRetest marks a request with which the guard may test a suspected backend server.
	HeaderRetest = "Jackdawlane-Retest"
	// HeaderRepeat holds a Repeat value.
	HeaderRepeat         = "Jackdawlane-Repeat"
	HeaderIdempotencyKey = "Jackdawlane-Idempotency-Key"
	// HeaderCancel marks a request that only cancels the attempt it names, because the
	// caller of that attempt has gone.
	HeaderCancel = "Jackdawlane-Cancel"
)

// Reply headers from guard to entry. HeaderOutcome and HeaderReason also reach the caller.
const (
	HeaderOutcome   = "Jackdawlane-Outcome"
	HeaderReason    = "Jackdawlane-Reason"
	HeaderGuardTime = "Jackdawlane-Guard-Time"
	HeaderLoad      = "Jackdawlane-Load"
	HeaderHealth    = "Jackdawlane-Health"
	// HeaderFailing is the probability that the backend server is failing, in thousandths.
	HeaderFailing = "Jackdawlane-Failing"
	// HeaderAgainMS states with a refusal for how many milliseconds another attempt would be
	// refused too, or would have to wait: until a slot is expected to be free, or until the next
	// re-test of a suspected backend server is due.
	HeaderAgainMS = "Jackdawlane-Again-Ms"
	// HeaderConfigVersion is the version of the configuration in force at the guard, in decimal digits.
	HeaderConfigVersion = "Jackdawlane-Config-Version"
	// HeaderConfigAge is the time since that version was known to be the newest one, in milliseconds.
	HeaderConfigAge = "Jackdawlane-Config-Age-Ms"
	// HeaderConfigPoll makes a request to the hop address one for updates of the configuration since the
	// version in HeaderConfigVersion. Its value is the time for which the reply may wait for a change, in
	// milliseconds.
	HeaderConfigPoll = "Jackdawlane-Config-Poll-Ms"
	// HeaderConfigHeld is the time for which the reply to such a request has waited, in milliseconds.
	HeaderConfigHeld = "Jackdawlane-Config-Held-Ms"
	// HeaderConfigRevision is the revision of the store after which the replying node looks for changes.
	HeaderConfigRevision = "Jackdawlane-Config-Revision"
	// HeaderGrant is "true" when the guard has charged the next attempt of the request to its
	// own part of the repeat budget, so that the next guard does not charge it again.
	HeaderGrant = "Jackdawlane-Grant"
)

// StatusAcknowledged is the informational status with which a guard acknowledges an attempt that
// does not wait for 100 Continue. Any other attempt is acknowledged by asking for its body.
const StatusAcknowledged = http.StatusProcessing

// Repeat states how an attempt counts against the repeat budget.
type Repeat string

const (
	// RepeatNone marks the first attempt of a caller's request, which adds to the budget.
	RepeatNone Repeat = ""
	// RepeatFirstCall marks the first attempt of a request that a backend server may have sent
	// while it handles one. It neither adds to the budget nor draws on it: the budget follows
	// the demand of callers, and calls grow with the work that is repeated.
	RepeatFirstCall Repeat = "first-call"
	// RepeatLimited marks an attempt of a request that may have reached a backend server
	// before. The guard that receives it counts it, or refuses it if the budget has no
	// room.
	RepeatLimited Repeat = "true"
	// RepeatGranted marks a repeated attempt that the guard of the previous attempt has
	// already counted.
	RepeatGranted Repeat = "granted"
	// RepeatCall marks the first attempt of a request that counts as sent by a backend
	// server while it handles a repeat. The attempt counts as a repeat. It may also draw on a
	// reserve of the budget, because the work that sent it has begun.
	RepeatCall Repeat = "call"
	// RepeatHedge marks the second of two parallel attempts of an unanswered request. The guard that
	// receives it counts it against the budget and against the limit of hedges, or refuses it. It also
	// refuses it unless the backend server can start it at once.
	RepeatHedge Repeat = "hedge"
)

// IsCall reports whether the attempt is the first one of a request that a backend server may have sent
// while it handles another one. HeaderCall marks its further attempts too.
func (r Repeat) IsCall() bool { return r == RepeatFirstCall || r == RepeatCall }

// Outcome is what a caller may conclude from a reply.
type Outcome string

// The complete set of outcomes.
const (
	// OutcomeAnswer marks the backend server's whole response.
	OutcomeAnswer Outcome = "answer"
	// OutcomeNotRun marks a request that was not run and is safe to send again.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown marks a request that may have been run.
	OutcomeUnknown Outcome = "unknown"
)

// HealthSuspect is the value of HeaderHealth when the guard suspects the backend server to
// be failing and refuses attempts for it, except re-tests and attempts with HeaderForce.
const HealthSuspect = "suspect"

// Reason says why a request was not run, or why it is unknown whether it was.
type Reason string

// The reasons for the outcomes not-run and unknown.
const (
	ReasonNoCredential Reason = "no-credential"
	ReasonNoRoute      Reason = "no-route"
	ReasonNoPool       Reason = "no-pool"
	ReasonNoBackend    Reason = "no-backend-server"
	ReasonFull         Reason = "full"
	// ReasonDisplaced means that a more urgent request took the place in the queue of a guard.
	ReasonDisplaced Reason = "displaced"
	ReasonSuspect   Reason = "suspect"
	ReasonEjected   Reason = "ejected"
	ReasonLeaving   Reason = "leaving"
	ReasonStopping  Reason = "stopping"
	// ReasonOverLimit means that the limits for all clients of the node leave no room for the request.
	ReasonOverLimit     Reason = "over-limit"
	ReasonTimeout       Reason = "timeout"
	ReasonCancelled     Reason = "cancelled"
	ReasonUnreachable   Reason = "unreachable"
	ReasonBadRequest    Reason = "bad-request"
	ReasonDuplicate     Reason = "duplicate-attempt"
	ReasonAnswerLost    Reason = "answer-lost"
	ReasonRetryBudget   Reason = "retry-budget"
	ReasonBodyTooLarge  Reason = "body-too-large"
	ReasonNotConfigured Reason = "not-configured"
	// ReasonUnconfirmed means that the node has not known for too long whether its configuration is
	// the newest one, so that the key of the request may have been taken away.
	ReasonUnconfirmed    Reason = "configuration-unconfirmed"
	ReasonStaleGuardTime Reason = "stale-guard-time"
	// ReasonDeclined means that the backend server received the request and stated that it
	// did not run it.
	ReasonDeclined Reason = "declined"
	// ReasonFailed means that the backend server ran the request and failed.
	ReasonFailed Reason = "failed"
	// ReasonHedgeLimit means that the limit of hedges had no room for the attempt.
	ReasonHedgeLimit Reason = "hedge-limit"
	// ReasonHedgeLoad means that the backend server could not start a hedge at once.
	ReasonHedgeLoad    Reason = "hedge-load"
	ReasonDuplicateKey Reason = "duplicate-key"
	ReasonKeyReused    Reason = "key-reused"
	ReasonKeyRegister  Reason = "key-register-unavailable"
)

// DropProjectHeaders removes every header that starts with HeaderPrefix from h.
func DropProjectHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(h, name)
		}
	}
}

// hopByHop lists the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Transfer-Encoding", "Upgrade",
}

// DropHopByHop removes the headers that concern one connection only, including those
// that the Connection header names. It keeps the headers in endToEnd, in canonical form,
// also if the Connection header names them: a sender could otherwise remove what its
// receiver relies on.
func DropHopByHop(h http.Header, endToEnd []string) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(endToEnd, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
