// Package ejection holds the floor rule and the permits under which backend
// servers are ejected. Clocks of different nodes are never compared.
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
	ErrFloor = errors.New("ejection would go below the floor")
	// ErrNotReady means that the backend server is not known to be ready.
	ErrNotReady = errors.New("backend server not ready")
	// ErrHeld means that a permit for the backend server exists already.
	ErrHeld = errors.New("backend server has a permit")
	// ErrNoPermit means that the permit is not, or no longer, in the store.
	ErrNoPermit = errors.New("no such permit")
	// ErrInvalid marks a stored value that cannot be a set of permits.
	ErrInvalid = errors.New("invalid permits")
)

// Permit allows its holder to eject one backend server.
type Permit struct {
	// ID is unique; a write whose answer was lost is recognised by it.
	ID        string `json:"id"`
	BackendID string `json:"backend_id"`
	// Holder is unique to one process: node ID and incarnation.
	Holder string `json:"holder"`
	// Renewal rises with each attempt to renew, so that a late write of an
	// earlier attempt is told apart from the latest one.
	Renewal uint64 `json:"renewal"`
	// Lifetime is the time from the start of the write to its lapse at the holder, in nanoseconds.
	Lifetime time.Duration `json:"lifetime_ns"`
}

// PermitSet is the stored object of one service. Every permit in it counts
// against the floor, whether or not its holder still uses it.
type PermitSet struct {
	Service string   `json:"service"`
	Permits []Permit `json:"permits"`
	// Ejections counts the ejections of each backend server, for the backoff.
	Ejections map[string]int `json:"ejections"`
}

// Decode parses a stored object. A nil value, of an object not yet written, is an empty set.
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

// Encode returns the object as stored.
func (p PermitSet) Encode() ([]byte, error) { return json.Marshal(p) }

func (p PermitSet) validate(service string) error {
	if p.Service != service {
		return errors.Wrapf(ErrInvalid, "service %q, want %q", p.Service, service)
	}
	seen := make(map[string]bool)
	for _, q := range p.Permits {
		if q.ID == "" || q.BackendID == "" || q.Lifetime <= 0 || seen[q.BackendID] {
			return errors.Wrapf(ErrInvalid, "permit %q of %q", q.ID, q.BackendID)
		}
		seen[q.BackendID] = true
	}
	return nil
}

// Find returns the permit with an ID.
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

// Grant returns the set with a further permit, or ErrHeld, ErrNotReady or ErrFloor.
// Ready lists the ready backend servers known, ejected ones included.
func (p PermitSet) Grant(q Permit, ready []string, floor int) (PermitSet, error) {
	ejected := p.Ejected()
	if ejected[q.BackendID] {
		return p, ErrHeld
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

// Renew returns the set with a higher renewal of a permit. It returns ErrNoPermit
// when the permit is gone or has that renewal already.
func (p PermitSet) Renew(id string, renewal uint64) (PermitSet, error) {
	n := p.clone()
	i := slices.IndexFunc(n.Permits, func(q Permit) bool { return q.ID == id })
	if i < 0 || renewal <= n.Permits[i].Renewal {
		return p, ErrNoPermit
	}
	n.Permits[i].Renewal = renewal
	return n, nil
}

// Remove returns the set without some permits: released ones, and those an
// observer has seen unchanged for longer than LapseWait.
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

// forgetDeparted bounds the object: counts of backend servers that have gone are dropped.
func (p PermitSet) forgetDeparted(ready []string) {
	ejected := p.Ejected()
	maps.DeleteFunc(p.Ejections, func(id string, _ int) bool {
		return !ejected[id] && !slices.Contains(ready, id)
	})
}
