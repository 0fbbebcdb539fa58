package grayfailure_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/bench/grayfailure"
)

// Runs the short measurement and fails if a fault is detected later than the targets allow,
// or if a healthy backend server is ejected.
func TestGrayFailureTargets(t *testing.T) {
	table, misses := grayfailure.Short()
	t.Log("\n" + table)
	assert.Equal(t, len(misses), 0, strings.Join(misses, "\n"))
}
