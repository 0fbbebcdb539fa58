package config

import (
	"context"

	"github.com/cockroachdb/errors"
)

// draft is the next version, ready to be written: its head and the pages that the store may lack.
type draft struct {
	base     uint64
	diff     Diff
	head     Head
	data     []byte
	newPages []page
}

func (d draft) plan() Plan {
	p := Plan{Base: d.head.Version - min(d.head.Version, 1), Diff: d.diff, NewPages: len(d.newPages), HeadBytes: len(d.data)}
	for _, page := range d.newPages {
		p.NewPageBytes += len(page.data)
	}
	return p
}

// draft applies an intent to the version in force and returns the next version.
// It returns a *ConflictError when rows of the intent changed since its base.
func (e *Editor) draft(ctx context.Context, current storedHead, in intent) (draft, error) {
	e.history.trim()
	base := in.base
	if !in.hasBase {
		base = current.Version
	}
	if err := e.checkConflict(ctx, current, base, in.edit.ids()); err != nil {
		return draft{}, err
	}
	diff, err := in.edit.diff(ctx, e.history, current.Head)
	if err != nil {
		return draft{}, err
	}
	d, err := e.newDraft(ctx, current, in)
	d.base, d.diff = base, diff
	return d, err
}

func (e *Editor) newDraft(ctx context.Context, current storedHead, in intent) (draft, error) {
	var d draft
	index := make(map[Table][]PageRef, len(tables))
	for _, table := range tables {
		b := tableBuilder{history: e.history, table: table}
		if err := b.rewrite(ctx, current.Index[table], in.edit.forTable(table)); err != nil {
			return draft{}, err
		}
		index[table] = b.index
		d.newPages = append(d.newPages, b.pages...)
	}
	d.head = current.next(current.hash, in.info, index)
	data, err := d.head.encode()
	d.data = data
	return d, err
}

// checkConflict returns a *ConflictError when one of the rows differs between base and the version in force.
func (e *Editor) checkConflict(ctx context.Context, current storedHead, base uint64, ids []rowID) error {
	if base == current.Version {
		return nil
	}
	old, err := e.history.ancestor(ctx, current, base)
	if err != nil {
		return err
	}
	changed, err := e.history.changesOf(ctx, old.Head, current.Head, ids)
	if err != nil || len(changed) == 0 {
		return err
	}
	return e.findConflict(ctx, current, base, changed.ids())
}

// findConflict returns a *ConflictError that describes the latest change after base to one of the rows.
func (e *Editor) findConflict(ctx context.Context, current storedHead, base uint64, ids []rowID) error {
	after := current
	for after.Version > base {
		before, err := e.history.ancestor(ctx, after, after.Version-1)
		if err != nil {
			return err
		}
		rows, err := e.history.changesOf(ctx, before.Head, after.Head, ids)
		if err != nil {
			return err
		}
		if len(rows) > 0 {
			return &ConflictError{Version: after.Version, Other: after.Change, Rows: rows}
		}
		after = before
	}
	return errors.Wrapf(ErrCorrupt, "rows differ between versions %d and %d, but no version in between changed them", base, current.Version)
}
