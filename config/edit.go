package config

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/route"
)

// edit is a set of rows to write or delete; a nil row deletes.
type edit map[rowID]*row

// ids returns the rows of the edit by table and key.
func (e edit) ids() []rowID {
	return slices.SortedFunc(maps.Keys(e), func(a, b rowID) int {
		byTable := slices.Index(tables, a.table) - slices.Index(tables, b.table)
		return cmp.Or(byTable, strings.Compare(a.key, b.key))
	})
}

// of returns the edits of a table, sorted by key.
func (e edit) of(table Table) []rowEdit {
	var edits []rowEdit
	for _, id := range e.ids() {
		if id.table == table {
			edits = append(edits, rowEdit{id.key, e[id]})
		}
	}
	return edits
}

// diff returns what the edit changes in a version, or ErrInvalidChange.
func (e edit) diff(ctx context.Context, h *history, now Head) (Diff, error) {
	ids := e.ids()
	if err := h.prefetch(ctx, now, ids); err != nil {
		return nil, err
	}
	var d Diff
	for _, id := range ids {
		before, exists, err := h.lookup(ctx, now, id)
		if err != nil {
			return nil, err
		}
		c := RowChange{Table: id.table, Key: id.key, Before: before.data}
		switch r := e[id]; {
		case r != nil:
			c.After = r.data
		case !exists:
			return nil, errors.Wrapf(ErrInvalidChange, "%s %s is to be deleted but does not exist", id.table, id.key)
		}
		if !bytes.Equal(c.Before, c.After) {
			d = append(d, c)
		}
	}
	return d, e.checkReferences(ctx, h, now)
}

// references returns the rows that a route refers to.
func references(r route.Route) []rowID {
	ids := []rowID{{Pools, r.Pool}, {Organisations, r.Organisation}}
	for _, share := range r.Split {
		ids = append(ids, rowID{Pools, share.Pool})
	}
	return ids
}

// checkReferences checks the routes that the edit writes, and those that refer to a row that it deletes.
func (e edit) checkReferences(ctx context.Context, h *history, now Head) error {
	var routes []route.Route
	var referred []rowID
	for _, id := range e.ids() {
		r := e[id]
		switch {
		case r == nil && id.table != Routes:
			if err := e.checkDeleted(ctx, h, now, id); err != nil {
				return err
			}
		case r != nil && id.table == Routes:
			routes = append(routes, r.value.(route.Route))
			referred = append(referred, references(r.value.(route.Route))...)
		}
	}
	if err := h.prefetch(ctx, now, referred); err != nil {
		return err
	}
	for _, r := range routes {
		if err := e.checkRoute(ctx, h, now, r); err != nil {
			return err
		}
	}
	return nil
}

// checkDeleted checks that no route refers to a deleted row. For a pool it reads all routes.
func (e edit) checkDeleted(ctx context.Context, h *history, now Head, deleted rowID) error {
	from, to := "", string(utf8.MaxRune)
	if deleted.table == Organisations {
		from, to = routeKeys(deleted.key)
	}
	rows, err := h.scan(ctx, now, Routes, from, to)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if _, edited := e[rowID{Routes, r.key}]; !edited && slices.Contains(references(r.value.(route.Route)), deleted) {
			return errDeleted(deleted, r.key)
		}
	}
	return nil
}

// routeKeys returns bounds of the keys of an organisation's routes.
func routeKeys(organisation string) (from, to string) {
	return organisation + "/", organisation + "/" + string(utf8.MaxRune)
}

func errDeleted(id rowID, routeKey string) error {
	return errors.Wrapf(ErrInvalidChange, "%s %s is deleted but route %s refers to it", id.table, id.key, routeKey)
}

func (e edit) checkRoute(ctx context.Context, h *history, now Head, r route.Route) error {
	for _, id := range references(r) {
		if written, edited := e[id]; edited {
			if written == nil {
				return errDeleted(id, r.Key())
			}
			continue
		}
		_, exists, err := h.lookup(ctx, now, id)
		if err != nil {
			return err
		}
		if !exists {
			return errors.Wrapf(ErrInvalidChange, "route %s refers to %s %s, which does not exist", r.Key(), id.table, id.key)
		}
	}
	return nil
}

// checkRow checks the fields of a row that is to be written.
func checkRow(table Table, r row) error {
	if r.key == "" || len(r.key) > maxKeyBytes {
		return errors.Wrapf(ErrInvalidChange, "%s: key has %d bytes, want 1 to %d", table, len(r.key), maxKeyBytes)
	}
	if err := r.value.Validate(); err != nil {
		return mark(err, ErrInvalidChange)
	}
	if len(r.data) > maxRowBytes {
		return errors.Wrapf(ErrInvalidChange, "%s %s has %d bytes, the limit is %d", table, r.key, len(r.data), maxRowBytes)
	}
	return nil
}

// maxKeyBytes holds the key of a route with the longest names.
const maxKeyBytes = 2*route.MaxNameLength + 1

// maxRowBytes keeps a page of twice the mean number of rows within the limit of the store.
const maxRowBytes = maxBytes / entriesPerPage / 2

func compareKeys(a, b row) int { return strings.Compare(a.key, b.key) }
