package config

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/route"
)

// state holds the rows of a version, sorted by key. It is not changed after it is built.
type state map[Table][]row

func (s state) find(table Table, key string) (row, bool) {
	i, ok := slices.BinarySearchFunc(s[table], key, func(r row, key string) int { return strings.Compare(r.key, key) })
	if !ok {
		return row{}, false
	}
	return s[table][i], true
}

// edit is a set of rows to write or delete; a nil row deletes.
type edit map[rowID]*row

func (e edit) ids() map[rowID]bool {
	ids := make(map[rowID]bool, len(e))
	for id := range e {
		ids[id] = true
	}
	return ids
}

// apply returns s with the edit applied, or ErrInvalidChange.
func (s state) apply(e edit) (state, error) {
	next := make(state, len(tables))
	for _, table := range tables {
		next[table] = s.applyTable(table, e)
	}
	for id, r := range e {
		if _, exists := s.find(id.table, id.key); r == nil && !exists {
			return nil, errors.Wrapf(ErrInvalidChange, "%s %s is to be deleted but does not exist", id.table, id.key)
		}
	}
	return next, next.checkReferences(e)
}

func (s state) applyTable(table Table, e edit) []row {
	var rows []row
	for _, r := range s[table] {
		if _, touched := e[rowID{table, r.key}]; !touched {
			rows = append(rows, r)
		}
	}
	untouched := len(rows)
	for id, r := range e {
		if id.table == table && r != nil {
			rows = append(rows, *r)
		}
	}
	if len(rows) > untouched {
		slices.SortFunc(rows, compareKeys)
	}
	return rows
}

// checkReferences checks the edited routes, and all routes when a pool or organisation was deleted.
func (s state) checkReferences(e edit) error {
	deleted := false
	for id, r := range e {
		if r == nil && id.table != Routes {
			deleted = true
		}
	}
	for _, r := range s[Routes] {
		if _, edited := e[rowID{Routes, r.key}]; !edited && !deleted {
			continue
		}
		if err := s.checkRoute(r.value.(route.Route), e); err != nil {
			return err
		}
	}
	return nil
}

func (s state) checkRoute(r route.Route, e edit) error {
	for _, id := range []rowID{{Pools, r.Pool}, {Organisations, r.Organisation}} {
		if _, ok := s.find(id.table, id.key); ok {
			continue
		}
		if _, deleted := e[id]; deleted {
			return errors.Wrapf(ErrInvalidChange, "%s %s is deleted but route %s refers to it", id.table, id.key, r.Key())
		}
		return errors.Wrapf(ErrInvalidChange, "route %s refers to %s %s, which does not exist", r.Key(), id.table, id.key)
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
const maxRowBytes = maxBytes / rowsPerPage / 2

func compareKeys(a, b row) int { return strings.Compare(a.key, b.key) }
