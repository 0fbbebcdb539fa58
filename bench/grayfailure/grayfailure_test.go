package grayfailure_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/bench/grayfailure"
)

// Guards against slower detection than the targets, and against a healthy backend server being ejected.
func TestGrayFailureTargets(t *testing.T) {
	table, misses := grayfailure.Short()
	t.Log("\n" + table)
	assert.Equal(t, len(misses), 0, strings.Join(misses, "\n"))
}
