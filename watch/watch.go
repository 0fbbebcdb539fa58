// Package watch follows the objects of one kind in the platform's store: a list,
// then the changes after it. It survives outages, lost history and silent connections.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// ErrHistoryGone says that the store no longer has the changes after a revision.
var ErrHistoryGone = errors.New("the history after the revision is gone")

// Object is an object as of a list, or a change to it.
type Object struct {
	Name  string
	Value []byte
	// Deleted is set when the object no longer exists.
	Deleted bool
	// Revision is that of the store at the last change of the object.
	Revision uint64
}

// Batch is a consistent step of the objects of a kind.
type Batch struct {
	// Full is set when Objects are all objects, and those not named no longer exist.
	Full    bool
	Objects []Object
	// Revision is that of the store as of the batch.
	Revision uint64
}

// Source reads one kind of objects.
type Source interface {
	// List returns all objects.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision, as soon as there is one or the wait
	// ends. It returns ErrHistoryGone when a list is needed.
	Watch(ctx context.Context, revision uint64, wait time.Duration) (Batch, error)
}

// Options of a follower.
type Options struct {
	// Wait is the longest time that one watch stays open.
	Wait time.Duration
	// Gap is the least time between two calls, so that changes close together come as one.
	Gap time.Duration
	// Timeout bounds a call beyond its wait.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed call.
	MinBackoff, MaxBackoff time.Duration
}

// Follow applies the batches of a source until ctx ends. It logs when the source is
// lost and when it is back.
func Follow(ctx context.Context, name string, source Source, o Options, logger *log.Logger, apply func(Batch)) {
	f := follower{source: source, options: o}
	var lostAt time.Time
	for ctx.Err() == nil {
		batch, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if lostAt.IsZero() {
				lostAt = time.Now()
				logger.Warn("store lost", "kind", name, "err", err.Error())
			}
			sleep(ctx, f.pause())
			continue
		}
		if !lostAt.IsZero() {
			logger.Info("store regained", "kind", name, "after_ms", time.Since(lostAt).Milliseconds(), "revision", batch.Revision)
			lostAt = time.Time{}
		}
		if batch.Full || len(batch.Objects) > 0 {
			apply(batch)
		}
		sleep(ctx, o.Gap)
	}
}

// follower is the position of a Follow.
type follower struct {
	source   Source
	options  Options
	listed   bool
	revision uint64
	backoff  time.Duration
}

// step makes one call.
func (f *follower) step(ctx context.Context) (Batch, error) {
	batch, err := f.call(ctx)
	switch {
	case errors.Is(err, ErrHistoryGone):
		f.listed = false
		return Batch{Revision: f.revision}, nil
	case err != nil:
		// A watch that began while the store dropped history may never hear of a change
		// before it, so the position counts only as long as watches end well.
		f.listed = false
		return Batch{}, err
	}
	f.backoff = 0
	if !f.listed || batch.Revision >= f.revision {
		f.revision = batch.Revision
	}
	f.listed = true
	return batch, nil
}

func (f *follower) call(ctx context.Context) (Batch, error) {
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
		defer cancel()
		return f.source.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+f.options.Timeout)
	defer cancel()
	return f.source.Watch(ctx, f.revision, f.options.Wait)
}

// pause returns the time to wait after a failed call. It is random, so that the nodes
// do not all come back at once.
func (f *follower) pause() time.Duration {
	f.backoff = min(max(2*f.backoff, f.options.MinBackoff), f.options.MaxBackoff)
	return time.Duration((0.5 + 0.5*rand.Float64()) * float64(f.backoff))
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
