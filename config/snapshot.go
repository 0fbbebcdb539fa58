// Package config stores the configuration of the fleet as a series of versions in the object store.
//
// The head of a version refers to index pages, which refer to pages of rows; versions share the
// pages that do not differ. An Editor commits a change as a new version. A Follower turns the heads
// and pages that it is given into a Snapshot, which a node uses for look-ups.
package config

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// Snapshot is one version of the configuration, compiled for lookups.
// It is immutable and safe for concurrent use. Successive snapshots of a follower share the parts
// that did not change.
type Snapshot struct {
	version       uint64
	routes        rowTable[route.Route]
	matcher       *route.Matcher
	pools         *poolSet
	organisations rowTable[organisation.Organisation]
	// byKey holds the positions of the organisations that have API keys, in the only page of organisations.
	// Copies of them would double the memory of a snapshot with 160,000 organisations.
	byKey map[organisation.Hash]uint32
	// digest returns the digest of the rows.
	digest func() Digest
}

// rowTable holds the rows of a table by page. No page is empty, and keys ascend within a page and
// from page to page.
type rowTable[T rowValue] [][]T

// find returns the row with the given key.
func (t rowTable[T]) find(key string) (T, bool) {
	var none T
	page := sort.Search(len(t), func(i int) bool { return t[i][len(t[i])-1].Key() >= key })
	if page == len(t) {
		return none, false
	}
	i, ok := slices.BinarySearchFunc(t[page], key, func(r T, key string) int { return strings.Compare(r.Key(), key) })
	if !ok {
		return none, false
	}
	return t[page][i], true
}

// singlePageTable returns a table of one page that holds a sorted copy of rows.
func singlePageTable[T rowValue](rows []T) rowTable[T] {
	if len(rows) == 0 {
		return nil
	}
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b T) int { return strings.Compare(a.Key(), b.Key()) })
	return pageOf(sorted)
}

// pageOf returns a table of one page that holds rows, which are sorted by key.
func pageOf[T rowValue](rows []T) rowTable[T] {
	if len(rows) == 0 {
		return nil
	}
	return rowTable[T]{rows}
}

// rows returns all rows in the order of their keys. The caller must not change them.
func (t rowTable[T]) rows() []T {
	if len(t) == 1 {
		return t[0]
	}
	return slices.Concat(t...)
}

// poolSet holds the pools of a version. They are few enough to build a new set when one changes.
type poolSet struct {
	byName map[string]pool.Pool
	floors map[string]int
}

func newPoolSet(pools []pool.Pool) *poolSet {
	s := &poolSet{byName: make(map[string]pool.Pool, len(pools)), floors: make(map[string]int)}
	for _, p := range pools {
		s.byName[p.Name] = p
		s.floors[p.Service] = max(s.floors[p.Service], p.Floor)
	}
	return s
}

// NewSnapshot compiles the tables of a version. It sorts copies of the rows by key.
func NewSnapshot(version uint64, routes []route.Route, pools []pool.Pool, organisations []organisation.Organisation) *Snapshot {
	sorted := singlePageTable(routes)
	s := &Snapshot{
		version:       version,
		routes:        sorted,
		matcher:       new(route.Matcher).Replace(nil, sorted),
		pools:         newPoolSet(pools),
		organisations: singlePageTable(organisations),
	}
	if s.HasOrganisations() {
		s.byKey = indexKeys(s.organisations[0])
	}
	s.digest = sync.OnceValue(s.computeDigest)
	return s
}

// indexKeys returns the positions of the organisations by the hashes of their API keys.
func indexKeys(organisations []organisation.Organisation) map[organisation.Hash]uint32 {
	count := 0
	for _, o := range organisations {
		count += len(o.KeyHashes)
	}
	byKey := make(map[organisation.Hash]uint32, count)
	for i, o := range organisations {
		for _, h := range o.KeyHashes {
			byKey[h] = uint32(i)
		}
	}
	return byKey
}

// Version returns the version of the snapshot; 0 means that no configuration is in force.
func (s *Snapshot) Version() uint64 { return s.version }

// Match returns the route that matches a request of the organisation; false when there is none.
func (s *Snapshot) Match(organisation, host, method, path string) (route.Route, bool) {
	return s.matcher.Match(organisation, host, method, path)
}

// Route returns the route with the given key; false when there is none.
func (s *Snapshot) Route(key string) (route.Route, bool) { return s.routes.find(key) }

// Routes returns all routes in the order of their keys, in a new slice.
func (s *Snapshot) Routes() []route.Route { return slices.Concat(s.routes...) }

// Pool returns the pool with the given name; false when there is none.
func (s *Snapshot) Pool(name string) (pool.Pool, bool) {
	p, ok := s.pools.byName[name]
	return p, ok
}

// Pools returns all pools in the order of their names.
func (s *Snapshot) Pools() []pool.Pool {
	names := slices.Sorted(maps.Keys(s.pools.byName))
	pools := make([]pool.Pool, len(names))
	for i, name := range names {
		pools[i] = s.pools.byName[name]
	}
	return pools
}

// Floor returns the floor of a service, as a number of backend servers: the highest floor of its pools.
func (s *Snapshot) Floor(service string) int { return s.pools.floors[service] }

// Organisation returns the organisation with the given name; false when there is none.
func (s *Snapshot) Organisation(name string) (organisation.Organisation, bool) {
	return s.organisations.find(name)
}

// Organisations returns all organisations in the order of their names. The caller must not change them.
func (s *Snapshot) Organisations() []organisation.Organisation { return s.organisations.rows() }

// OrganisationByKey returns the organisation that holds the API key with the given hash; false when
// none does.
func (s *Snapshot) OrganisationByKey(h organisation.Hash) (organisation.Organisation, bool) {
	i, ok := s.byKey[h]
	if !ok {
		return organisation.Organisation{}, false
	}
	return s.organisations[0][i], true
}

// HasOrganisations reports whether there are organisations. They may have no API keys.
func (s *Snapshot) HasOrganisations() bool { return len(s.organisations) > 0 }

// Authenticate reports whether secret is the secret of the organisation with the given name.
func (s *Snapshot) Authenticate(name, secret string) bool {
	o, ok := s.organisations.find(name)
	return ok && organisation.CheckSecret(secret, o.SecretSHA256)
}

// MayAnnounce reports whether secret is the announce secret of a pool of the service.
func (s *Snapshot) MayAnnounce(service, secret string) bool {
	for _, p := range s.pools.byName {
		if p.Service == service && organisation.CheckSecret(secret, p.AnnounceSecretSHA256) {
			return true
		}
	}
	return false
}

// CallerLimits bounds the size of a caller's requests; 0 means no limit.
type CallerLimits struct {
	HeaderBytes int64 `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
}
