// Package hop defines the headers between entry and guard and the outcomes that callers see.
package hop

import (
	"net/http"
	"strings"
)

// HeaderPrefix starts every header of the project. Headers with this prefix
// that come from callers or backend servers are dropped.
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
	// HeaderRetest marks work with which a suspected backend server may be tested.
	HeaderRetest = "Jackdawlane-Retest"
	// HeaderRepeat holds a Repeat.
	HeaderRepeat         = "Jackdawlane-Repeat"
	HeaderIdempotencyKey = "Jackdawlane-Idempotency-Key"
	// HeaderCancel marks a request that only cancels the attempt it names, because its caller has gone.
	HeaderCancel = "Jackdawlane-Cancel"
)

// Reply headers. Outcome and Reason also reach the caller.
const (
	HeaderOutcome   = "Jackdawlane-Outcome"
	HeaderReason    = "Jackdawlane-Reason"
	HeaderGuardTime = "Jackdawlane-Guard-Time"
	HeaderLoad      = "Jackdawlane-Load"
	HeaderHealth    = "Jackdawlane-Health"
	// HeaderFailing is the probability that the backend server is failing, in thousandths.
	HeaderFailing = "Jackdawlane-Failing"
	// HeaderGrant is "true" when the guard has counted the next attempt of the request
	// against its own part of the budget of repeats.
	HeaderGrant = "Jackdawlane-Grant"
)

// StatusAcknowledged is the informational status with which a guard acknowledges an
// attempt without a body. One with a body is acknowledged by asking for the body.
const StatusAcknowledged = http.StatusProcessing

// Repeat says how an attempt counts against the budget of repeats.
type Repeat string

const (
	// RepeatNone marks the first attempt of a request.
	RepeatNone Repeat = ""
	// RepeatLimited marks an attempt of a request that may have reached a backend server
	// before. The guard that receives it counts it, and refuses it without room.
	RepeatLimited Repeat = "true"
	// RepeatGranted marks one that the guard of the attempt before has counted.
	RepeatGranted Repeat = "granted"
	// RepeatCall marks the first attempt of a call that repeated work makes. It counts as
	// a repeat, and is not refused for that.
	RepeatCall Repeat = "call"
)

// Outcome is what a caller may conclude from a reply.
type Outcome string

// The outcomes. There are no others.
const (
	// OutcomeAnswer marks the backend server's whole response.
	OutcomeAnswer Outcome = "answer"
	// OutcomeNotRun marks work that did not run and is safe to send again.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown marks work that may have run.
	OutcomeUnknown Outcome = "unknown"
)

// HealthSuspect is the health of a backend server whose guard steers work away from it.
const HealthSuspect = "suspect"

// Reason says why work did not run or is unknown.
type Reason string

// Reasons of the outcomes not-run and unknown.
const (
	ReasonNoCredential   Reason = "no-credential"
	ReasonNoRoute        Reason = "no-route"
	ReasonNoPool         Reason = "no-pool"
	ReasonNoBackend      Reason = "no-backend-server"
	ReasonFull           Reason = "full"
	ReasonSuspect        Reason = "suspect"
	ReasonEjected        Reason = "ejected"
	ReasonLeaving        Reason = "leaving"
	ReasonStopping       Reason = "stopping"
	ReasonTimeout        Reason = "timeout"
	ReasonCancelled      Reason = "cancelled"
	ReasonUnreachable    Reason = "unreachable"
	ReasonBadRequest     Reason = "bad-request"
	ReasonDuplicate      Reason = "duplicate-attempt"
	ReasonAnswerLost     Reason = "answer-lost"
	ReasonRetryBudget    Reason = "retry-budget"
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonNotConfigured  Reason = "not-configured"
	ReasonStaleGuardTime Reason = "stale-guard-time"
	// ReasonDeclined: the backend server received the work and stated that it did not run it.
	ReasonDeclined Reason = "declined"
	// ReasonFailed: the backend server ran the work and failed.
	ReasonFailed       Reason = "failed"
	ReasonDuplicateKey Reason = "duplicate-key"
	ReasonKeyReused    Reason = "key-reused"
	ReasonKeyRegister  Reason = "key-register-unavailable"
)

// DropProjectHeaders removes every header of the project from h.
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

// DropHopByHop removes the headers that concern one connection only,
// including those that Connection names.
func DropHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
