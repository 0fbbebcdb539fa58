package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/hop"
)

// RequestInfo is what a caller's headers say of its request.
type RequestInfo struct {
	// Organisation owns the routes that may match; empty where routes have no owner.
	Organisation string
	// RequestID names the request in logs; it may be empty.
	RequestID string
	// Timeout is the time that the caller waits; 0 means the route's timeout.
	Timeout time.Duration
	// HeaderBytes and BodyBytes bound the request below the settings of the entry; 0 does not.
	HeaderBytes, BodyBytes int64
}

// Protocol is the interface between callers and the entry.
type Protocol interface {
	// ParseRequest reads the caller's headers. It removes those that must not go on.
	ParseRequest(r *http.Request, s *config.Snapshot) (RequestInfo, *ErrorReply)
	// WriteError writes a reply of the entry itself.
	WriteError(w http.ResponseWriter, f *ErrorReply)
	// AnnotateAnswer marks the headers of a backend server's answer for the caller.
	AnnotateAnswer(h http.Header)
}

// ErrorReply is a reply of the entry itself.
type ErrorReply struct {
	Status  int
	Outcome hop.Outcome
	Reason  hop.Reason
	Detail  string
	// RetryAfter is when the caller may come back after work that was not run.
	RetryAfter time.Duration
	// final is set when another attempt would be refused for the same reason.
	final bool
	// answer is the failure of a backend server that no further attempt replaced.
	answer *answer
	// unanswered is set when the guard did not reply.
	unanswered bool
	// granted is set when the guard has counted the next attempt as a repeat.
	granted bool
}

const (
	// defaultRetryAfter is stated where nothing is known of when the work can be done.
	defaultRetryAfter = time.Second
	// roomRetryAfter is stated, on average, when backend servers had no room: their work
	// takes less, and later callers would find their deadline near.
	roomRetryAfter = 400 * time.Millisecond
)

// spread returns a time from half to one and a half of d, so that callers who were
// refused together do not come back together.
func spread(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// NotRun returns a refusal of work that did not run.
func NotRun(status int, reason hop.Reason, detail string) *ErrorReply {
	after := defaultRetryAfter
	if reason == hop.ReasonFull || reason == hop.ReasonDeclined || reason == hop.ReasonRetryBudget {
		after = spread(roomRetryAfter)
	}
	return &ErrorReply{Status: status, Outcome: hop.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

// Unknown returns a reply about work that may have run.
func Unknown(reason hop.Reason, detail string) *ErrorReply {
	status := http.StatusBadGateway
	if reason == hop.ReasonTimeout {
		status = http.StatusGatewayTimeout
	}
	return &ErrorReply{Status: status, Outcome: hop.OutcomeUnknown, Reason: reason, Detail: detail}
}

// succeeded reports whether the caller has its reply (nil), or an answer for it is held.
func (f *ErrorReply) succeeded() bool { return f == nil || f.final && f.answer != nil }

// arrived reports whether the attempt may have reached its backend server.
func (f *ErrorReply) arrived() bool {
	return f.Outcome != hop.OutcomeNotRun || f.Reason == hop.ReasonDeclined
}

// withoutReply notes that the guard did not reply.
func (f *ErrorReply) withoutReply() *ErrorReply {
	if f != nil {
		f.unanswered = true
	}
	return f
}

// ended returns the refusal as one that no further attempt follows.
func (f *ErrorReply) ended() *ErrorReply {
	f.final = true
	return f
}
