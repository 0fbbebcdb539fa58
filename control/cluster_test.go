package control

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// waitLimit covers goneAfter of package membership, the timeout of a call and a few
// rounds on a busy machine.
const waitLimit = 40 * time.Second

var incarnations atomic.Uint64

// testNode is a control server on 127.0.0.1 with a running syncer.
type testNode struct {
	syncer  *Syncer
	server  *http.Server
	address string
	traffic *trafficCounter
	result  chan error
	cancel  context.CancelFunc
	client  *Client
}

// startNode starts a node with one backend server. The seeds are control addresses of
// other nodes.
func startNode(t *testing.T, id string, seeds ...string) *testNode {
	t.Helper()
	listener, err := loopback.Listen()
	assert.NilError(t, err)
	n := &testNode{address: listener.Addr().String(), traffic: &trafficCounter{Listener: listener}, result: make(chan error, 1)}
	own := &pb.NodeRecord{
		NodeId: id, Incarnation: incarnations.Add(1), State: pb.NodeState_NODE_STATE_SERVING,
		Region: "r", DataCentre: "r-1", ControlAddress: n.address, BackendServers: testBackends(id),
	}
	n.client = NewClient()
	n.syncer = NewSyncer(own, seeds, n.client)
	n.server = NewServer(NewHandler(Services{Syncer: n.syncer, Build: "test"}))
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { _ = n.server.Serve(n.traffic) }()
	go func() { n.result <- n.syncer.Run(ctx) }()
	t.Cleanup(n.stop)
	return n
}

func testBackends(id string) []*pb.BackendServer {
	return []*pb.BackendServer{{
		Id: "slot@" + id, Service: "slot", Address: "127.0.0.1:1", State: pb.BackendState_BACKEND_STATE_READY,
	}}
}

func (n *testNode) stop() {
	n.cancel()
	_ = n.server.Close()
	n.client.Close()
}

// visibleGuards returns the node ID and the incarnation of the guard of each backend
// server in the view.
func (n *testNode) visibleGuards() string {
	text := ""
	for _, b := range n.syncer.View().Backends("slot") {
		text += fmt.Sprintf("%s/%d ", b.Guard.NodeID, b.Guard.Incarnation)
	}
	return text
}

func (n *testNode) incarnation() uint64 {
	own, _ := n.syncer.Records()
	return own.GetIncarnation()
}

func waitFor(t *testing.T, what string, condition func() (ok bool, seen string)) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ok, seen := condition()
		if ok {
			return poll.Success()
		}
		return poll.Continue("%s: %s", what, seen)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(20*time.Millisecond))
}

// waitForView waits until the view of each node holds exactly the backend servers of
// the members with the ids, in this order.
func waitForView(t *testing.T, what string, nodes []*testNode, members map[string]*testNode, ids ...string) {
	t.Helper()
	want := ""
	for _, id := range ids {
		want += fmt.Sprintf("%s/%d ", id, members[id].incarnation())
	}
	for _, n := range nodes {
		waitFor(t, what, func() (bool, string) { return n.visibleGuards() == want, n.visibleGuards() })
	}
}

// Guards against nodes that do not find each other over real connections, or that do
// not notice that another node died, restarted or is leaving.
func TestClusterOfThree(t *testing.T) {
	t.Parallel()
	a := startNode(t, "a")
	b := startNode(t, "b", a.address)
	c := startNode(t, "c", a.address)
	members := map[string]*testNode{"a": a, "b": b, "c": c}
	waitForView(t, "all nodes joined", []*testNode{a, b, c}, members, "a", "b", "c")

	c.stop()
	waitForView(t, "node c died", []*testNode{a, b}, members, "a", "b")

	members["c"] = startNode(t, "c", a.address)
	waitForView(t, "node c restarted", []*testNode{a, b, members["c"]}, members, "a", "b", "c")

	assert.NilError(t, b.syncer.UpdateOwn(pb.NodeState_NODE_STATE_LEAVING, testBackends("b")))
	waitForView(t, "node b is leaving", []*testNode{a, b, members["c"]}, members, "a", "c")
}

// Guards against two processes that keep serving under the same node ID: the earlier
// process must stop once it learns of the later one, which has a higher incarnation.
func TestSupersededProcessStops(t *testing.T) {
	t.Parallel()
	a := startNode(t, "a")
	old := startNode(t, "b", a.address)
	// The condition on node a excludes a view of node a alone only if its incarnation is 1.
	// Parallel tests share the counter of incarnations, so node a may have another one.
	waitFor(t, "the earlier process lists both backend servers", func() (bool, string) {
		return a.visibleGuards() != "a/1 " && len(old.syncer.View().Backends("slot")) == 2, a.visibleGuards()
	})
	startNode(t, "b", a.address)
	select {
	case err := <-old.result:
		assert.ErrorIs(t, err, ErrSuperseded)
	case <-time.After(waitLimit):
		t.Fatal("the earlier process still runs although a process with a higher incarnation uses its node ID")
	}
	_, err := old.syncer.HandleSync(context.Background(), &pb.SyncRequest{})
	assert.ErrorIs(t, err, ErrStopped)
}

// Guards against a node that never learns that a peer has a newer configuration
// version, or that learns the version but not the address of the peer to read it from.
func TestNewestConfigNamesThePeer(t *testing.T) {
	t.Parallel()
	a := startNode(t, "a")
	b := startNode(t, "b", a.address)
	a.syncer.SetConfigVersion(7)
	waitFor(t, "node b learned of the configuration version of node a", func() (bool, string) {
		newest := b.syncer.NewestConfig()
		return newest == NewestConfig{Version: 7, Address: a.address}, fmt.Sprint(newest)
	})
}
