package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/organisation"
)

// RequestInfo is what a caller's headers state about its request.
type RequestInfo struct {
	// Organisation owns the routes that may match; empty where routes have no owner.
	Organisation string
	// Caller is the organisation that sent the request; its name is empty where none is known.
	Caller organisation.Organisation
	// Unauthenticated is the reply to the request if its route requires a known caller and there is
	// none; nil otherwise.
	Unauthenticated *ErrorReply
	// RequestID names the request in logs; it may be empty.
	RequestID string
	// Timeout is how long the caller waits for its reply; 0 means the route's timeout.
	Timeout time.Duration
	// HeaderBytes and BodyBytes limit the size of the request further than the settings of the
	// entry do; 0 sets no further limit.
	HeaderBytes, BodyBytes int64
}

// Protocol is the interface between callers and the entry.
type Protocol interface {
	// ParseRequest reads the caller's headers and removes those that must not be forwarded.
	ParseRequest(r *http.Request, s *config.Snapshot) (RequestInfo, *ErrorReply)
	// RequestInfo returns what ParseRequest returns for a request without further headers that the
	// organisation has sent; an organisation without a name stands for a request without a credential.
	RequestInfo(o organisation.Organisation, s *config.Snapshot) (RequestInfo, *ErrorReply)
	// WriteError writes a reply that the entry itself gives.
	WriteError(w http.ResponseWriter, f *ErrorReply)
	// EndToEndHeaders returns the names, in canonical form, of the headers of requests and answers
	// that pass the entry whatever their Connection headers say.
	EndToEndHeaders() []string
	// AnnotateAnswer sets the headers that mark a backend server's answer for the caller.
	AnnotateAnswer(h http.Header)
}

// ErrorReply is a reply that the entry gives itself, for a request that did not run or whose
// outcome is unknown. It also carries a buffered answer from an attempt to
// requestState.
type ErrorReply struct {
	Status  int
	Outcome hop.Outcome
	Reason  hop.Reason
	Detail  string
	// RetryAfter is the time after which the caller may retry a request that did not run.
	RetryAfter time.Duration
	// final is set when no further attempt must follow, because it would end in the same way or
	// because the buffered answer is to be delivered.
	final bool
	// buffered is the buffered answer of a backend server, or nil. Unless final is set it is a
	// failure, which is delivered only if no further attempt replaces it.
	buffered *bufferedAnswer
	// unanswered is set when the guard did not reply to the attempt.
	unanswered bool
	// nextGranted is set when the guard has already counted the next attempt as a repeat.
	nextGranted bool
}

const (
	// defaultRetryAfter is the RetryAfter of a reply when the time until the request can be served
	// is not known.
	defaultRetryAfter = time.Second
	// capacityRetryAfter is the mean RetryAfter of the replies sent because no backend server had
	// capacity. The requests that occupy the backend servers take less time than this, and callers
	// that retried later would be close to their deadlines.
	capacityRetryAfter = 400 * time.Millisecond
)

// jitter returns a random duration between 0.5 d and 1.5 d, so that callers that were refused
// at the same time do not all retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// NotRun returns the reply for a request that did not run.
func NotRun(status int, reason hop.Reason, detail string) *ErrorReply {
	after := defaultRetryAfter
	if reason == hop.ReasonFull || reason == hop.ReasonDisplaced || reason == hop.ReasonDeclined || reason == hop.ReasonRetryBudget {
		after = jitter(capacityRetryAfter)
	}
	return &ErrorReply{Status: status, Outcome: hop.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

// Unknown returns the reply for a request that may have run.
func Unknown(reason hop.Reason, detail string) *ErrorReply {
	status := http.StatusBadGateway
	if reason == hop.ReasonTimeout {
		status = http.StatusGatewayTimeout
	}
	return &ErrorReply{Status: status, Outcome: hop.OutcomeUnknown, Reason: reason, Detail: detail}
}

// succeeded reports whether the caller has its reply (f is nil) or the buffered answer is to
// be delivered to it.
func (f *ErrorReply) succeeded() bool { return f == nil || f.final && f.buffered != nil }

// mayHaveReachedBackend reports whether the attempt may have reached its backend server.
func (f *ErrorReply) mayHaveReachedBackend() bool {
	return f.Outcome != hop.OutcomeNotRun || f.Reason == hop.ReasonDeclined
}

// markUnanswered records that the guard did not reply, and returns f, which may be nil.
func (f *ErrorReply) markUnanswered() *ErrorReply {
	if f != nil {
		f.unanswered = true
	}
	return f
}

// markFinal records that no further attempt must follow, and returns f.
func (f *ErrorReply) markFinal() *ErrorReply {
	f.final = true
	return f
}
