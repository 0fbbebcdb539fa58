package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against work that is refused only after its answer could be in time, and against
// a failure that is reported while a second attempt could still serve the request.
func TestPatience(t *testing.T) {
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
