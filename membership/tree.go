package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// firstLevel is the number of nodes in the level below the relays. It gives each
	// relay fewer children than fanOut, because the relays also sync with those of
	// other data centres.
	firstLevel = 12
	// fanOut is how many times larger each further level is than the one above.
	fanOut = 8
	// maxChildren bounds the children of a node. It exceeds fanOut, so that few other
	// children change their parent when one parent is lost.
	maxChildren = 10
	// maxRelayChildren is an even share of the first level, plus one for the other
	// relay.
	maxRelayChildren = firstLevel/relaysPerDataCentre + 1
)

// tree holds the relay order of the serving nodes of each data centre, and the live
// nodes of this node's data centre. It and the parents of the nodes are computed from the
// records alone, so nodes with the same records agree on them.
type tree struct {
	// stale is true if nodes were added, were removed or changed their state or data
	// centre since the last update.
	stale bool
	// ranked holds the serving nodes of each data centre in relay order.
	ranked map[string][]*nodeEntry
	// localNodes holds the live nodes of this node's data centre, serving or not.
	localNodes []*nodeEntry
}

func (d *NodeTable) updateTree() {
	if !d.tree.stale {
		return
	}
	ranked := make(map[string][]*nodeEntry)
	var locals []*nodeEntry
	for _, e := range d.entries {
		if serving(e.record) {
			dc := e.record.GetDataCentre()
			ranked[dc] = append(ranked[dc], e)
		}
		if e.live() && d.isLocal(e) {
			locals = append(locals, e)
		}
	}
	for _, es := range ranked {
		slices.SortFunc(es, relayOrder)
	}
	d.tree = tree{ranked: ranked, localNodes: locals}
	assignParents(ranked[d.own.GetDataCentre()], locals)
}

// parentRanks returns the range of ranks, from included and to excluded, from which
// the node at a rank takes its parent. The levels begin at ranks 0 (the relays), 2,
// 14, 110 and 878.
func parentRanks(rank int) (from, to int) {
	to = relaysPerDataCentre
	for next := to + firstLevel; rank >= next; next = to + (to-from)*fanOut {
		from, to = to, next
	}
	return from, to
}

// assignParents assigns a parent to each node. Serving nodes choose in relay order,
// each the node of highest weight that has room for another child. Nodes that are not
// serving choose without that limit: they are few, and must not take the room of the
// nodes that stay.
func assignParents(ranked, locals []*nodeEntry) {
	children := make([]int, len(ranked))
	for _, e := range locals {
		e.rank = len(ranked)
	}
	for rank, e := range ranked {
		e.rank = rank
		e.parent = chooseParent(e, ranked, children)
	}
	for _, e := range locals {
		if e.rank == len(ranked) {
			e.parent = chooseParent(e, ranked, make([]int, len(ranked)))
		}
	}
}

func chooseParent(e *nodeEntry, ranked []*nodeEntry, children []int) *nodeEntry {
	from, to := parentRanks(e.rank)
	best, heaviest := -1, uint64(0)
	for i := from; i < min(to, len(ranked)); i++ {
		w := parentWeight(e, ranked[i])
		if ranked[i] != e && children[i] < childLimit(i) && (best < 0 || w > heaviest) {
			best, heaviest = i, w
		}
	}
	if best < 0 {
		return nil
	}
	children[best]++
	return ranked[best]
}

func childLimit(rank int) int {
	if rank < relaysPerDataCentre {
		return maxRelayChildren
	}
	return maxChildren
}

// parentWeight returns the rendezvous weight of a parent for a child.
func parentWeight(child, parent *nodeEntry) uint64 {
	h := child.hash ^ bits.RotateLeft64(parent.hash, 32)
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// parents returns the parents of a local node that this node can reach: the assigned
// one first, then the others by weight. If no parent of a level can be reached, those
// of the next higher level are returned.
func (d *NodeTable) parents(now time.Duration, child *nodeEntry) []*nodeEntry {
	from, to := parentRanks(child.rank)
	for {
		es := d.reachableNodes(now, from, to)
		es = slices.DeleteFunc(es, func(e *nodeEntry) bool { return e == child })
		if len(es) > 0 || from == 0 {
			slices.SortFunc(es, func(a, b *nodeEntry) int { return compareParents(child, a, b) })
			return es
		}
		from, to = parentRanks(from)
	}
}

func compareParents(child, a, b *nodeEntry) int {
	if (a == child.parent) != (b == child.parent) {
		if a == child.parent {
			return -1
		}
		return 1
	}
	return cmp.Compare(parentWeight(child, b), parentWeight(child, a))
}

func (d *NodeTable) reachableNodes(now time.Duration, from, to int) []*nodeEntry {
	if from == 0 {
		return d.ownRelays(now)
	}
	ranked := d.tree.ranked[d.own.GetDataCentre()]
	var es []*nodeEntry
	for _, e := range ranked[min(from, len(ranked)):min(to, len(ranked))] {
		if !d.unreachable(now, e) {
			es = append(es, e)
		}
	}
	return es
}
