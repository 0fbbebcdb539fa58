package membership

import (
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// updateLostDataCentres sets lostDataCentres, on the first relay, to the data centres
// from which no live node has been heard for longer than goneAfter. The
// records of their nodes stay unchanged, so that no node has to send its record again
// when contact returns.
func (d *NodeTable) updateLostDataCentres(now time.Duration) {
	if d.firstRelaySince < 0 {
		return
	}
	last := make(map[string]time.Duration)
	for _, e := range d.entries {
		if !e.live() || d.isLocal(e) {
			continue
		}
		dc := e.record.GetDataCentre()
		last[dc] = max(last[dc], e.heardAt, d.firstRelaySince)
	}
	d.lostDataCentres = nil
	for dc, heard := range last {
		if now-heard > goneAfter {
			d.lostDataCentres = append(d.lostDataCentres, dc)
		}
	}
	slices.Sort(d.lostDataCentres)
}

func serving(r *pb.NodeRecord) bool { return r.GetState() == pb.NodeState_NODE_STATE_SERVING }

// LostDataCentres returns the data centres from which no live node has been heard for
// longer than goneAfter, as the first relay determined them.
func (d *NodeTable) LostDataCentres() []string { return d.lostDataCentres }

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

// backendState converts the state of a backend server in a record. An unknown state
// counts as leaving, so that the backend server gets no new work.
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
