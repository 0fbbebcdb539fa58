// Package membership maintains the records of the nodes of the fleet and of the
// backend servers announced to them, which the nodes exchange with each other. It is
// soft state that may be out of date or wrong, so no safety property may depend on it.
package membership

import (
	"slices"
	"strings"
)

// State is the state of a backend server as it announces it.
type State string

// States of a backend server.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateLeaving  State = "leaving"
)

// Guard identifies the node whose guard is in front of a backend server.
type Guard struct {
	NodeID string
	// Incarnation distinguishes restarts of the node.
	Incarnation uint64
	Region      string
	DataCentre  string
	// HopAddress is the IP address and port that receive attempts.
	HopAddress string
	// ControlAddress is the IP address and port that receive control calls.
	ControlAddress string
}

// Backend is a backend server with the guard in front of it.
type Backend struct {
	// ID is unique in the fleet: the service, '@' and an address.
	ID      string
	Service string
	// Address is the IP address and port of the backend server.
	Address     string
	Slots       int
	Connections int
	State       State
	// Suspect is true while its guard directs requests away from it.
	Suspect bool
	// Ejected is true while an ejection is in force.
	Ejected bool
	Guard   Guard
}

// View is an immutable snapshot of the backend servers that request handling reads
// without a lock.
type View struct {
	byService map[string][]Backend
}

// NewView returns a view of the backend servers, ordered by ID within each service.
func NewView(backends []Backend) *View {
	v := &View{byService: make(map[string][]Backend)}
	for _, b := range backends {
		v.byService[b.Service] = append(v.byService[b.Service], b)
	}
	for _, bs := range v.byService {
		sortBackends(bs)
	}
	return v
}

func sortBackends(bs []Backend) {
	slices.SortFunc(bs, func(a, b Backend) int { return strings.Compare(a.ID, b.ID) })
}

// Backends returns the backend servers of a service. The caller must not change them.
func (v *View) Backends(service string) []Backend { return v.byService[service] }

// BackendID returns the ID of a backend server.
func BackendID(service, address string) string { return service + "@" + address }
