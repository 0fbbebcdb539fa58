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

// follow runs Follow over prepared responses and returns the calls that it made.
func follow(t *testing.T, responses ...response) []string {
	s := &scriptedSource{done: make(chan struct{}), responses: responses}
	o := Options{Wait: time.Minute, Overdue: time.Minute, Timeout: time.Minute, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	var finished sync.WaitGroup
	finished.Go(func() { Follow(ctx, "kind", s, o, log.New(io.Discard), func(Batch) {}) })
	<-s.done
	cancel()
	finished.Wait()
	return s.calls
}

// Guards against a watch that continues past a change that a response left out.
func TestRevisionOfAnEmptyResponseIsNotTrustedAtOnce(t *testing.T) {
	calls := follow(t,
		response{batch: Batch{Full: true, Revision: 3}},
		response{batch: Batch{Revision: 5}},
		response{batch: Batch{Revision: 7}},
		response{batch: Batch{Revision: 9, Objects: []Object{{Name: "a", Revision: 8}}}},
		response{batch: Batch{Revision: 9}},
	)
	assert.DeepEqual(t, calls, []string{"list", "watch 3", "watch 3", "watch 5", "watch 8", "watch 9"})
}

// Guards against a watch that is answered at once for ever, because its events don't carry the revision of their change.
func TestRevisionMovesPastEventsWithoutRevision(t *testing.T) {
	deletion := response{batch: Batch{Revision: 5, Objects: []Object{{Name: "a", Deleted: true, Revision: 2}}}}
	calls := follow(t, response{batch: Batch{Full: true, Revision: 3}}, deletion, deletion)
	assert.DeepEqual(t, calls, []string{"list", "watch 3", "watch 3", "watch 5"})
}

// Guards against calls without a pause to a store that does not wait for changes.
func TestEmptyResponsesAreNotReadInALoop(t *testing.T) {
	s := &countingSource{}
	o := Options{Wait: time.Minute, Overdue: time.Minute, Timeout: time.Minute, Gap: func() time.Duration { return 20 * time.Millisecond }}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	Follow(ctx, "kind", s, o, log.New(io.Discard), func(Batch) {})
	assert.Assert(t, s.calls <= 11, "%d calls in 200 ms with a gap of 20 ms", s.calls)
}

// countingSource answers each call at once and without objects.
type countingSource struct{ calls int }

func (s *countingSource) List(context.Context, func()) (Batch, error) {
	s.calls++
	return Batch{Full: true, Revision: 1}, nil
}

func (s *countingSource) Watch(context.Context, uint64, time.Duration) (Batch, error) {
	s.calls++
	return Batch{Revision: 1}, nil
}

// Guards against options whose worst case comes near the age that they are to keep.
func TestMaxAgeLeavesRoomForTwoCallsWithoutResponse(t *testing.T) {
	const maxAge = 10 * time.Second
	o := OptionsForMaxAge(maxAge, nil)
	assert.Equal(t, o.Gap()+o.CheckInterval, 5*time.Second)
	assert.Equal(t, o.Gap()+o.CheckInterval+o.Overdue, 6500*time.Millisecond)
	assert.Assert(t, o.Gap()+o.CheckInterval+3*o.Overdue <= maxAge)
	assert.Assert(t, o.Gap()+o.CheckInterval+o.MaxBackoff <= 8*time.Second)
}
