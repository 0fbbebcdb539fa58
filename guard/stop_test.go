package guard

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/hop"
)

// Guards against an attempt that stays in the queue of a guard that stops, although another guard
// could take it, and against running work that a stop ends.
func TestStopRefusesQueuedAttempts(t *testing.T) {
	f := newFixture(t)
	proceed := sync.OnceFunc(func() { close(f.proceed) })
	t.Cleanup(proceed)
	type end struct {
		outcome hop.Outcome
		reason  hop.Reason
	}
	start := func(id string) <-chan end {
		done := make(chan end, 1)
		go func() {
			o, r := f.do(id)
			done <- end{o, r}
		}()
		return done
	}
	running := start(f.newID())
	f.until("the first attempt runs", func() bool { return f.runs.Load() == 1 })
	id := f.newID()
	queued := start(id)
	f.until("the second attempt waits", func() bool { return f.load() == 2 })
	f.guard.Stop()
	select {
	case got := <-queued:
		assert.Equal(t, got, end{hop.OutcomeNotRun, hop.ReasonStopping})
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt still waits")
	}
	assert.Equal(t, f.resolve(id), attempt.NotRun)
	proceed()
	assert.Equal(t, (<-running).outcome, hop.OutcomeAnswer)
	assert.Equal(t, f.runs.Load(), int32(1))
}
