package membership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// parentsIn returns the parent of each node of a data centre of some size, without one of them.
func parentsIn(size, without int) map[string]string {
	var es []*entry
	for i := range size {
		id := fmt.Sprintf("node-%05d", i)
		if i != without {
			es = append(es, &entry{record: &pb.NodeRecord{NodeId: id, State: pb.NodeState_NODE_STATE_SERVING}, hash: relayHash(id)})
		}
	}
	d := &NodeTable{own: &pb.NodeRecord{}, entries: make(map[string]*entry), tree: tree{stale: true}}
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

// Guards against a node with more children than its budget carries, and against a
// tree that moves as a whole when one node comes or goes.
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
	t.Logf("%.1f nodes move when one goes", float64(moved)/size)
	assert.Assert(t, moved <= movedMean*size, moved)
}

// Guards against a child that reads the whole directory again when its parent dies.
func TestNewParentSendsOnlyWhatDiffers(t *testing.T) {
	s := joined(t, 1, 40)
	parent := s.parentOf(s.leaf())
	records := 0
	s.observe = func(_, _ *simNode, request *pb.SyncRequest, reply *pb.SyncResponse) {
		records += len(reply.Records) + len(request.Records)
	}
	parent.alive = false
	assert.Assert(t, s.converge(healTime) >= 0, s.difference())
	t.Logf("%d records sent between %d nodes", records, len(s.nodes))
	assert.Assert(t, records <= 4*len(s.nodes), records)
}

// Guards against a false death in a lower level: a child that cannot reach its
// parent, or does not hear it, lives on with another one.
func TestOneWayCutToParentMarksNobodyGone(t *testing.T) {
	s := joined(t, 1, 40)
	for _, toParent := range []bool{true, false} {
		child := s.leaf()
		parent := s.parentOf(child)
		pair := [2]string{child.id, parent.id}
		if !toParent {
			pair = [2]string{parent.id, child.id}
		}
		s.cut[pair] = true
		s.run(60)
		assert.Equal(t, child.directory.own.Sequence, uint64(1), "a gone record raises the sequence")
		assert.Equal(t, s.difference(), "")
		s.heal()
		s.run(20)
	}
}

// Guards against nodes that are marked gone by a parent that was paused itself.
func TestPausedParentMarksNobodyGone(t *testing.T) {
	s := joined(t, 1, 40)
	parent := s.parentOf(s.leaf())
	parent.alive = false
	s.run(90)
	parent.alive = true
	assert.Assert(t, s.converge(healTime) >= 0, s.difference())
	for _, n := range s.nodes {
		assert.Assert(t, n == parent || n.directory.own.Sequence == 1, n.id)
	}
}

// leaf returns a node of the lowest level.
func (s *simulation) leaf() *simNode {
	for _, n := range s.nodes {
		if rank := n.directory.entries[n.id].rank; rank >= relaysPerDataCentre+firstLevel {
			return n
		}
	}
	return nil
}

func (s *simulation) parentOf(n *simNode) *simNode {
	return s.byAddress[n.directory.entries[n.id].parent.record.ControlAddress]
}
