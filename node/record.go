package node

import (
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/settings"
)

func ownRecord(s settings.Settings, incarnation uint64) *pb.NodeRecord {
	return &pb.NodeRecord{
		NodeId:          s.Node.ID,
		Incarnation:     incarnation,
		Sequence:        1,
		State:           pb.NodeState_NODE_STATE_SERVING,
		Region:          s.Node.Region,
		DataCentre:      s.Node.DataCentre,
		HopAddress:      s.Node.HopAdvertise.String(),
		ControlAddress:  s.Node.ControlAdvertise.String(),
		TrafficAddress:  s.Node.TrafficAddress.String(),
		AnnounceAddress: s.Node.AnnounceAddress.String(),
	}
}

func addresses(p settings.Peers) []string {
	var out []string
	for _, seed := range p.Seeds {
		out = append(out, seed.String())
	}
	return out
}

var wireStates = map[membership.State]pb.BackendState{
	membership.StateStarting: pb.BackendState_BACKEND_STATE_STARTING,
	membership.StateReady:    pb.BackendState_BACKEND_STATE_READY,
	membership.StateLeaving:  pb.BackendState_BACKEND_STATE_LEAVING,
}

func wireBackends(backends []membership.Backend) []*pb.BackendServer {
	out := make([]*pb.BackendServer, len(backends))
	for i, b := range backends {
		out[i] = &pb.BackendServer{
			Id:          b.ID,
			Service:     b.Service,
			Address:     b.Address,
			Slots:       uint32(b.Slots),
			Connections: uint32(b.Connections),
			State:       wireStates[b.State],
			Suspect:     b.Suspect,
			Ejected:     b.Ejected,
		}
	}
	return out
}
