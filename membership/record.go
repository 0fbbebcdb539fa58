package membership

import (
	"cmp"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// CompareRecords orders two records of the same node by incarnation, then sequence.
// When both are equal, a gone record is the newer one. Another node can therefore mark
// the node gone, and only a record of the node itself with a higher incarnation or
// sequence makes it live again.
func CompareRecords(a, b *pb.NodeRecord) int {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		cmp.Compare(goneOrder(a), goneOrder(b)),
	)
}

func goneOrder(r *pb.NodeRecord) int {
	if isGone(r) {
		return 1
	}
	return 0
}

func isGone(r *pb.NodeRecord) bool { return r.GetState() == pb.NodeState_NODE_STATE_GONE }

// goneRecord returns the record that marks the node of r gone, without its backend
// servers.
func goneRecord(r *pb.NodeRecord) *pb.NodeRecord {
	return &pb.NodeRecord{
		NodeId:         r.GetNodeId(),
		Incarnation:    r.GetIncarnation(),
		Sequence:       r.GetSequence(),
		State:          pb.NodeState_NODE_STATE_GONE,
		Region:         r.GetRegion(),
		DataCentre:     r.GetDataCentre(),
		ControlAddress: r.GetControlAddress(),
	}
}

// nodeEntry is what the node table knows about one node. Its times are durations since
// the same start as those of the table.
type nodeEntry struct {
	// record is never changed in place, because messages and views share it.
	record *pb.NodeRecord
	// position is the position of the record in the log of changes.
	position uint64
	// sender is the ID of the node that sent the record, empty for records made by
	// this node.
	sender string
	// hash is the hash of the node ID that determines the relay order and the
	// parents.
	hash uint64
	// storedAt is when the current record was stored.
	storedAt time.Duration
	// heardAt is the time of the last evidence that the node is alive, and
	// heardDirectlyAt that of the last message that this node itself received from
	// it.
	heardAt, heardDirectlyAt time.Duration
	// notHeardAt is when a witness last answered that it does not hear the node.
	notHeardAt time.Duration
	// watchedSince is when this node began to watch the other for silence, -1 while
	// it does not.
	watchedSince time.Duration
	// rank is the place in the relay order of the data centre, and parent the node to
	// sync with. Both are assigned when the tree is updated.
	rank   int
	parent *nodeEntry
}

func (e *nodeEntry) live() bool { return !isGone(e.record) }

func (e *nodeEntry) recordHeard(now time.Duration) {
	e.heardAt = now
	e.heardDirectlyAt = now
}
