// Package membership keeps soft state on the nodes of the fleet and on the
// backend servers that announce themselves to them. Nothing that must hold
// rests on it: it may lag, and it may be wrong.
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

// Guard identifies the node that stands before a backend server.
type Guard struct {
	NodeID string
	// Incarnation tells restarts of the node apart.
	Incarnation uint64
	Region      string
	DataCentre  string
	// HopAddress takes attempts, an IP number and port.
	HopAddress string
	// ControlAddress takes control calls, an IP number and port.
	ControlAddress string
}

// Backend is a backend server as the directory knows it.
type Backend struct {
	// ID is unique in the fleet: service, '@' and address.
	ID      string
	Service string
	// Address is the IP number and port of the backend server.
	Address     string
	Slots       int
	Connections int
	State       State
	// Suspect is true while its guard steers work away from it.
	Suspect bool
	// Ejected is true while an ejection is in force.
	Ejected bool
	Guard   Guard
}

// View is an immutable picture of the directory, made for traffic to read without a lock.
type View struct {
	byService map[string][]Backend
}

// NewView returns a view of backends, in the order of their IDs within a service.
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
