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

// firstTwo keeps the two entries of the highest weight.
func firstTwo(es []*entry, e *entry) []*entry {
	at, _ := slices.BinarySearchFunc(es, e, relayOrder)
	if at == relaysPerDataCentre {
		return es
	}
	es = slices.Insert(es, at, e)
	return es[:min(len(es), relaysPerDataCentre)]
}

// relays returns the first two nodes of each data centre that are serving.
// Nodes that this one cannot reach are passed over when reachable is true.
func (d *Directory) relays(now time.Duration, reachable bool) map[string][]*entry {
	selected := make(map[string][]*entry)
	for _, e := range d.entries {
		if !serving(e.record) || reachable && d.unreachable(now, e) {
			continue
		}
		dc := e.record.GetDataCentre()
		selected[dc] = firstTwo(selected[dc], e)
	}
	return selected
}

// ownRelays returns the relays of the own data centre that this node can reach.
func (d *Directory) ownRelays(now time.Duration) []*entry {
	return d.relays(now, true)[d.own.GetDataCentre()]
}

// IsRelay reports whether this node is a relay of its data centre.
func (d *Directory) IsRelay(now time.Duration) bool {
	return slices.ContainsFunc(d.ownRelays(now), d.isSelf)
}

func (d *Directory) isSelf(e *entry) bool { return e.record.GetNodeId() == d.own.GetNodeId() }
