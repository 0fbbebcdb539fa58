package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against retries that multiply the load during an outage, when every request is
// retried as often as the budget allows.
func TestRetriesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(0, DefaultShare, DefaultMinimum)
		now, requests, retries := time.Duration(0), 0, 0
		steps := rapid.SliceOfN(rapid.IntRange(0, 50), 1, 500).Draw(t, "gaps in ms")
		for _, gap := range steps {
			now += time.Duration(gap) * time.Millisecond
			b.RecordRequest(now)
			requests++
			for b.TryRetry(now) {
				retries++
			}
		}
		allowed := 1 + DefaultShare*float64(requests) + DefaultMinimum*now.Seconds()
		if float64(retries) > allowed+1e-6 {
			t.Fatalf("%d retries for %d requests in %v", retries, requests, now)
		}
	})
}

// Guards against an entry that can never retry because its few requests earn no token.
func TestMinimumWithoutTraffic(t *testing.T) {
	b := NewBudget(0, DefaultShare, DefaultMinimum)
	assert.Assert(t, b.TryRetry(0))
	assert.Assert(t, !b.TryRetry(0))
	assert.Assert(t, b.TryRetry(time.Second))
}

// Guards against a burst of retries after a quiet time because the budget has kept the
// tokens that earlier traffic earned.
func TestSavedTokensAreBounded(t *testing.T) {
	b := NewBudget(0, DefaultShare, DefaultMinimum)
	for i := range 10000 {
		b.RecordRequest(time.Duration(i) * time.Millisecond)
	}
	n := 0
	for b.TryRetry(time.Hour) {
		n++
	}
	assert.Equal(t, n, 1)
}
