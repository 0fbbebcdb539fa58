package membership

import (
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// updateLost notes, on the first relay, the data centres of which no node answered
// for goneAfter. Their records stay as they are, so that no node has to send
// its record again when contact returns.
func (d *NodeTable) updateLost(now time.Duration) {
	if d.firstSince < 0 {
		return
	}
	last := make(map[string]time.Duration)
	for _, e := range d.entries {
		if !e.live() || d.local(e) {
			continue
		}
		dc := e.record.GetDataCentre()
		last[dc] = max(last[dc], e.heard, d.firstSince)
	}
	d.lost = nil
	for dc, heard := range last {
		if now-heard > goneAfter {
			d.lost = append(d.lost, dc)
		}
	}
	slices.Sort(d.lost)
}

func serving(r *pb.NodeRecord) bool { return r.GetState() == pb.NodeState_NODE_STATE_SERVING }

// LostDataCentres returns the data centres that are out of contact.
func (d *NodeTable) LostDataCentres() []string { return d.lost }

// ChangeCount returns a number that rises with each change or removal of a record.
func (d *NodeTable) ChangeCount() uint64 { return d.changes }

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
