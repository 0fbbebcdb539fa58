package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1/jackdawlanev1connect"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// fakeConfig is a ConfigSource with fixed pages, keyed by hash.
type fakeConfig map[string][]byte

func (c fakeConfig) Head() (uint64, []byte) { return 3, []byte("head") }

func (c fakeConfig) Page(hash string) ([]byte, bool) {
	page, ok := c[hash]
	return page, ok
}

func serve(t *testing.T, s Services) jackdawlanev1connect.ControlServiceClient {
	t.Helper()
	listener, err := loopback.Listen()
	assert.NilError(t, err)
	server := NewServer(NewHandler(s))
	go func() { _ = server.Serve(listener) }()
	client := NewClient()
	t.Cleanup(func() {
		_ = server.Close()
		client.Close()
	})
	return client.NodeClient(listener.Addr().String())
}

// Guards against a GetConfig reply above the message limit, which the caller would
// reject on every try.
func TestGetConfigAnswersWithinTheLimit(t *testing.T) {
	big := []byte(strings.Repeat("x", maxConfigBytes-100))
	client := serve(t, Services{Config: fakeConfig{"a": big, "b": big, "c": []byte("small")}})
	reply, err := client.GetConfig(context.Background(), &pb.GetConfigRequest{PageHashes: []string{"a", "missing", "b"}})
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, uint64(3))
	assert.Equal(t, len(reply.Head), 0)
	assert.Equal(t, len(reply.Pages), 1)
	reply, err = client.GetConfig(context.Background(), &pb.GetConfigRequest{PageHashes: []string{"c"}})
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Pages["c"]), "small")
	reply, err = client.GetConfig(context.Background(), &pb.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, uint64(3))
	assert.Equal(t, string(reply.Head), "head")
	assert.Equal(t, len(reply.Pages), 0)
}

// Guards against a call that panics or returns an empty reply without an error when the
// node does not implement its service. ClaimKey and SettleKey are not called here.
func TestMissingServicesAreUnimplemented(t *testing.T) {
	client := serve(t, Services{})
	ctx := context.Background()
	calls := map[string]func() error{
		"Sync":           func() error { _, err := client.Sync(ctx, &pb.SyncRequest{}); return err },
		"Status":         func() error { _, err := client.Status(ctx, &pb.StatusRequest{}); return err },
		"GetConfig":      func() error { _, err := client.GetConfig(ctx, &pb.GetConfigRequest{}); return err },
		"ResolveAttempt": func() error { _, err := client.ResolveAttempt(ctx, &pb.ResolveAttemptRequest{}); return err },
		"FetchAnswer":    func() error { _, err := client.FetchAnswer(ctx, &pb.FetchAnswerRequest{}); return err },
		"ReportService":  func() error { _, err := client.ReportService(ctx, &pb.ReportServiceRequest{}); return err },
	}
	for name, call := range calls {
		err := call()
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented, name)
		assert.ErrorContains(t, err, name+" is not served")
	}
}

// Guards against unbounded memory use when a peer sends a message of any size.
func TestOversizedMessageIsRefused(t *testing.T) {
	a := startNode(t, "oversized")
	client := jackdawlanev1connect.NewControlServiceClient(http.DefaultClient, "http://"+a.address)
	_, err := client.Sync(context.Background(), &pb.SyncRequest{NodeId: strings.Repeat("x", maxMessageBytes+1)})
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted, err)
}

// Guards against a Status reply without the record of the node itself.
func TestStatusReturnsNodeRecords(t *testing.T) {
	a := startNode(t, "status")
	reply, err := NewClient().NodeClient(a.address).Status(context.Background(), &pb.StatusRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.Build, "test")
	assert.Equal(t, reply.Node.NodeId, "status")
	assert.Equal(t, len(reply.Directory), 1)
}

// Guards against a Sync message that makes a node panic, change the node ID of its own
// record or send a reply above the message limit.
func FuzzSync(f *testing.F) {
	record := &pb.NodeRecord{NodeId: "n", Incarnation: 1, Sequence: 1, State: pb.NodeState_NODE_STATE_GONE}
	seed, _ := proto.Marshal(&pb.SyncRequest{
		NodeId: "n", Record: record, Records: []*pb.NodeRecord{record, {NodeId: "self", Incarnation: 2}},
		Position: 1, HeardNodes: []string{"n", ""},
	})
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, message []byte) {
		table := membership.NewNodeTable(0, &pb.NodeRecord{NodeId: "self", Incarnation: 1, State: pb.NodeState_NODE_STATE_SERVING}, nil)
		var request pb.SyncRequest
		if proto.Unmarshal(message, &request) != nil {
			return
		}
		for round := range 3 {
			now := time.Duration(round) * membership.SyncInterval
			reply := table.HandleSync(now, &request)
			assert.Assert(t, proto.Size(reply) <= maxMessageBytes)
			table.Tick(now)
			table.View()
		}
		assert.Equal(t, table.Own().GetNodeId(), "self")
	})
}

// Guards against a handler that does not reject a body which is not a protobuf message.
func TestMalformedBodyIsAnError(t *testing.T) {
	server := httptest.NewServer(NewHandler(Services{}))
	defer server.Close()
	url := server.URL + jackdawlanev1connect.ControlServiceSyncProcedure
	reply, err := http.Post(url, "application/proto", strings.NewReader("\xff\xff"))
	assert.NilError(t, err)
	defer reply.Body.Close()
	assert.Equal(t, reply.StatusCode, http.StatusBadRequest)
}
