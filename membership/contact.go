package membership

import (
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// updateLost notes, on a relay, the data centres of which no node answered
// for goneAfter. Their records stay as they are, so that no node has to send
// its record again when contact returns.
func (d *Directory) updateLost(now time.Duration) {
	if d.relaySince < 0 {
		return
	}
	last := make(map[string]time.Duration)
	for _, e := range d.entries {
		if !e.live() || d.local(e) {
			continue
		}
		dc := e.record.GetDataCentre()
		last[dc] = max(last[dc], e.heard, d.relaySince)
	}
	d.lost = nil
	for dc, heard := range last {
		if now-heard > goneAfter {
			d.lost = append(d.lost, dc)
		}
	}
	slices.Sort(d.lost)
}

// View returns the backend servers that may get new work: those of serving
// nodes in data centres within contact.
func (d *Directory) View() *View {
	var backends []Backend
	for _, e := range d.entries {
		if !serving(e.record) || slices.Contains(d.lost, e.record.GetDataCentre()) {
			continue
		}
		backends = appendBackends(backends, e.record)
	}
	return NewView(backends)
}

func serving(r *pb.NodeRecord) bool { return r.GetState() == pb.NodeState_NODE_STATE_SERVING }

// Records returns the records of all known nodes in the order of their IDs.
// The caller must not change them.
func (d *Directory) Records() []*pb.NodeRecord {
	records := make([]*pb.NodeRecord, 0, len(d.entries))
	for _, e := range d.entries {
		records = append(records, e.record)
	}
	slices.SortFunc(records, func(a, b *pb.NodeRecord) int {
		if a.GetNodeId() < b.GetNodeId() {
			return -1
		}
		return 1
	})
	return records
}

// Lost returns the data centres that are out of contact.
func (d *Directory) Lost() []string { return d.lost }

// Changed returns a number that rises with each change or removal of a record.
func (d *Directory) Changed() uint64 { return d.changes }

func appendBackends(backends []Backend, r *pb.NodeRecord) []Backend {
	guard := Guard{
		NodeID:         r.GetNodeId(),
		Incarnation:    r.GetIncarnation(),
		Region:         r.GetRegion(),
		DataCentre:     r.GetDataCentre(),
		HopAddress:     r.GetHopAddress(),
		ControlAddress: r.GetControlAddress(),
	}
	for _, b := range r.GetBackendServers() {
		backends = append(backends, Backend{
			ID:          b.GetId(),
			Service:     b.GetService(),
			Address:     b.GetAddress(),
			Slots:       int(b.GetSlots()),
			Connections: int(b.GetConnections()),
			State:       backendState(b.GetState()),
			Suspect:     b.GetSuspect(),
			Ejected:     b.GetEjected(),
			Guard:       guard,
		})
	}
	return backends
}

// backendState treats an unknown state as leaving, which gets no new work.
func backendState(s pb.BackendState) State {
	switch s {
	case pb.BackendState_BACKEND_STATE_STARTING:
		return StateStarting
	case pb.BackendState_BACKEND_STATE_READY:
		return StateReady
	default:
		return StateLeaving
	}
}
