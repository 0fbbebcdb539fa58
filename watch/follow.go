package watch

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// Follow passes the batches of a source to apply until ctx ends. It logs each batch, the first of
// several calls in a row that failed or got no response in time, and the next call that succeeds.
// The name is the kind of the objects, for the log.
func Follow(ctx context.Context, name string, source Source, o Options, logger *log.Logger, apply func(Batch)) {
	f := follower{source: source, options: o, logger: logger.With("kind", name),
		listed: o.From > 0, revision: o.From, shown: o.From}
	for ctx.Err() == nil {
		started := time.Now()
		batch, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			sleep(ctx, f.nextBackoff())
			continue
		}
		if batch.hasChanges() {
			apply(batch)
		}
		// The objects count as confirmed only once they are in use.
		f.options.Progress.confirm(f.last, f.revision)
		f.pause(ctx, started, batch)
	}
}

// follower is the state of one call of Follow. Its calls are in calls.go.
type follower struct {
	source  Source
	options Options
	logger  *log.Logger
	// listed is set while a watch can continue from revision. Without it the next call is a
	// list.
	listed   bool
	revision uint64
	// shown is the revision that the last response claims to show. The next watch continues from the
	// one claimed before, or from the newest object received: a response without objects may lack a
	// change, and the next one then brings it.
	shown   uint64
	backoff time.Duration
	// lostAt is the time of the first of the failed calls in a row; zero if the last call succeeded.
	lostAt time.Time
	// objects is the number of objects in the last list.
	objects int
	// behind is set from a response with more superseded states of objects than a list has objects on, until a
	// list shows nothing newer. Changes then come faster than they are read, and lists, which hold only the newest
	// states, are shorter than what a watch brings.
	behind bool
	// last is the last call that succeeded.
	last result
	// listTook is how long the last list took, listEnded the time of its end, listStarted that of the last start.
	listTook               time.Duration
	listStarted, listEnded time.Time
	// overdue is set while calls get no response in time, doubted once that has raised the doubt.
	overdue, doubted bool
}

// step gets one response of the source and updates the revision. When the history is gone, it
// returns an empty batch and no error, and the next call is a list.
func (f *follower) step(ctx context.Context) (Batch, error) {
	from := f.revision
	r := f.call(ctx)
	if ctx.Err() != nil {
		return Batch{}, ctx.Err()
	}
	if errors.Is(r.err, ErrHistoryGone) {
		f.options.Progress.update(func(s *ProgressState) { s.HistoryGone++ })
		f.listed = false
		return Batch{Revision: f.revision}, nil
	}
	if r.err != nil {
		f.fail(r, from)
		return Batch{}, r.err
	}
	f.advance(r)
	f.last = r
	f.logSuccess(r, from)
	f.backoff = 0
	f.listed = true
	return r.batch, nil
}

// advance moves the revision from which the next watch continues.
func (f *follower) advance(r result) {
	b := r.batch
	if b.Full {
		f.revision, f.shown, f.objects = b.Revision, b.Revision, len(b.Objects)
		return
	}
	f.behind = b.superseded() >= max(1, f.objects)
	if r.kind == watchCall {
		f.revision = max(f.revision, f.shown)
	}
	for _, o := range b.Objects {
		f.revision = max(f.revision, o.Revision)
	}
	f.shown = max(f.shown, b.Revision)
	if b.Unreadable > 0 {
		// The next watch would bring the unreadable objects again.
		f.revision = f.shown
	}
}

// fail records a failed call. A watch that starts while the store drops history may miss earlier
// changes without an error. The revision is therefore valid only as long as every call succeeds,
// and after a failed call the objects are listed again.
func (f *follower) fail(r result, from uint64) {
	f.options.Progress.update(func(s *ProgressState) { s.Failures++ })
	f.listed = false
	if !f.lostAt.IsZero() {
		return
	}
	f.lostAt = time.Now()
	if isTimeout(r.err) {
		f.options.Doubt.raise()
	}
	f.logger.Warn("store lost", "call", r.kind, "from", from, "after_ms", time.Since(r.started).Milliseconds(), "err", r.err.Error())
}

func (f *follower) logSuccess(r result, from uint64) {
	if !f.lostAt.IsZero() {
		f.logger.Info("store regained", "after_ms", time.Since(f.lostAt).Milliseconds(), "revision", r.batch.Revision)
		f.lostAt = time.Time{}
	}
	if r.batch.Unreadable > 0 {
		f.logger.Warn("objects without a usable name ignored", "count", r.batch.Unreadable, "revision", r.batch.Revision)
	}
	if r.batch.hasChanges() {
		f.logger.Info("objects read", "call", r.kind, "from", from, "revision", r.batch.Revision,
			"objects", len(r.batch.Objects), "after_ms", time.Since(r.started).Milliseconds())
	}
}

// pause waits after a successful call that started at the given time. It ends early when somebody waits
// for the objects to be confirmed.
func (f *follower) pause(ctx context.Context, started time.Time, b Batch) {
	if f.options.Gap == nil {
		return
	}
	gap := f.options.Gap()
	if !b.hasChanges() {
		gap -= time.Since(started)
	}
	timer := time.NewTimer(gap)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-f.options.Progress.ConfirmationRequests():
		// The next call confirms the objects.
		f.options.Progress.requestConfirmation()
	}
}

// isTimeout reports whether a call failed because there was no response in time.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// nextBackoff returns the time to wait after a failed call. It is random, so that the nodes
// do not all call the store at the same time after an outage.
func (f *follower) nextBackoff() time.Duration {
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
