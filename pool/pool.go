// Package pool defines the pools of the configuration. A pool is the set of backend servers
// to which routes refer by one name.
package pool

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/route"
)

// ErrInvalid means that a field of a pool has a value that is not allowed.
var ErrInvalid = errors.New("invalid pool")

// MaxFloor is the largest floor of a pool, as a number of backend servers.
const MaxFloor = 100_000

// Pool selects backend servers by service and region, under a name.
type Pool struct {
	// Name is the name by which routes refer to the pool.
	Name string `json:"name"`
	// Service is the service name that the backend servers announce.
	Service string `json:"service"`
	// Regions restricts the pool to backend servers of these regions; an empty list allows all regions.
	Regions []string `json:"regions,omitempty"`
	// Floor is the number of ready backend servers of the service that ejections must leave.
	Floor int `json:"floor"`
	// AnnounceSecretSHA256 is the SHA-256 hash of the secret that backend servers must present
	// to announce the service.
	AnnounceSecretSHA256 organisation.Hash `json:"announce_secret_sha256"`
}

// Key returns the row key of the pool.
func (p Pool) Key() string { return p.Name }

// Validate returns an ErrInvalid that names the first field whose value is not allowed.
func (p Pool) Validate() error {
	if !route.ValidName(p.Name) {
		return errors.Wrapf(ErrInvalid, "pool name %q is not valid: want lower-case letters, digits, '.', '_' or '-', a letter or digit first, and no more characters than a route name may have", p.Name)
	}
	if !route.ValidName(p.Service) {
		return errors.Wrapf(ErrInvalid, "pool %s: service %q is not a valid name", p.Name, p.Service)
	}
	if p.Floor < 0 || p.Floor > MaxFloor {
		return errors.Wrapf(ErrInvalid, "pool %s: floor %d is outside 0 to %d", p.Name, p.Floor, MaxFloor)
	}
	if p.AnnounceSecretSHA256 == (organisation.Hash{}) {
		return errors.Wrapf(ErrInvalid, "pool %s: announce_secret_sha256 is missing; expected a lower-case hexadecimal SHA-256 hash", p.Name)
	}
	return nil
}

// AllowsRegion reports whether a backend server of the region may serve in the pool.
func (p Pool) AllowsRegion(region string) bool {
	return len(p.Regions) == 0 || slices.Contains(p.Regions, region)
}
