package config

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// maxCachedPages bounds the memory of a long-lived editor; all pages of a configuration of the
// target size fit.
const maxCachedPages = 8192

// storedHead is a head with its hash. It also has an ETag if it was read as the head in force.
type storedHead struct {
	Head
	hash Hash
	etag string
}

// history reads versions from the store and caches the pages that it has read.
type history struct {
	store Store
	pages map[Hash][]row
	index map[Hash][]PageRef
}

func newHistory(store Store) *history {
	return &history{store: store, pages: make(map[Hash][]row), index: make(map[Hash][]PageRef)}
}

// current returns the head in force; its version is 0 when nothing was committed yet.
func (h *history) current(ctx context.Context) (storedHead, error) {
	o, err := get(ctx, h.store, HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	head, err := DecodeHead(o.Value)
	return storedHead{Head: head, hash: hashOf(o.Value), etag: o.ETag}, err
}

// ancestor returns the head of the given version, which must not be higher than the version of
// from; otherwise the error is ErrNoVersion. The head of version 0 is empty.
func (h *history) ancestor(ctx context.Context, from storedHead, version uint64) (storedHead, error) {
	if version == 0 {
		return storedHead{}, nil
	}
	if version > from.Version {
		return storedHead{}, errors.Wrapf(ErrNoVersion, "version %d does not exist yet; the version in force is %d", version, from.Version)
	}
	for from.Version > version {
		steps := min(int(from.Version-version), len(from.Ancestors))
		next, err := h.readHead(ctx, from.Ancestors[steps-1].Head)
		if err != nil {
			return storedHead{}, errors.Wrapf(err, "read head of version %d", from.Version-uint64(steps))
		}
		if next.Version != from.Version-uint64(steps) {
			return storedHead{}, errors.Wrapf(ErrCorrupt, "ancestor head %s has the wrong version %d", next.hash, next.Version)
		}
		from = next
	}
	return from, nil
}

func (h *history) readHead(ctx context.Context, hash Hash) (storedHead, error) {
	data, err := getVerified(ctx, h.store, headCopyKey(hash), hash)
	if err != nil {
		return storedHead{}, err
	}
	head, err := DecodeHead(data)
	return storedHead{Head: head, hash: hash}, err
}

// findChange returns the head of the version that the change with the given ID made. It reads heads back
// to version base; with base 0 it considers only the changes that the head of from records. It returns
// ErrOutcomeUnknown when a garbage collection has deleted a part of the history that it must read.
func (h *history) findChange(ctx context.Context, from storedHead, changeID string, base uint64) (storedHead, bool, error) {
	for {
		if version, ok := from.recentVersion(changeID); ok {
			found, err := h.ancestor(ctx, from, version)
			return found, err == nil, err
		}
		oldest := from.Version - min(from.Version, uint64(len(from.Ancestors)))
		if base == 0 || oldest <= base || len(from.Ancestors) == 0 {
			return storedHead{}, false, nil
		}
		next, err := h.ancestor(ctx, from, oldest)
		if errors.Is(err, ErrNoVersion) {
			return storedHead{}, false, mark(errors.Wrapf(err, "garbage collection has deleted a part of the history back to version %d", base), ErrOutcomeUnknown)
		}
		if err != nil {
			return storedHead{}, false, err
		}
		from = next
	}
}

// refs returns the references of an index page.
func (h *history) refs(ctx context.Context, ref PageRef) ([]PageRef, error) {
	if err := h.fetchIndex(ctx, []PageRef{ref}); err != nil {
		return nil, err
	}
	refs := h.index[ref.Hash]
	return refs, ref.checkLast(refs[len(refs)-1].Last)
}

// rows returns the rows of a page.
func (h *history) rows(ctx context.Context, table Table, ref PageRef) ([]row, error) {
	if err := h.fetchPages(ctx, table, []PageRef{ref}); err != nil {
		return nil, err
	}
	rows := h.pages[ref.Hash]
	return rows, ref.checkLast(rows[len(rows)-1].key)
}

func (h *history) fetchIndex(ctx context.Context, refs []PageRef) error {
	return fetch(ctx, h.store, h.index, refs, decodeIndex)
}

func (h *history) fetchPages(ctx context.Context, table Table, refs []PageRef) error {
	return fetch(ctx, h.store, h.pages, refs, func(data []byte) ([]row, error) { return decodePage(table, data) })
}

// fetch reads the pages that are not in the cache, in parallel, and adds them to it.
func fetch[T any](ctx context.Context, s Store, cached map[Hash][]T, refs []PageRef, decode func([]byte) ([]T, error)) error {
	var missing []Hash
	for _, ref := range refs {
		if cached[ref.Hash] == nil {
			missing = append(missing, ref.Hash)
		}
	}
	slices.Sort(missing)
	pages, err := getPages(ctx, s, slices.Compact(missing))
	if err != nil {
		return err
	}
	for hash, data := range pages {
		if cached[hash], err = decode(data); err != nil {
			delete(cached, hash)
			return err
		}
	}
	return nil
}

// prefetch reads the pages that may hold the given rows: first the index pages, then the pages of rows,
// each in parallel.
func (h *history) prefetch(ctx context.Context, head Head, ids []rowID) error {
	var index []PageRef
	for _, id := range ids {
		if ref, ok := findRef(head.Index[id.table], id.key); ok {
			index = append(index, ref)
		}
	}
	if err := h.fetchIndex(ctx, index); err != nil {
		return err
	}
	pages := make(map[Table][]PageRef)
	for _, id := range ids {
		ref, ok := findRef(head.Index[id.table], id.key)
		if !ok {
			continue
		}
		if ref, ok = findRef(h.index[ref.Hash], id.key); ok {
			pages[id.table] = append(pages[id.table], ref)
		}
	}
	for table, refs := range pages {
		if err := h.fetchPages(ctx, table, refs); err != nil {
			return err
		}
	}
	return nil
}

// lookup returns one row of a version; false when the version does not have it.
func (h *history) lookup(ctx context.Context, head Head, id rowID) (row, bool, error) {
	ref, ok := findRef(head.Index[id.table], id.key)
	if !ok {
		return row{}, false, nil
	}
	refs, err := h.refs(ctx, ref)
	if err != nil {
		return row{}, false, err
	}
	if ref, ok = findRef(refs, id.key); !ok {
		return row{}, false, nil
	}
	rows, err := h.rows(ctx, id.table, ref)
	if err != nil {
		return row{}, false, err
	}
	i, ok := slices.BinarySearchFunc(rows, id.key, func(r row, key string) int { return strings.Compare(r.key, key) })
	if !ok {
		return row{}, false, nil
	}
	return rows[i], true, nil
}

// scan returns the rows of a table whose keys are in the range [from, to], both included.
func (h *history) scan(ctx context.Context, head Head, table Table, from, to string) ([]row, error) {
	index := refsInRange(head.Index[table], from, to)
	if err := h.fetchIndex(ctx, index); err != nil {
		return nil, err
	}
	var refs []PageRef
	for _, ref := range index {
		refs = append(refs, refsInRange(h.index[ref.Hash], from, to)...)
	}
	all, err := h.rowsOf(ctx, table, refs)
	return slices.DeleteFunc(all, func(r row) bool { return r.key < from || r.key > to }), err
}

// rowsOf returns the concatenated rows of pages.
func (h *history) rowsOf(ctx context.Context, table Table, refs []PageRef) ([]row, error) {
	if err := h.fetchPages(ctx, table, refs); err != nil {
		return nil, err
	}
	var all []row
	for _, ref := range refs {
		rows, err := h.rows(ctx, table, ref)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	if !slices.IsSortedFunc(all, compareKeys) {
		return nil, errors.Wrapf(ErrCorrupt, "rows of %s are not in ascending order of their keys", table)
	}
	return all, nil
}

// trim empties the caches when they hold more than maxCachedPages.
func (h *history) trim() {
	if len(h.pages)+len(h.index) > maxCachedPages {
		clear(h.pages)
		clear(h.index)
	}
}
