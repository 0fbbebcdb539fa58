package config

import (
	"context"
	"slices"
	"strings"
)

// rowEdit writes a row, or deletes it when row is nil.
type rowEdit struct {
	key string
	row *row
}

// tableBuilder builds the pages of a new version of a table from an older one, and reads only the
// pages that change. The result depends on the rows alone, not on the changes that led to them.
type tableBuilder struct {
	history *history
	table   Table
	// rows is the content of the unfinished page, refs that of the unfinished index page.
	rows []row
	refs []PageRef
	// index refers to the finished index pages, for the head. pages are the finished pages to write:
	// those that were not found in the older version.
	index []PageRef
	pages []page
	// oldHashes holds the hashes of the pages of the older version that were visited.
	oldHashes map[Hash]bool
}

// rewrite applies edits, sorted by key, to the older version of the table. The parameter index holds the
// references to the index pages of that version.
func (b *tableBuilder) rewrite(ctx context.Context, index []PageRef, edits []rowEdit) error {
	b.oldHashes = make(map[Hash]bool)
	for i, ref := range index {
		var pageEdits []rowEdit
		pageEdits, edits = splitEdits(edits, ref, i == len(index)-1)
		if err := b.rewriteIndex(ctx, ref, pageEdits); err != nil {
			return err
		}
	}
	if err := b.addRows(applyEdits(nil, edits)); err != nil {
		return err
	}
	if err := b.endPage(); err != nil {
		return err
	}
	return b.endIndexPage()
}

// splitEdits separates the edits up to the last key of a page from the rest; the last page takes all edits.
func splitEdits(edits []rowEdit, ref PageRef, last bool) (pageEdits, rest []rowEdit) {
	if last {
		return edits, nil
	}
	i, found := slices.BinarySearchFunc(edits, ref.Last, func(e rowEdit, key string) int { return strings.Compare(e.key, key) })
	if found {
		i++
	}
	return edits[:i], edits[i:]
}

func (b *tableBuilder) rewriteIndex(ctx context.Context, ref PageRef, edits []rowEdit) error {
	b.oldHashes[ref.Hash] = true
	if len(edits) == 0 && len(b.rows) == 0 && len(b.refs) == 0 {
		b.index = append(b.index, ref)
		return nil
	}
	refs, err := b.history.refs(ctx, ref)
	if err != nil {
		return err
	}
	for i, r := range refs {
		var pageEdits []rowEdit
		pageEdits, edits = splitEdits(edits, r, i == len(refs)-1)
		if err := b.rewritePage(ctx, r, pageEdits); err != nil {
			return err
		}
	}
	return nil
}

func (b *tableBuilder) rewritePage(ctx context.Context, ref PageRef, edits []rowEdit) error {
	b.oldHashes[ref.Hash] = true
	if len(edits) == 0 && len(b.rows) == 0 {
		return b.addRef(ref)
	}
	rows, err := b.history.rows(ctx, b.table, ref)
	if err != nil {
		return err
	}
	return b.addRows(applyEdits(rows, edits))
}

// applyEdits applies edits to rows; both are sorted by key.
func applyEdits(rows []row, edits []rowEdit) []row {
	merged := make([]row, 0, len(rows)+len(edits))
	for len(rows) > 0 || len(edits) > 0 {
		if len(edits) == 0 || len(rows) > 0 && rows[0].key < edits[0].key {
			merged = append(merged, rows[0])
			rows = rows[1:]
			continue
		}
		if len(rows) > 0 && rows[0].key == edits[0].key {
			rows = rows[1:]
		}
		if edits[0].row != nil {
			merged = append(merged, *edits[0].row)
		}
		edits = edits[1:]
	}
	return merged
}

func (b *tableBuilder) addRows(rows []row) error {
	for _, r := range rows {
		b.rows = append(b.rows, r)
		if !endsPage(r.key) {
			continue
		}
		if err := b.endPage(); err != nil {
			return err
		}
	}
	return nil
}

func (b *tableBuilder) endPage() error {
	if len(b.rows) == 0 {
		return nil
	}
	p, err := encodePage(b.table, b.rows)
	if err != nil {
		return err
	}
	last := b.rows[len(b.rows)-1].key
	b.rows = nil
	b.addPage(p)
	return b.addRef(PageRef{Last: last, Hash: p.hash})
}

func (b *tableBuilder) addRef(ref PageRef) error {
	b.refs = append(b.refs, ref)
	if !endsIndexPage(ref.Last) {
		return nil
	}
	return b.endIndexPage()
}

func (b *tableBuilder) endIndexPage() error {
	if len(b.refs) == 0 {
		return nil
	}
	p, err := encodeIndex(b.refs)
	if err != nil {
		return err
	}
	b.index = append(b.index, PageRef{Last: b.refs[len(b.refs)-1].Last, Hash: p.hash})
	b.refs = nil
	b.addPage(p)
	return nil
}

func (b *tableBuilder) addPage(p page) {
	if !b.oldHashes[p.hash] {
		b.pages = append(b.pages, p)
	}
}
