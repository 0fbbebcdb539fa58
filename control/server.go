// Package control connects the nodes of the fleet: it serves and calls
// ControlService, and exchanges membership records through its Sync call.
package control

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1/jackdawlanev1connect"
)

const (
	// maxMessageBytes bounds a received message. The records of a Sync reply are limited
	// to 1 MiB, and the largest object of the object store has 1 MB.
	maxMessageBytes = 4 << 20
	// maxConfigBytes bounds the pages of one GetConfig reply, unless the first page alone
	// is larger. The caller requests the remaining pages in further calls.
	maxConfigBytes = 2 << 20
	// minCompressedBytes is the size from which a reply is compressed. Sync replies
	// without changes are smaller, and compressing them is not worth the processor time.
	minCompressedBytes = 4 << 10
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 2 * time.Minute
)

// Attempts handles the calls of an entry that lost the answer to an attempt.
// ResolveAttempt decides what became of the attempt, and FetchAnswer returns its
// retained answer.
type Attempts interface {
	ResolveAttempt(context.Context, *pb.ResolveAttemptRequest) (*pb.ResolveAttemptResponse, error)
	FetchAnswer(context.Context, *pb.FetchAnswerRequest) (*pb.FetchAnswerResponse, error)
}

// Reports handles the reports with which the guards of other nodes send their request
// counters for a service.
type Reports interface {
	ReportService(context.Context, *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error)
}

// Keys handles idempotency keys: ClaimKey claims a key for an attempt, and SettleKey
// records what became of the attempt that holds a key.
type Keys interface {
	ClaimKey(context.Context, *pb.ClaimKeyRequest) (*pb.ClaimKeyResponse, error)
	SettleKey(context.Context, *pb.SettleKeyRequest) (*pb.SettleKeyResponse, error)
}

// ConfigSource holds the configuration that this node can serve to other nodes.
type ConfigSource interface {
	// Head returns the version in force and its encoded head, which is nil while there
	// is no version yet.
	Head() (version uint64, head []byte)
	// Page returns the page with the hash, and false if the node does not hold it.
	Page(hash string) ([]byte, bool)
}

// Records returns the node records that Status reports.
type Records interface {
	// Records returns this node's record and the records of all nodes. The caller must not
	// change them.
	Records() (own *pb.NodeRecord, all []*pb.NodeRecord)
}

// Services are the implementations to which the ControlService calls are delegated.
// A call whose implementation is nil returns connect.CodeUnimplemented.
type Services struct {
	Syncer *Syncer
	// Records supplies the records for Status. If it is nil, Syncer supplies them.
	Records  Records
	Config   ConfigSource
	Attempts Attempts
	Reports  Reports
	Keys     Keys
	// Build is the version of the program that Status reports.
	Build string
}

type handler struct{ Services }

// NewHandler returns an HTTP handler that serves all ControlService calls.
func NewHandler(s Services) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(jackdawlanev1connect.NewControlServiceHandler(&handler{s},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressedBytes)))
	return mux
}

// NewServer returns a server that serves h over HTTP/1.1 and cleartext HTTP/2.
func NewServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func unimplemented(call string) error {
	return connect.NewError(connect.CodeUnimplemented, errNotServed(call))
}

type errNotServed string

func (e errNotServed) Error() string { return string(e) + " is not served by this node" }

func (h *handler) Sync(ctx context.Context, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	if h.Syncer == nil {
		return nil, unimplemented("Sync")
	}
	reply, err := h.Syncer.HandleSync(ctx, r)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return reply, nil
}

func (h *handler) Status(_ context.Context, r *pb.StatusRequest) (*pb.StatusResponse, error) {
	source := h.Services.Records
	if source == nil && h.Syncer != nil {
		source = h.Syncer
	}
	if source == nil {
		return nil, unimplemented("Status")
	}
	own, records := source.Records()
	if h.Config != nil {
		// A new configuration version does not update this node's record, so the version
		// in the record may be outdated.
		own = proto.CloneOf(own)
		own.ConfigVersion, _ = h.Config.Head()
	}
	if r.GetNodeOnly() {
		records = nil
	}
	return &pb.StatusResponse{Node: own, Directory: records, Build: h.Build}, nil
}

func (h *handler) GetConfig(_ context.Context, r *pb.GetConfigRequest) (*pb.GetConfigResponse, error) {
	if h.Config == nil {
		return nil, unimplemented("GetConfig")
	}
	version, head := h.Config.Head()
	reply := &pb.GetConfigResponse{Version: version, Pages: make(map[string][]byte)}
	if len(r.GetPageHashes()) == 0 {
		// The head is sent only without pages. Repeated in the replies with pages, it would
		// make up most of the data that one change transfers.
		reply.Head = head
	}
	size := 0
	for _, hash := range r.GetPageHashes() {
		page, ok := h.Config.Page(hash)
		if !ok {
			continue
		}
		size += len(page)
		if size > maxConfigBytes && len(reply.Pages) > 0 {
			break
		}
		reply.Pages[hash] = page
	}
	return reply, nil
}

func (h *handler) ResolveAttempt(ctx context.Context, r *pb.ResolveAttemptRequest) (*pb.ResolveAttemptResponse, error) {
	if h.Attempts == nil {
		return nil, unimplemented("ResolveAttempt")
	}
	return h.Attempts.ResolveAttempt(ctx, r)
}

func (h *handler) FetchAnswer(ctx context.Context, r *pb.FetchAnswerRequest) (*pb.FetchAnswerResponse, error) {
	if h.Attempts == nil {
		return nil, unimplemented("FetchAnswer")
	}
	return h.Attempts.FetchAnswer(ctx, r)
}

func (h *handler) ReportService(ctx context.Context, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error) {
	if h.Reports == nil {
		return nil, unimplemented("ReportService")
	}
	return h.Reports.ReportService(ctx, r)
}

func (h *handler) ClaimKey(ctx context.Context, r *pb.ClaimKeyRequest) (*pb.ClaimKeyResponse, error) {
	if h.Keys == nil {
		return nil, unimplemented("ClaimKey")
	}
	return h.Keys.ClaimKey(ctx, r)
}

func (h *handler) SettleKey(ctx context.Context, r *pb.SettleKeyRequest) (*pb.SettleKeyResponse, error) {
	if h.Keys == nil {
		return nil, unimplemented("SettleKey")
	}
	return h.Keys.SettleKey(ctx, r)
}
