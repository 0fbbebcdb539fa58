package config

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// ErrPatch means that a patch does not fit the snapshot that it is applied to, or does not lead to the
// snapshot that it was made from.
var ErrPatch = errors.New("patch does not fit the snapshot")

// Patch holds the rows in which a snapshot differs from an earlier one.
type Patch struct {
	// From is the version that the patch is applied to; 0 means that the patch holds all rows.
	From uint64 `json:"from"`
	// To is the version that the patch leads to.
	To uint64 `json:"to"`
	// Digest is the digest of the snapshot that the patch leads to.
	Digest        Digest                              `json:"digest"`
	Routes        RowPatch[route.Route]               `json:"routes,omitzero"`
	Pools         RowPatch[pool.Pool]                 `json:"pools,omitzero"`
	Organisations RowPatch[organisation.Organisation] `json:"organisations,omitzero"`
}

// RowPatch holds the rows in which a table differs from an earlier one.
type RowPatch[T rowValue] struct {
	// Put holds the rows that are new or have changed, in the order of their keys.
	Put []T `json:"put,omitempty"`
	// Delete holds the keys of the rows that are gone.
	Delete []string `json:"delete,omitempty"`
}

// Rows returns the number of rows that the patch changes.
func (p Patch) Rows() int { return p.Routes.size() + p.Pools.size() + p.Organisations.size() }

func (p RowPatch[T]) size() int { return len(p.Put) + len(p.Delete) }

// Digest identifies the rows of a snapshot, in any order. It tells apart snapshots that differ by accident.
type Digest uint64

// digestRow returns the part of a row in the digest of its snapshot.
func digestRow[T rowValue](table Table, row T) Digest {
	// The rows hold only types that can be encoded.
	data, _ := json.Marshal(row)
	h := xxhash.New()
	_, _ = h.WriteString(string(table) + "/")
	_, _ = h.Write(data)
	return Digest(h.Sum64())
}

func digestRows[T rowValue](table Table, rows []T) Digest {
	var sum Digest
	for _, row := range rows {
		sum += digestRow(table, row)
	}
	return sum
}

// Digest returns the digest of the rows. It is computed once.
func (s *Snapshot) Digest() Digest { return s.digest() }

func (s *Snapshot) computeDigest() Digest {
	return digestRows(Routes, s.Routes()) + digestRows(Pools, s.Pools()) + digestRows(Organisations, s.organisations.rows())
}

// PatchFrom returns the patch that turns an earlier snapshot into s. Without an earlier one (nil) the patch
// holds all rows.
func (s *Snapshot) PatchFrom(earlier *Snapshot) Patch {
	if earlier == nil {
		earlier = NewSnapshot(0, nil, nil, nil)
	}
	return Patch{
		From:          earlier.version,
		To:            s.version,
		Digest:        s.Digest(),
		Routes:        differingRows(earlier.Routes(), s.Routes()),
		Pools:         differingRows(earlier.Pools(), s.Pools()),
		Organisations: differingRows(earlier.organisations.rows(), s.organisations.rows()),
	}
}

// differingRows returns the patch from one list of rows to another one, both sorted by key.
func differingRows[T rowValue](before, after []T) RowPatch[T] {
	var p RowPatch[T]
	for len(before) > 0 || len(after) > 0 {
		switch order := compareFirst(before, after); {
		case order < 0:
			p.Delete = append(p.Delete, before[0].Key())
			before = before[1:]
		case order > 0:
			p.Put = append(p.Put, after[0])
			after = after[1:]
		default:
			if !reflect.DeepEqual(before[0], after[0]) {
				p.Put = append(p.Put, after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return p
}

// compareFirst compares the keys of the first rows. An empty list is behind all others.
func compareFirst[T rowValue](a, b []T) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	}
	return strings.Compare(a[0].Key(), b[0].Key())
}

// Apply returns the snapshot to which the patch leads. It returns ErrPatch if the patch is for another
// version, or if the rows are then not those of the snapshot that the patch was made from.
func (s *Snapshot) Apply(p Patch) (*Snapshot, error) {
	base := s
	switch p.From {
	case 0:
		base = NewSnapshot(0, nil, nil, nil)
	case s.version:
	default:
		return nil, errors.Wrapf(ErrPatch, "the patch is for version %d, the snapshot has version %d", p.From, s.version)
	}
	routes, replacedRoutes := p.Routes.apply(base.Routes())
	pools, _ := p.Pools.apply(base.Pools())
	organisations, replacedOrganisations := p.Organisations.apply(base.organisations.rows())
	next := &Snapshot{
		version:       p.To,
		routes:        pageOf(routes),
		matcher:       base.matcher.Replace([][]route.Route{replacedRoutes}, [][]route.Route{p.Routes.Put}),
		pools:         newPoolSet(pools),
		organisations: pageOf(organisations),
		byKey:         base.byKey,
	}
	if p.Organisations.size() > 0 {
		next.byKey = indexKeys(organisations)
	}
	digest := base.Digest() +
		digestRows(Routes, p.Routes.Put) - digestRows(Routes, replacedRoutes) +
		digestRows(Pools, pools) - digestRows(Pools, base.Pools()) +
		digestRows(Organisations, p.Organisations.Put) - digestRows(Organisations, replacedOrganisations)
	if digest != p.Digest {
		return nil, errors.Wrapf(ErrPatch, "the rows of version %d after the patch are not those before it", p.To)
	}
	next.digest = func() Digest { return digest }
	return next, nil
}

// apply returns the rows after the patch, sorted by key, and those before it that it replaces or deletes.
func (p RowPatch[T]) apply(rows []T) (patched, replaced []T) {
	if p.size() == 0 {
		return rows, nil
	}
	gone := make(map[string]bool, p.size())
	for _, key := range p.Delete {
		gone[key] = true
	}
	for _, row := range p.Put {
		gone[row.Key()] = true
	}
	patched = make([]T, 0, len(rows)+len(p.Put))
	for _, row := range rows {
		if gone[row.Key()] {
			replaced = append(replaced, row)
			continue
		}
		patched = append(patched, row)
	}
	patched = append(patched, p.Put...)
	slices.SortFunc(patched, func(a, b T) int { return strings.Compare(a.Key(), b.Key()) })
	return patched, replaced
}
