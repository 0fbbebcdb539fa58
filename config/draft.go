package config

import (
	"context"

	"github.com/cockroachdb/errors"
)

// draft is a version that is ready to be written.
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

// draft applies an intent to the version in force.
// It returns a *ConflictError when rows of the intent changed since its base.
func (e *Editor) draft(ctx context.Context, current storedHead, in intent) (draft, error) {
	now, err := e.history.load(ctx, current)
	if err != nil {
		return draft{}, err
	}
	base := in.base
	if !in.hasBase {
		base = current.Version
	}
	if err := e.checkConflict(ctx, current, now, base, in.edit); err != nil {
		return draft{}, err
	}
	e.history.keep(current.Head)
	next, err := now.apply(in.edit)
	if err != nil {
		return draft{}, err
	}
	d, err := newDraft(current, next, in.info)
	d.base, d.diff = base, compare(now, next)
	return d, err
}

func newDraft(current storedHead, next state, info ChangeInfo) (draft, error) {
	var d draft
	lists := make(map[Table][]Hash, len(tables))
	known := current.pageSet()
	for _, table := range tables {
		pages, err := encodePages(table, next[table])
		if err != nil {
			return draft{}, err
		}
		for _, p := range pages {
			lists[table] = append(lists[table], p.hash)
			if !known[p.hash] {
				d.newPages = append(d.newPages, p)
			}
		}
	}
	d.head = current.next(current.hash, info, lists)
	data, err := d.head.encode()
	d.data = data
	return d, err
}

func (h Head) pageSet() map[Hash]bool {
	set := make(map[Hash]bool, h.pageCount())
	for _, pages := range h.Pages {
		for _, hash := range pages {
			set[hash] = true
		}
	}
	return set
}

// checkConflict returns a *ConflictError when a row of the edit differs between base and the version in force.
func (e *Editor) checkConflict(ctx context.Context, current storedHead, now state, base uint64, edit edit) error {
	if base == current.Version {
		return nil
	}
	old, err := e.stateAt(ctx, current, base)
	if err != nil {
		return err
	}
	changed := compare(old, now).only(edit.ids())
	if len(changed) == 0 {
		return nil
	}
	return e.conflict(ctx, current, base, changed.ids())
}

// conflict names the latest change after base that touched one of the rows.
func (e *Editor) conflict(ctx context.Context, current storedHead, base uint64, ids map[rowID]bool) error {
	for version := current.Version; version > base; version-- {
		d, err := e.diff(ctx, current, version-1, version)
		if err != nil {
			return err
		}
		if rows := d.only(ids); len(rows) > 0 {
			head, err := e.history.ancestor(ctx, current, version)
			if err != nil {
				return err
			}
			return &ConflictError{Version: version, Other: head.Change, Rows: rows}
		}
	}
	return errors.Wrapf(ErrCorrupt, "no version after %d made the changes of version %d", base, current.Version)
}
