package node

import (
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
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

func seedAddresses(p settings.Peers) []string {
	var out []string
	for _, seed := range p.Seeds {
		out = append(out, seed.String())
	}
	return out
}
