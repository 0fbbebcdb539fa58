package relay

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/boottime"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/watch"
)

const (
	// maxIdleConnections is the number of idle connections kept to each node.
	maxIdleConnections = 1
	// nodesShare is how long a node waits at its start for the list of the other nodes.
	nodesShare = 0.5
)

// Config holds the settings and dependencies of a client.
type Config struct {
	Self Node
	// MaxAge is the time within which a change must be in force.
	MaxAge   time.Duration
	Replica  *Replica
	Progress *watch.Progress
	// Store reads the configuration from the store.
	Store watch.Source
	// Apply puts what Store returned in force.
	Apply func(watch.Batch)
	// Follow follows the store until ctx ends, from the revision that Progress has. It runs while the node is
	// a reader.
	Follow  func(ctx context.Context)
	Metrics Metrics
	Logger  *log.Logger
}

// Client keeps the configuration of a node up to date.
type Client struct {
	config    Config
	transport exchange.Client
	// mu guards the selector.
	mu       sync.Mutex
	selector *Selector
	// known is closed once the nodes of the region are known.
	known     chan struct{}
	knownOnce sync.Once
	// stopFollowing ends Config.Follow; nil while it does not run.
	stopFollowing func()
	// reading is closed when the last read of the store has ended, stopReading ends it. There is one at a time,
	// beside the requests to other nodes.
	reading     chan struct{}
	stopReading func()
	// shown is the revision that the last read of the store claims to show.
	shown uint64
	// needsAll is set after updates that could not be applied.
	needsAll bool
	// lost is set while requests for updates fail, for the log.
	lost bool
}

// NewClient returns a client that is not yet running.
func NewClient(c Config) *Client {
	return &Client{
		config: c,
		// A VM that is gone answers no packet, while a request may wait longer for its reply.
		transport: exchange.Client{Transport: exchange.NewTransport(time.Duration(replyShare*float64(c.MaxAge)), 0, maxIdleConnections)},
		selector:  NewSelector(c.Self, c.MaxAge, nil),
		known:     make(chan struct{}),
		reading:   closedChannel(),
	}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// SetNodes replaces the nodes of the region.
func (c *Client) SetNodes(nodes []Node) {
	c.mu.Lock()
	c.selector.SetNodes(boottime.Now(), nodes)
	c.mu.Unlock()
	c.knownOnce.Do(func() { close(c.known) })
}

// Run keeps the configuration up to date until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	select {
	case <-c.known:
	case <-time.After(time.Duration(nodesShare * float64(c.config.MaxAge))):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		c.mu.Lock()
		if c.config.Replica.State().Version() > 0 {
			c.selector.Configured()
		}
		action, reader := c.selector.Next(boottime.Now()), c.selector.Reader()
		c.mu.Unlock()
		c.setFollowing(ctx, reader)
		c.do(ctx, action, reader)
	}
	c.setFollowing(ctx, false)
	<-c.reading
}

// setFollowing starts or ends Config.Follow.
func (c *Client) setFollowing(ctx context.Context, follow bool) {
	if follow == (c.stopFollowing != nil) {
		return
	}
	c.config.Logger.Info("configuration reader", "reads_store", follow)
	if !follow {
		c.stopFollowing()
		c.stopFollowing = nil
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.config.Follow(ctx)
	}()
	c.stopFollowing = func() { cancel(); <-done }
}

func (c *Client) do(ctx context.Context, a Action, reader bool) {
	switch {
	case a.Source.ID != "":
		c.ask(ctx, a, reader)
	case a.ReadStore:
		c.startRead(ctx, a.List)
	default:
		c.interruptible(ctx, reader, func(ctx context.Context) { sleep(ctx, a.Pause) })
	}
}

// interruptible runs f until somebody needs the configuration to be confirmed, or has a newer one. A reader
// leaves these cases to Config.Follow.
func (c *Client) interruptible(ctx context.Context, reader bool, f func(ctx context.Context)) {
	if reader {
		f(ctx)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	confirm := false
	select {
	case <-done:
	case <-c.config.Progress.Hints():
		c.update(func(s *Selector) { s.Behind() })
	case <-c.config.Progress.ConfirmationRequests():
		confirm = true
	}
	cancel()
	<-done
	c.mu.Lock()
	confirm = confirm && c.selector.MayRead(boottime.Now())
	c.mu.Unlock()
	if confirm {
		c.startRead(ctx, false)
	}
}

func (c *Client) update(change func(*Selector)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.selector)
}

// ask asks a node for updates and applies them.
func (c *Client) ask(ctx context.Context, a Action, reader bool) {
	var reply reply
	var err error
	interrupted := false
	c.interruptible(ctx, reader, func(ctx context.Context) {
		reply, err = c.request(ctx, a)
		interrupted = ctx.Err() != nil
	})
	if interrupted {
		return
	}
	if err == nil {
		err = c.accept(a.Source, reply)
	}
	c.note(a.Source, err)
	if err != nil {
		c.config.Metrics.Add("relay.failed", 1)
		c.update(func(s *Selector) { s.Failed(boottime.Now(), a.Source) })
		return
	}
	own := c.config.Replica.State().Version()
	fresh := false
	c.update(func(s *Selector) { fresh = s.Replied(a.Source, reply.age, reply.version >= own && own > 0) })
	if fresh && c.stopReading != nil {
		// The source has told what the read was to find out.
		c.stopReading()
	}
}

// note logs the first of several requests in a row that failed, and the next one that succeeds.
func (c *Client) note(n Node, err error) {
	if (err != nil) == c.lost {
		return
	}
	c.lost = err != nil
	if c.lost {
		c.config.Logger.Warn("configuration relay lost", "relay", n.ID, "err", err.Error())
		return
	}
	c.config.Logger.Info("configuration relay regained", "relay", n.ID)
}

// accept applies the updates of a reply and takes over what it tells about the version in force.
func (c *Client) accept(from Node, r reply) error {
	if len(r.updates) > 0 {
		started := time.Now()
		version, rows, err := c.config.Replica.Apply(r.updates)
		c.needsAll = err != nil
		if err != nil {
			return err
		}
		if rows > 0 {
			c.update(func(s *Selector) { s.Advanced() })
			c.config.Logger.Info("configuration updated", "version", version, "relay", from.ID, "rows", rows,
				"bytes", len(r.updates), "applied_ms", time.Since(started).Milliseconds())
		}
		c.config.Metrics.Add("relay.updates", 1)
		c.config.Metrics.Add("relay.update_bytes", int64(len(r.updates)))
	}
	if r.version > 0 && r.version == c.config.Replica.State().Version() {
		c.config.Progress.Learn(r.confirmedAt, r.revision)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
