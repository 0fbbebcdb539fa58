// Package config holds the configuration of the fleet: its versions, its pages
// in the object store, and the way a change is committed and followed.
package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// Snapshot is one version of the configuration, compiled for lookups.
// It is immutable and safe for concurrent use.
type Snapshot struct {
	version       uint64
	routes        []route.Route
	matcher       *route.Matcher
	pools         map[string]pool.Pool
	organisations map[string]organisation.Organisation
	floors        map[string]int
}

// NewSnapshot compiles the tables of a version. It sorts copies of the rows by key.
func NewSnapshot(version uint64, routes []route.Route, pools []pool.Pool, organisations []organisation.Organisation) *Snapshot {
	s := &Snapshot{
		version:       version,
		routes:        slices.Clone(routes),
		pools:         make(map[string]pool.Pool, len(pools)),
		organisations: make(map[string]organisation.Organisation, len(organisations)),
		floors:        make(map[string]int),
	}
	slices.SortFunc(s.routes, func(a, b route.Route) int { return strings.Compare(a.Key(), b.Key()) })
	s.matcher = route.NewMatcher(s.routes)
	for _, p := range pools {
		s.pools[p.Name] = p
		s.floors[p.Service] = max(s.floors[p.Service], p.Floor)
	}
	for _, o := range organisations {
		s.organisations[o.Name] = o
	}
	return s
}

// Version returns the version; 0 means that no configuration is in force.
func (s *Snapshot) Version() uint64 { return s.version }

// Match returns the route of an organisation's request.
func (s *Snapshot) Match(organisation, host, method, path string) (route.Route, bool) {
	return s.matcher.Match(organisation, host, method, path)
}

// Routes returns all routes in the order of their keys. The caller must not change them.
func (s *Snapshot) Routes() []route.Route { return s.routes }

// Pool returns the pool of a name.
func (s *Snapshot) Pool(name string) (pool.Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Pools returns all pools in the order of their names.
func (s *Snapshot) Pools() []pool.Pool {
	names := slices.Sorted(maps.Keys(s.pools))
	pools := make([]pool.Pool, len(names))
	for i, name := range names {
		pools[i] = s.pools[name]
	}
	return pools
}

// Floor returns the floor of a service: the highest floor of its pools, in backend servers.
func (s *Snapshot) Floor(service string) int { return s.floors[service] }

// Organisation returns the organisation of a name.
func (s *Snapshot) Organisation(name string) (organisation.Organisation, bool) {
	o, ok := s.organisations[name]
	return o, ok
}

// Authenticate reports whether secret is the organisation's secret.
func (s *Snapshot) Authenticate(name, secret string) bool {
	o, ok := s.organisations[name]
	return ok && organisation.CheckSecret(secret, o.SecretSHA256)
}

// MayAnnounce reports whether secret allows announcing the service.
func (s *Snapshot) MayAnnounce(service, secret string) bool {
	for _, p := range s.pools {
		if p.Service == service && organisation.CheckSecret(secret, p.AnnounceSecretSHA256) {
			return true
		}
	}
	return false
}
