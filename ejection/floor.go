package ejection

// minFloor is the smallest floor in force, so that ejection never leaves a service without
// backend servers.
const minFloor = 1

// EffectiveFloor returns the floor in force for a configured floor, as a number of backend servers.
func EffectiveFloor(configured int) int { return max(configured, minFloor) }

// Remaining returns how many ready backend servers are not ejected.
func Remaining(ready []string, ejected map[string]bool) int {
	n := 0
	for _, id := range ready {
		if !ejected[id] {
			n++
		}
	}
	return n
}

// MayEnforce reports whether ejections may be enforced: they are ignored while fewer
// backend servers than the floor are known to be ready and not ejected.
func MayEnforce(ready []string, ejected map[string]bool, floor int) bool {
	return Remaining(ready, ejected) >= EffectiveFloor(floor)
}
