package objectstore

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors that the methods of Client return. A returned error matches one of them with errors.Is.
var (
	// ErrConflict means that the condition of a write did not hold; nothing was written.
	ErrConflict = errors.New("object store: condition of the write does not hold")
	// ErrNotFound means that there is no object with the key.
	ErrNotFound = errors.New("object store: object does not exist")
	// ErrUnavailable means that the store cannot be reached; a write had no effect.
	ErrUnavailable = errors.New("object store: unavailable")
	// ErrTooLarge means that a value has more than MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("object store: value is too large")
	// ErrRateLimited means that the store refused the call because its rate limit was
	// exceeded; nothing was written.
	ErrRateLimited = errors.New("object store: rate limit exceeded")
	// ErrUncertain means that the response to a write was lost or is not usable; the write
	// may have taken effect, or may still do so later.
	ErrUncertain = errors.New("object store: the effect of a write is unknown")
	// ErrProtocol means that the store sent a response that the protocol does not allow.
	ErrProtocol = errors.New("object store: response does not follow the protocol")
)

// transportError returns the error of a call that got no complete response.
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

// statusError returns the error for a response status other than success.
// A gateway error does not show whether the store received a write.
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
	return errors.Wrapf(ErrProtocol, "%s request was answered with status %d", method, status)
}

// contextError returns ErrUnavailable if the context ended before anything was sent.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return mark(err, ErrUnavailable)
	}
	return nil
}

// mark adds target, an error of this package, to err. The result also matches target with
// errors.Is of the standard library, which ignores the marks of cockroachdb/errors.
func mark(err, target error) error { return fmt.Errorf("%w: %w", target, err) }
