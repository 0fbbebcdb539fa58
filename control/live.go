package control

import (
	"slices"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// LiveNodes returns the records of the serving nodes, except nodes in data centres
// that this node's data centre has lost contact with. The caller must not change them.
func (s *Syncer) LiveNodes() []*pb.NodeRecord {
	snapshot := s.snapshot.Load()
	var live []*pb.NodeRecord
	for _, n := range snapshot.records {
		if n.GetState() == pb.NodeState_NODE_STATE_SERVING && !slices.Contains(snapshot.lostDataCentres, n.GetDataCentre()) {
			live = append(live, n)
		}
	}
	return live
}
