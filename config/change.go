package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// MaxNoteBytes bounds the note of a change, and thereby the size of the head that stores it.
const MaxNoteBytes = 1024

// Change is a set of rows to write and delete. It is committed atomically.
type Change struct {
	// ID identifies the change; committing a change again under its ID has no further effect.
	ID string `json:"id"`
	// Operator is the name of the operator who makes the change.
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
	// Base is the version that the operator based the change on: a row that changed after it is a conflict.
	// With 0, the base is the version in force when Commit starts, and a repeated commit is recognised
	// only among the last 64 changes.
	Base   uint64  `json:"base,omitempty"`
	Upsert Upserts `json:"upsert"`
	Delete Deletes `json:"delete"`
}

// Upserts are rows to insert, or to replace if they exist.
type Upserts struct {
	Routes        []route.Route               `json:"routes,omitempty"`
	Pools         []pool.Pool                 `json:"pools,omitempty"`
	Organisations []organisation.Organisation `json:"organisations,omitempty"`
}

// Deletes are keys of rows to delete; the key of a route is organisation/name.
type Deletes struct {
	Routes        []string `json:"routes,omitempty"`
	Pools         []string `json:"pools,omitempty"`
	Organisations []string `json:"organisations,omitempty"`
}

// intent is a change or a revert whose fields are checked and that is ready to be committed.
type intent struct {
	info ChangeInfo
	base uint64
	// hasBase is false when the operator gave no base, until the first draft sets the base.
	hasBase bool
	edit    edit
}

func newChangeInfo(id, operator, note string, content any) (ChangeInfo, error) {
	if !route.ValidName(id) || !route.ValidName(operator) {
		return ChangeInfo{}, errors.Wrapf(ErrInvalidChange, "change ID %q or operator %q is not a valid name", id, operator)
	}
	if len(note) > MaxNoteBytes {
		return ChangeInfo{}, errors.Wrapf(ErrInvalidChange, "note has %d bytes, the limit is %d", len(note), MaxNoteBytes)
	}
	data, err := json.Marshal(content)
	return ChangeInfo{ID: id, Operator: operator, Note: note, Digest: hashOf(data)}, err
}

// intent checks everything about a change that does not depend on the version in force.
func (c Change) intent() (intent, error) {
	info, err := newChangeInfo(c.ID, c.Operator, c.Note, c)
	if err != nil {
		return intent{}, err
	}
	e, err := c.edit()
	return intent{info: info, base: c.Base, hasBase: c.Base > 0, edit: e}, err
}

func (c Change) edit() (edit, error) {
	e := make(edit)
	err := errors.CombineErrors(addUpserts(e, Routes, c.Upsert.Routes), addUpserts(e, Pools, c.Upsert.Pools))
	err = errors.CombineErrors(err, addUpserts(e, Organisations, c.Upsert.Organisations))
	err = errors.CombineErrors(err, addDeletes(e, Routes, c.Delete.Routes))
	err = errors.CombineErrors(err, addDeletes(e, Pools, c.Delete.Pools))
	err = errors.CombineErrors(err, addDeletes(e, Organisations, c.Delete.Organisations))
	if err == nil && len(e) == 0 {
		err = errors.Wrap(ErrInvalidChange, "change is empty")
	}
	return e, err
}

func addUpserts[T rowValue](e edit, table Table, values []T) error {
	for _, value := range values {
		r, err := encodeRow(value)
		if err != nil {
			return err
		}
		if err := checkRow(table, r); err != nil {
			return err
		}
		if err := e.add(rowID{table, r.key}, &r); err != nil {
			return err
		}
	}
	return nil
}

func addDeletes(e edit, table Table, keys []string) error {
	for _, key := range keys {
		if err := e.add(rowID{table, key}, nil); err != nil {
			return err
		}
	}
	return nil
}

func (e edit) add(id rowID, r *row) error {
	if _, exists := e[id]; exists {
		return errors.Wrapf(ErrInvalidChange, "%s %s occurs twice in the change", id.table, id.key)
	}
	e[id] = r
	return nil
}

// edit returns the edit that applies d to a version.
func (d Diff) edit() (edit, error) {
	e := make(edit, len(d))
	for _, c := range d {
		if c.After == nil {
			e[c.id()] = nil
			continue
		}
		r, err := parseRow(c.Table, c.After)
		if err != nil {
			return nil, err
		}
		if err := checkRow(c.Table, r); err != nil {
			return nil, err
		}
		e[c.id()] = &r
	}
	return e, nil
}
