package guard

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/route"
)

// ErrBadHop marks a hop request with a missing or malformed header.
var ErrBadHop = errors.New("malformed hop request")

const maxTimeoutMS = int64(route.MaxTimeout / time.Millisecond)

// job is an attempt as the hop headers describe it.
type job struct {
	Work
	id      string
	service string
	sent    time.Time
	force   bool
	// retest is set when the work was admitted to a suspected or ejected backend server.
	retest bool
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
	var ok bool
	if j.sent, ok = hop.AttemptSent(j.id); !ok {
		return j, errors.Wrap(ErrBadHop, hop.HeaderAttempt)
	}
	timeout, err := strconv.ParseInt(h.Get(hop.HeaderTimeoutMS), 10, 64)
	if err != nil || timeout <= 0 || timeout > maxTimeoutMS {
		return j, errors.Wrap(ErrBadHop, hop.HeaderTimeoutMS)
	}
	j.Deadline = now.Add(time.Duration(timeout) * time.Millisecond)
	return j, nil
}

// reasonOf says why ctx ended.
func reasonOf(ctx context.Context) hop.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hop.ReasonTimeout
	}
	return hop.ReasonCancelled
}
