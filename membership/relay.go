package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// relaysPerDataCentre is the number of relays of a data centre.
const relaysPerDataCentre = 2

func nodeHash(nodeID string) uint64 { return xxhash.Sum64String(nodeID) }

// relayOrder compares nodes by their rendezvous weight, highest first.
func relayOrder(a, b *nodeEntry) int {
	return cmp.Or(
		cmp.Compare(b.hash, a.hash),
		cmp.Compare(a.record.GetNodeId(), b.record.GetNodeId()),
	)
}

// relays returns the first relaysPerDataCentre serving nodes of each data centre in
// relay order. Nodes that this one cannot reach are skipped when reachable is true.
func (d *NodeTable) relays(now time.Duration, reachable bool) map[string][]*nodeEntry {
	selected := make(map[string][]*nodeEntry)
	for dc := range d.tree.ranked {
		selected[dc] = d.relaysOf(now, dc, reachable)
	}
	return selected
}

func (d *NodeTable) relaysOf(now time.Duration, dc string, reachable bool) []*nodeEntry {
	var es []*nodeEntry
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

// ownRelays returns the relays of this node's data centre that it can reach.
func (d *NodeTable) ownRelays(now time.Duration) []*nodeEntry {
	return d.relaysOf(now, d.own.GetDataCentre(), true)
}

// IsRelay reports whether this node is a relay of its data centre.
func (d *NodeTable) IsRelay(now time.Duration) bool {
	return slices.ContainsFunc(d.ownRelays(now), d.isSelf)
}

func (d *NodeTable) isSelf(e *nodeEntry) bool { return e.record.GetNodeId() == d.own.GetNodeId() }
