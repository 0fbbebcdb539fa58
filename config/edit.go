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

// edit holds the rows to write or delete. A nil row is to be deleted.
type edit map[rowID]*row

// ids returns the IDs of the edited rows, sorted by table and key.
func (e edit) ids() []rowID {
	return slices.SortedFunc(maps.Keys(e), func(a, b rowID) int {
		byTable := slices.Index(tables, a.table) - slices.Index(tables, b.table)
		return cmp.Or(byTable, strings.Compare(a.key, b.key))
	})
}

// forTable returns the edits of the rows of a table, sorted by key.
func (e edit) forTable(table Table) []rowEdit {
	var edits []rowEdit
	for _, id := range e.ids() {
		if id.table == table {
			edits = append(edits, rowEdit{id.key, e[id]})
		}
	}
	return edits
}

// diff returns the row changes that the edit makes to the version in force. It returns
// ErrInvalidChange when the edit deletes a row that does not exist, or when a route would refer to a row
// that does not exist.
func (e edit) diff(ctx context.Context, h *history, current Head) (Diff, error) {
	ids := e.ids()
	if err := h.prefetch(ctx, current, ids); err != nil {
		return nil, err
	}
	var d Diff
	for _, id := range ids {
		before, exists, err := h.lookup(ctx, current, id)
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
	return d, e.checkReferences(ctx, h, current)
}

// references returns the IDs of the pools and the organisation that a route refers to.
func references(r route.Route) []rowID {
	ids := []rowID{{Pools, r.Pool}, {Organisations, r.Organisation}}
	for _, share := range r.Split {
		ids = append(ids, rowID{Pools, share.Pool})
	}
	return ids
}

// checkReferences checks that the rows to which the written routes refer exist,
// and that no other route refers to a deleted row.
func (e edit) checkReferences(ctx context.Context, h *history, current Head) error {
	var routes []route.Route
	var referenced []rowID
	for _, id := range e.ids() {
		r := e[id]
		switch {
		case r == nil && id.table != Routes:
			if err := e.checkDeleted(ctx, h, current, id); err != nil {
				return err
			}
		case r != nil && id.table == Routes:
			routes = append(routes, r.value.(route.Route))
			referenced = append(referenced, references(r.value.(route.Route))...)
		}
	}
	if err := h.prefetch(ctx, current, referenced); err != nil {
		return err
	}
	for _, r := range routes {
		if err := e.checkRoute(ctx, h, current, r); err != nil {
			return err
		}
	}
	return nil
}

// checkDeleted checks that no route outside the edit refers to a deleted row. For a pool it reads all routes.
func (e edit) checkDeleted(ctx context.Context, h *history, current Head, deleted rowID) error {
	from, to := "", string(utf8.MaxRune)
	if deleted.table == Organisations {
		from, to = routeKeyRange(deleted.key)
	}
	rows, err := h.scan(ctx, current, Routes, from, to)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if _, edited := e[rowID{Routes, r.key}]; !edited && slices.Contains(references(r.value.(route.Route)), deleted) {
			return errStillReferenced(deleted, r.key)
		}
	}
	return nil
}

// routeKeyRange returns the bounds of the range that holds the keys of an organisation's routes.
func routeKeyRange(organisation string) (from, to string) {
	return organisation + "/", organisation + "/" + string(utf8.MaxRune)
}

func errStillReferenced(id rowID, routeKey string) error {
	return errors.Wrapf(ErrInvalidChange, "%s %s is deleted but route %s refers to it", id.table, id.key, routeKey)
}

func (e edit) checkRoute(ctx context.Context, h *history, current Head, r route.Route) error {
	for _, id := range references(r) {
		if written, edited := e[id]; edited {
			if written == nil {
				return errStillReferenced(id, r.Key())
			}
			continue
		}
		_, exists, err := h.lookup(ctx, current, id)
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
		return errors.Wrapf(ErrInvalidChange, "%s: row key has %d bytes, must have 1 to %d", table, len(r.key), maxKeyBytes)
	}
	if err := r.value.Validate(); err != nil {
		return mark(err, ErrInvalidChange)
	}
	if len(r.data) > maxRowBytes {
		return errors.Wrapf(ErrInvalidChange, "%s %s has %d bytes, the limit is %d", table, r.key, len(r.data), maxRowBytes)
	}
	return nil
}

// maxKeyBytes is the length of the key of a route with the longest names.
const maxKeyBytes = 2*route.MaxNameLength + 1

// maxRowBytes bounds a row such that a page of twice the mean number of rows stays within the limit
// of the store.
const maxRowBytes = maxBytes / meanEntriesPerPage / 2

func compareKeys(a, b row) int { return strings.Compare(a.key, b.key) }
