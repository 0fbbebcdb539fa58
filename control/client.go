package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1/jackdawlanev1connect"
)

const (
	// syncTimeout bounds one Sync; a failed relay is left before the next round but one.
	syncTimeout = time.Second
	// callTimeout bounds any other call whose context has no earlier deadline.
	callTimeout = 10 * time.Second
	dialTimeout = time.Second
	// A connection that is silent for pingAfter is probed and closed after
	// pingTimeout. Without it a cut connection stays in the pool and fails all calls.
	pingAfter   = 3 * time.Second
	pingTimeout = 2 * time.Second
)

// Client calls other nodes over shared cleartext HTTP/2 connections, one for each address.
type Client struct {
	http *http.Client
	// heartbeats is http without a timeout of its own, because Sync sets one.
	heartbeats *http.Client
	// peers holds the ControlServiceClient of Sync for each address. To build it
	// and to keep a second timeout took a third of the processor time of a call.
	peers sync.Map
}

// NewClient returns a client.
func NewClient() *Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:       &protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Client{
		http:       &http.Client{Transport: transport, Timeout: callTimeout},
		heartbeats: &http.Client{Transport: transport},
	}
}

// Node returns the calls to the node at a control address.
func (c *Client) Node(address string) jackdawlanev1connect.ControlServiceClient {
	return newNode(c.http, address)
}

func newNode(client *http.Client, address string) jackdawlanev1connect.ControlServiceClient {
	return jackdawlanev1connect.NewControlServiceClient(client, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes))
}

// HTTPClient returns the client that the calls share.
func (c *Client) HTTPClient() *http.Client { return c.http }

// Sync sends one Sync within its timeout.
func (c *Client) Sync(ctx context.Context, address string, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	peer, ok := c.peers.Load(address)
	if !ok {
		peer, _ = c.peers.LoadOrStore(address, newNode(c.heartbeats, address))
	}
	return peer.(jackdawlanev1connect.ControlServiceClient).Sync(ctx, r)
}

// ReportService sends one report of a service.
func (c *Client) ReportService(ctx context.Context, address string, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error) {
	return c.Node(address).ReportService(ctx, r)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
