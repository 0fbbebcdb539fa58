package watch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// busySource is a store whose only object changes at a fixed interval. Each state of the object that a
// response holds takes a time to arrive; a watch brings all states since its revision, a list the newest one.
type busySource struct {
	started               time.Time
	interval, arrivalTime time.Duration
}

func (s *busySource) revision() uint64 { return uint64(time.Since(s.started)/s.interval) + 1 }

func (s *busySource) List(ctx context.Context, began func()) (Batch, error) {
	b := Batch{Full: true, Revision: s.revision()}
	b.Objects = []Object{{Name: "a", Revision: b.Revision}}
	began()
	sleep(ctx, s.arrivalTime)
	return b, ctx.Err()
}

func (s *busySource) Watch(ctx context.Context, revision uint64, wait time.Duration) (Batch, error) {
	if wait > 0 && s.revision() <= revision {
		sleep(ctx, s.interval)
	}
	b := Batch{Revision: s.revision()}
	for r := revision + 1; r <= b.Revision; r++ {
		b.Objects = append(b.Objects, Object{Name: "a", Revision: r})
	}
	sleep(ctx, time.Duration(len(b.Objects))*s.arrivalTime)
	return b, ctx.Err()
}

// Guards against a follower that falls ever further behind because a watch brings each of many changes.
func TestChangesInQuickSuccessionAreNotReadOneByOne(t *testing.T) {
	t.Parallel()
	const maxAge = 2 * time.Second
	s := &busySource{started: time.Now(), interval: 150 * time.Millisecond, arrivalTime: 200 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	var oldest time.Duration
	held := uint64(1)
	Follow(ctx, "kind", s, OptionsForMaxAge(maxAge, s), log.New(io.Discard), func(b Batch) {
		// The object that was held until now is out of date since the next one was written.
		oldest = max(oldest, time.Since(s.started)-time.Duration(held)*s.interval)
		held = b.Objects[len(b.Objects)-1].Revision
	})
	assert.Assert(t, oldest < maxAge, "a change was in use after %s", oldest)
}
