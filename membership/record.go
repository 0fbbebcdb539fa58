package membership

import (
	"cmp"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// Compare orders two records of the same node by incarnation, then sequence.
// At the same sequence a gone record is the newer one, so a relay can mark a
// node gone and only a higher sequence of the node itself brings it back.
func Compare(a, b *pb.NodeRecord) int {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		cmp.Compare(rank(a), rank(b)),
	)
}

func rank(r *pb.NodeRecord) int {
	if isGone(r) {
		return 1
	}
	return 0
}

func isGone(r *pb.NodeRecord) bool { return r.GetState() == pb.NodeState_NODE_STATE_GONE }

// goneRecord returns the record that marks r's node gone, without its backend servers.
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

// entry is the directory's knowledge of one node. Times are the directory's own.
type entry struct {
	// record is never changed in place: messages and views share it.
	record *pb.NodeRecord
	// position is the place of the record in the log.
	position uint64
	// from is the ID of the node that sent the record, empty for those made here.
	from string
	// hash is the node's weight in relay selection.
	hash uint64
	// learnt is when the record replaced an older one.
	learnt time.Duration
	// heard is the last evidence of life, direct is the last at first hand.
	heard, direct time.Duration
	// denied is when a witness last answered that it does not hear the node.
	denied time.Duration
	// watchedSince is when this node began to watch the other, -1 while it does not.
	watchedSince time.Duration
	// rank is the place in the relay order of the data centre, and parent the node
	// to sync with, as of the tree.
	rank   int
	parent *entry
}

func (e *entry) live() bool { return !isGone(e.record) }

func (e *entry) hear(now time.Duration) {
	e.heard = now
	e.direct = now
}
