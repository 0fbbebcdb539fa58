// Package config holds the configuration of the fleet: its versions, its pages
// in the object store, and the way a change is committed and followed.
package config

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// Snapshot is one version of the configuration, compiled for lookups.
// It is immutable and safe for concurrent use; versions share what they have in common.
type Snapshot struct {
	version       uint64
	routes        rowTable[route.Route]
	matcher       *route.Matcher
	pools         *poolSet
	organisations rowTable[organisation.Organisation]
}

// rowTable is a table as the rows of its pages, which rise by key and are not empty.
type rowTable[T keyed] [][]T

// find returns the row of a key.
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

// onePage returns a table of a sorted copy of rows.
func onePage[T keyed](rows []T) rowTable[T] {
	if len(rows) == 0 {
		return nil
	}
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b T) int { return strings.Compare(a.Key(), b.Key()) })
	return rowTable[T]{sorted}
}

// poolSet holds the pools, few enough to be compiled anew when one changes.
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
	sorted := onePage(routes)
	return &Snapshot{
		version:       version,
		routes:        sorted,
		matcher:       new(route.Matcher).With(nil, sorted),
		pools:         newPoolSet(pools),
		organisations: onePage(organisations),
	}
}

// Version returns the version; 0 means that no configuration is in force.
func (s *Snapshot) Version() uint64 { return s.version }

// Match returns the route of an organisation's request.
func (s *Snapshot) Match(organisation, host, method, path string) (route.Route, bool) {
	return s.matcher.Match(organisation, host, method, path)
}

// Routes returns all routes in the order of their keys, in a slice of its own.
func (s *Snapshot) Routes() []route.Route { return slices.Concat(s.routes...) }

// Pool returns the pool of a name.
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

// Floor returns the floor of a service: the highest floor of its pools, in backend servers.
func (s *Snapshot) Floor(service string) int { return s.pools.floors[service] }

// Organisation returns the organisation of a name.
func (s *Snapshot) Organisation(name string) (organisation.Organisation, bool) {
	return s.organisations.find(name)
}

// Authenticate reports whether secret is the organisation's secret.
func (s *Snapshot) Authenticate(name, secret string) bool {
	o, ok := s.organisations.find(name)
	return ok && organisation.CheckSecret(secret, o.SecretSHA256)
}

// MayAnnounce reports whether secret allows announcing the service.
func (s *Snapshot) MayAnnounce(service, secret string) bool {
	for _, p := range s.pools.byName {
		if p.Service == service && organisation.CheckSecret(secret, p.AnnounceSecretSHA256) {
			return true
		}
	}
	return false
}
