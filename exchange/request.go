package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

// Body is a request body that cannot be rewound, so that an HTTP client never resends the
// request. After a failure on a reused connection, http.Transport may resend a request
// whose body is nil, is http.NoBody or has GetBody.
type Body struct {
	mu     sync.Mutex
	reader io.Reader
	atEOF  func()
	closed bool
	ended  atomic.Bool
	// endedAt is the time at which the reader reached its end; nil before that.
	endedAt    atomic.Pointer[time.Time]
	readFailed atomic.Bool
	// started is set by the first Read.
	started atomic.Bool
	// inMemory is set when the reader does not read from a connection, also because the body is empty.
	inMemory bool
}

// Read implements io.Reader. After Close it returns http.ErrBodyReadAfterClose.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	b.started.Store(true)
	n, err := b.reader.Read(p)
	switch {
	case err == io.EOF:
		b.ended.Store(true)
		now := time.Now()
		b.endedAt.Store(&now)
		b.atEOF()
	case err != nil:
		b.readFailed.Store(true)
	}
	return n, err
}

// EndedAt returns the time at which the body was read to its end. It returns false
// before that.
func (b *Body) EndedAt() (time.Time, bool) {
	at := b.endedAt.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// ReadFailed reports whether a Read of the body failed. Such a failure is not the fault of
// the receiver of the request.
func (b *Body) ReadFailed() bool { return b.readFailed.Load() }

// Close waits for a Read in progress; no Read touches the reader afterwards.
func (b *Body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// Interrupt ends a Read in progress of a body that comes from the connection of w and
// has not been read to its end. It does nothing for a body in memory, which needs no
// interruption, because the connection of w must stay usable for another attempt. net/http
// cancels the contexts of all later requests on a connection after a failed read.
func (b *Body) Interrupt(w http.ResponseWriter) {
	if !b.inMemory && !b.ended.Load() {
		http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	}
}

// InMemory reports whether the body does not come from a connection.
func (b *Body) InMemory() bool { return b.inMemory }

// NewRequest returns a copy of in for address, with the given body and the same target. It drops the
// headers that apply to a single connection, but keeps those in endToEnd. in must have a Target, and
// body must be as long as the body of in.
func NewRequest(ctx context.Context, in *http.Request, address string, body io.Reader, endToEnd []string) (*http.Request, *Body) {
	out := in.Clone(ctx)
	target, _ := Target(in)
	out.RequestURI = ""
	out.URL = targetURL(target)
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.Close = false
	out.TransferEncoding = nil
	out.GetBody = nil
	out.Trailer = forwardedTrailerNames(in.Trailer, endToEnd)
	_, inMemory := body.(*bytes.Reader)
	wrapped := &Body{reader: body, inMemory: inMemory || in.ContentLength == 0, atEOF: func() { copyValues(out.Trailer, in.Trailer) }}
	out.Body = wrapped
	if in.ContentLength == 0 {
		// Without this a POST with an empty body would be sent chunked.
		out.TransferEncoding = []string{"identity"}
	}
	removeConnectionHeaders(out.Header, endToEnd)
	return out, wrapped
}

func removeConnectionHeaders(h http.Header, endToEnd []string) {
	hop.DropHopByHop(h, endToEnd)
	// The HTTP server that received the request has answered the expectation.
	h.Del("Expect")
	if _, ok := h["User-Agent"]; !ok {
		// Keeps http.Transport from adding its own User-Agent.
		h["User-Agent"] = nil
	}
}

func trailerNames(trailer http.Header) http.Header {
	if len(trailer) == 0 {
		return nil
	}
	names := make(http.Header, len(trailer))
	for name := range trailer {
		names[name] = nil
	}
	return names
}

// forwardedTrailerNames leaves out the names of headers that the system sets or relies on.
func forwardedTrailerNames(trailer http.Header, endToEnd []string) http.Header {
	names := trailerNames(trailer)
	hop.DropProjectHeaders(names)
	for _, name := range endToEnd {
		delete(names, name)
	}
	return names
}

func copyValues(to, from http.Header) {
	for name := range to {
		to[name] = from[name]
	}
}
