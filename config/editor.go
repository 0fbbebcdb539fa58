package config

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// Editor commits changes to the store. It is not safe for concurrent use, but several
// editors, such as those of different operators, can work on the same store at the same time.
type Editor struct {
	history *history
	now     func() time.Time
}

// NewEditor returns an editor for a store; now returns the time that is recorded with a change.
func NewEditor(store Store, now func() time.Time) *Editor {
	return &Editor{history: newHistory(store), now: now}
}

// Plan describes the effect that a change would have.
type Plan struct {
	// Base is the version in force; the change would make the version after it.
	Base uint64
	Diff Diff
	// NewPages and NewPageBytes are the number and total size of the pages to write;
	// HeadBytes is the size of the new head.
	NewPages     int
	NewPageBytes int
	HeadBytes    int
}

// Version returns the version in force; 0 when there is none.
func (e *Editor) Version(ctx context.Context) (uint64, error) {
	head, err := e.history.current(ctx)
	return head.Version, err
}

// Commit commits a change and returns the version that it made. A change that is already in
// force under its ID is not made again. The errors are ErrInvalidChange, a *ConflictError,
// ErrChangeIDReused, ErrUnavailable, ErrTooLarge, and ErrOutcomeUnknown when it cannot be determined
// whether a write without an answer took effect, because the context ended first or the history
// that would show it was deleted.
func (e *Editor) Commit(ctx context.Context, c Change) (uint64, error) {
	in, err := c.intent()
	if err != nil {
		return 0, err
	}
	return e.commit(ctx, in)
}

// DryRun returns what Commit would do, or the error that it would return. It writes nothing.
func (e *Editor) DryRun(ctx context.Context, c Change) (Plan, error) {
	in, err := c.intent()
	if err != nil {
		return Plan{}, err
	}
	head, err := e.history.current(ctx)
	if err != nil {
		return Plan{}, err
	}
	d, err := e.draft(ctx, head, in)
	return d.plan(), err
}

// Diff returns the changes from one version to another. Version 0 has no rows.
func (e *Editor) Diff(ctx context.Context, from, to uint64) (Diff, error) {
	current, err := e.history.current(ctx)
	if err != nil {
		return nil, err
	}
	return e.diff(ctx, current, from, to)
}

func (e *Editor) diff(ctx context.Context, current storedHead, from, to uint64) (Diff, error) {
	a, err := e.history.ancestor(ctx, current, from)
	if err != nil {
		return nil, err
	}
	b, err := e.history.ancestor(ctx, current, to)
	if err != nil {
		return nil, err
	}
	e.history.trim()
	return e.history.diff(ctx, a.Head, b.Head)
}

// Revert commits a new change that undoes what a version changed, and returns the new version.
// It returns a *ConflictError when one of the rows was changed again after that version,
// ErrNoVersion when there is no such version, and the other errors of Commit.
func (e *Editor) Revert(ctx context.Context, id, operator string, version uint64) (uint64, error) {
	note := fmt.Sprintf("revert of version %d", version)
	info, err := newChangeInfo(id, operator, note, note)
	if err != nil {
		return 0, err
	}
	current, err := e.history.current(ctx)
	if err != nil {
		return 0, err
	}
	if version == 0 || version > current.Version {
		return 0, errors.Wrapf(ErrNoVersion, "cannot revert version %d; the version in force is %d", version, current.Version)
	}
	d, err := e.diff(ctx, current, version-1, version)
	if err != nil {
		return 0, err
	}
	inverse, err := d.inverse().edit()
	if err != nil {
		return 0, err
	}
	return e.commit(ctx, intent{info: info, base: version, hasBase: true, edit: inverse})
}

// FindChange returns the version that the change with the given ID made; false when there is none.
// It searches the history back to version base; with base 0 only the last 64 changes.
func (e *Editor) FindChange(ctx context.Context, id string, base uint64) (uint64, bool, error) {
	current, err := e.history.current(ctx)
	if err != nil {
		return 0, false, err
	}
	found, ok, err := e.history.findChange(ctx, current, id, base)
	return found.Version, ok, err
}

// commit repeats the conditional write of the head until the change is in force, an error occurs that a
// repetition cannot resolve, or ctx ends.
func (e *Editor) commit(ctx context.Context, in intent) (uint64, error) {
	in.info.Time = e.now().UTC()
	uncertain := false
	for repeat := false; ; repeat = true {
		version, err := e.commitOnce(ctx, &in)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, objectstore.ErrUncertain):
			uncertain = true
		case uncertain && errors.Is(err, ErrUnavailable):
			// The head cannot be read now, so it is not known yet whether the write without an
			// answer took effect.
		case !errors.Is(err, errRetry):
			return 0, markUnresolved(err, uncertain)
		}
		// The first repetition is immediate: the head has changed, or reading it shows whether the
		// write took effect.
		if repeat && !pause(ctx) {
			return 0, contextEndedError(ctx, uncertain, in.info.ID)
		}
	}
}

// errRetry says that the head was not written, because it had changed or the store rejected the write
// because of its rate limit. The commit can be repeated.
var errRetry = errors.New("head was not written")

// markUnresolved adds ErrOutcomeUnknown to an error when a write without an answer may have taken
// effect. It leaves definite errors alone: they come after a look-up that did not find the change in
// a newer head, and once there is a newer head the earlier write can no longer take effect.
func markUnresolved(err error, uncertain bool) error {
	if uncertain && !isDefinite(err) {
		return mark(err, ErrOutcomeUnknown)
	}
	return err
}

func isDefinite(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrInvalidChange) ||
		errors.Is(err, ErrChangeIDReused) || errors.Is(err, ErrTooLarge)
}

func contextEndedError(ctx context.Context, uncertain bool, id string) error {
	if uncertain {
		return mark(errors.Wrapf(ctx.Err(), "stopped before it was known whether change %s took effect", id), ErrOutcomeUnknown)
	}
	return mark(errors.Wrapf(ctx.Err(), "change %s was not made", id), ErrUnavailable)
}

// commitOnce reads the head, looks up whether the change is in force, and otherwise tries once to
// write the next head.
func (e *Editor) commitOnce(ctx context.Context, in *intent) (uint64, error) {
	current, err := e.history.current(ctx)
	if err != nil {
		return 0, err
	}
	found, ok, err := e.history.findChange(ctx, current, in.info.ID, in.base)
	if err != nil {
		return 0, err
	}
	if ok {
		return found.Version, checkSameChange(found, in.info)
	}
	d, err := e.draft(ctx, current, *in)
	if err != nil {
		return 0, err
	}
	in.base, in.hasBase = d.base, true // a repeated commit checks for conflicts from this base
	return d.head.Version, e.write(ctx, current, d)
}

func checkSameChange(found storedHead, info ChangeInfo) error {
	if found.Change.Digest != info.Digest {
		return errors.Wrapf(ErrChangeIDReused, "change ID %s belongs to version %d, made by %s", info.ID, found.Version, found.Change.Operator)
	}
	return nil
}

// write writes the pages, the immutable copy of the head, and last the head itself, which puts the
// version in force.
func (e *Editor) write(ctx context.Context, current storedHead, d draft) error {
	if err := putPages(ctx, e.history.store, d.newPages); err != nil {
		return immutableWriteError(err)
	}
	if err := putImmutable(ctx, e.history.store, headCopyKey(hashOf(d.data)), d.data); err != nil {
		return immutableWriteError(err)
	}
	condition := objectstore.Condition{IfMatch: current.etag, IfNoneMatch: current.Version == 0}
	_, err := e.history.store.Put(ctx, HeadKey, d.data, condition)
	switch {
	case err == nil, errors.Is(err, objectstore.ErrUncertain):
		return err
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrRateLimited):
		return mark(err, errRetry)
	}
	return storeError(err, HeadKey)
}

// immutableWriteError turns an uncertain outcome of writing an immutable object into ErrUnavailable:
// without a head that refers to it, the object has no effect.
func immutableWriteError(err error) error {
	if errors.Is(err, objectstore.ErrUncertain) {
		return errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return err
}
