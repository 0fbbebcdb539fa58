package guard

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/route"
)

// ErrBadHopHeader marks an attempt with a missing or malformed hop header.
var ErrBadHopHeader = errors.New("missing or malformed hop header")

const maxTimeoutMS = int64(route.MaxTimeout / time.Millisecond)

// attemptRequest holds the hop headers of an attempt in parsed form.
type attemptRequest struct {
	id string
	// requestID identifies the request in logs.
	requestID    string
	backendID    string
	service      string
	organisation string
	route        string
	idempotent   bool
	force        bool
	// mayRetest is set when the attempt may be used to re-test a suspected backend server.
	mayRetest bool
	priority  admission.Priority
	// call is set when a backend server may have sent the request while it handled another one.
	call bool
	// repeat states how the attempt counts against the repeat budget.
	repeat hop.Repeat
	// guardTime is the reading of the guard's clock in the attempt ID.
	guardTime hop.GuardTime
	deadline  time.Time
	// maxWait is how long the attempt may wait for a free slot; 0 leaves that to the queue.
	maxWait time.Duration
	// again is the value of hop.HeaderAgainMS in the reply; 0 means that none is known.
	again time.Duration
	// retest is set when the attempt was admitted as a re-test of a suspected or ejected
	// backend server.
	retest bool
}

func parseAttemptRequest(h http.Header, now time.Time) (attemptRequest, error) {
	req := attemptRequest{
		id:           h.Get(hop.HeaderAttempt),
		backendID:    h.Get(hop.HeaderBackendServer),
		service:      h.Get(hop.HeaderService),
		organisation: h.Get(hop.HeaderOrganisation),
		route:        h.Get(hop.HeaderRoute),
		idempotent:   h.Get(hop.HeaderIdempotent) == "true",
		force:        h.Get(hop.HeaderForce) == "true",
		repeat:       hop.Repeat(h.Get(hop.HeaderRepeat)),
		mayRetest:    h.Get(hop.HeaderRetest) == "true",
	}
	// Entries of a version without HeaderCall mark only the first attempt of a call.
	req.call = h.Get(hop.HeaderCall) == "true" || req.repeat.IsCall()
	var ok bool
	if req.guardTime, ok = hop.AttemptGuardTime(req.id); !ok {
		return req, errors.Wrap(ErrBadHopHeader, hop.HeaderAttempt)
	}
	timeout, err := strconv.ParseInt(h.Get(hop.HeaderTimeoutMS), 10, 64)
	if err != nil || timeout <= 0 || timeout > maxTimeoutMS {
		return req, errors.Wrap(ErrBadHopHeader, hop.HeaderTimeoutMS)
	}
	req.deadline = now.Add(time.Duration(timeout) * time.Millisecond)
	if text := h.Get(hop.HeaderWaitMS); text != "" {
		wait, err := strconv.ParseInt(text, 10, 64)
		if err != nil || wait < 0 || wait > maxTimeoutMS {
			return req, errors.Wrap(ErrBadHopHeader, hop.HeaderWaitMS)
		}
		req.maxWait = time.Duration(wait) * time.Millisecond
	}
	if req.priority, err = admission.ParsePriority(h.Get(hop.HeaderPriority)); err != nil {
		return req, errors.Wrap(ErrBadHopHeader, hop.HeaderPriority)
	}
	return req, nil
}

// errStopping is the cause of a context that ended because the guard stops.
var errStopping = errors.New("the guard is stopping")

// reasonOf returns the reason for which ctx ended.
func reasonOf(ctx context.Context) hop.Reason {
	if errors.Is(context.Cause(ctx), errStopping) {
		return hop.ReasonStopping
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hop.ReasonTimeout
	}
	return hop.ReasonCancelled
}
