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
	// watchWait is the length of one watch on the head in the object store. A stale watch
	// delays a change by this time, and one without a response by watchOverdue more. Both are part
	// of the 7 s within which a change must be in force on all nodes, of which the way from the
	// relays to the other nodes takes up to 4.9 s.
	watchWait = time.Second
	// watchOverdue is the time after the end of its wait at which a watch is given up.
	watchOverdue = 500 * time.Millisecond
	// configPollInterval is the time between two checks of the version that peers report.
	configPollInterval = 200 * time.Millisecond
	// configRetryDelay is the time until the next try after the configuration could not
	// be read.
	configRetryDelay = time.Second
)

// configUpdater keeps the configuration of this node up to date, from the object store
// and from peers. Only the goroutine of run accesses the follower; other goroutines read
// the published configuration.
type configUpdater struct {
	loader *config.Loader
	// closeIdle closes the idle connections to the object store.
	closeIdle func()
	timeout   time.Duration
	syncer    *control.Syncer
	peers     *configPeers
	logger    *log.Logger
	follower  *config.Follower
	published atomic.Pointer[publishedConfig]
	// storeFailed is true if the object store did not answer the latest read of the head.
	storeFailed atomic.Bool
	// pendingHead is a head from the store that could not be put in force yet.
	pendingHead []byte
	// retryAt is the time before which pollPeers does nothing.
	retryAt time.Time
	// lastPeerCount is the number of known peers at the latest call of startFromPeers.
	lastPeerCount int
}

// publishedConfig is the configuration in force, as the traffic handlers and the calls
// of peers read it.
type publishedConfig struct {
	snapshot *config.Snapshot
	head     []byte
	pages    map[config.Hash][]byte
}

func newConfigUpdater(store *objectstore.Client, timeout time.Duration, s *control.Syncer, peers *configPeers, logger *log.Logger) *configUpdater {
	cfg := &configUpdater{
		loader:    config.NewLoader(store),
		closeIdle: store.Close,
		timeout:   timeout,
		syncer:    s,
		peers:     peers,
		logger:    logger,
		follower:  config.NewFollower(),
	}
	cfg.publish()
	return cfg
}

// Snapshot returns the configuration in force.
func (c *configUpdater) Snapshot() *config.Snapshot { return c.published.Load().snapshot }

// Head implements control.ConfigSource.
func (c *configUpdater) Head() (uint64, []byte) {
	p := c.published.Load()
	return p.snapshot.Version(), p.head
}

// Page implements control.ConfigSource.
func (c *configUpdater) Page(hash string) ([]byte, bool) {
	data, ok := c.published.Load().pages[config.Hash(hash)]
	return data, ok
}

// run puts new versions in force until ctx ends. It reads them from the object store
// while this node is a relay or has no configuration, and from peers as they report them.
func (c *configUpdater) run(ctx context.Context) {
	heads := make(chan []byte)
	go c.watchStore(ctx, heads)
	ticker := time.NewTicker(configPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case head := <-heads:
			c.applyStoreHead(ctx, head)
		case <-ticker.C:
			c.pollPeers(ctx)
		}
	}
}

// watchStore sends each new head of the object store to heads. A node that is not a
// relay reads the store only until it has a configuration. A watch may be stale, so the
// head itself is read after a watch that reported no change.
func (c *configUpdater) watchStore(ctx context.Context, heads chan<- []byte) {
	etag, sent := "", ""
	for ctx.Err() == nil {
		if c.Snapshot().Version() > 0 && !c.syncer.IsRelay() {
			sleep(ctx, configPollInterval)
			continue
		}
		head, newTag, err := c.readStore(ctx, etag)
		if err != nil && etag != "" && ctx.Err() == nil {
			// The head may have changed. It is read without a watch, on a new connection.
			c.logger.Warn("watch on the head failed", "err", err)
			c.closeIdle()
			etag = ""
			continue
		}
		c.storeFailed.Store(err != nil && !errors.Is(err, config.ErrNoVersion))
		if err != nil {
			if c.storeFailed.Load() {
				c.logger.Warn("object store not reached; serving on with the version in force", "err", err)
			}
			sleep(ctx, configRetryDelay)
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

func (c *configUpdater) readStore(ctx context.Context, etag string) ([]byte, string, error) {
	if etag == "" {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		return c.loader.Head(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchOverdue)
	defer cancel()
	return c.loader.WatchHead(ctx, etag, watchWait)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// applyStoreHead puts a head from the object store in force. If that fails, pollPeers
// tries the head again.
func (c *configUpdater) applyStoreHead(ctx context.Context, head []byte) {
	c.pendingHead = nil
	if err := c.applyHead(ctx, head, append([]pageSource{c.readStorePages}, c.peers.pageSources(c.peers.sample())...)); err != nil {
		c.logger.Warn("configuration of the object store not taken", "err", err)
		c.pendingHead = head
		c.retryAt = time.Now().Add(configRetryDelay)
	}
}

func (c *configUpdater) readStorePages(ctx context.Context, hashes []config.Hash) (map[config.Hash][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.loader.Pages(ctx, hashes)
}

// pollPeers puts a higher version in force if a peer reported one. It first tries the
// pending head from the object store again.
func (c *configUpdater) pollPeers(ctx context.Context) {
	if time.Now().Before(c.retryAt) {
		return
	}
	if c.pendingHead != nil {
		c.applyStoreHead(ctx, c.pendingHead)
	}
	if c.Snapshot().Version() == 0 {
		c.startFromPeers(ctx)
		return
	}
	newest := c.syncer.NewestConfig()
	if newest.Version <= c.Snapshot().Version() {
		return
	}
	if c.applyHighest(ctx, []string{newest.Address}) {
		return
	}
	if !c.applyHighest(ctx, append(c.peers.sample(), newest.Address)) {
		c.retryAt = time.Now().Add(configRetryDelay)
	}
}

// startFromPeers puts the highest version of all reachable peers in force if the object
// store cannot be reached. It waits until the number of known peers no longer changes: a
// node that applies the version of the first peer that answers could serve an older
// version than other nodes already serve.
func (c *configUpdater) startFromPeers(ctx context.Context) {
	if !c.storeFailed.Load() {
		return
	}
	c.retryAt = time.Now().Add(configRetryDelay)
	all := c.peers.all()
	if len(all) == 0 || len(all) != c.lastPeerCount {
		c.lastPeerCount = len(all)
		return
	}
	c.applyHighest(ctx, c.peers.withHighestVersion(ctx, all))
}

// applyHighest tries the heads of the peers, from the highest version down, until one is
// in force, and reports whether it succeeded. A head that cannot be decoded, or whose
// pages no peer has, does not prevent a lower version from being used.
func (c *configUpdater) applyHighest(ctx context.Context, addresses []string) bool {
	for _, head := range c.peers.readHeads(ctx, addresses) {
		if head.version <= c.Snapshot().Version() {
			return false
		}
		sources := c.peers.pageSources(append([]string{head.address}, addresses...))
		err := c.applyHead(ctx, head.data, sources)
		if err == nil {
			return true
		}
		c.logger.Warn("configuration of a peer not taken", "peer", head.address, "version", head.version, "err", err)
	}
	return false
}

// applyHead puts a head in force with pages from the sources. If the head is still not in
// force after all sources were read, it abandons the version and returns an error.
func (c *configUpdater) applyHead(ctx context.Context, head []byte, sources []pageSource) error {
	if _, err := c.follower.OfferHead(head); err != nil {
		return err
	}
	wanted := c.follower.Target()
	err := fetchPages(ctx, c.follower, sources)
	c.publish()
	if c.Snapshot().Version() < wanted {
		c.follower.AbandonTarget()
		return errors.Wrapf(err, "configuration version %d could not be put in force", wanted)
	}
	return nil
}

// publish makes the configuration in force visible to other goroutines if its version
// changed.
func (c *configUpdater) publish() {
	snapshot := c.follower.Snapshot()
	old := c.published.Load()
	if old != nil && old.snapshot.Version() == snapshot.Version() {
		return
	}
	c.published.Store(&publishedConfig{snapshot: snapshot, head: c.follower.EncodedHead(), pages: c.follower.Pages()})
	c.syncer.SetConfigVersion(snapshot.Version())
	if snapshot.Version() > 0 {
		c.logger.Info("configuration in force", "version", snapshot.Version())
	}
}
