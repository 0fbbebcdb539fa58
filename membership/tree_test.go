package membership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// parentsIn returns the parent of each node of a data centre with size nodes, of
// which the node with index without is left out.
func parentsIn(size, without int) map[string]string {
	var es []*nodeEntry
	for i := range size {
		id := fmt.Sprintf("node-%05d", i)
		if i != without {
			es = append(es, &nodeEntry{record: &pb.NodeRecord{NodeId: id, State: pb.NodeState_NODE_STATE_SERVING}, hash: nodeHash(id)})
		}
	}
	d := &NodeTable{own: &pb.NodeRecord{}, entries: make(map[string]*nodeEntry), tree: tree{stale: true}}
	for _, e := range es {
		d.entries[e.record.NodeId] = e
	}
	d.updateTree()
	parents := make(map[string]string)
	for _, e := range es {
		parents[e.record.NodeId] = e.parent.record.NodeId
	}
	return parents
}

// Guards against a node with more children than its load limit allows, and against a
// tree in which most nodes change their parent when one node is added or removed.
func TestTreeIsBoundedAndStable(t *testing.T) {
	const size, movedMean = 530, 10
	all := parentsIn(size, -1)
	children := make(map[string]int)
	for _, parent := range all {
		children[parent]++
		assert.Assert(t, children[parent] <= maxChildren, parent)
	}
	moved := 0
	for without := range size {
		for id, parent := range parentsIn(size, without) {
			if parent != all[id] {
				moved++
			}
		}
	}
	t.Logf("%.1f nodes change their parent when one node is removed", float64(moved)/size)
	assert.Assert(t, moved <= movedMean*size, moved)
}

// Guards against a child that reads all records again from its new parent when its
// parent dies.
func TestNewParentSendsOnlyWhatDiffers(t *testing.T) {
	s := convergedSimulation(t, 1, 40)
	parent := s.parentOf(s.leaf())
	records := 0
	s.onExchange = func(_, _ *simNode, request *pb.SyncRequest, reply *pb.SyncResponse) {
		records += len(reply.Records) + len(request.Records)
	}
	parent.alive = false
	assert.Assert(t, s.converge(healTime) >= 0, s.difference())
	t.Logf("%d records sent between %d nodes", records, len(s.nodes))
	assert.Assert(t, records <= 4*len(s.nodes), records)
}

// Guards against a living node of a lower level that is marked gone because it cannot
// reach its parent, or does not hear it. It must continue with another parent.
func TestOneWayCutToParentMarksNobodyGone(t *testing.T) {
	s := convergedSimulation(t, 1, 40)
	for _, toParent := range []bool{true, false} {
		child := s.leaf()
		parent := s.parentOf(child)
		pair := [2]string{child.id, parent.id}
		if !toParent {
			pair = [2]string{parent.id, child.id}
		}
		s.cut[pair] = true
		s.run(60)
		assert.Equal(t, child.table.own.Sequence, uint64(1), "the node raised its sequence, so it was marked gone")
		assert.Equal(t, s.difference(), "")
		s.heal()
		s.run(20)
	}
}

// Guards against a parent that was paused and then marks nodes gone because it heard
// none of them during the pause.
func TestPausedParentMarksNobodyGone(t *testing.T) {
	s := convergedSimulation(t, 1, 40)
	parent := s.parentOf(s.leaf())
	parent.alive = false
	s.run(90)
	parent.alive = true
	assert.Assert(t, s.converge(healTime) >= 0, s.difference())
	for _, n := range s.nodes {
		assert.Assert(t, n == parent || n.table.own.Sequence == 1, n.id)
	}
}

// leaf returns a node of the lowest level.
func (s *simulation) leaf() *simNode {
	for _, n := range s.nodes {
		if rank := n.table.entries[n.id].rank; rank >= relaysPerDataCentre+firstLevel {
			return n
		}
	}
	return nil
}

func (s *simulation) parentOf(n *simNode) *simNode {
	return s.byAddress[n.table.entries[n.id].parent.record.ControlAddress]
}
