package guard

import (
	"context"
	"io"
	"time"

	"github.com/jackdawlane/jackdawlane/exchange"
)

// backendTime tells the time that a dispatch waited for the backend server from
// the time that it waited for the entry, which sends the request and takes the
// answer. A slow or cut path must not count against the backend server.
type backendTime struct {
	start time.Time
	// waited is the time spent waiting for the backend server.
	waited time.Duration
	// answered is set when the whole answer was relayed.
	answered bool
	// uploadBroken is set when the entry did not deliver the whole request.
	uploadBroken bool
}

// replied notes that the head of the answer came, or the exchange failed. The
// time until the end of the upload is not the backend server's.
func (b *backendTime) replied(sending *exchange.Body) {
	from := b.start
	if endedAt, ok := sending.EndedAt(); ok {
		from = endedAt
	}
	b.waited = time.Since(from)
	b.uploadBroken = sending.Broken()
}

// pathIsToBlame reports whether a failure may come from the path to the entry:
// the request did not arrive whole, or the time ran out mostly while the answer
// waited for the entry to take it.
func (b *backendTime) pathIsToBlame(ctx context.Context) bool {
	return b.uploadBroken || ctx.Err() != nil && b.waited < time.Since(b.start)/2
}

// timedBody adds the time of its reads to a backendTime.
type timedBody struct {
	io.ReadCloser
	span *backendTime
}

// Read implements io.Reader.
func (t *timedBody) Read(p []byte) (int, error) {
	start := time.Now()
	defer func() { t.span.waited += time.Since(start) }()
	return t.ReadCloser.Read(p)
}
