package overload_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/bench/overload"
)

// Runs the short measurement and fails if a target is missed: if overload wastes capacity
// or lasts after demand has fallen, if long work blocks short work, if a burst of one
// organisation takes capacity from others, or if late or false load reports make all
// entries choose the same backend server (herding).
func TestTargets(t *testing.T) {
	report, missed := overload.NewShort().Run()
	t.Log(report)
	assert.Equal(t, len(missed), 0, "%v", missed)
}
