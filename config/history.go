package config

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// maxCachedPages bounds the memory of a long-lived editor; the pages of the target size fit.
const maxCachedPages = 8192

// storedHead is a head with its hash and, when it was read as the version in force, its ETag.
type storedHead struct {
	Head
	hash Hash
	etag string
}

// history reads versions from the store and keeps the pages that it has read.
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

// ancestor returns the head of an earlier version, or from itself. Version 0 has an empty head.
func (h *history) ancestor(ctx context.Context, from storedHead, version uint64) (storedHead, error) {
	if version == 0 {
		return storedHead{}, nil
	}
	if version > from.Version {
		return storedHead{}, errors.Wrapf(ErrNoVersion, "version %d; the version in force is %d", version, from.Version)
	}
	for from.Version > version {
		steps := min(int(from.Version-version), len(from.Ancestors))
		next, err := h.readHead(ctx, from.Ancestors[steps-1].Head)
		if err != nil {
			return storedHead{}, errors.Wrapf(err, "version %d", from.Version-uint64(steps))
		}
		if next.Version != from.Version-uint64(steps) {
			return storedHead{}, errors.Wrapf(ErrCorrupt, "head %s has version %d", next.hash, next.Version)
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

// find returns the head that the change of an ID made. It reads heads back to the version base;
// with base 0 it considers the changes that the head names only. It returns ErrOutcomeUnknown
// when the history back to base was collected.
func (h *history) find(ctx context.Context, from storedHead, changeID string, base uint64) (storedHead, bool, error) {
	for {
		if version, ok := from.recent(changeID); ok {
			found, err := h.ancestor(ctx, from, version)
			return found, err == nil, err
		}
		oldest := from.Version - min(from.Version, uint64(len(from.Ancestors)))
		if base == 0 || oldest <= base || len(from.Ancestors) == 0 {
			return storedHead{}, false, nil
		}
		next, err := h.ancestor(ctx, from, oldest)
		if errors.Is(err, ErrNoVersion) {
			return storedHead{}, false, mark(errors.Wrapf(err, "the history back to version %d was collected", base), ErrOutcomeUnknown)
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

// fetch reads the pages that are not held, in parallel.
func fetch[T any](ctx context.Context, s Store, held map[Hash][]T, refs []PageRef, decode func([]byte) ([]T, error)) error {
	var lacking []Hash
	for _, ref := range refs {
		if held[ref.Hash] == nil {
			lacking = append(lacking, ref.Hash)
		}
	}
	slices.Sort(lacking)
	pages, err := getPages(ctx, s, slices.Compact(lacking))
	if err != nil {
		return err
	}
	for hash, data := range pages {
		if held[hash], err = decode(data); err != nil {
			delete(held, hash)
			return err
		}
	}
	return nil
}

// prefetch reads the pages that hold rows, in two parallel rounds.
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

// lookup returns one row of a version.
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

// scan returns the rows of a table whose keys are of from up to to, both included.
func (h *history) scan(ctx context.Context, head Head, table Table, from, to string) ([]row, error) {
	index := within(head.Index[table], from, to)
	if err := h.fetchIndex(ctx, index); err != nil {
		return nil, err
	}
	var refs []PageRef
	for _, ref := range index {
		refs = append(refs, within(h.index[ref.Hash], from, to)...)
	}
	all, err := h.rowsOf(ctx, table, refs)
	return slices.DeleteFunc(all, func(r row) bool { return r.key < from || r.key > to }), err
}

// rowsOf joins the rows of pages.
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
		return nil, errors.Wrapf(ErrCorrupt, "rows of %s are not in order", table)
	}
	return all, nil
}

// trim forgets the pages when there are too many.
func (h *history) trim() {
	if len(h.pages)+len(h.index) > maxCachedPages {
		clear(h.pages)
		clear(h.index)
	}
}
