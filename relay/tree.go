package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// groupSize is the number of nodes that serve the same nodes. The first group of a region reads the
	// store.
	groupSize = 3
	// fanOut is the number of groups that a group serves.
	fanOut = 16
)

// Node is a node of the region.
type Node struct {
	ID string
	// Address is the IP address and port that serves updates.
	Address string
}

// place is the place of a node in the tree of its region.
type place struct {
	// reader is set if the node reads the store.
	reader bool
	// sources are the nodes to ask for updates, in order of preference.
	sources []Node
}

// placeOf returns the place of a node among the nodes of its region. Every node computes the tree for
// itself, from the same hashes of the IDs. If their lists differ for a while, so do their trees, and some
// nodes are asked by more others.
func placeOf(self Node, region []Node) place {
	ranked := rank(self, region)
	own := slices.Index(ranked, self)
	group := own / groupSize
	if group == 0 {
		return place{reader: true, sources: without(groupOf(ranked, 0), self)}
	}
	sources := rotate(groupOf(ranked, (group-1)/fanOut), own)
	if group > fanOut {
		sources = append(sources, rotate(groupOf(ranked, 0), own)...)
	}
	return place{sources: sources}
}

// rank returns the nodes, with self, in the order in which they fill the tree. A node that joins or leaves
// changes the place of few others near the root.
func rank(self Node, region []Node) []Node {
	ranked := append(without(region, self), self)
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

func groupOf(ranked []Node, group int) []Node {
	start := group * groupSize
	return slices.Clone(ranked[start:min(start+groupSize, len(ranked))])
}

// rotate begins a group with another node for each rank, so that the group shares the load.
func rotate(group []Node, rank int) []Node {
	first := rank % len(group)
	return slices.Concat(group[first:], group[:first])
}

// without returns the nodes except those with the ID of one of them.
func without(nodes []Node, node Node) []Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.ID == node.ID })
}
