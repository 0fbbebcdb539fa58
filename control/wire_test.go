package control

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// wireCounter counts the bytes and connections that a server takes and sends.
type wireCounter struct {
	net.Listener
	bytes, connections atomic.Int64
}

func (w *wireCounter) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w.connections.Add(1)
	return &countedConn{conn, w}, nil
}

type countedConn struct {
	net.Conn
	counter *wireCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// steadyRequest is a Sync without changes, as a node of the fleet sends it.
func steadyRequest() *pb.SyncRequest {
	return &pb.SyncRequest{
		NodeId: "peer", Incarnation: 1700000000000000000, Sequence: 9, Position: 1,
		ReceiverIncarnation: 1, ConfigVersion: 70000, HeardNodes: []string{"region-dc-node-1"},
	}
}

// Guards against a connection per call and against headers that outgrow the
// estimate that docs/measurements/membership.md uses.
func TestOverheadOfOneSync(t *testing.T) {
	const calls = 200
	const estimate = 250
	n := startNode(t, "wire")
	client := NewClient()
	ctx := context.Background()
	request := steadyRequest()
	reply, err := client.Sync(ctx, n.address, request)
	assert.NilError(t, err)
	before := n.wire.bytes.Load()
	for range calls {
		reply, err = client.Sync(ctx, n.address, request)
		assert.NilError(t, err)
	}
	perCall := (n.wire.bytes.Load() - before) / calls
	overhead := perCall - int64(proto.Size(request)+proto.Size(reply))
	t.Logf("%d bytes per call on the connection, %d of them not payload", perCall, overhead)
	assert.Equal(t, n.wire.connections.Load(), int64(1))
	assert.Assert(t, overhead <= estimate, overhead)
}

// BenchmarkSyncCall measures client and server of one call together, and the
// processor time at each end in µs.
func BenchmarkSyncCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	syncer := NewSyncer(&pb.NodeRecord{NodeId: "a", Incarnation: 1}, nil, NewClient())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = syncer.Run(ctx) }()
	server := NewServer(NewHandler(Services{Syncer: syncer}))
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := NewClient()
	start := processorTime()
	for b.Loop() {
		_, err := client.Sync(ctx, listener.Addr().String(), steadyRequest())
		assert.NilError(b, err)
	}
	b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(2*b.N), "cpu-µs/end")
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
