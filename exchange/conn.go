// Package exchange sends an HTTP request at most once over http.Transport,
// reports whether any of it may have been sent, and relays the response.
package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoResponse marks a request without a response.
var ErrNoResponse = errors.New("no response")

// errTooManyInformational means that a server sent informational responses without end.
var errTooManyInformational = errors.New("too many informational responses")

const (
	// DialTimeout bounds the time to open a connection when nothing is known about the path.
	DialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	// maxHeadBytes bounds the head of a response. A faulty server may send bytes without end, and
	// http.Transport would hold 10 MB of them for each request.
	maxHeadBytes = 128 << 10
	// maxInformational bounds the informational responses to one request. http.Transport leaves
	// that to the receiver of these responses.
	maxInformational = 16
)

// conn counts the writes that were started on a connection.
type conn struct {
	net.Conn
	writes        atomic.Int64
	writesStopped atomic.Bool
}

func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	if c.writesStopped.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// ReadFrom copies r through a pooled buffer and counts each write. Without this method
// net/http copies request bodies, even empty ones, through a new buffer of 32 KB; these
// buffers were 73 % of the memory that a node allocated.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	return io.CopyBuffer(struct{ io.Writer }{c}, r, buffer[:])
}

// stopWrites closes the connection and returns the number of writes that have been
// started. Every write that this number does not include fails with net.ErrClosed and
// sends nothing.
func (c *conn) stopWrites() int64 {
	c.writesStopped.Store(true)
	c.Close()
	return c.writes.Load()
}

// NewTransport returns an HTTP/1.1 transport for use with Do.
// dial bounds the time to open a connection. maxConns bounds the connections to each
// host; 0 means no bound.
func NewTransport(dial time.Duration, maxConns, maxIdleConns int) *http.Transport {
	dialer := NewDialer(dial)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxHeadBytes,
		IdleConnTimeout:        idleTimeout,
	}
}

// tracker records which connection one request uses.
type tracker struct {
	mu           sync.Mutex
	conn         *conn
	writesBefore int64
	mayHaveSent  bool
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok || t.conn != nil {
		t.mayHaveSent = true
		return
	}
	t.conn = c
	t.writesBefore = c.writes.Load()
}

// stopWrites prevents further writes and reports whether any byte of the request may
// have been sent.
func (t *tracker) stopWrites() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return t.mayHaveSent
	}
	return t.conn.stopWrites() > t.writesBefore || t.mayHaveSent
}

// Do sends req, which must come from NewRequest. on1xx receives informational responses.
// An error is marked ErrNoResponse; sent is then false only when the receiver cannot act
// on the request: no byte of it was or can be sent, or it has an Expect header and none
// of its body was or can be sent.
func Do(t http.RoundTripper, req *http.Request, on1xx func(int, textproto.MIMEHeader)) (res *http.Response, sent bool, err error) {
	tr := &tracker{}
	informational := 0
	trace := &httptrace.ClientTrace{
		GotConn: tr.gotConn,
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			if informational++; informational > maxInformational {
				return errTooManyInformational
			}
			on1xx(code, header)
			return nil
		},
	}
	res, err = t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		res.Body = &responseBody{ReadCloser: res.Body, tracker: tr}
		return res, true, nil
	}
	sent = tr.stopWrites()
	if body, ok := req.Body.(*Body); ok && req.Header.Get("Expect") != "" {
		// The receiver acts only on a request with its body, which the transport sends
		// only once the receiver has asked for it.
		body.Close()
		sent = sent && body.started.Load()
	}
	return nil, sent, errors.Mark(err, ErrNoResponse)
}

// responseBody is the body of a response with the tracker of its connection.
type responseBody struct {
	io.ReadCloser
	tracker *tracker
}

// Discard closes a response that Do returned, and its connection, which is not used again.
func Discard(res *http.Response) {
	if b, ok := res.Body.(*responseBody); ok {
		b.tracker.stopWrites()
	}
	res.Body.Close()
}
