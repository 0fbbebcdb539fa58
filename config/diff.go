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
	// Before is nil when the row is new, After when it is deleted.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff lists changed rows by table and key.
type Diff []RowChange

// rowID names a row of any table.
type rowID struct {
	table Table
	key   string
}

func (c RowChange) id() rowID { return rowID{c.Table, c.Key} }

// inverse returns the diff that takes d back.
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

// diff returns the changes from a to b. It reads only the pages that are not in both.
func (h *history) diff(ctx context.Context, a, b Head) (Diff, error) {
	var d Diff
	for _, table := range tables {
		oldRows, newRows, err := h.differing(ctx, table, a.Index[table], b.Index[table])
		if err != nil {
			return nil, err
		}
		d = append(d, compareRows(table, oldRows, newRows)...)
	}
	return d, nil
}

// differing returns the rows of the pages that only one of two versions has.
// A row of a page that both have is in no other page of either.
func (h *history) differing(ctx context.Context, table Table, a, b []PageRef) (oldRows, newRows []row, err error) {
	a, b = without(a, b), without(b, a)
	oldRefs, err := h.children(ctx, a)
	if err != nil {
		return nil, nil, err
	}
	newRefs, err := h.children(ctx, b)
	if err != nil {
		return nil, nil, err
	}
	if oldRows, err = h.rowsOf(ctx, table, without(oldRefs, newRefs)); err != nil {
		return nil, nil, err
	}
	newRows, err = h.rowsOf(ctx, table, without(newRefs, oldRefs))
	return oldRows, newRows, err
}

// children joins the references of index pages.
func (h *history) children(ctx context.Context, index []PageRef) ([]PageRef, error) {
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

// without returns the references of a whose pages b does not have.
func without(a, b []PageRef) []PageRef {
	known := make(map[Hash]bool, len(b))
	for _, ref := range b {
		known[ref.Hash] = true
	}
	return slices.DeleteFunc(slices.Clone(a), func(ref PageRef) bool { return known[ref.Hash] })
}

// touched returns the changes of some rows from a to b.
func (h *history) touched(ctx context.Context, a, b Head, ids []rowID) (Diff, error) {
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

// compareRows merges two sorted tables.
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
