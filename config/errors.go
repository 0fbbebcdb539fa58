package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// Errors of the package. A returned error matches one of them with errors.Is.
var (
	// ErrInvalidChange says that a change breaks a validation rule; nothing was written.
	ErrInvalidChange = errors.New("invalid change")
	// ErrConflict says that another change modified the same rows; errors.As gives a *ConflictError.
	ErrConflict = errors.New("conflicting change")
	// ErrChangeIDReused says that the change ID belongs to a different change that is in force.
	ErrChangeIDReused = errors.New("change ID was used by a different change")
	// ErrOutcomeUnknown says that the change may or may not be in force.
	// Committing it again under the same ID settles the outcome.
	ErrOutcomeUnknown = errors.New("outcome of the change is unknown")
	// ErrUnavailable says that the store cannot be used; the change was not made.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge says that an encoded page or head exceeds the largest value that the store accepts.
	ErrTooLarge = errors.New("too large for the store")
	// ErrCorrupt says that a head or a page cannot be decoded, breaks a rule of its format or does
	// not match its hash.
	ErrCorrupt = errors.New("corrupt configuration data")
	// ErrNoVersion says that the store does not hold the version or page.
	ErrNoVersion = errors.New("no such version or page")
)

// maxNamedRows bounds the rows that the message of a ConflictError names, because a conflict can
// cover thousands.
const maxNamedRows = 5

// ConflictError describes the latest change that modified the same rows.
type ConflictError struct {
	// Version is the version that the other change made.
	Version uint64
	Other   ChangeInfo
	// Rows lists what the other change did to the rows that both changes modify.
	Rows Diff
}

func (e *ConflictError) Error() string {
	var keys []string
	for _, r := range e.Rows[:min(len(e.Rows), maxNamedRows)] {
		keys = append(keys, string(r.Table)+" "+r.Key)
	}
	return fmt.Sprintf("change %s by %s (%q, version %d) modified %d of the same rows: %s",
		e.Other.ID, e.Other.Operator, e.Other.Note, e.Version, len(e.Rows), strings.Join(keys, ", "))
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// storeError converts an error that the store returned for a key to an error of this package.
func storeError(err error, key string) error {
	target := ErrUnavailable
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		target = ErrNoVersion
	case errors.Is(err, objectstore.ErrTooLarge):
		target = ErrTooLarge
	}
	return mark(errors.Wrap(err, key), target)
}

// mark makes err match target, an error of this package. It does not use errors.Mark of
// cockroachdb/errors, because errors.Is of the standard library does not see those marks.
func mark(err, target error) error { return fmt.Errorf("%w: %w", target, err) }
