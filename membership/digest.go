package membership

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// The number of buckets of a digest is a power of two, chosen for at most bucketNodes
// nodes per bucket on average. A record that differs costs sending all records of its
// bucket, and each bucket costs 4 bytes in the digest.
const (
	bucketNodes = 4
	minBuckets  = 16
	maxBuckets  = 1024
)

// digest returns one sum per bucket over the live records in it. Gone records are
// left out, so that no gone record spreads again after most nodes have forgotten it.
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

func (e *nodeEntry) bucket(buckets int) int { return int(e.hash % uint64(buckets)) }

// sum returns a hash of the node ID, the incarnation and the sequence of the record.
func (e *nodeEntry) sum() uint32 {
	h := e.hash + e.record.GetIncarnation()*0x9e3779b97f4a7c15 + e.record.GetSequence()*0xff51afd7ed558ccd
	h = (h ^ h>>32) * 0xc4ceb9fe1a85ec53
	return uint32(h >> 32)
}

// replyWithDifferences adds to the reply the records of the buckets whose sums differ
// from those of the sender, up to maxReplyBytes.
func (d *NodeTable) replyWithDifferences(request *pb.SyncRequest, reply *pb.SyncResponse) {
	theirs := request.GetDigest()
	ours := d.digest(len(theirs))
	if len(theirs) == 1 {
		// A single bucket shows only whether any record differs. If one does, the
		// sender calls again with as many buckets as it needs.
		reply.More = ours[0] != theirs[0]
		return
	}
	byBucket := d.entriesByBucket(len(theirs))
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
		for _, e := range byBucket[b] {
			if e.record.GetNodeId() != request.GetNodeId() {
				reply.Records = append(reply.Records, e.record)
				size += proto.Size(e.record)
			}
		}
	}
}

func (d *NodeTable) entriesByBucket(count int) [][]*nodeEntry {
	contents := make([][]*nodeEntry, count)
	for _, e := range d.entries {
		b := e.bucket(count)
		contents[b] = append(contents[b], e)
	}
	return contents
}

// nodesMissingAt returns the live nodes in the differing buckets of a reply for which
// the replying node sent no record, so that it does not know them.
func (d *NodeTable) nodesMissingAt(from *nodeEntry, buckets int, reply *pb.SyncResponse) []string {
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
