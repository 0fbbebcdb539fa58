package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that waits although its answer can no longer meet the target,
// and against reporting a failure while a second attempt could still be in time.
func TestMaxWait(t *testing.T) {
	for _, c := range []struct {
		desc   string
		p      WaitPolicy
		failed bool
		want   time.Duration
	}{
		{"refusal", WaitPolicy{Target: 2 * time.Second, Timeout: 3 * time.Second}, false, 1200 * time.Millisecond},
		{"failure", WaitPolicy{Target: 2 * time.Second, Timeout: 3 * time.Second}, true, 1800 * time.Millisecond},
		{"no target", WaitPolicy{Timeout: time.Second}, false, 600 * time.Millisecond},
		{"target beyond the timeout", WaitPolicy{Target: 2 * time.Second, Timeout: time.Second}, false, 600 * time.Millisecond},
	} {
		assert.Equal(t, c.p.MaxWait(c.failed), c.want, c.desc)
	}
}
