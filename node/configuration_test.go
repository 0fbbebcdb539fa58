package node

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/control"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	standin "github.com/jackdawlane/jackdawlane/standin/objectstore"
)

// fakePeer is the control.ConfigSource of a peer with a fixed configuration.
type fakePeer struct {
	version uint64
	head    []byte
	pages   map[config.Hash][]byte
}

func (p *fakePeer) Head() (uint64, []byte) { return p.version, p.head }

func (p *fakePeer) Page(hash string) ([]byte, bool) {
	data, ok := p.pages[config.Hash(hash)]
	return data, ok
}

// commitVersions commits n versions to a new object store. It returns the store and a
// peer for each version, whose index is the version number; peer 0 has no configuration.
func commitVersions(t *testing.T, n int) (*standin.Server, *objectstore.Client, []*fakePeer) {
	t.Helper()
	store := standin.New(0)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := objectstore.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	t.Cleanup(client.Close)
	peers := []*fakePeer{{}}
	for i := range n {
		var change config.Change
		change.ID, change.Operator = fmt.Sprint("c", i), "ann"
		for j := range 200 {
			p := pool.Pool{Name: fmt.Sprint("p", j), Service: "s", Floor: i + j, AnnounceSecretSHA256: organisation.HashSecret("x")}
			change.Upsert.Pools = append(change.Upsert.Pools, p)
		}
		_, err := config.NewEditor(client, time.Now).Commit(t.Context(), change)
		assert.NilError(t, err)
		f := config.NewFollower()
		_, err = config.NewLoader(client).Load(t.Context(), f)
		assert.NilError(t, err)
		peers = append(peers, &fakePeer{uint64(i + 1), f.EncodedHead(), f.Pages()})
	}
	return store, client, peers
}

// newTestUpdater returns the updater of a starting node that knows the peers, and the
// control addresses of the peers.
func newTestUpdater(t *testing.T, store *objectstore.Client, peers ...*fakePeer) (*configUpdater, []string) {
	t.Helper()
	client := control.NewClient()
	t.Cleanup(client.Close)
	own := &pb.NodeRecord{NodeId: "own", Incarnation: 1, Sequence: 1}
	var records []*pb.NodeRecord
	var addresses []string
	for _, p := range peers {
		syncer := control.NewSyncer(own, nil, client)
		server := httptest.NewUnstartedServer(nil)
		server.Config = control.NewServer(control.NewHandler(control.Services{Syncer: syncer, Config: p}))
		server.Start()
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
		records = append(records, &pb.NodeRecord{ControlAddress: addresses[len(addresses)-1]})
	}
	known := &configPeers{ownAddress: "own", timeout: time.Second, client: client, records: func() []*pb.NodeRecord { return records }}
	logger := log.New(io.Discard)
	return newConfigUpdater(store, time.Second, control.NewSyncer(own, nil, client), known, logger), addresses
}

// Guards against a node that starts while the object store is down and serves the version
// of the first peer that answers although another peer has a higher one, or that finds no
// version because some peers have heads that cannot be used.
func TestStartAppliesHighestVersionOfAllPeers(t *testing.T) {
	store, client, peers := commitVersions(t, 5)
	store.SetFaults(standin.Faults{Down: true})
	undecodable := &fakePeer{version: 9, head: []byte("{")}
	withoutPages := &fakePeer{version: 5, head: peers[5].head}
	c, _ := newTestUpdater(t, client, peers[0], peers[2], undecodable, peers[3], withoutPages, peers[5], peers[4])
	c.startFromPeers(t.Context())
	assert.Equal(t, c.Snapshot().Version(), uint64(0), "node started from peers although the object store has not failed")
	c.storeFailed.Store(true)
	c.startFromPeers(t.Context())
	assert.Equal(t, c.Snapshot().Version(), uint64(0), "node started before the number of known peers was stable")
	c.startFromPeers(t.Context())
	assert.Equal(t, c.Snapshot().Version(), uint64(5))
	version, head := c.Head()
	assert.Equal(t, version, uint64(5))
	assert.Equal(t, string(head), string(peers[5].head))
}

// Guards against a head whose pages no peer has: it must not prevent the node from using a
// lower version whose pages are available, nor from applying later versions.
func TestIncompleteHeadDoesNotHideLowerVersion(t *testing.T) {
	_, client, peers := commitVersions(t, 5)
	c, addresses := newTestUpdater(t, client, &fakePeer{version: 5, head: peers[5].head}, peers[2], peers[3])
	assert.Assert(t, c.applyHighest(t.Context(), addresses))
	assert.Equal(t, c.Snapshot().Version(), uint64(3))
	assert.Assert(t, !c.applyHighest(t.Context(), addresses))
	c.applyStoreHead(t.Context(), peers[4].head)
	assert.Equal(t, c.Snapshot().Version(), uint64(4))
	c.applyStoreHead(t.Context(), peers[2].head)
	assert.Equal(t, c.Snapshot().Version(), uint64(4), "node went back to a lower version")
}

// Guards against a node that gives up when a peer lacks pages or sends damaged ones: the
// pages that are still missing must be read from the next peer.
func TestPagesResumeFromAnotherPeer(t *testing.T) {
	_, client, peers := commitVersions(t, 1)
	lagging := &fakePeer{1, peers[1].head, make(map[config.Hash][]byte)}
	damaged := &fakePeer{1, peers[1].head, make(map[config.Hash][]byte)}
	for hash, data := range peers[1].pages {
		damaged.pages[hash] = append([]byte(" "), data...)
		if len(lagging.pages) < len(peers[1].pages)/2 {
			lagging.pages[hash] = data
		}
	}
	c, addresses := newTestUpdater(t, client, lagging, damaged, peers[1])
	assert.Assert(t, c.applyHighest(t.Context(), addresses))
	assert.Equal(t, c.Snapshot().Version(), uint64(1))
}

// Guards against a relay that misses a version when the object store fails after the head
// was read and before its pages are: the pages must be read from peers, or the head tried
// again later.
func TestStoreHeadIsAppliedAfterPageReadFails(t *testing.T) {
	store, client, peers := commitVersions(t, 2)
	store.SetFaults(standin.Faults{Down: true})
	c, _ := newTestUpdater(t, client, peers[2])
	c.applyStoreHead(t.Context(), peers[2].head)
	assert.Equal(t, c.Snapshot().Version(), uint64(2))

	// A node without peers keeps the head and applies it in a later poll, once the store is back.
	alone, _ := newTestUpdater(t, client)
	alone.applyStoreHead(t.Context(), peers[2].head)
	assert.Equal(t, alone.Snapshot().Version(), uint64(0))
	store.SetFaults(standin.Faults{})
	alone.retryAt = time.Time{}
	alone.pollPeers(context.Background())
	assert.Equal(t, alone.Snapshot().Version(), uint64(2))
}
