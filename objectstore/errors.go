package objectstore

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors of the calls. A returned error matches one of them with errors.Is.
var (
	// ErrConflict says that the condition of a write did not hold; nothing was written.
	ErrConflict = errors.New("object store: condition does not hold")
	// ErrNotFound says that there is no object of the key.
	ErrNotFound = errors.New("object store: no such object")
	// ErrUnavailable says that the store cannot be reached; a write had no effect.
	ErrUnavailable = errors.New("object store: unavailable")
	// ErrTooLarge says that a value is over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("object store: value too large")
	// ErrRateLimited says that the store refused the call over its rate limit; nothing was written.
	ErrRateLimited = errors.New("object store: rate limit exceeded")
	// ErrUncertain says that the answer of a write was lost; the write may take effect, even later.
	ErrUncertain = errors.New("object store: answer of a write lost")
	// ErrProtocol says that the store answered in a way that the protocol does not have.
	ErrProtocol = errors.New("object store: unexpected answer")
)

// transportError translates a failure to get an answer.
// Only a failed dial proves that a write was never sent.
func transportError(method string, err error) error {
	if method == http.MethodGet || dialFailed(err) {
		return mark(err, ErrUnavailable)
	}
	return mark(err, ErrUncertain)
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError translates a status other than success.
// A gateway error does not say whether the store received a write.
func statusError(method string, status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	if status >= http.StatusInternalServerError {
		return transportError(method, errors.Newf("status %d", status))
	}
	return errors.Wrapf(ErrProtocol, "%s answered with status %d", method, status)
}

// doneBeforeCall returns ErrUnavailable when the context ended before anything was sent.
func doneBeforeCall(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return mark(err, ErrUnavailable)
	}
	return nil
}

// mark adds an error of this package to err, for errors.Is of the standard library too,
// which does not see the marks of cockroachdb/errors.
func mark(err, target error) error { return fmt.Errorf("%w: %w", target, err) }
