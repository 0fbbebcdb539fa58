package observe

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/control"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/health"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkReport measures one ReportService call over loopback, client and server
// together: 4 routes with 25 used latency buckets each.
func BenchmarkReport(b *testing.B) {
	f := newFixture()
	ctx, cancel := context.WithCancel(background)
	defer cancel()
	go f.Run(ctx)
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(nil)
	server.Config = control.NewServer(control.NewHandler(control.Services{Reports: f.Monitor}))
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	client := control.NewClient()
	address := server.Listener.Addr().String()
	for _, id := range []string{"n3", "n4"} {
		_, _ = client.ReportService(ctx, address, report(id, 1))
	}
	b.ResetTimer()
	start, sent := processorTime(), bytes.Load()
	for i := range b.N {
		// The baseline that n2 receives holds the counters that n3 reported.
		for _, id := range []string{"n3", "n2"} {
			_, err := client.ReportService(ctx, address, report(id, i+2))
			// In the first iteration the call for n3 fails: no baseline is returned before
			// half of the other guards have reported.
			if i > 0 {
				assert.NilError(b, err)
			}
		}
	}
	calls := float64(2 * b.N)
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/calls, "cpu-ns/call")
	b.ReportMetric(float64(bytes.Load()-sent)/calls, "B/call")
}

func report(node string, n int) *pb.ReportServiceRequest {
	var routes []health.RouteCounters
	for _, name := range []string{"lookup", "list", "book", "report"} {
		c := health.RouteCounters{Route: name, Requests: uint64(2000 * n), LatencyBuckets: make([]uint32, 40)}
		for i := 15; i < 40; i++ {
			c.LatencyBuckets[i] = uint32(100 * n)
		}
		routes = append(routes, c)
	}
	return &pb.ReportServiceRequest{
		Service: "slot", NodeId: node, Incarnation: 1,
		Backends: wireBackends([]health.BackendCounters{{BackendID: "slot@" + node, Routes: routes}}),
	}
}
