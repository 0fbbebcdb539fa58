package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// firstLevel is the number of nodes below the relays, fewer than fanOut for
	// each relay, because the relays also sync with those of other data centres.
	firstLevel = 12
	// fanOut is how many times larger each further level is than the one above.
	fanOut = 8
	// maxChildren bounds the children of a node. It exceeds fanOut, so that the
	// loss of one parent moves few other children.
	maxChildren = 10
	// maxRelayChildren shares the first level evenly; the other relay counts as one.
	maxRelayChildren = firstLevel/relaysPerDataCentre + 1
)

// tree is the order of the nodes and the parents in the own data centre. It
// follows from the records alone, so nodes with the same records agree on it.
type tree struct {
	// stale says that nodes came, went or changed state since the last update.
	stale bool
	// ranked holds the serving nodes of each data centre in relay order.
	ranked map[string][]*entry
	// locals holds the live nodes of the own data centre, serving or not.
	locals []*entry
}

func (d *NodeTable) updateTree() {
	if !d.tree.stale {
		return
	}
	ranked := make(map[string][]*entry)
	var locals []*entry
	for _, e := range d.entries {
		if serving(e.record) {
			dc := e.record.GetDataCentre()
			ranked[dc] = append(ranked[dc], e)
		}
		if e.live() && d.local(e) {
			locals = append(locals, e)
		}
	}
	for _, es := range ranked {
		slices.SortFunc(es, relayOrder)
	}
	d.tree = tree{ranked: ranked, locals: locals}
	assignParents(ranked[d.own.GetDataCentre()], locals)
}

// parentRanks returns the ranks from which the node at a rank takes its parent.
// The levels begin at ranks 0 (the relays), 2, 14, 110 and 878.
func parentRanks(rank int) (from, to int) {
	to = relaysPerDataCentre
	for next := to + firstLevel; rank >= next; next = to + (to-from)*fanOut {
		from, to = to, next
	}
	return from, to
}

// assignParents gives each node its parent. Serving nodes choose in order, each
// the one of highest weight that still has room. Others choose without limit:
// they are few, and must not take the room of those that stay.
func assignParents(ranked, locals []*entry) {
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

func chooseParent(e *entry, ranked []*entry, children []int) *entry {
	from, to := parentRanks(e.rank)
	best, heaviest := -1, uint64(0)
	for i := from; i < min(to, len(ranked)); i++ {
		w := weight(e, ranked[i])
		if ranked[i] != e && children[i] < roomOf(i) && (best < 0 || w > heaviest) {
			best, heaviest = i, w
		}
	}
	if best < 0 {
		return nil
	}
	children[best]++
	return ranked[best]
}

func roomOf(rank int) int {
	if rank < relaysPerDataCentre {
		return maxRelayChildren
	}
	return maxChildren
}

// weight is the rendezvous weight of a parent for a child.
func weight(child, parent *entry) uint64 {
	h := child.hash ^ bits.RotateLeft64(parent.hash, 32)
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// parents returns the parents of a local node that this one can reach: the
// assigned one first, then the others by weight. Where a level has none, the
// next higher one serves.
func (d *NodeTable) parents(now time.Duration, child *entry) []*entry {
	from, to := parentRanks(child.rank)
	for {
		es := d.candidates(now, from, to)
		es = slices.DeleteFunc(es, func(e *entry) bool { return e == child })
		if len(es) > 0 || from == 0 {
			slices.SortFunc(es, func(a, b *entry) int { return preference(child, a, b) })
			return es
		}
		from, to = parentRanks(from)
	}
}

func preference(child, a, b *entry) int {
	if (a == child.parent) != (b == child.parent) {
		if a == child.parent {
			return -1
		}
		return 1
	}
	return cmp.Compare(weight(child, b), weight(child, a))
}

func (d *NodeTable) candidates(now time.Duration, from, to int) []*entry {
	if from == 0 {
		return d.ownRelays(now)
	}
	ranked := d.tree.ranked[d.own.GetDataCentre()]
	var es []*entry
	for _, e := range ranked[min(from, len(ranked)):min(to, len(ranked))] {
		if !d.unreachable(now, e) {
			es = append(es, e)
		}
	}
	return es
}
