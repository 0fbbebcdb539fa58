package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// waitLimit covers goneAfter, a call timeout and rounds on a busy machine.
const waitLimit = 40 * time.Second

var incarnations atomic.Uint64

// testNode is a control server on 127.0.0.1 with its syncer.
type testNode struct {
	syncer  *Syncer
	server  *http.Server
	address string
	wire    *wireCounter
	result  chan error
	cancel  context.CancelFunc
	client  *Client
}

// startNode starts a node with one backend server. Seeds are control addresses.
func startNode(t *testing.T, id string, seeds ...string) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &testNode{address: listener.Addr().String(), wire: &wireCounter{Listener: listener}, result: make(chan error, 1)}
	own := &pb.NodeRecord{
		NodeId: id, Incarnation: incarnations.Add(1), State: pb.NodeState_NODE_STATE_SERVING,
		Region: "r", DataCentre: "r-1", ControlAddress: n.address, BackendServers: testBackends(id),
	}
	n.client = NewClient()
	n.syncer = NewSyncer(own, seeds, n.client)
	n.server = NewServer(NewHandler(Services{Syncer: n.syncer, Build: "test"}))
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { _ = n.server.Serve(n.wire) }()
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

// guards returns the node IDs and incarnations before the backend servers in the view.
func (n *testNode) guards() string {
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

// waitView waits until each node sees exactly the backend servers of the members.
func waitView(t *testing.T, what string, nodes []*testNode, members map[string]*testNode, ids ...string) {
	t.Helper()
	want := ""
	for _, id := range ids {
		want += fmt.Sprintf("%s/%d ", id, members[id].incarnation())
	}
	for _, n := range nodes {
		waitFor(t, what, func() (bool, string) { return n.guards() == want, n.guards() })
	}
}

// Guards against nodes that do not find each other over real connections, or
// that miss a death, a restart or a node that leaves.
func TestClusterOfThree(t *testing.T) {
	t.Parallel()
	a := startNode(t, "a")
	b := startNode(t, "b", a.address)
	c := startNode(t, "c", a.address)
	members := map[string]*testNode{"a": a, "b": b, "c": c}
	waitView(t, "join", []*testNode{a, b, c}, members, "a", "b", "c")

	c.stop()
	waitView(t, "death", []*testNode{a, b}, members, "a", "b")

	members["c"] = startNode(t, "c", a.address)
	waitView(t, "restart", []*testNode{a, b, members["c"]}, members, "a", "b", "c")

	assert.NilError(t, b.syncer.UpdateOwn(pb.NodeState_NODE_STATE_LEAVING, testBackends("b")))
	waitView(t, "leaving", []*testNode{a, b, members["c"]}, members, "a", "c")
}

// Guards against two processes that both serve under one node ID.
func TestSupersededProcessStops(t *testing.T) {
	t.Parallel()
	a := startNode(t, "a")
	old := startNode(t, "b", a.address)
	waitFor(t, "join", func() (bool, string) {
		return a.guards() != "a/1 " && len(old.syncer.View().Backends("slot")) == 2, a.guards()
	})
	startNode(t, "b", a.address)
	select {
	case err := <-old.result:
		assert.ErrorIs(t, err, ErrSuperseded)
	case <-time.After(waitLimit):
		t.Fatal("the earlier process still runs")
	}
	_, err := old.syncer.HandleSync(context.Background(), &pb.SyncRequest{})
	assert.ErrorIs(t, err, ErrStopped)
}

// Guards against a follower that never learns of a new configuration, or not from whom.
func TestNewestConfigNamesThePeer(t *testing.T) {
	t.Parallel()
	a := startNode(t, "a")
	b := startNode(t, "b", a.address)
	a.syncer.SetConfigVersion(7)
	waitFor(t, "config version", func() (bool, string) {
		newest := b.syncer.Newest()
		return newest == NewestConfig{Version: 7, Address: a.address}, fmt.Sprint(newest)
	})
}
