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
	// inForce is the encoded head of the snapshot.
	inForce []byte
	// target is the highest head offered; it is in force when all its pages are held.
	target     Head
	targetData []byte
	pages      map[Hash]heldPage
	// lacking holds the table of each page that the target still needs.
	lacking map[Hash]Table
}

// heldPage is a page as it is served to peers, and its rows.
type heldPage struct {
	data []byte
	rows any // []route.Route, []pool.Pool or []organisation.Organisation
}

// NewFollower returns a follower with an empty snapshot of version 0.
func NewFollower() *Follower {
	return &Follower{snapshot: NewSnapshot(0, nil, nil, nil), pages: make(map[Hash]heldPage)}
}

// Snapshot returns the version in force.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot }

// Target returns the highest version offered; it is in force once Lacking is empty.
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

// Lacking returns the hashes of the pages that the target still needs, sorted.
func (f *Follower) Lacking() []Hash {
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
	f.lacking = make(map[Hash]Table)
	for table, hashes := range head.Pages {
		for _, hash := range hashes {
			if _, held := f.pages[hash]; !held {
				f.lacking[hash] = table
			}
		}
	}
	return true, f.advance()
}

// OfferPage takes a page. A page that is not lacking is ignored.
// It returns ErrCorrupt when the data does not have the hash or does not decode.
func (f *Follower) OfferPage(hash Hash, data []byte) error {
	table, wanted := f.lacking[hash]
	if !wanted {
		return nil
	}
	if hashOf(data) != hash {
		return errors.Wrapf(ErrCorrupt, "page %s does not have its hash", hash)
	}
	rows, err := decodePage(table, data)
	if err != nil {
		return err
	}
	f.pages[hash] = heldPage{data: data, rows: typedRows(table, rows)}
	delete(f.lacking, hash)
	return f.advance()
}

// advance puts the target in force when no page is lacking, and drops the pages of older versions.
func (f *Follower) advance() error {
	if len(f.lacking) > 0 || f.target.Version == f.snapshot.Version() {
		return nil
	}
	routes, err := rowsOf[route.Route](f, Routes)
	if err != nil {
		return err
	}
	pools, err := rowsOf[pool.Pool](f, Pools)
	if err != nil {
		return err
	}
	organisations, err := rowsOf[organisation.Organisation](f, Organisations)
	if err != nil {
		return err
	}
	f.snapshot = NewSnapshot(f.target.Version, routes, pools, organisations)
	f.inForce = f.targetData
	f.dropUnused()
	return nil
}

func (f *Follower) dropUnused() {
	used := f.target.pageSet()
	for hash := range f.pages {
		if !used[hash] {
			delete(f.pages, hash)
		}
	}
}

// rowsOf joins the rows of the target's pages, which must rise by key.
func rowsOf[T keyed](f *Follower, table Table) ([]T, error) {
	var all []T
	for _, hash := range f.target.Pages[table] {
		rows, ok := f.pages[hash].rows.([]T)
		if !ok || len(all) > 0 && all[len(all)-1].Key() >= rows[0].Key() {
			return nil, errors.Wrapf(ErrCorrupt, "version %d: page %s of %s is out of place", f.target.Version, hash, table)
		}
		all = append(all, rows...)
	}
	return all, nil
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
