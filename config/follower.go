package config

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// Follower turns heads and pages of any source into snapshots whose version never decreases.
// It does no I/O and is not safe for concurrent use.
type Follower struct {
	snapshot *Snapshot
	// inForce is the encoded head of the snapshot, leaves its pages of rows.
	inForce []byte
	leaves  map[Table][]PageRef
	// target is the highest head offered; it is in force when all its pages are held.
	target     Head
	targetData []byte
	pages      map[Hash]heldPage
	// lacking holds the pages that the target is known to need.
	lacking map[Hash]wantedPage
}

// heldPage is a page as it is served to peers, and its content.
type heldPage struct {
	data []byte
	refs []PageRef // of an index page
	rows any       // []route.Route, []pool.Pool or []organisation.Organisation
}

type wantedPage struct {
	table Table
	index bool
	ref   PageRef
}

// NewFollower returns a follower with an empty snapshot of version 0.
func NewFollower() *Follower {
	return &Follower{snapshot: NewSnapshot(0, nil, nil, nil), pages: make(map[Hash]heldPage)}
}

// Snapshot returns the version in force.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot }

// Target returns the highest version offered; it is in force once MissingPages is empty.
func (f *Follower) Target() uint64 { return f.target.Version }

// Head returns the encoded head in force, nil when there is none.
func (f *Follower) Head() []byte { return f.inForce }

// Page returns an encoded page that the follower holds.
func (f *Follower) Page(hash Hash) ([]byte, bool) {
	p, ok := f.pages[hash]
	return p.data, ok
}

// Pages returns all encoded pages held, in a map of its own that stays as it is.
func (f *Follower) Pages() map[Hash][]byte {
	pages := make(map[Hash][]byte, len(f.pages))
	for hash, p := range f.pages {
		pages[hash] = p.data
	}
	return pages
}

// MissingPages returns the hashes of the pages that the target still needs, sorted.
func (f *Follower) MissingPages() []Hash {
	hashes := make([]Hash, 0, len(f.lacking))
	for hash := range f.lacking {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	return hashes
}

// OfferHead takes an encoded head and reports whether it became the target.
// A head that is not higher than the target is ignored. Errors are those of DecodeHead.
func (f *Follower) OfferHead(data []byte) (bool, error) {
	head, err := DecodeHead(data)
	if err != nil || head.Version <= f.target.Version {
		return false, err
	}
	f.target = head
	f.targetData = data
	f.lacking = make(map[Hash]wantedPage)
	for table, refs := range head.Index {
		f.want(table, refs, true)
	}
	return true, f.advance()
}

// Abandon gives up a target whose pages cannot be had, so that a lower version can be
// offered that is above the one in force. The pages that were read for it are kept.
func (f *Follower) Abandon() {
	f.target = Head{Version: f.snapshot.Version()}
	f.lacking = nil
}

// want notes the pages that are not held, and those below index pages that are held.
func (f *Follower) want(table Table, refs []PageRef, index bool) {
	for _, ref := range refs {
		held, ok := f.pages[ref.Hash]
		if !ok {
			f.lacking[ref.Hash] = wantedPage{table: table, index: index, ref: ref}
		} else if index {
			f.want(table, held.refs, false)
		}
	}
}

// OfferPage takes a page. A page that is not lacking is ignored.
// It returns ErrCorrupt when the data does not have the hash or does not decode.
func (f *Follower) OfferPage(hash Hash, data []byte) error {
	wanted, ok := f.lacking[hash]
	if !ok {
		return nil
	}
	if hashOf(data) != hash {
		return errors.Wrapf(ErrCorrupt, "page %s does not have its hash", hash)
	}
	page, err := wanted.decode(data)
	if err != nil {
		return err
	}
	f.pages[hash] = page
	delete(f.lacking, hash)
	f.want(wanted.table, page.refs, false)
	return f.advance()
}

func (w wantedPage) decode(data []byte) (heldPage, error) {
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

// advance puts the target in force when no page is lacking, and drops the pages of older versions.
// A target whose pages do not fit together is abandoned.
func (f *Follower) advance() error {
	if len(f.lacking) > 0 || f.target.Version == f.snapshot.Version() {
		return nil
	}
	leaves := make(map[Table][]PageRef, len(tables))
	for _, table := range tables {
		for _, ref := range f.target.Index[table] {
			leaves[table] = append(leaves[table], f.pages[ref.Hash].refs...)
		}
	}
	snapshot, err := f.compile(leaves)
	if err != nil {
		f.Abandon()
		return err
	}
	f.snapshot = snapshot
	f.inForce = f.targetData
	f.leaves = leaves
	f.dropUnused()
	return nil
}

// compile makes the snapshot of the target from the one in force and the pages that differ.
func (f *Follower) compile(leaves map[Table][]PageRef) (*Snapshot, error) {
	routes, err := pagesOf[route.Route](f, leaves[Routes])
	if err != nil {
		return nil, err
	}
	pools, err := pagesOf[pool.Pool](f, leaves[Pools])
	if err != nil {
		return nil, err
	}
	organisations, err := pagesOf[organisation.Organisation](f, leaves[Organisations])
	if err != nil {
		return nil, err
	}
	removed, err := pagesOf[route.Route](f, without(f.leaves[Routes], leaves[Routes]))
	if err != nil {
		return nil, err
	}
	added, err := pagesOf[route.Route](f, without(leaves[Routes], f.leaves[Routes]))
	if err != nil {
		return nil, err
	}
	s := &Snapshot{version: f.target.Version, routes: routes, organisations: organisations, pools: f.snapshot.pools}
	s.matcher = f.snapshot.matcher.With(removed, added)
	if !slices.Equal(f.leaves[Pools], leaves[Pools]) {
		s.pools = newPoolSet(slices.Concat(pools...))
	}
	return s, nil
}

func (f *Follower) dropUnused() {
	used := make(map[Hash]bool, len(f.pages))
	for _, table := range tables {
		for _, ref := range slices.Concat(f.target.Index[table], f.leaves[table]) {
			used[ref.Hash] = true
		}
	}
	for hash := range f.pages {
		if !used[hash] {
			delete(f.pages, hash)
		}
	}
}

// pagesOf returns the rows of pages, which must rise by key.
func pagesOf[T keyed](f *Follower, refs []PageRef) (rowTable[T], error) {
	pages := make(rowTable[T], len(refs))
	for i, ref := range refs {
		rows, ok := f.pages[ref.Hash].rows.([]T)
		if !ok || i > 0 && refs[i-1].Last >= rows[0].Key() {
			return nil, errors.Wrapf(ErrCorrupt, "version %d: page %s is out of place", f.target.Version, ref.Hash)
		}
		pages[i] = rows
	}
	return pages, nil
}

func typedRows(table Table, rows []row) any {
	switch table {
	case Routes:
		return values[route.Route](rows)
	case Pools:
		return values[pool.Pool](rows)
	}
	return values[organisation.Organisation](rows)
}

func values[T keyed](rows []row) []T {
	values := make([]T, len(rows))
	for i, r := range rows {
		values[i] = r.value.(T)
	}
	return values
}
