package config

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// storedHead is a head with its hash and, when it was read as the version in force, its ETag.
type storedHead struct {
	Head
	hash Hash
	etag string
}

// history reads versions from the store and keeps the rows of their pages.
type history struct {
	store Store
	pages map[Hash][]row
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
			return storedHead{}, err
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
// with base 0 it considers the changes that the head names only.
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
		if err != nil {
			return storedHead{}, false, err
		}
		from = next
	}
}

// load returns the rows of a head.
func (h *history) load(ctx context.Context, head storedHead) (state, error) {
	if err := h.fetch(ctx, head.Head); err != nil {
		return nil, err
	}
	s := make(state, len(tables))
	for _, table := range tables {
		for _, hash := range head.Pages[table] {
			s[table] = append(s[table], h.pages[hash]...)
		}
		if !slices.IsSortedFunc(s[table], compareKeys) {
			return nil, errors.Wrapf(ErrCorrupt, "version %d: rows of %s are not in order", head.Version, table)
		}
	}
	return s, nil
}

func (h *history) fetch(ctx context.Context, head Head) error {
	for _, table := range tables {
		lacking := slices.DeleteFunc(slices.Clone(head.Pages[table]), func(p Hash) bool { return h.pages[p] != nil })
		pages, err := getPages(ctx, h.store, lacking)
		if err != nil {
			return err
		}
		for hash, data := range pages {
			rows, err := decodePage(table, data)
			if err != nil {
				return err
			}
			h.pages[hash] = rows
		}
	}
	return nil
}

// keep drops the pages that are not of a head, which bounds the memory of a long-lived editor.
func (h *history) keep(head Head) {
	kept := make(map[Hash][]row, head.pageCount())
	for _, pages := range head.Pages {
		for _, hash := range pages {
			kept[hash] = h.pages[hash]
		}
	}
	h.pages = kept
}
