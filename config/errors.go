package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// Errors of the package. A returned error matches one of them with errors.Is.
var (
	// ErrInvalidChange says that a change breaks a rule; nothing was written.
	ErrInvalidChange = errors.New("invalid change")
	// ErrConflict says that another change touched the same rows; errors.As gives a *ConflictError.
	ErrConflict = errors.New("conflicting change")
	// ErrChangeIDReused says that the change ID belongs to a different change that is in force.
	ErrChangeIDReused = errors.New("change ID was used by a different change")
	// ErrOutcomeUnknown says that the change may be in force. Commit it again with the same ID to learn.
	ErrOutcomeUnknown = errors.New("outcome of the change is unknown")
	// ErrUnavailable says that the store cannot be used; the change was not made.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge says that a page or a head is over the limit of the store.
	ErrTooLarge = errors.New("too large for the store")
	// ErrCorrupt says that a head or a page does not decode or does not have its hash.
	ErrCorrupt = errors.New("corrupt configuration data")
	// ErrNoVersion says that there is no such version or page.
	ErrNoVersion = errors.New("no such version")
)

// maxNamedRows bounds the message of a conflict over thousands of rows.
const maxNamedRows = 5

// ConflictError describes the change that touched the same rows.
type ConflictError struct {
	Version uint64
	Other   ChangeInfo
	// Rows are the rows that both changes touch, as the other change left them.
	Rows Diff
}

func (e *ConflictError) Error() string {
	var keys []string
	for _, r := range e.Rows[:min(len(e.Rows), maxNamedRows)] {
		keys = append(keys, string(r.Table)+" "+r.Key)
	}
	return fmt.Sprintf("change %s by %s (%q, version %d) touched %d of the same rows: %s",
		e.Other.ID, e.Other.Operator, e.Other.Note, e.Version, len(e.Rows), strings.Join(keys, ", "))
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// storeError translates an error of the store for a call on a key.
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

// mark adds an error of this package to err, for errors.Is of the standard library too,
// which does not see the marks of cockroachdb/errors.
func mark(err, target error) error { return fmt.Errorf("%w: %w", target, err) }
