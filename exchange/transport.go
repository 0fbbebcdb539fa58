package exchange

import (
	"context"
	"net"
	"net/http"
	"net/textproto"
	"time"
)

const (
	// DialTimeout bounds the time to open a connection when nothing is known about the path.
	DialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	// maxHeadBytes bounds the head of a response. A faulty server may send bytes without end, and
	// http.Transport would hold 10 MB of them for each request.
	maxHeadBytes = 128 << 10
)

// Client is an http.RoundTripper that sends requests and checks responses as Do does. It ignores
// informational responses.
type Client struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (c Client) RoundTrip(req *http.Request) (*http.Response, error) {
	res, _, err := Do(c.Transport, req, func(int, textproto.MIMEHeader) {})
	return res, err
}

// NewTransport returns an HTTP/1.1 transport for use with Do.
// dial bounds the time to open a connection, and maxConns the connections to each host;
// 0 means no bound.
func NewTransport(dial time.Duration, maxConns, maxIdleConns int) *http.Transport {
	dialer := newDialer(dial)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(c)
		},
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxHeadBytes,
		IdleConnTimeout:        idleTimeout,
	}
}
