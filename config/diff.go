package config

import (
	"bytes"
	"encoding/json"
	"slices"
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

// only returns the changes of the rows in ids.
func (d Diff) only(ids map[rowID]bool) Diff {
	var kept Diff
	for _, c := range d {
		if ids[c.id()] {
			kept = append(kept, c)
		}
	}
	return kept
}

func (d Diff) ids() map[rowID]bool {
	ids := make(map[rowID]bool, len(d))
	for _, c := range d {
		ids[c.id()] = true
	}
	return ids
}

// compare returns the changes from a to b.
func compare(a, b state) Diff {
	var d Diff
	for _, table := range tables {
		d = append(d, compareRows(table, a[table], b[table])...)
	}
	return d
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
