package telemetry_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/telemetry"
)

// Guards against latencies that no bucket counts, and against bucket counts that are not
// cumulative.
func TestHistogram(t *testing.T) {
	h := telemetry.NewHistogram()
	for _, d := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, time.Minute} {
		h.Observe(d)
	}
	var got map[string]int64
	assert.NilError(t, json.Unmarshal([]byte(h.String()), &got))
	assert.Equal(t, got["le_1_ms"], int64(2))
	assert.Equal(t, got["le_2_ms"], int64(2))
	assert.Equal(t, got["le_4_ms"], int64(3))
	assert.Equal(t, got["le_32000_ms"], int64(0), "bounds are powers of two")
	assert.Equal(t, got["le_16384_ms"], int64(3))
	assert.Equal(t, got["count"], int64(4))
	assert.Equal(t, got["sum_ms"], int64(60_004))
}
