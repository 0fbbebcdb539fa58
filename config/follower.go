package config

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// Follower builds snapshots from heads and pages of any source. The version of its snapshot never decreases.
// It does no I/O and is not safe for concurrent use.
type Follower struct {
	snapshot *Snapshot
	// headData is the encoded head of the snapshot; rowPages holds the references to
	// the snapshot's pages of rows.
	headData []byte
	rowPages map[Table][]PageRef
	// target is the highest head offered; it comes into force when all its pages are held.
	target     Head
	targetData []byte
	pages      map[Hash]heldPage
	// missing holds the pages that the target is known to need and that are not held.
	missing map[Hash]missingPage
}

// heldPage is a page in its encoded form, which is served to peers, with its decoded content.
type heldPage struct {
	data []byte
	refs []PageRef // set for an index page
	rows any       // []route.Route, []pool.Pool or []organisation.Organisation for a page of rows
}

type missingPage struct {
	table Table
	index bool
	ref   PageRef
}

// NewFollower returns a follower with an empty snapshot of version 0.
func NewFollower() *Follower {
	return &Follower{snapshot: NewSnapshot(0, nil, nil, nil), pages: make(map[Hash]heldPage)}
}

// Snapshot returns the snapshot of the version in force.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot }

// Target returns the highest version offered; it is in force once MissingPages is empty.
func (f *Follower) Target() uint64 { return f.target.Version }

// EncodedHead returns the encoded head in force; nil when there is none.
func (f *Follower) EncodedHead() []byte { return f.headData }

// Page returns an encoded page that the follower holds.
func (f *Follower) Page(hash Hash) ([]byte, bool) {
	p, ok := f.pages[hash]
	return p.data, ok
}

// Pages returns all encoded pages that the follower holds, in a new map that the follower does not
// change later.
func (f *Follower) Pages() map[Hash][]byte {
	pages := make(map[Hash][]byte, len(f.pages))
	for hash, p := range f.pages {
		pages[hash] = p.data
	}
	return pages
}

// MissingPages returns the hashes of the pages that the target still needs, sorted.
func (f *Follower) MissingPages() []Hash {
	hashes := make([]Hash, 0, len(f.missing))
	for hash := range f.missing {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	return hashes
}

// OfferHead takes an encoded head and reports whether it became the target.
// A head whose version is not higher than that of the target is ignored. The errors are those of DecodeHead.
func (f *Follower) OfferHead(data []byte) (bool, error) {
	head, err := DecodeHead(data)
	if err != nil || head.Version <= f.target.Version {
		return false, err
	}
	f.target = head
	f.targetData = data
	f.missing = make(map[Hash]missingPage)
	for table, refs := range head.Index {
		f.addMissing(table, refs, true)
	}
	return true, f.advance()
}

// AbandonTarget gives up a target whose pages cannot be obtained, so that a lower version can be
// offered, as long as it is above the version in force. The pages already held for the target are kept.
func (f *Follower) AbandonTarget() {
	f.target = Head{Version: f.snapshot.Version()}
	f.missing = nil
}

// addMissing records the pages that are not held, and those not held that a held index page refers to.
func (f *Follower) addMissing(table Table, refs []PageRef, index bool) {
	for _, ref := range refs {
		held, ok := f.pages[ref.Hash]
		if !ok {
			f.missing[ref.Hash] = missingPage{table: table, index: index, ref: ref}
		} else if index {
			f.addMissing(table, held.refs, false)
		}
	}
}

// OfferPage takes a page. A page that is not missing is ignored.
// It returns ErrCorrupt when the data does not match the hash or cannot be decoded.
func (f *Follower) OfferPage(hash Hash, data []byte) error {
	wanted, ok := f.missing[hash]
	if !ok {
		return nil
	}
	if hashOf(data) != hash {
		return errors.Wrapf(ErrCorrupt, "data offered for page %s does not match this hash", hash)
	}
	page, err := wanted.decode(data)
	if err != nil {
		return err
	}
	f.pages[hash] = page
	delete(f.missing, hash)
	f.addMissing(wanted.table, page.refs, false)
	return f.advance()
}

func (w missingPage) decode(data []byte) (heldPage, error) {
	if w.index {
		refs, err := decodeIndex(data)
		if err != nil {
			return heldPage{}, err
		}
		return heldPage{data: data, refs: refs}, w.ref.checkLast(refs[len(refs)-1].Last)
	}
	rows, err := decodePage(w.table, data)
	if err != nil {
		return heldPage{}, err
	}
	return heldPage{data: data, rows: typedRows(w.table, rows)}, w.ref.checkLast(rows[len(rows)-1].key)
}

// advance puts the target in force when no page is missing, and drops the pages that the target does not use.
// A target whose pages are inconsistent with each other is abandoned.
func (f *Follower) advance() error {
	if len(f.missing) > 0 || f.target.Version == f.snapshot.Version() {
		return nil
	}
	rowPages := make(map[Table][]PageRef, len(tables))
	for _, table := range tables {
		for _, ref := range f.target.Index[table] {
			rowPages[table] = append(rowPages[table], f.pages[ref.Hash].refs...)
		}
	}
	snapshot, err := f.compile(rowPages)
	if err != nil {
		f.AbandonTarget()
		return err
	}
	f.snapshot = snapshot
	f.headData = f.targetData
	f.rowPages = rowPages
	f.dropUnused()
	return nil
}

// compile builds the snapshot of the target. It updates the route matcher of the version in force with the
// pages that differ, and builds the pools again only when one of their pages differs.
func (f *Follower) compile(rowPages map[Table][]PageRef) (*Snapshot, error) {
	routes, err := typedPages[route.Route](f, rowPages[Routes])
	if err != nil {
		return nil, err
	}
	pools, err := typedPages[pool.Pool](f, rowPages[Pools])
	if err != nil {
		return nil, err
	}
	organisations, err := typedPages[organisation.Organisation](f, rowPages[Organisations])
	if err != nil {
		return nil, err
	}
	removed, err := typedPages[route.Route](f, refsNotIn(f.rowPages[Routes], rowPages[Routes]))
	if err != nil {
		return nil, err
	}
	added, err := typedPages[route.Route](f, refsNotIn(rowPages[Routes], f.rowPages[Routes]))
	if err != nil {
		return nil, err
	}
	s := &Snapshot{version: f.target.Version, routes: routes, organisations: organisations, pools: f.snapshot.pools}
	s.digest = sync.OnceValue(s.computeDigest)
	s.matcher = f.snapshot.matcher.Replace(removed, added)
	if !slices.Equal(f.rowPages[Pools], rowPages[Pools]) {
		s.pools = newPoolSet(slices.Concat(pools...))
	}
	return s, nil
}

func (f *Follower) dropUnused() {
	used := make(map[Hash]bool, len(f.pages))
	for _, table := range tables {
		for _, ref := range slices.Concat(f.target.Index[table], f.rowPages[table]) {
			used[ref.Hash] = true
		}
	}
	for hash := range f.pages {
		if !used[hash] {
			delete(f.pages, hash)
		}
	}
}

// typedPages returns the rows of pages, whose keys must ascend from page to page.
func typedPages[T rowValue](f *Follower, refs []PageRef) (rowTable[T], error) {
	pages := make(rowTable[T], len(refs))
	for i, ref := range refs {
		rows, ok := f.pages[ref.Hash].rows.([]T)
		if !ok || i > 0 && refs[i-1].Last >= rows[0].Key() {
			return nil, errors.Wrapf(ErrCorrupt, "version %d: page %s is out of order or belongs to another table", f.target.Version, ref.Hash)
		}
		pages[i] = rows
	}
	return pages, nil
}

func typedRows(table Table, rows []row) any {
	switch table {
	case Routes:
		return rowValues[route.Route](rows)
	case Pools:
		return rowValues[pool.Pool](rows)
	}
	return rowValues[organisation.Organisation](rows)
}

func rowValues[T rowValue](rows []row) []T {
	values := make([]T, len(rows))
	for i, r := range rows {
		values[i] = r.value.(T)
	}
	return values
}
