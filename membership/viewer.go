package membership

import (
	"maps"
	"slices"
	"strings"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// viewer builds views and lists of records from the previous ones: at the target
// size, a complete rebuild takes longer than the latency that may be added to a
// request.
type viewer struct {
	view    *View
	records []*pb.NodeRecord
	// recordsInView holds the record of each node whose backend servers are in the view.
	recordsInView   map[string]*pb.NodeRecord
	lostDataCentres []string
	// viewChanges and recordChanges hold the IDs of the nodes that changed since the
	// last call of View and of Records.
	viewChanges, recordChanges map[string]bool
}

func newViewer() viewer {
	return viewer{
		view:          NewView(nil),
		recordsInView: make(map[string]*pb.NodeRecord),
		viewChanges:   make(map[string]bool),
		recordChanges: make(map[string]bool),
	}
}

func (v *viewer) markChanged(nodeID string) {
	v.viewChanges[nodeID] = true
	v.recordChanges[nodeID] = true
}

// View returns the backend servers that may get new work: those of serving nodes in
// data centres that are not lost.
func (d *NodeTable) View() *View {
	v := &d.viewer
	if !slices.Equal(v.lostDataCentres, d.lostDataCentres) {
		for id, e := range d.entries {
			dc := e.record.GetDataCentre()
			if slices.Contains(v.lostDataCentres, dc) != slices.Contains(d.lostDataCentres, dc) {
				v.viewChanges[id] = true
			}
		}
		v.lostDataCentres = d.lostDataCentres
	}
	if len(v.viewChanges) == 0 {
		return v.view
	}
	added := make(map[string][]Backend)
	for id := range v.viewChanges {
		d.collectBackends(id, added)
	}
	v.view = v.view.replace(v.viewChanges, added)
	v.viewChanges = make(map[string]bool)
	return v.view
}

// collectBackends adds the backend servers of a changed node to those of their
// services. A service that the node no longer has is added too, because it also
// changes.
func (d *NodeTable) collectBackends(id string, added map[string][]Backend) {
	v := &d.viewer
	for _, b := range v.recordsInView[id].GetBackendServers() {
		added[b.GetService()] = append(added[b.GetService()], []Backend(nil)...)
	}
	delete(v.recordsInView, id)
	e := d.entries[id]
	if e == nil || !serving(e.record) || slices.Contains(d.lostDataCentres, e.record.GetDataCentre()) {
		return
	}
	v.recordsInView[id] = e.record
	for _, b := range appendBackends(nil, e.record) {
		added[b.Service] = append(added[b.Service], b)
	}
}

// replace returns a view in which, for each service in added, those backend servers
// replace all earlier ones of the changed nodes.
func (v *View) replace(changed map[string]bool, added map[string][]Backend) *View {
	next := &View{byService: maps.Clone(v.byService)}
	for service, bs := range added {
		for _, b := range v.byService[service] {
			if !changed[b.Guard.NodeID] {
				bs = append(bs, b)
			}
		}
		sortBackends(bs)
		next.byService[service] = bs
		if len(bs) == 0 {
			delete(next.byService, service)
		}
	}
	return next
}

// Records returns the records of all known nodes in the order of their IDs.
// The caller must not change them.
func (d *NodeTable) Records() []*pb.NodeRecord {
	v := &d.viewer
	if len(v.recordChanges) == 0 {
		return v.records
	}
	records := make([]*pb.NodeRecord, 0, len(d.entries))
	for _, r := range v.records {
		if !v.recordChanges[r.GetNodeId()] {
			records = append(records, r)
		}
	}
	for id := range v.recordChanges {
		e := d.entries[id]
		if e == nil {
			continue
		}
		at, _ := slices.BinarySearchFunc(records, id, func(r *pb.NodeRecord, id string) int {
			return strings.Compare(r.GetNodeId(), id)
		})
		records = slices.Insert(records, at, e.record)
	}
	v.records = records
	v.recordChanges = make(map[string]bool)
	return records
}
