package membership

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// The number of buckets of a digest is a power of two, with bucketNodes nodes in
// each at most: a record that differs costs the records of its bucket, and each
// bucket costs 4 B.
const (
	bucketNodes = 4
	minBuckets  = 16
	maxBuckets  = 1024
)

// digest returns the sums of the live records by bucket. Gone records do not
// count, so that no record spreads again after most nodes have forgotten it.
func (d *NodeTable) digest(buckets int) []uint32 {
	sums := make([]uint32, buckets)
	for _, e := range d.entries {
		if e.live() {
			sums[e.bucket(buckets)] += e.sum()
		}
	}
	return sums
}

func (d *NodeTable) bucketCount() int {
	n := minBuckets
	for n < maxBuckets && n*bucketNodes < len(d.entries) {
		n *= 2
	}
	return n
}

func (e *entry) bucket(buckets int) int { return int(e.hash % uint64(buckets)) }

// sum is a hash of the node, incarnation and sequence.
func (e *entry) sum() uint32 {
	h := e.hash + e.record.GetIncarnation()*0x9e3779b97f4a7c15 + e.record.GetSequence()*0xff51afd7ed558ccd
	h = (h ^ h>>32) * 0xc4ceb9fe1a85ec53
	return uint32(h >> 32)
}

// answerDigest adds the records of the buckets that differ from the sender's,
// up to the size limit of a reply.
func (d *NodeTable) answerDigest(request *pb.SyncRequest, reply *pb.SyncResponse) {
	theirs := request.GetDigest()
	ours := d.digest(len(theirs))
	if len(theirs) == 1 {
		// The sender asks again with as many buckets as it needs.
		reply.More = ours[0] != theirs[0]
		return
	}
	contents := d.buckets(len(theirs))
	size := 0
	for b := int(request.GetFirstBucket()); b < len(theirs); b++ {
		if ours[b] == theirs[b] {
			continue
		}
		if size > maxReplyBytes {
			reply.NextBucket = uint32(b)
			reply.More = true
			return
		}
		reply.DifferingBuckets = append(reply.DifferingBuckets, uint32(b))
		for _, e := range contents[b] {
			if e.record.GetNodeId() != request.GetNodeId() {
				reply.Records = append(reply.Records, e.record)
				size += proto.Size(e.record)
			}
		}
	}
}

func (d *NodeTable) buckets(count int) [][]*entry {
	contents := make([][]*entry, count)
	for _, e := range d.entries {
		b := e.bucket(count)
		contents[b] = append(contents[b], e)
	}
	return contents
}

// lacking returns the live nodes in the buckets of a reply that the replying
// node did not send, so it does not know them.
func (d *NodeTable) lacking(from *entry, buckets int, reply *pb.SyncResponse) []string {
	differs := make([]bool, buckets)
	for _, b := range reply.GetDifferingBuckets() {
		if int(b) < buckets {
			differs[b] = true
		}
	}
	known := make(map[string]bool)
	for _, r := range reply.GetRecords() {
		known[r.GetNodeId()] = true
	}
	var ids []string
	for id, e := range d.entries {
		if differs[e.bucket(buckets)] && e.live() && !known[id] && e != from && !d.isSelf(e) {
			ids = append(ids, id)
		}
	}
	return ids
}
