package guard

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/hop"
)

// ErrBadHop marks a hop request with a missing or malformed header.
var ErrBadHop = errors.New("malformed hop request")

const (
	maxAttemptIDBytes = 64
	maxTimeoutMS      = int64(time.Hour / time.Millisecond)
)

// job is an attempt as the hop headers describe it.
type job struct {
	Work
	id      string
	service string
	sent    time.Time
	force   bool
}

func parseJob(h http.Header, now time.Time) (job, error) {
	j := job{
		Work: Work{
			BackendID:    h.Get(hop.HeaderBackendServer),
			Organisation: h.Get(hop.HeaderOrganisation),
			Route:        h.Get(hop.HeaderRoute),
			Idempotent:   h.Get(hop.HeaderIdempotent) == "true",
		},
		id:      h.Get(hop.HeaderAttempt),
		service: h.Get(hop.HeaderService),
		force:   h.Get(hop.HeaderForce) == "true",
	}
	if j.id == "" || len(j.id) > maxAttemptIDBytes {
		return j, errors.Wrap(ErrBadHop, hop.HeaderAttempt)
	}
	timeout, err := strconv.ParseInt(h.Get(hop.HeaderTimeoutMS), 10, 64)
	if err != nil || timeout <= 0 || timeout > maxTimeoutMS {
		return j, errors.Wrap(ErrBadHop, hop.HeaderTimeoutMS)
	}
	sent, err := strconv.ParseInt(h.Get(hop.HeaderSentMS), 10, 64)
	if err != nil {
		return j, errors.Wrap(ErrBadHop, hop.HeaderSentMS)
	}
	j.Deadline = now.Add(time.Duration(timeout) * time.Millisecond)
	j.sent = time.UnixMilli(sent)
	return j, nil
}

// reasonOf says why ctx ended.
func reasonOf(ctx context.Context) hop.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hop.ReasonTimeout
	}
	return hop.ReasonCancelled
}
