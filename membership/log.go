package membership

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// maxReplyBytes bounds the size of the records in one Sync reply, so that a joining
// node reads all records in several messages well below the message size limit.
const maxReplyBytes = 1 << 20

// compactionSlack is how many items a log may hold beyond two per node before it is
// compacted. It keeps small logs from being compacted at each change.
const compactionSlack = 64

// logItem states that the record of a node changed at a log position.
type logItem struct {
	position uint64
	nodeID   string
}

// changeLog holds the changes of records in order. Only the last item of a node is
// current.
type changeLog struct {
	items []logItem
	last  uint64
}

func (l *changeLog) add(nodeID string) uint64 {
	l.last++
	l.items = append(l.items, logItem{l.last, nodeID})
	return l.last
}

// compact drops the items that a later change of the same node has replaced.
func (l *changeLog) compact(entries map[string]*nodeEntry) {
	if len(l.items) <= 2*len(entries)+compactionSlack {
		return
	}
	l.items = slices.DeleteFunc(l.items, func(i logItem) bool {
		return !i.current(entries)
	})
}

func (i logItem) current(entries map[string]*nodeEntry) bool {
	e := entries[i.nodeID]
	return e != nil && e.position == i.position
}

// since returns the records that changed after position and for which keep returns
// true, the position up to which the log was read, and whether more records remain.
func (l *changeLog) since(position uint64, entries map[string]*nodeEntry, keep func(*nodeEntry) bool) ([]*pb.NodeRecord, uint64, bool) {
	start, _ := slices.BinarySearchFunc(l.items, position+1, func(i logItem, p uint64) int {
		return cmp.Compare(i.position, p)
	})
	var records []*pb.NodeRecord
	size := 0
	for _, item := range l.items[start:] {
		if !item.current(entries) || !keep(entries[item.nodeID]) {
			continue
		}
		r := entries[item.nodeID].record
		size += proto.Size(r)
		if size > maxReplyBytes && len(records) > 0 {
			return records, position, true
		}
		records = append(records, r)
		position = item.position
	}
	return records, l.last, false
}
