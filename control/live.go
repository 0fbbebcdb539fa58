package control

import (
	"slices"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// LiveNodes returns the records of the serving nodes, without those of data
// centres out of contact. The caller must not change them.
func (s *Syncer) LiveNodes() []*pb.NodeRecord {
	snapshot := s.snapshot.Load()
	var live []*pb.NodeRecord
	for _, n := range snapshot.records {
		if n.GetState() == pb.NodeState_NODE_STATE_SERVING && !slices.Contains(snapshot.lost, n.GetDataCentre()) {
			live = append(live, n)
		}
	}
	return live
}
