package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/hop"
)

// maxReplayableBytes is the size up to which a body is kept in memory, so that the request can
// be sent to another backend server.
const maxReplayableBytes = 64 << 10

// body is the body of a caller's request.
type body struct {
	prefix []byte
	// rest is nil when prefix is the whole body.
	rest *stallReader
}

// bodyLimits bounds the body of a request.
type bodyLimits struct {
	// stall is the longest time without progress, and deadline the time at which the first part must have
	// been read: from then on the request cannot be served.
	stall    time.Duration
	deadline time.Time
	// bytes is the largest size; 0 means no limit.
	bytes int64
}

// readBody reads the first part of the body, which is all of it up to maxReplayableBytes. It stops
// reading when a planned stop ends all waits.
func readBody(w http.ResponseWriter, r *http.Request, limits bodyLimits, stop *stop) (*body, *ErrorReply) {
	if r.ContentLength == 0 {
		return &body{}, nil
	}
	if limits.bytes > 0 && r.ContentLength > limits.bytes {
		return nil, bodyTooLarge()
	}
	if limits.bytes > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limits.bytes)
	}
	rest := &stallReader{reader: r.Body, controller: http.NewResponseController(w), timeout: limits.stall, deadline: limits.deadline, stop: stop}
	unregister := context.AfterFunc(stop.waits, rest.interrupt)
	defer unregister()
	var prefix bytes.Buffer
	n, err := io.Copy(&prefix, io.LimitReader(rest, maxReplayableBytes+1))
	if errors.Is(err, os.ErrDeadlineExceeded) && stop.waitsEnded() {
		return nil, stopping()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, NotRun(http.StatusRequestTimeout, hop.ReasonTimeout, "the request body made no progress or came too late")
	}
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, bodyTooLarge()
	}
	if err != nil {
		return nil, NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "the request body is malformed or broke off")
	}
	unregister()
	if n <= maxReplayableBytes {
		rest.controller.SetReadDeadline(time.Time{})
		return &body{prefix: prefix.Bytes()}, nil
	}
	rest.consumed.Store(false)
	rest.stop, rest.deadline = nil, time.Time{}
	return &body{prefix: prefix.Bytes(), rest: rest}, nil
}

func bodyTooLarge() *ErrorReply {
	return NotRun(http.StatusRequestEntityTooLarge, hop.ReasonBodyTooLarge, "the request body is too large")
}

// reader returns a reader of the whole body.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	return io.MultiReader(bytes.NewReader(b.prefix), b.rest)
}

// replayable reports whether the body can be sent again from its start.
func (b *body) replayable() bool { return b.rest == nil || !b.rest.consumed.Load() }

// length returns the length of the body of r as far as it is known.
func (b *body) length(r *http.Request) int64 { return max(r.ContentLength, int64(len(b.prefix))) }

// bytesRead returns how many bytes of the body were read from the caller.
func (b *body) bytesRead() int64 {
	if b.rest == nil {
		return int64(len(b.prefix))
	}
	return b.rest.bytesRead.Load()
}

// stalled reports whether the caller stopped sending the body for longer than the stall
// timeout.
func (b *body) stalled() bool { return b.rest != nil && b.rest.stalled.Load() }

// stallReader reads from reader and fails with os.ErrDeadlineExceeded when one Read takes
// longer than timeout.
type stallReader struct {
	reader     io.Reader
	controller *http.ResponseController
	timeout    time.Duration
	// deadline ends the reads before the body is sent on; zero from then on, when the attempt's own deadline
	// does.
	deadline  time.Time
	bytesRead atomic.Int64
	consumed  atomic.Bool
	stalled   atomic.Bool
	// stop ends the reads together with all waits. It is nil once the body is sent on as it arrives.
	stop *stop
}

// interrupt ends a Read in progress.
func (s *stallReader) interrupt() { s.controller.SetReadDeadline(time.Unix(1, 0)) }

func (s *stallReader) Read(p []byte) (int, error) {
	s.consumed.Store(true)
	limit := time.Now().Add(s.timeout)
	if !s.deadline.IsZero() && s.deadline.Before(limit) {
		limit = s.deadline
	}
	s.controller.SetReadDeadline(limit)
	if s.stop != nil && s.stop.waitsEnded() {
		s.interrupt()
	}
	n, err := s.reader.Read(p)
	s.bytesRead.Add(int64(n))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.stalled.Store(true)
	}
	if err == io.EOF {
		s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
