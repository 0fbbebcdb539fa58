package relay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func testNodes(n int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{ID: fmt.Sprint("n", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256)}
	}
	return nodes
}

// Guards against nodes that ask each other in a circle, so that none gets a change, and against a reader
// of the store, or a node that serves others, for too many nodes.
func TestTreeLeadsToFewReaders(t *testing.T) {
	for _, count := range []int{1, 2, 3, 4, 10, 50, 51, 52, 200, 1850} {
		nodes := testNodes(count)
		places := make(map[string]place, count)
		served := make(map[string]int)
		readers := 0
		for _, n := range nodes {
			p := placeOf(n, nodes)
			places[n.ID] = p
			if p.reader {
				readers++
			} else {
				served[p.sources[0].ID]++
			}
		}
		assert.Equal(t, readers, min(count, groupSize))
		for id, n := range served {
			assert.Assert(t, n <= fanOut+1, "%s is asked first by %d of %d nodes", id, n, count)
		}
		for _, n := range nodes {
			depth := 0
			for at := n; !places[at.ID].reader; at = places[at.ID].sources[0] {
				depth++
				assert.Assert(t, depth <= 4, "%d nodes: %s", count, n.ID)
			}
		}
	}
}
