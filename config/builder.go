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

// builder makes the pages of a table from an older version of it, and reads only the pages that change.
// The result depends on the rows alone, not on the changes that led to them.
type builder struct {
	history *history
	table   Table
	// rows and refs are the unfinished page and index page.
	rows []row
	refs []PageRef
	// index is the result for the head; pages are those that the older version does not have.
	index []PageRef
	pages []page
	// old holds the pages of the older version that were seen.
	old map[Hash]bool
}

// rewrite applies edits, sorted by key, to a table with the given index.
func (b *builder) rewrite(ctx context.Context, index []PageRef, edits []rowEdit) error {
	b.old = make(map[Hash]bool)
	for i, ref := range index {
		var here []rowEdit
		here, edits = cut(edits, ref, i == len(index)-1)
		if err := b.rewriteIndex(ctx, ref, here); err != nil {
			return err
		}
	}
	if err := b.addRows(merge(nil, edits)); err != nil {
		return err
	}
	if err := b.endPage(); err != nil {
		return err
	}
	return b.endIndexPage()
}

// cut splits edits after the last key of a page; the last page of a table takes all.
func cut(edits []rowEdit, ref PageRef, last bool) (here, rest []rowEdit) {
	if last {
		return edits, nil
	}
	i, found := slices.BinarySearchFunc(edits, ref.Last, func(e rowEdit, key string) int { return strings.Compare(e.key, key) })
	if found {
		i++
	}
	return edits[:i], edits[i:]
}

func (b *builder) rewriteIndex(ctx context.Context, ref PageRef, edits []rowEdit) error {
	b.old[ref.Hash] = true
	if len(edits) == 0 && len(b.rows) == 0 && len(b.refs) == 0 {
		b.index = append(b.index, ref)
		return nil
	}
	refs, err := b.history.refs(ctx, ref)
	if err != nil {
		return err
	}
	for i, r := range refs {
		var here []rowEdit
		here, edits = cut(edits, r, i == len(refs)-1)
		if err := b.rewritePage(ctx, r, here); err != nil {
			return err
		}
	}
	return nil
}

func (b *builder) rewritePage(ctx context.Context, ref PageRef, edits []rowEdit) error {
	b.old[ref.Hash] = true
	if len(edits) == 0 && len(b.rows) == 0 {
		return b.addRef(ref)
	}
	rows, err := b.history.rows(ctx, b.table, ref)
	if err != nil {
		return err
	}
	return b.addRows(merge(rows, edits))
}

// merge applies edits to sorted rows.
func merge(rows []row, edits []rowEdit) []row {
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

func (b *builder) addRows(rows []row) error {
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

func (b *builder) endPage() error {
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

func (b *builder) addRef(ref PageRef) error {
	b.refs = append(b.refs, ref)
	if !endsIndexPage(ref.Last) {
		return nil
	}
	return b.endIndexPage()
}

func (b *builder) endIndexPage() error {
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

func (b *builder) addPage(p page) {
	if !b.old[p.hash] {
		b.pages = append(b.pages, p)
	}
}
