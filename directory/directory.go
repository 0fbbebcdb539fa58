// Package directory finds the backend servers of the fleet through records that the
// nodes keep in the platform's store. Each node has one record, which is written when
// its backend server joins, changes or leaves, and not at each heartbeat. A record
// may be out of date, so the guard of the node makes the final decision on each
// request.
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

// ErrRecord marks an object in the store that is not a valid record of a node.
var ErrRecord = errors.New("object is not a valid node record")

// maxSlots is the largest valid number of slots in a record.
const maxSlots = 1 << 16

// Record is what a node publishes about itself and its backend server. The names of
// its JSON fields are short because each node reads the records of all nodes.
type Record struct {
	// HopAddress is the IP address and port that receive attempts.
	HopAddress string `json:"h"`
	// ControlPort is the port of the control address, which has the same IP address.
	ControlPort uint16 `json:"c"`
	Region      string `json:"r"`
	DataCentre  string `json:"d"`
	Service     string `json:"s"`
	Slots       int    `json:"n"`
	// Leaving is set when the backend server takes no new work.
	Leaving bool `json:"l,omitempty"`
	// Instance and StartTimeMS identify the process of a leaving backend server, so
	// that a restarted node does not mistake a late heartbeat of that process for one
	// of a new process.
	Instance    string `json:"i,omitempty"`
	StartTimeMS int64  `json:"b,omitempty"`
}

// Encode returns the JSON form that Decode reads.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads a record. It returns an error marked ErrRecord if data is not a valid
// record, for example because another writer stored it.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Mark(err, ErrRecord)
	}
	if address, err := netip.ParseAddrPort(r.HopAddress); err != nil || address.Port() == 0 || r.ControlPort == 0 {
		return Record{}, errors.Wrapf(ErrRecord, "hop address %q or control port %d is invalid", r.HopAddress, r.ControlPort)
	}
	if !route.ValidName(r.Service) || r.Region == "" || r.DataCentre == "" || r.Slots < 1 || r.Slots > maxSlots {
		return Record{}, errors.Wrapf(ErrRecord, "service %q, number of slots %d, data centre %q or the region is invalid", r.Service, r.Slots, r.DataCentre)
	}
	return r, nil
}

// backend returns the backend server that the record of a node describes.
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

// storedRecord is a record with its revision in the store.
type storedRecord struct {
	Record
	revision uint64
}

// Directory holds the records of all nodes. Apply must be called by one goroutine
// only; the other methods are safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	records map[string]storedRecord
	loaded  bool
	view    atomic.Pointer[membership.View]
	nodes   atomic.Int64
	// rejected holds the revisions of the objects that are not valid records, by name.
	rejected map[string]uint64
	// onRejected is called once for each revision of an object that is not a valid record.
	onRejected func(name string, err error)
}

// New returns an empty directory.
func New(onRejected func(name string, err error)) *Directory {
	d := &Directory{records: make(map[string]storedRecord), rejected: make(map[string]uint64), onRejected: onRejected}
	d.view.Store(membership.NewView(nil))
	return d
}

// View returns the backend servers that may get new work.
func (d *Directory) View() *membership.View { return d.view.Load() }

// NodeCount returns the number of nodes with a record.
func (d *Directory) NodeCount() int { return int(d.nodes.Load()) }

// Record returns the record of a node. loaded is false until a full list has been
// applied.
func (d *Directory) Record(node string) (r Record, found, loaded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, found := d.records[node]
	return s.Record, found, d.loaded
}

// Apply applies a batch of objects from the store.
func (d *Directory) Apply(b watch.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.Full {
		d.records = make(map[string]storedRecord, len(b.Objects))
		d.rejected = keepNames(d.rejected, b.Objects)
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
		delete(d.rejected, o.Name)
		return
	}
	r, err := decodeObject(o)
	if err != nil {
		d.reject(o, err)
		return
	}
	delete(d.rejected, o.Name)
	d.records[o.Name] = storedRecord{Record: r, revision: o.Revision}
}

// keepNames returns the entries of m whose names the objects have.
func keepNames(m map[string]uint64, objects []watch.Object) map[string]uint64 {
	kept := make(map[string]uint64)
	for _, o := range objects {
		if revision, found := m[o.Name]; found {
			kept[o.Name] = revision
		}
	}
	return kept
}

// decodeObject decodes the record in an object. The name of a record is that of its node.
func decodeObject(o watch.Object) (Record, error) {
	if !route.ValidName(o.Name) {
		return Record{}, errors.Wrap(ErrRecord, "name is not that of a node")
	}
	return Decode(o.Value)
}

// reject reports an object that is not a valid record, unless it has been reported.
func (d *Directory) reject(o watch.Object, err error) {
	if revision, reported := d.rejected[o.Name]; reported && revision == o.Revision && revision != 0 {
		return
	}
	d.rejected[o.Name] = o.Revision
	d.onRejected(o.Name, err)
}

// publish replaces the view by one of the current records. If two nodes have the same
// address, the record that was written last counts: the other node was lost without
// deleting its record, and its address was assigned again.
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
