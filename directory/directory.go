// Package directory finds the backend servers of the fleet through records that
// nodes keep in the platform's store: one record a node, written when its backend
// server joins, changes or leaves, and not at each heartbeat. A record may be
// stale; the guard of the node has the last word on each request.
package directory

import (
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/watch"
)

// ErrRecord marks an object that is no record of a node.
var ErrRecord = errors.New("not a record of a node")

// maxSlots bounds the slots of a record.
const maxSlots = 1 << 16

// Record is what a node tells the others of itself and its backend server. The
// names of its fields are short because each node reads the records of all.
type Record struct {
	// HopAddress takes attempts, an IP number and port.
	HopAddress string `json:"h"`
	// ControlPort is the port of the control address at the same IP number.
	ControlPort uint16 `json:"c"`
	Region      string `json:"r"`
	DataCentre  string `json:"d"`
	Service     string `json:"s"`
	Slots       int    `json:"n"`
	// Leaving is set when the backend server takes no new work.
	Leaving bool `json:"l,omitempty"`
	// Instance and StartTimeMS identify the process of a backend server that is leaving, so
	// that a restarted node does not take a late heartbeat of it for a new one.
	Instance    string `json:"i,omitempty"`
	StartTimeMS int64  `json:"b,omitempty"`
}

// Encode returns the form that Decode reads.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads a record. It returns ErrRecord for anything else, which another
// writer may have left in the store.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Mark(err, ErrRecord)
	}
	if address, err := netip.ParseAddrPort(r.HopAddress); err != nil || address.Port() == 0 || r.ControlPort == 0 {
		return Record{}, errors.Wrapf(ErrRecord, "hop address %q, control port %d", r.HopAddress, r.ControlPort)
	}
	if !route.ValidName(r.Service) || r.Region == "" || r.DataCentre == "" || r.Slots < 1 || r.Slots > maxSlots {
		return Record{}, errors.Wrapf(ErrRecord, "service %q, %d slots in %q", r.Service, r.Slots, r.DataCentre)
	}
	return r, nil
}

// backend returns the backend server of the record of a node.
func (r Record) backend(node string) membership.Backend {
	state := membership.StateReady
	if r.Leaving {
		state = membership.StateLeaving
	}
	hop := netip.MustParseAddrPort(r.HopAddress)
	return membership.Backend{
		ID:      ServerID(r.Service, hop),
		Service: r.Service,
		Slots:   r.Slots,
		State:   state,
		Guard: membership.Guard{
			NodeID:         node,
			Region:         r.Region,
			DataCentre:     r.DataCentre,
			HopAddress:     r.HopAddress,
			ControlAddress: netip.AddrPortFrom(hop.Addr(), r.ControlPort).String(),
		},
	}
}

// ServerID returns the ID of the backend server behind a guard. It does not change
// when the backend server restarts.
func ServerID(service string, hop netip.AddrPort) string {
	return membership.BackendID(service, hop.String())
}

// stored is a record as the store holds it.
type stored struct {
	Record
	revision uint64
}

// Directory holds the records of all nodes. Apply is for one goroutine; the rest
// may be called by all.
type Directory struct {
	mu      sync.Mutex
	records map[string]stored
	loaded  bool
	view    atomic.Pointer[membership.View]
	nodes   atomic.Int64
	// rejected is called for an object that is no record.
	rejected func(name string, err error)
}

// New returns an empty directory.
func New(rejected func(name string, err error)) *Directory {
	d := &Directory{records: make(map[string]stored), rejected: rejected}
	d.view.Store(membership.NewView(nil))
	return d
}

// View returns the backend servers that may get new work.
func (d *Directory) View() *membership.View { return d.view.Load() }

// Nodes returns the number of nodes with a record.
func (d *Directory) Nodes() int { return int(d.nodes.Load()) }

// Record returns the record of a node. loaded is false until a list was applied.
func (d *Directory) Record(node string) (r Record, found, loaded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, found := d.records[node]
	return s.Record, found, d.loaded
}

// Apply takes a batch of the store.
func (d *Directory) Apply(b watch.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.Full {
		d.records = make(map[string]stored, len(b.Objects))
		d.loaded = true
	}
	for _, o := range b.Objects {
		d.apply(o)
	}
	d.publish()
}

func (d *Directory) apply(o watch.Object) {
	delete(d.records, o.Name)
	if o.Deleted {
		return
	}
	r, err := Decode(o.Value)
	if err != nil {
		d.rejected(o.Name, err)
		return
	}
	d.records[o.Name] = stored{Record: r, revision: o.Revision}
}

// publish makes the records visible. Of two nodes at one address the one that wrote
// last counts: the other was lost without a word and its address was given away.
func (d *Directory) publish() {
	byHop := make(map[string]string, len(d.records))
	for node, r := range d.records {
		other, taken := byHop[r.HopAddress]
		if !taken || r.revision > d.records[other].revision {
			byHop[r.HopAddress] = node
		}
	}
	backends := make([]membership.Backend, 0, len(byHop))
	for _, node := range byHop {
		backends = append(backends, d.records[node].backend(node))
	}
	d.nodes.Store(int64(len(d.records)))
	d.view.Store(membership.NewView(backends))
}
