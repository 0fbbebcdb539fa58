package control

import (
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/membership"
)

var backendStates = map[membership.State]pb.BackendState{
	membership.StateStarting: pb.BackendState_BACKEND_STATE_STARTING,
	membership.StateReady:    pb.BackendState_BACKEND_STATE_READY,
	membership.StateLeaving:  pb.BackendState_BACKEND_STATE_LEAVING,
}

// EncodeBackends converts backend servers to protobuf messages.
func EncodeBackends(backends []membership.Backend) []*pb.BackendServer {
	out := make([]*pb.BackendServer, len(backends))
	for i, b := range backends {
		out[i] = &pb.BackendServer{
			Id:          b.ID,
			Service:     b.Service,
			Address:     b.Address,
			Slots:       uint32(b.Slots),
			Connections: uint32(b.Connections),
			State:       backendStates[b.State],
			Suspect:     b.Suspect,
			Ejected:     b.Ejected,
		}
	}
	return out
}
