package watch

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// deadWatchSource is a source whose watches get no response until release is closed. It counts the lists.
type deadWatchSource struct {
	mu       sync.Mutex
	lists    int
	release  chan struct{}
	watching chan struct{}
	once     sync.Once
}

func (s *deadWatchSource) List(context.Context, func()) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return Batch{Full: true, Revision: 1}, nil
}

func (s *deadWatchSource) Watch(ctx context.Context, revision uint64, _ time.Duration) (Batch, error) {
	s.once.Do(func() { close(s.watching) })
	select {
	case <-s.release:
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
	if revision >= 2 {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return Batch{Revision: 2, Objects: []Object{{Name: "a", Revision: 2}}}, nil
}

// Guards against a follower that does not list the objects after a hint that somebody else has newer ones,
// that lists them although its watch brings them, and that makes a call for each of many hints.
func TestHintsLeadToFewLists(t *testing.T) {
	for desc, c := range map[string]struct {
		answered  bool
		hints     int
		wantLists int
	}{
		"dead watch":      {false, 1, 2},
		"many hints":      {false, 100, 2},
		"no hint":         {false, 0, 1},
		"watch brings it": {true, 100, 1},
	} {
		t.Run(desc, func(t *testing.T) {
			t.Parallel()
			s := &deadWatchSource{release: make(chan struct{}), watching: make(chan struct{})}
			o := Options{Wait: time.Minute, Overdue: time.Second, Timeout: time.Minute, Progress: NewProgress()}
			go Follow(t.Context(), "kind", s, o, log.New(io.Discard), func(Batch) {})
			<-s.watching
			for range c.hints {
				o.Progress.NewerElsewhere()
			}
			if c.answered {
				close(s.release)
			}
			// A second list would follow Overdue after the first one.
			time.Sleep(5 * o.Overdue / 2)
			s.mu.Lock()
			defer s.mu.Unlock()
			assert.Equal(t, s.lists, c.wantLists)
		})
	}
}
