package membership

import (
	"cmp"
	"maps"
	"slices"
)

// Guards returns the guards of all backend servers of the view, each once, in the order of their node IDs.
func (v *View) Guards() []Guard {
	byID := make(map[string]Guard)
	for _, backends := range v.byService {
		for _, b := range backends {
			byID[b.Guard.NodeID] = b.Guard
		}
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b Guard) int { return cmp.Compare(a.NodeID, b.NodeID) })
}
