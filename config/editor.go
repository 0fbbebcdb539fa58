package config

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// Editor commits changes to the store. It is not safe for concurrent use;
// editors of different operators work at the same time.
type Editor struct {
	history *history
	now     func() time.Time
}

// NewEditor returns an editor over a store; now gives the time that is recorded with a change.
func NewEditor(store Store, now func() time.Time) *Editor {
	return &Editor{history: newHistory(store), now: now}
}

// Plan is a change as it would take effect.
type Plan struct {
	// Base is the version in force; the change makes the version after it.
	Base uint64
	Diff Diff
	// NewPages and NewPageBytes are the pages to write, HeadBytes the size of the new head in bytes.
	NewPages     int
	NewPageBytes int
	HeadBytes    int
}

// Version returns the version in force, 0 when there is none.
func (e *Editor) Version(ctx context.Context) (uint64, error) {
	head, err := e.history.current(ctx)
	return head.Version, err
}

// Commit makes a change and returns the version that it made. A change that is in force
// already, under its ID, is not made again. It returns ErrInvalidChange, a *ConflictError,
// ErrChangeIDReused, ErrUnavailable, ErrTooLarge or, when the context ends before a
// lost answer is resolved, ErrOutcomeUnknown.
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

// Diff returns the changes from one version to another. Version 0 is empty.
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

// Revert commits a new change that takes back what a version changed, and returns the new version.
// Rows that were changed since then give a *ConflictError. Errors are those of Commit and ErrNoVersion.
func (e *Editor) Revert(ctx context.Context, id, operator string, version uint64) (uint64, error) {
	note := fmt.Sprintf("revert of version %d", version)
	info, err := newInfo(id, operator, note, note)
	if err != nil {
		return 0, err
	}
	current, err := e.history.current(ctx)
	if err != nil {
		return 0, err
	}
	if version == 0 || version > current.Version {
		return 0, errors.Wrapf(ErrNoVersion, "revert of version %d; the version in force is %d", version, current.Version)
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

// Find returns the version that the change of an ID made after version base; false when there is none.
func (e *Editor) Find(ctx context.Context, id string, base uint64) (uint64, bool, error) {
	current, err := e.history.current(ctx)
	if err != nil {
		return 0, false, err
	}
	found, ok, err := e.history.find(ctx, current, id, base)
	return found.Version, ok, err
}

// commit repeats the conditional update until the change is in force or cannot be.
func (e *Editor) commit(ctx context.Context, in intent) (uint64, error) {
	in.info.Time = e.now().UTC()
	uncertain := false
	for repeat := false; ; repeat = true {
		version, err := e.attempt(ctx, &in)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, objectstore.ErrUncertain):
			uncertain = true
		case uncertain && errors.Is(err, ErrUnavailable):
			// The head cannot be read now, so the lost answer is not resolved yet.
		case !errors.Is(err, errRetry):
			return 0, unresolved(err, uncertain)
		}
		// The first repetition is immediate: the head has changed, or the lost answer can be looked up.
		if repeat && !pause(ctx) {
			return 0, gaveUp(ctx, uncertain, in.info.ID)
		}
	}
}

// errRetry says that the head changed or that the store was over its rate limit.
var errRetry = errors.New("head was not written")

// unresolved marks an error that leaves a lost answer open. The other errors come after
// a look-up that did not find the change in a newer head, where the lost write cannot take effect any more.
func unresolved(err error, uncertain bool) error {
	if uncertain && !isSettled(err) {
		return mark(err, ErrOutcomeUnknown)
	}
	return err
}

func isSettled(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrInvalidChange) ||
		errors.Is(err, ErrChangeIDReused) || errors.Is(err, ErrTooLarge)
}

func gaveUp(ctx context.Context, uncertain bool, id string) error {
	if uncertain {
		return mark(errors.Wrapf(ctx.Err(), "change %s", id), ErrOutcomeUnknown)
	}
	return mark(errors.Wrapf(ctx.Err(), "change %s was not made", id), ErrUnavailable)
}

// attempt reads the head, looks the change up and writes the next head once.
func (e *Editor) attempt(ctx context.Context, in *intent) (uint64, error) {
	current, err := e.history.current(ctx)
	if err != nil {
		return 0, err
	}
	found, ok, err := e.history.find(ctx, current, in.info.ID, in.base)
	if err != nil {
		return 0, err
	}
	if ok {
		return found.Version, sameChange(found, in.info)
	}
	d, err := e.draft(ctx, current, *in)
	if err != nil {
		return 0, err
	}
	in.base, in.hasBase = d.base, true // a later attempt looks for conflicts from here
	return d.head.Version, e.write(ctx, current, d)
}

func sameChange(found storedHead, info ChangeInfo) error {
	if found.Change.Digest != info.Digest {
		return errors.Wrapf(ErrChangeIDReused, "%s made version %d by %s", info.ID, found.Version, found.Change.Operator)
	}
	return nil
}

// write writes the pages, the immutable copy of the head, and then the head.
func (e *Editor) write(ctx context.Context, current storedHead, d draft) error {
	if err := putPages(ctx, e.history.store, d.newPages); err != nil {
		return notYet(err)
	}
	if err := putImmutable(ctx, e.history.store, headCopyKey(hashOf(d.data)), d.data); err != nil {
		return notYet(err)
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

// notYet hides that a write of an immutable object is uncertain: without the head it has no effect.
func notYet(err error) error {
	if errors.Is(err, objectstore.ErrUncertain) {
		return errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return err
}
