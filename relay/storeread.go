package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/boottime"
	"github.com/jackdawlane/jackdawlane/watch"
)

const (
	// readTimeShare is how long a read of the changes from the store by a node that is not a reader may take,
	// listTimeShare how long one of all of the configuration may, as shares of the time within which a change
	// must be in force. A store that has been silent answers new calls only.
	readTimeShare = 0.5
	listTimeShare = 2
)

// startRead starts a read of the store, unless one is running. Sources are asked meanwhile: they may have a
// change although this node waits for the store.
func (c *Client) startRead(ctx context.Context, list bool) {
	select {
	case <-c.reading:
	default:
		return
	}
	share := readTimeShare
	if list {
		share = listTimeShare
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(share*float64(c.config.MaxAge)))
	done := make(chan struct{})
	c.reading, c.stopReading = done, cancel
	c.update(func(s *Selector) { s.ReadStarted() })
	go func() {
		defer close(done)
		defer cancel()
		c.readStore(ctx, list)
	}()
}

// readStore reads the changes since the revision that is known, or all of the configuration if the changes
// are not known and list is set.
func (c *Client) readStore(ctx context.Context, list bool) {
	c.config.Metrics.Add("relay.store_reads", 1)
	sentAt := boottime.Now()
	revision := c.config.Progress.State().Revision
	batch, err := watch.Batch{}, watch.ErrHistoryGone
	if revision > 0 {
		batch, err = c.config.Store.Watch(ctx, revision, 0)
	}
	listed := list && errors.Is(err, watch.ErrHistoryGone)
	if listed {
		c.config.Metrics.Add("relay.lists", 1)
		batch, err = c.config.Store.List(ctx, func() {})
	}
	if err == nil {
		c.config.Apply(batch)
		c.config.Progress.Learn(sentAt, c.nextRevision(batch, revision))
	}
	c.update(func(s *Selector) { s.StoreRead(boottime.Now(), err == nil, listed) })
}

// nextRevision returns the revision after which the next read looks for changes. A response without
// objects may lack a change, so its revision counts only from the next read on.
func (c *Client) nextRevision(b watch.Batch, revision uint64) uint64 {
	if b.Full {
		c.shown = b.Revision
		return b.Revision
	}
	revision = max(revision, c.shown)
	for _, o := range b.Objects {
		revision = max(revision, o.Revision)
	}
	c.shown = b.Revision
	return revision
}
