// Package exchange sends an HTTP request at most once over http.Transport,
// tells whether any of it can have left, and relays the response.
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

// ErrExchange marks a request without a response.
var ErrExchange = errors.New("no response")

const (
	// DialTimeout bounds a new connection where nothing is known of the path.
	DialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
)

// conn counts the writes that were started on a connection.
type conn struct {
	net.Conn
	writes atomic.Int64
	sealed atomic.Bool
}

func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// ReadFrom counts each write. Without it net/http copies request bodies, empty
// ones too, through a new buffer of 32 KB, which was 73 % of the memory that a
// node allocated.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	return io.CopyBuffer(struct{ io.Writer }{c}, r, buffer[:])
}

// seal prevents every later write and returns the number of writes started before.
// A write that is not in this number finds the connection sealed.
func (c *conn) seal() int64 {
	c.sealed.Store(true)
	c.Close()
	return c.writes.Load()
}

// NewTransport returns an HTTP/1.1 transport for use with Do.
// dial bounds a new connection. maxConns bounds the connections to each host; 0 means no bound.
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
		DisableCompression:  true,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}
}

// tracker follows the connection that one request uses.
type tracker struct {
	mu     sync.Mutex
	conn   *conn
	before int64
	sent   bool
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok || t.conn != nil {
		t.sent = true
		return
	}
	t.conn = c
	t.before = c.writes.Load()
}

// stop prevents further writes and reports whether any byte can have left.
func (t *tracker) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return t.sent
	}
	return t.conn.seal() > t.before || t.sent
}

// Do sends req, which must come from NewRequest. on1xx receives informational
// responses. On an error, which is ErrExchange, sent is false only when no byte
// of the request can have left or can leave later.
func Do(t http.RoundTripper, req *http.Request, on1xx func(int, textproto.MIMEHeader)) (res *http.Response, sent bool, err error) {
	tr := &tracker{}
	trace := &httptrace.ClientTrace{
		GotConn: tr.gotConn,
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			on1xx(code, header)
			return nil
		},
	}
	res, err = t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		res.Body = &responseBody{ReadCloser: res.Body, tracker: tr}
		return res, true, nil
	}
	sent = tr.stop()
	if body, ok := req.Body.(*Body); ok && req.Header.Get("Expect") != "" {
		// The receiver acts only on the body, which the transport holds back until it is asked for.
		body.Close()
		sent = sent && body.started.Load()
	}
	return nil, sent, errors.Mark(err, ErrExchange)
}

// responseBody is the body of a response with the connection that it came on.
type responseBody struct {
	io.ReadCloser
	tracker *tracker
}

// Discard closes the connection of a response of Do, which is not used again.
func Discard(res *http.Response) {
	if b, ok := res.Body.(*responseBody); ok {
		b.tracker.stop()
	}
	res.Body.Close()
}
