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

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// trafficCounter is a listener that counts the connections that a server accepts and
// the bytes that it receives and sends.
type trafficCounter struct {
	net.Listener
	bytes, connections atomic.Int64
}

func (w *trafficCounter) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w.connections.Add(1)
	return &countedConn{conn, w}, nil
}

type countedConn struct {
	net.Conn
	counter *trafficCounter
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

// steadyRequest returns a Sync request as a node sends it when nothing has changed.
func steadyRequest() *pb.SyncRequest {
	return &pb.SyncRequest{
		NodeId: "peer", Incarnation: 1700000000000000000, Sequence: 9, Position: 1,
		ReceiverIncarnation: 1, ConfigVersion: 70000, HeardNodes: []string{"region-dc-node-1"},
	}
}

// Guards against opening a connection for each call, and against a Sync call with more
// HTTP/2 bytes beside its messages than the whole estimate in
// docs/measurements/membership.md. The bound is loose: the estimate also includes about 200
// bytes of TCP and IP headers (see callOverhead in package membership), which this listener
// does not see.
func TestOverheadOfOneSync(t *testing.T) {
	const calls = 200
	const estimate = 250
	n := startNode(t, "wire")
	client := NewClient()
	ctx := context.Background()
	request := steadyRequest()
	reply, err := client.Sync(ctx, n.address, request)
	assert.NilError(t, err)
	before := n.traffic.bytes.Load()
	for range calls {
		reply, err = client.Sync(ctx, n.address, request)
		assert.NilError(t, err)
	}
	perCall := (n.traffic.bytes.Load() - before) / calls
	overhead := perCall - int64(proto.Size(request)+proto.Size(reply))
	t.Logf("%d bytes per call on the connection, of which %d are overhead", perCall, overhead)
	assert.Equal(t, n.traffic.connections.Load(), int64(1))
	assert.Assert(t, overhead <= estimate, overhead)
}

// BenchmarkSyncCall measures the time of one Sync call with its client and its server in
// this process, and the mean processor time of the two ends in µs.
func BenchmarkSyncCall(b *testing.B) {
	listener, err := loopback.Listen()
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
