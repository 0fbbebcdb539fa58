// Package ejection decides when a backend server may be ejected, that is, get no traffic
// except re-tests. Each ejection needs a permit, kept in a shared store, so that the nodes
// together leave each service at least its floor of ready backend servers. Clocks of
// different nodes are never compared.
package ejection

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrFloor means that a further ejection would take the service below its floor.
	ErrFloor = errors.New("ejection would take the service below its floor")
	// ErrNotReady means that the backend server is not known to be ready.
	ErrNotReady = errors.New("backend server is not known to be ready")
	// ErrAlreadyEjected means that a permit for the backend server exists already.
	ErrAlreadyEjected = errors.New("backend server is already ejected under a permit")
	// ErrNoPermit means that no such permit is held, or that it is not in the store or has
	// been renewed already.
	ErrNoPermit = errors.New("permit is not held, not stored or already renewed")
	// ErrInvalid means that a stored value is not a valid set of permits.
	ErrInvalid = errors.New("invalid set of permits in the store")
)

// Permit allows its holder to eject one backend server.
type Permit struct {
	// ID is unique. The holder uses it to find a permit when the response to its write was lost.
	ID        string `json:"id"`
	BackendID string `json:"backend_id"`
	// Holder is unique to one process: node ID and incarnation.
	Holder string `json:"holder"`
	// Renewal rises with each attempt to renew the permit, so that a late write of an earlier
	// attempt can be distinguished from the write of the latest one.
	Renewal uint64 `json:"renewal"`
	// Lifetime is the time from the start of the write to the lapse of the permit at its
	// holder, in nanoseconds.
	Lifetime time.Duration `json:"lifetime_ns"`
}

// PermitSet is the object stored for one service. Every permit in it counts against the
// floor, whether or not its holder still uses it.
type PermitSet struct {
	Service string   `json:"service"`
	Permits []Permit `json:"permits"`
	// Ejections counts the ejections of each backend server. The hold time grows with it.
	Ejections map[string]int `json:"ejections"`
}

// Decode parses the stored object of a service. Nil data means that the object does not
// exist yet, and yields an empty set.
func Decode(service string, data []byte) (PermitSet, error) {
	p := PermitSet{Service: service}
	if data == nil {
		return p, nil
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return PermitSet{}, errors.Wrapf(ErrInvalid, "%v", err)
	}
	return p, p.validate(service)
}

// Encode returns the set in its stored format.
func (p PermitSet) Encode() ([]byte, error) { return json.Marshal(p) }

func (p PermitSet) validate(service string) error {
	if p.Service != service {
		return errors.Wrapf(ErrInvalid, "the object is for service %q, expected %q", p.Service, service)
	}
	seen := make(map[string]bool)
	for _, q := range p.Permits {
		if q.ID == "" || q.BackendID == "" || q.Lifetime <= 0 || seen[q.BackendID] {
			return errors.Wrapf(ErrInvalid, "permit %q for backend server %q is invalid: each permit needs an ID, a backend server and a lifetime above 0, and each backend server may have only one permit", q.ID, q.BackendID)
		}
		seen[q.BackendID] = true
	}
	return nil
}

// Find returns the permit with the given ID.
func (p PermitSet) Find(id string) (Permit, bool) {
	i := slices.IndexFunc(p.Permits, func(q Permit) bool { return q.ID == id })
	if i < 0 {
		return Permit{}, false
	}
	return p.Permits[i], true
}

// Ejected returns the IDs of the backend servers with a permit.
func (p PermitSet) Ejected() map[string]bool {
	ids := make(map[string]bool, len(p.Permits))
	for _, q := range p.Permits {
		ids[q.BackendID] = true
	}
	return ids
}

// Grant returns the set with the permit q added, or ErrAlreadyEjected, ErrNotReady or ErrFloor. The
// list ready holds the IDs of the ready backend servers known, ejected ones included.
func (p PermitSet) Grant(q Permit, ready []string, floor int) (PermitSet, error) {
	ejected := p.Ejected()
	if ejected[q.BackendID] {
		return p, ErrAlreadyEjected
	}
	if !slices.Contains(ready, q.BackendID) {
		return p, ErrNotReady
	}
	if Remaining(ready, ejected)-1 < EffectiveFloor(floor) {
		return p, ErrFloor
	}
	n := p.clone()
	n.forgetDeparted(ready)
	n.Permits = append(n.Permits, q)
	n.Ejections[q.BackendID]++
	return n, nil
}

// Renew returns the set with a permit's renewal raised to the given one. It returns
// ErrNoPermit when the permit is not in the set or has that renewal or a higher one.
func (p PermitSet) Renew(id string, renewal uint64) (PermitSet, error) {
	n := p.clone()
	i := slices.IndexFunc(n.Permits, func(q Permit) bool { return q.ID == id })
	if i < 0 || renewal <= n.Permits[i].Renewal {
		return p, ErrNoPermit
	}
	n.Permits[i].Renewal = renewal
	return n, nil
}

// Remove returns the set without the permits with the given IDs. Callers remove released
// permits, and those that have stayed unchanged for longer than LapseWait.
func (p PermitSet) Remove(ids map[string]bool) PermitSet {
	n := p.clone()
	n.Permits = slices.DeleteFunc(n.Permits, func(q Permit) bool { return ids[q.ID] })
	return n
}

func (p PermitSet) clone() PermitSet {
	p.Permits = slices.Clone(p.Permits)
	p.Ejections = maps.Clone(p.Ejections)
	if p.Ejections == nil {
		p.Ejections = make(map[string]int)
	}
	return p
}

// forgetDeparted drops the ejection counts of backend servers that are neither ready nor
// ejected, which bounds the size of the stored object.
func (p PermitSet) forgetDeparted(ready []string) {
	ejected := p.Ejected()
	maps.DeleteFunc(p.Ejections, func(id string, _ int) bool {
		return !ejected[id] && !slices.Contains(ready, id)
	})
}
