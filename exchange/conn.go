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
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNoResponse marks a request without a response.
var ErrNoResponse = errors.New("no response")

// errTooManyInformational means that a server sent informational responses without end.
var errTooManyInformational = errors.New("too many informational responses")

// errUnsolicited means that a response had begun before its request was sent.
var errUnsolicited = errors.New("response began before the request was sent")

// errNotFinal means that the status of a response is not one that can end an exchange.
var errNotFinal = errors.New("the status of the response is not a final one")

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

// conn counts the writes that were started on a connection, and sends a request only after the
// response before it was accepted and while no other bytes have arrived.
type conn struct {
	net.Conn
	raw syscall.RawConn
	// mu orders reads from the socket and starts of writes, so that writesAtRead is exact.
	mu            sync.Mutex
	writes        int64
	writesStopped bool
	// writesAtRead is the number of writes that had been started when a Read last returned data.
	writesAtRead int64
	// accepted is closed when the response to the current request is accepted or discarded.
	accepted chan struct{}
	// previous is accepted of the request before; it is nil once the current request may be sent.
	previous chan struct{}
}

func newConn(c net.Conn) (*conn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is no socket", c)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, raw: raw}, nil
}

// begin prepares the connection for its next request. It returns the number of writes so far and
// the function that accepts the response to the request.
func (c *conn) begin() (writes int64, accept func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.previous = c.accepted
	if c.previous == nil {
		c.previous = make(chan struct{})
		close(c.previous)
	}
	accepted := make(chan struct{})
	c.accepted = accepted
	return c.writes, sync.OnceFunc(func() { close(accepted) })
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	var n int
	var failed error
	err := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, failed = receive(int(fd), p)
		if n > 0 {
			c.writesAtRead = c.writes
		}
		return failed != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", failed)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// Write implements io.Writer. The first write of a request fails, without sending anything, when
// bytes have arrived before it: they belong to no request.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	previous := c.previous
	c.previous = nil
	c.mu.Unlock()
	if previous != nil {
		<-previous
	}
	if !c.startWrite(previous != nil) {
		c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// startWrite counts a write and reports whether it may be made.
func (c *conn) startWrite(first bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesStopped || first && !hasNoInput(c.raw) {
		c.writesStopped = true
		return false
	}
	c.writes++
	return true
}

// readBefore reports whether the last Read that returned data did so before any write that
// followed the given number of writes.
func (c *conn) readBefore(writes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writesAtRead <= writes
}

// ReadFrom copies r through a pooled buffer and counts each write. Without this method net/http copies
// request bodies, even empty ones, through a new buffer of 32 KB.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	return io.CopyBuffer(struct{ io.Writer }{c}, r, buffer[:])
}

// stopWrites closes the connection and returns the number of writes that have been
// started. Every write that this number does not include fails with net.ErrClosed and
// sends nothing.
func (c *conn) stopWrites() int64 {
	c.mu.Lock()
	c.writesStopped = true
	writes := c.writes
	c.mu.Unlock()
	// Close waits for a Read in progress, which needs the lock.
	c.Close()
	return writes
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
			return newConn(c)
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
	// accept is nil while the request has no connection.
	accept func()
	// unsolicited is set when the response began before the request was sent.
	unsolicited bool
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
	t.writesBefore, t.accept = c.begin()
}

// gotFirstResponseByte records whether the response began before the request was sent. The
// transport reads from the connection only while its buffer is empty, so the first byte came with
// the last Read.
func (t *tracker) gotFirstResponseByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.unsolicited = t.conn.readBefore(t.writesBefore)
	}
}

func (t *tracker) isUnsolicited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unsolicited
}

// acceptResponse lets the connection carry the next request.
func (t *tracker) acceptResponse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accept != nil {
		t.accept()
	}
}

// stopWrites prevents further writes and reports whether any byte of the request may
// have been sent.
func (t *tracker) stopWrites() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return t.mayHaveSent
	}
	defer t.accept()
	return t.conn.stopWrites() > t.writesBefore || t.mayHaveSent
}

// Do sends req, which must come from NewRequest. on1xx receives informational responses.
// The connection carries its next request only once the body of the response is read from or closed.
// A response that began before the request was sent, or whose status is not final, is an error.
// An error is marked ErrNoResponse; sent is then false only when the receiver cannot act
// on the request: no byte of it was or can be sent, or it has an Expect header and none
// of its body was or can be sent.
func Do(t http.RoundTripper, req *http.Request, on1xx func(int, textproto.MIMEHeader)) (res *http.Response, sent bool, err error) {
	tr := &tracker{}
	informational := 0
	trace := &httptrace.ClientTrace{
		GotConn:              tr.gotConn,
		GotFirstResponseByte: tr.gotFirstResponseByte,
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
		err = checkResponse(res, tr)
	}
	if err == nil {
		res.Body = &responseBody{ReadCloser: res.Body, tracker: tr}
		return res, true, nil
	}
	if res != nil {
		defer res.Body.Close()
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

// checkResponse reports why a response cannot be the one to its request.
func checkResponse(res *http.Response, tr *tracker) error {
	if res.StatusCode < http.StatusOK {
		// http.Transport returns 101, for which nobody has asked, and numbers below 100.
		return errNotFinal
	}
	if tr.isUnsolicited() {
		return errUnsolicited
	}
	return nil
}

// responseBody is the body of a response with the tracker of its connection.
type responseBody struct {
	io.ReadCloser
	tracker *tracker
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	b.tracker.acceptResponse()
	return b.ReadCloser.Read(p)
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.tracker.acceptResponse()
	return b.ReadCloser.Close()
}

// Discard closes a response that Do returned, and its connection, which is not used again.
func Discard(res *http.Response) {
	if b, ok := res.Body.(*responseBody); ok {
		b.tracker.stopWrites()
	}
	res.Body.Close()
}
