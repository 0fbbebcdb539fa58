package ejection

// minFloor applies to a service without a floor of its own: ejection never empties a service.
const minFloor = 1

// EffectiveFloor returns the floor in force for a configured one, in backend servers.
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

// MayEnforce is the check at the point of enforcement: ejections are ignored
// while the ready, unejected backend servers known are below the floor.
func MayEnforce(ready []string, ejected map[string]bool, floor int) bool {
	return Remaining(ready, ejected) >= EffectiveFloor(floor)
}
