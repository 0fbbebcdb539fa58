package config

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// RowChange is the change of one row.
type RowChange struct {
	Table Table  `json:"table"`
	Key   string `json:"key"`
	// Before is nil when the row is new; After is nil when it is deleted.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff lists row changes, sorted by table and key.
type Diff []RowChange

// rowID identifies a row of any table.
type rowID struct {
	table Table
	key   string
}

func (c RowChange) id() rowID { return rowID{c.Table, c.Key} }

// inverse returns the diff that undoes d.
func (d Diff) inverse() Diff {
	inverse := slices.Clone(d)
	for i := range inverse {
		inverse[i].Before, inverse[i].After = d[i].After, d[i].Before
	}
	return inverse
}

func (d Diff) ids() []rowID {
	ids := make([]rowID, len(d))
	for i, c := range d {
		ids[i] = c.id()
	}
	return ids
}

// diff returns the changes from version a to version b. It reads only the pages that are not in
// both versions.
func (h *history) diff(ctx context.Context, a, b Head) (Diff, error) {
	var d Diff
	for _, table := range tables {
		oldRows, newRows, err := h.differingRows(ctx, table, a.Index[table], b.Index[table])
		if err != nil {
			return nil, err
		}
		d = append(d, compareRows(table, oldRows, newRows)...)
	}
	return d, nil
}

// differingRows returns the rows of the pages that are in only one of two versions of a table.
// Pages that both versions share can be skipped: their rows are in no other page of either version.
func (h *history) differingRows(ctx context.Context, table Table, a, b []PageRef) (oldRows, newRows []row, err error) {
	a, b = refsNotIn(a, b), refsNotIn(b, a)
	oldRefs, err := h.childRefs(ctx, a)
	if err != nil {
		return nil, nil, err
	}
	newRefs, err := h.childRefs(ctx, b)
	if err != nil {
		return nil, nil, err
	}
	if oldRows, err = h.rowsOf(ctx, table, refsNotIn(oldRefs, newRefs)); err != nil {
		return nil, nil, err
	}
	newRows, err = h.rowsOf(ctx, table, refsNotIn(newRefs, oldRefs))
	return oldRows, newRows, err
}

// childRefs returns the concatenated references of index pages.
func (h *history) childRefs(ctx context.Context, index []PageRef) ([]PageRef, error) {
	if err := h.fetchIndex(ctx, index); err != nil {
		return nil, err
	}
	var all []PageRef
	for _, ref := range index {
		refs, err := h.refs(ctx, ref)
		if err != nil {
			return nil, err
		}
		all = append(all, refs...)
	}
	return all, nil
}

// refsNotIn returns the references in a to pages that b does not refer to.
func refsNotIn(a, b []PageRef) []PageRef {
	known := make(map[Hash]bool, len(b))
	for _, ref := range b {
		known[ref.Hash] = true
	}
	return slices.DeleteFunc(slices.Clone(a), func(ref PageRef) bool { return known[ref.Hash] })
}

// changesOf returns the changes to the given rows from version a to version b.
func (h *history) changesOf(ctx context.Context, a, b Head, ids []rowID) (Diff, error) {
	if err := errors.CombineErrors(h.prefetch(ctx, a, ids), h.prefetch(ctx, b, ids)); err != nil {
		return nil, err
	}
	var d Diff
	for _, id := range ids {
		before, _, err := h.lookup(ctx, a, id)
		if err != nil {
			return nil, err
		}
		after, _, err := h.lookup(ctx, b, id)
		if err != nil {
			return nil, err
		}
		if !bytes.Equal(before.data, after.data) {
			d = append(d, RowChange{Table: id.table, Key: id.key, Before: before.data, After: after.data})
		}
	}
	return d, nil
}

// compareRows returns the changes from rows a to rows b of a table, both sorted by key.
func compareRows(table Table, a, b []row) Diff {
	var d Diff
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].key < b[0].key:
			d = append(d, RowChange{Table: table, Key: a[0].key, Before: a[0].data})
			a = a[1:]
		case len(a) == 0 || b[0].key < a[0].key:
			d = append(d, RowChange{Table: table, Key: b[0].key, After: b[0].data})
			b = b[1:]
		default:
			if !bytes.Equal(a[0].data, b[0].data) {
				d = append(d, RowChange{Table: table, Key: a[0].key, Before: a[0].data, After: b[0].data})
			}
			a, b = a[1:], b[1:]
		}
	}
	return d
}
