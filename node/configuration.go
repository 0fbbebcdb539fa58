package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/control"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/objectstore"
)

const (
	// watchWait is the length of one watch on the head.
	watchWait = 30 * time.Second
	// configPoll is the time between two looks at the version that peers report.
	configPoll = 200 * time.Millisecond
	// storeRetry is the pause after a failed call to the store.
	storeRetry = time.Second
	// pagesPerCall bounds the answer of one GetConfig call to about 4 MB.
	pagesPerCall = 128
)

// errPeer marks a peer that did not give the configuration it reported.
var errPeer = errors.New("configuration from peer")

// configuration follows the configuration in force. Only the goroutine of run
// touches the follower; what other goroutines read is published.
type configuration struct {
	loader    *config.Loader
	timeout   time.Duration
	syncer    *control.Syncer
	client    *control.Client
	logger    *log.Logger
	follower  *config.Follower
	published atomic.Pointer[published]
}

// published is what traffic and peers read.
type published struct {
	snapshot *config.Snapshot
	head     []byte
	pages    map[config.Hash][]byte
}

func newConfiguration(store *objectstore.Client, timeout time.Duration, s *control.Syncer, c *control.Client, logger *log.Logger) *configuration {
	f := config.NewFollower()
	cfg := &configuration{
		loader:   config.NewLoader(store),
		timeout:  timeout,
		syncer:   s,
		client:   c,
		logger:   logger,
		follower: f,
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
			c.followPeers(ctx)
		}
	}
}

// watchStore sends each new head of the store. A node that is not a relay reads
// the store only until it has a configuration.
func (c *configuration) watchStore(ctx context.Context, heads chan<- []byte) {
	etag := ""
	for ctx.Err() == nil {
		if c.Snapshot().Version() > 0 && !c.syncer.IsRelay() {
			sleep(ctx, configPoll)
			continue
		}
		head, newTag, err := c.readStore(ctx, etag)
		if err != nil {
			if !errors.Is(err, config.ErrNoVersion) {
				c.logger.Warn("object store not reached; serving on with the version in force", "err", err)
			}
			sleep(ctx, storeRetry)
			continue
		}
		etag = newTag
		if head == nil {
			continue
		}
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

// take offers a head of the store and reads the pages it needs.
func (c *configuration) take(ctx context.Context, head []byte) {
	if _, err := c.follower.OfferHead(head); err != nil {
		c.logger.Error("head of the configuration refused", "err", err)
		return
	}
	if err := c.loader.Complete(ctx, c.follower); err != nil {
		c.logger.Warn("pages of the configuration not read", "err", err)
	}
	c.publish()
}

// followPeers fetches a higher version that a peer reported.
func (c *configuration) followPeers(ctx context.Context) {
	newest := c.syncer.Newest()
	if newest.Version <= c.Snapshot().Version() {
		return
	}
	if err := c.fetch(ctx, newest.Address); err != nil {
		c.logger.Warn("configuration not fetched", "peer", newest.Address, "err", err)
		return
	}
	c.publish()
}

func (c *configuration) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	peer := c.client.Node(address)
	reply, err := peer.GetConfig(ctx, &pb.GetConfigRequest{})
	if err != nil {
		return errors.Mark(err, errPeer)
	}
	if _, err := c.follower.OfferHead(reply.GetHead()); err != nil {
		return errors.Mark(err, errPeer)
	}
	for lacking := c.follower.Lacking(); len(lacking) > 0; lacking = c.follower.Lacking() {
		if err := c.fetchPages(ctx, peer, lacking[:min(len(lacking), pagesPerCall)]); err != nil {
			return err
		}
	}
	return nil
}

type configPeer interface {
	GetConfig(context.Context, *pb.GetConfigRequest) (*pb.GetConfigResponse, error)
}

func (c *configuration) fetchPages(ctx context.Context, peer configPeer, hashes []config.Hash) error {
	request := &pb.GetConfigRequest{}
	for _, h := range hashes {
		request.PageHashes = append(request.PageHashes, string(h))
	}
	reply, err := peer.GetConfig(ctx, request)
	if err != nil {
		return errors.Mark(err, errPeer)
	}
	if len(reply.GetPages()) == 0 {
		return errors.Wrap(errPeer, "the peer no longer holds the pages of its head")
	}
	for hash, data := range reply.GetPages() {
		if err := c.follower.OfferPage(config.Hash(hash), data); err != nil {
			return errors.Mark(err, errPeer)
		}
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
