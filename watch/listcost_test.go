package watch

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// costlySource answers lists late, checks never, and watches when their wait is over.
type costlySource struct {
	listTime time.Duration
	lists    atomic.Int64
}

func (s *costlySource) List(ctx context.Context, began func()) (Batch, error) {
	s.lists.Add(1)
	sleep(ctx, s.listTime)
	began()
	return Batch{Full: true, Revision: 1}, ctx.Err()
}

func (s *costlySource) Watch(ctx context.Context, _ uint64, wait time.Duration) (Batch, error) {
	if wait == 0 {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	sleep(ctx, wait)
	return Batch{Revision: 1}, ctx.Err()
}

// Guards against lists that follow each other because responses are late, which they are because of the lists.
func TestLateResponsesDoNotKeepListing(t *testing.T) {
	t.Parallel()
	const maxAge, listTime, run = time.Second, 250 * time.Millisecond, 8 * time.Second
	s := &costlySource{listTime: listTime}
	ctx, cancel := context.WithTimeout(t.Context(), run)
	defer cancel()
	Follow(ctx, "kind", s, OptionsForMaxAge(maxAge, s), log.New(io.Discard), func(Batch) {})
	limit := int64(run/((1+listCostFactor)*listTime)) + 2
	assert.Assert(t, s.lists.Load() <= limit, "%d lists of %s in %s; want at most %d", s.lists.Load(), listTime, run, limit)
}
