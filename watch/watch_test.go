package watch

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// script answers the calls of a follower in turn.
type script struct {
	mu    sync.Mutex
	calls []string
	steps []step
	done  chan struct{}
}

type step struct {
	batch Batch
	err   error
}

func (s *script) next(ctx context.Context, call string) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		select {
		case <-s.done:
		default:
			close(s.done)
		}
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	st := s.steps[0]
	s.steps = s.steps[1:]
	return st.batch, st.err
}

func (s *script) List(ctx context.Context) (Batch, error) { return s.next(ctx, "list") }

func (s *script) Watch(ctx context.Context, revision uint64, _ time.Duration) (Batch, error) {
	return s.next(ctx, "watch "+string(rune('0'+revision)))
}

// Guards against a follower that stops at an outage or at lost history, reads what an
// event already told, or goes on watching after a watch that was cut: the store may have
// dropped the changes in between without a word.
func TestFollow(t *testing.T) {
	down := errors.New("down")
	s := &script{done: make(chan struct{}), steps: []step{
		{err: down},
		{batch: Batch{Full: true, Revision: 3}},
		{batch: Batch{Revision: 4, Objects: []Object{{Name: "a"}}}},
		{batch: Batch{Revision: 4}},
		{err: down},
		{batch: Batch{Full: true, Revision: 5, Objects: []Object{{Name: "b"}}}},
		{err: ErrHistoryGone},
		{batch: Batch{Full: true, Revision: 8, Objects: []Object{{Name: "c"}}}},
	}}
	var applied []string
	o := Options{Wait: time.Minute, Timeout: time.Minute, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		Follow(ctx, "kind", s, o, log.New(io.Discard), func(b Batch) {
			for _, object := range b.Objects {
				applied = append(applied, object.Name)
			}
		})
	}()
	<-s.done
	cancel()
	<-finished
	assert.DeepEqual(t, s.calls, []string{"list", "list", "watch 3", "watch 4", "watch 4", "list", "watch 5", "list", "watch 8"})
	assert.DeepEqual(t, applied, []string{"a", "b", "c"})
}
