package guard

import (
	"context"
	"io"
	"time"

	"github.com/jackdawlane/jackdawlane/exchange"
)

// backendTime separates the time that a dispatch spends waiting for the backend
// server from the time that it spends waiting for the entry, which sends the request
// and receives the answer. A slow or interrupted path to the entry must not count
// against the backend server.
type backendTime struct {
	start time.Time
	// waited is the time spent waiting for the backend server.
	waited time.Duration
	// answered is set when the complete answer was relayed to the entry.
	answered bool
	// noResponse is set when the time ran out before any response to a run that the health monitor knows of.
	noResponse bool
	// uploadFailed is set when the entry did not deliver the complete request.
	uploadFailed bool
}

// responseArrived records that the response header arrived or that the exchange
// failed. The time until the end of the upload does not count as waiting for the
// backend server.
func (b *backendTime) responseArrived(outBody *exchange.Body) {
	from := b.start
	if endedAt, ok := outBody.EndedAt(); ok {
		from = endedAt
	}
	b.waited = time.Since(from)
	b.uploadFailed = outBody.ReadFailed()
}

// pathMayBeAtFault reports whether the path to the entry may have caused a failure:
// the request did not arrive completely, or the time ran out and most of it was
// spent waiting for the entry to receive the answer.
func (b *backendTime) pathMayBeAtFault(ctx context.Context) bool {
	return b.uploadFailed || ctx.Err() != nil && b.waited < time.Since(b.start)/2
}

// timedBody is a response body that adds the duration of its reads to a backendTime.
type timedBody struct {
	io.ReadCloser
	timing *backendTime
}

// Read implements io.Reader.
func (t *timedBody) Read(p []byte) (int, error) {
	start := time.Now()
	defer func() { t.timing.waited += time.Since(start) }()
	return t.ReadCloser.Read(p)
}
