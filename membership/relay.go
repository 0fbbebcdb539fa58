package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// relaysPerDataCentre is the number of relays of a data centre.
const relaysPerDataCentre = 2

func relayHash(nodeID string) uint64 { return xxhash.Sum64String(nodeID) }

// relayOrder compares nodes by their rendezvous weight, highest first.
func relayOrder(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.hash, a.hash),
		cmp.Compare(a.record.GetNodeId(), b.record.GetNodeId()),
	)
}

// relays returns the first two nodes of each data centre that are serving.
// Nodes that this one cannot reach are passed over when reachable is true.
func (d *NodeTable) relays(now time.Duration, reachable bool) map[string][]*entry {
	selected := make(map[string][]*entry)
	for dc := range d.tree.ranked {
		selected[dc] = d.relaysOf(now, dc, reachable)
	}
	return selected
}

func (d *NodeTable) relaysOf(now time.Duration, dc string, reachable bool) []*entry {
	var es []*entry
	for _, e := range d.tree.ranked[dc] {
		if len(es) == relaysPerDataCentre {
			break
		}
		if !reachable || !d.unreachable(now, e) {
			es = append(es, e)
		}
	}
	return es
}

// ownRelays returns the relays of the own data centre that this node can reach.
func (d *NodeTable) ownRelays(now time.Duration) []*entry {
	return d.relaysOf(now, d.own.GetDataCentre(), true)
}

// IsRelay reports whether this node is a relay of its data centre.
func (d *NodeTable) IsRelay(now time.Duration) bool {
	return slices.ContainsFunc(d.ownRelays(now), d.isSelf)
}

func (d *NodeTable) isSelf(e *entry) bool { return e.record.GetNodeId() == d.own.GetNodeId() }
