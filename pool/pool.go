// Package pool holds the pools of the fleet: which backend servers serve under a given name.
package pool

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/route"
)

// ErrInvalid marks a pool whose fields break a rule.
var ErrInvalid = errors.New("invalid pool")

// MaxFloor bounds the floor of a pool, in backend servers.
const MaxFloor = 100_000

// Pool says which backend servers serve under a name.
type Pool struct {
	// Name is what routes refer to.
	Name string `json:"name"`
	// Service is the service name that the backend servers announce.
	Service string `json:"service"`
	// Regions restricts the pool to backend servers of these regions; empty allows all.
	Regions []string `json:"regions,omitempty"`
	// Floor is the number of backend servers of the service that ejection leaves in place.
	Floor int `json:"floor"`
	// AnnounceSecretSHA256 is the hash of the secret with which backend servers announce the service.
	AnnounceSecretSHA256 organisation.Hash `json:"announce_secret_sha256"`
}

// Key returns the row key of the pool.
func (p Pool) Key() string { return p.Name }

// Validate returns ErrInvalid with the first field that breaks a rule.
func (p Pool) Validate() error {
	if !route.ValidName(p.Name) {
		return errors.Wrapf(ErrInvalid, "name %q is not a valid name", p.Name)
	}
	if !route.ValidName(p.Service) {
		return errors.Wrapf(ErrInvalid, "pool %s: service %q is not a valid name", p.Name, p.Service)
	}
	if p.Floor < 0 || p.Floor > MaxFloor {
		return errors.Wrapf(ErrInvalid, "pool %s: floor %d is outside 0 to %d", p.Name, p.Floor, MaxFloor)
	}
	if p.AnnounceSecretSHA256 == (organisation.Hash{}) {
		return errors.Wrapf(ErrInvalid, "pool %s: announce_secret_sha256 is not a hex SHA-256", p.Name)
	}
	return nil
}

// Allows reports whether a backend server of the region may serve in the pool.
func (p Pool) Allows(region string) bool {
	return len(p.Regions) == 0 || slices.Contains(p.Regions, region)
}
