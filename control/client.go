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
	// syncTimeout bounds one Sync call, so that a node abandons a failed relay before
	// the second round after the call.
	syncTimeout = time.Second
	// callTimeout bounds any other call whose context has no earlier deadline.
	callTimeout = 10 * time.Second
	dialTimeout = time.Second
	// A connection on which nothing was received for pingIdleTime is probed with a ping,
	// and closed if no reply arrives within pingTimeout. Without the probe, a broken
	// connection would stay in the pool and every call on it would fail.
	pingIdleTime = 3 * time.Second
	pingTimeout  = 2 * time.Second
)

// Client calls other nodes over shared cleartext HTTP/2 connections, one for each address.
type Client struct {
	http *http.Client
	// syncHTTP uses the transport of http, but has no timeout, because Sync sets one.
	syncHTTP *http.Client
	// syncClients caches the ControlServiceClient that Sync uses for each address.
	// Building the client for each call and running a second timeout took a third of
	// the processor time of a call.
	syncClients sync.Map
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:       &protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
	return &Client{
		http:     &http.Client{Transport: transport, Timeout: callTimeout},
		syncHTTP: &http.Client{Transport: transport},
	}
}

// NodeClient returns a ControlService client for the node at a control address.
func (c *Client) NodeClient(address string) jackdawlanev1connect.ControlServiceClient {
	return newNodeClient(c.http, address)
}

func newNodeClient(client *http.Client, address string) jackdawlanev1connect.ControlServiceClient {
	return jackdawlanev1connect.NewControlServiceClient(client, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes))
}

// HTTPClient returns the HTTP client of all calls except Sync.
func (c *Client) HTTPClient() *http.Client { return c.http }

// Sync sends one Sync call and waits at most syncTimeout for the reply.
func (c *Client) Sync(ctx context.Context, address string, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	peer, ok := c.syncClients.Load(address)
	if !ok {
		peer, _ = c.syncClients.LoadOrStore(address, newNodeClient(c.syncHTTP, address))
	}
	return peer.(jackdawlanev1connect.ControlServiceClient).Sync(ctx, r)
}

// ReportService sends a report of one service to the node at a control address.
func (c *Client) ReportService(ctx context.Context, address string, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error) {
	return c.NodeClient(address).ReportService(ctx, r)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
