package overload_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/bench/overload"
)

// Guards against overload that wastes capacity or lasts after demand has fallen,
// against short work blocked by long work, against a burst at the cost of other
// organisations, and against herding.
func TestTargets(t *testing.T) {
	report, missed := overload.NewShort().Run()
	t.Log(report)
	assert.Equal(t, len(missed), 0, "%v", missed)
}
