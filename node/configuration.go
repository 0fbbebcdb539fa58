package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/control"
	"github.com/jackdawlane/jackdawlane/objectstore"
)

const (
	// watchWait is the length of one watch on the head. A stale watch delays a change by
	// this time, within the 7 s in which it must be in force everywhere.
	watchWait = 3 * time.Second
	// configPoll is the time between two looks at the version that peers report.
	configPoll = 200 * time.Millisecond
	// configRetry is the pause after a failed read of the configuration.
	configRetry = time.Second
)

// configuration follows the configuration in force. Only the goroutine of run
// touches the follower; what other goroutines read is published.
type configuration struct {
	loader    *config.Loader
	timeout   time.Duration
	syncer    *control.Syncer
	peers     *configPeers
	logger    *log.Logger
	follower  *config.Follower
	published atomic.Pointer[published]
	// storeFailed says that the store did not answer this node's latest call.
	storeFailed atomic.Bool
	// pending is a head of the store whose pages could not be read yet.
	pending []byte
	retryAt time.Time
	// knownPeers is the number of peers at the last look of a starting node.
	knownPeers int
}

// published is what traffic and peers read.
type published struct {
	snapshot *config.Snapshot
	head     []byte
	pages    map[config.Hash][]byte
}

func newConfiguration(store *objectstore.Client, timeout time.Duration, s *control.Syncer, peers *configPeers, logger *log.Logger) *configuration {
	cfg := &configuration{
		loader:   config.NewLoader(store),
		timeout:  timeout,
		syncer:   s,
		peers:    peers,
		logger:   logger,
		follower: config.NewFollower(),
	}
	cfg.publish()
	return cfg
}

// Snapshot returns the configuration in force.
func (c *configuration) Snapshot() *config.Snapshot { return c.published.Load().snapshot }

// Head implements control.ConfigSource.
func (c *configuration) Head() (uint64, []byte) {
	p := c.published.Load()
	return p.snapshot.Version(), p.head
}

// Page implements control.ConfigSource.
func (c *configuration) Page(hash string) ([]byte, bool) {
	data, ok := c.published.Load().pages[config.Hash(hash)]
	return data, ok
}

// run follows the store while this node is a relay or has no configuration,
// and its peers otherwise.
func (c *configuration) run(ctx context.Context) {
	heads := make(chan []byte)
	go c.watchStore(ctx, heads)
	ticker := time.NewTicker(configPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case head := <-heads:
			c.take(ctx, head)
		case <-ticker.C:
			c.follow(ctx)
		}
	}
}

// watchStore sends each new head of the store. A node that is not a relay reads
// the store only until it has a configuration. A watch may be stale, so after a watch without
// news the head itself is read.
func (c *configuration) watchStore(ctx context.Context, heads chan<- []byte) {
	etag, sent := "", ""
	for ctx.Err() == nil {
		if c.Snapshot().Version() > 0 && !c.syncer.IsRelay() {
			sleep(ctx, configPoll)
			continue
		}
		head, newTag, err := c.readStore(ctx, etag)
		c.storeFailed.Store(err != nil && !errors.Is(err, config.ErrNoVersion))
		if err != nil {
			if c.storeFailed.Load() {
				c.logger.Warn("object store not reached; serving on with the version in force", "err", err)
			}
			sleep(ctx, configRetry)
			continue
		}
		etag = newTag
		if head == nil {
			etag = ""
			continue
		}
		if newTag == sent {
			continue
		}
		sent = newTag
		select {
		case heads <- head:
		case <-ctx.Done():
		}
	}
}

func (c *configuration) readStore(ctx context.Context, etag string) ([]byte, string, error) {
	if etag == "" {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		return c.loader.Head(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+c.timeout)
	defer cancel()
	return c.loader.WatchHead(ctx, etag, watchWait)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// take puts a head of the store in force. A head whose pages cannot be read is tried again.
func (c *configuration) take(ctx context.Context, head []byte) {
	c.pending = nil
	if err := c.try(ctx, head, append([]pageSource{c.storePages}, c.peers.sources(c.peers.some())...)); err != nil {
		c.logger.Warn("configuration of the object store not taken", "err", err)
		c.pending = head
		c.retryAt = time.Now().Add(configRetry)
	}
}

func (c *configuration) storePages(ctx context.Context, hashes []config.Hash) (map[config.Hash][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.loader.Pages(ctx, hashes)
}

// follow takes a higher version that a peer reported, and one of the store that was not completed.
func (c *configuration) follow(ctx context.Context) {
	if time.Now().Before(c.retryAt) {
		return
	}
	if c.pending != nil {
		c.take(ctx, c.pending)
	}
	if c.Snapshot().Version() == 0 {
		c.startFromPeers(ctx)
		return
	}
	newest := c.syncer.Newest()
	if newest.Version <= c.Snapshot().Version() {
		return
	}
	if c.takeHighest(ctx, []string{newest.Address}) {
		return
	}
	if !c.takeHighest(ctx, append(c.peers.some(), newest.Address)) {
		c.retryAt = time.Now().Add(configRetry)
	}
}

// startFromPeers takes the highest version among all peers that can be reached, when the
// store cannot. It waits until the directory is complete: a node that takes the version of the
// first peer that answers would serve an older version than others did before it.
func (c *configuration) startFromPeers(ctx context.Context) {
	if !c.storeFailed.Load() {
		return
	}
	c.retryAt = time.Now().Add(configRetry)
	all := c.peers.all()
	if len(all) == 0 || len(all) != c.knownPeers {
		c.knownPeers = len(all)
		return
	}
	c.takeHighest(ctx, c.peers.newest(ctx, all))
}

// takeHighest offers the heads of peers, the highest first, until one is complete.
// A head that does not decode or whose pages no peer has does not hide a lower one.
func (c *configuration) takeHighest(ctx context.Context, addresses []string) bool {
	for _, head := range c.peers.heads(ctx, addresses) {
		if head.version <= c.Snapshot().Version() {
			return false
		}
		sources := c.peers.sources(append([]string{head.address}, addresses...))
		err := c.try(ctx, head.data, sources)
		if err == nil {
			return true
		}
		c.logger.Warn("configuration of a peer not taken", "peer", head.address, "version", head.version, "err", err)
	}
	return false
}

// try puts a head in force with pages from the sources, or gives it up.
func (c *configuration) try(ctx context.Context, head []byte, sources []pageSource) error {
	if _, err := c.follower.OfferHead(head); err != nil {
		return err
	}
	wanted := c.follower.Target()
	err := fill(ctx, c.follower, sources)
	c.publish()
	if c.Snapshot().Version() < wanted {
		c.follower.Abandon()
		return errors.Wrapf(err, "version %d is not complete", wanted)
	}
	return nil
}

// publish makes the follower's state visible to other goroutines.
func (c *configuration) publish() {
	snapshot := c.follower.Snapshot()
	old := c.published.Load()
	if old != nil && old.snapshot.Version() == snapshot.Version() {
		return
	}
	c.published.Store(&published{snapshot: snapshot, head: c.follower.Head(), pages: c.follower.Pages()})
	c.syncer.SetConfigVersion(snapshot.Version())
	if snapshot.Version() > 0 {
		c.logger.Info("configuration in force", "version", snapshot.Version())
	}
}
