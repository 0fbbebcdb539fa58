package entry

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/hop"
)

// maxReplayable is the size up to which a body is kept, so that the request can
// go to another backend server.
const maxReplayable = 64 << 10

// body is the body of a caller's request.
type body struct {
	prefix []byte
	// rest is nil when prefix is the whole body.
	rest *stallReader
}

// readBody reads the first part of the body. A body above limit is refused; 0 means no limit.
func readBody(w http.ResponseWriter, r *http.Request, stall time.Duration, limit int64) (*body, *ErrorReply) {
	if r.ContentLength == 0 {
		return &body{}, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	rest := &stallReader{reader: r.Body, controller: http.NewResponseController(w), timeout: stall}
	var prefix bytes.Buffer
	n, err := io.Copy(&prefix, io.LimitReader(rest, maxReplayable+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, NotRun(http.StatusRequestTimeout, hop.ReasonTimeout, "the request body made no progress")
	}
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, bodyTooLarge()
	}
	if err != nil {
		return nil, NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "the request body is malformed or broke off")
	}
	if n <= maxReplayable {
		rest.controller.SetReadDeadline(time.Time{})
		return &body{prefix: prefix.Bytes()}, nil
	}
	rest.used.Store(false)
	return &body{prefix: prefix.Bytes(), rest: rest}, nil
}

func bodyTooLarge() *ErrorReply {
	return NotRun(http.StatusRequestEntityTooLarge, hop.ReasonBodyTooLarge, "the request body is too large")
}

// reader returns the whole body.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	return io.MultiReader(bytes.NewReader(b.prefix), b.rest)
}

// replayable reports whether reader can be called again.
func (b *body) replayable() bool { return b.rest == nil || !b.rest.used.Load() }

// length is the known length of the body of r.
func (b *body) length(r *http.Request) int64 { return max(r.ContentLength, int64(len(b.prefix))) }

// read is the length of the body that was read from the caller.
func (b *body) read() int64 {
	if b.rest == nil {
		return int64(len(b.prefix))
	}
	return b.rest.n.Load()
}

// stalled reports whether the body stopped making progress.
func (b *body) stalled() bool { return b.rest != nil && b.rest.stalled.Load() }

// stallReader fails with os.ErrDeadlineExceeded when a Read takes longer than timeout.
type stallReader struct {
	reader     io.Reader
	controller *http.ResponseController
	timeout    time.Duration
	n          atomic.Int64
	used       atomic.Bool
	stalled    atomic.Bool
}

func (s *stallReader) Read(p []byte) (int, error) {
	s.used.Store(true)
	s.controller.SetReadDeadline(time.Now().Add(s.timeout))
	n, err := s.reader.Read(p)
	s.n.Add(int64(n))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.stalled.Store(true)
	}
	if err == io.EOF {
		s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
