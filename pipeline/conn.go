package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/linger"
)

const (
	// readBufferBytes is the size of the read buffer of a connection. A request with a longer
	// head is left to net/http.
	readBufferBytes = 4 << 10
	// maxPipelined is the number of requests of one connection that are worked on at the same
	// time. Further ones stay unread until an earlier one is answered.
	maxPipelined = 32
)

// errHandOver means that the next request of the connection is one for net/http.
var errHandOver = errors.New("the next request is not a simple one")

// conn is a connection from which simple requests are read.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	// free holds a token for each request that may still be worked on.
	free chan struct{}
	// gone is closed when the connection can carry no further response.
	gone     chan struct{}
	goneOnce sync.Once
	mu       sync.Mutex
	// closing is set when no request is to be read that has not arrived yet.
	closing bool
	// readingHead is set while a part of a request head has arrived.
	readingHead bool
	// last is the exchange of the request that was read last, moreArrived is set when bytes
	// of a further request had arrived with it.
	last        *exchange
	moreArrived bool
	// readEnded is set when no further request is read.
	readEnded bool
}

// exchange is a request and its response.
type exchange struct {
	conn *conn
	// turn is closed when all earlier responses have been written, done when this one has.
	turn <-chan struct{}
	done chan struct{}
	// ahead is set when the exchange holds a token of the server. ended ends the request.
	ahead bool
	ended func()
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		server: s, net: nc, reader: bufio.NewReaderSize(nc, readBufferBytes),
		free: make(chan struct{}, maxPipelined), gone: make(chan struct{}),
	}
	for range maxPipelined {
		c.free <- struct{}{}
	}
	return c
}

// serve reads requests until the connection ends or is handed over.
func (c *conn) serve() {
	defer c.server.remove(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	err := c.readRequests(ctx)
	if err != nil && !errors.Is(err, errHandOver) && !c.isClosing() {
		// The client has gone and waits for no response.
		cancel()
	}
	c.waitForResponses()
	if errors.Is(err, errHandOver) && !c.isGone() && c.net.SetReadDeadline(time.Time{}) == nil {
		c.handOver()
		return
	}
	linger.Close(c.net)
}

// handOver hands the connection over to net/http.
func (c *conn) handOver() {
	next := &handedOver{Conn: c.net, reader: c.reader}
	// A part of a request has been read from the connection.
	c.server.pending.connState(next, http.StateActive)
	if !c.server.handOver.put(next) {
		c.server.pending.connState(next, http.StateClosed)
	}
}

// readRequests starts an exchange for each simple request. It returns errHandOver at a
// request that is not one, and any other error when the connection has ended.
func (c *conn) readRequests(ctx context.Context) error {
	defer c.endReading()
	turn := make(chan struct{})
	close(turn)
	for {
		head, err := c.readHead()
		if err != nil {
			return err
		}
		r, ok := simpleRequest(head)
		if !ok {
			return errHandOver
		}
		c.server.pending.requestRead()
		ahead, err := c.takeFree()
		if err != nil {
			c.server.pending.responseWritten()
			return err
		}
		if _, err := c.reader.Discard(len(head)); err != nil {
			c.server.pending.responseWritten()
			c.putAhead(ahead)
			return err
		}
		e := &exchange{conn: c, turn: turn, done: make(chan struct{}), ahead: ahead, ended: c.nextHead()}
		c.setLast(e)
		r.RemoteAddr = c.net.RemoteAddr().String()
		go e.serve(r.WithContext(context.WithValue(ctx, turnKey{}, e)))
		turn = e.done
	}
}

// readHead returns the head of the next request and leaves it in the buffer.
func (c *conn) readHead() ([]byte, error) {
	if err := c.armRead(0); err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := c.armRead(c.server.http.ReadHeaderTimeout); err != nil {
		return nil, err
	}
	for {
		data, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		if n := headEnd(data); n > 0 {
			return data[:n], nil
		}
		if !mayBeSimple(data) || len(data) == c.reader.Size() {
			return nil, errHandOver
		}
		_, err = c.reader.Peek(len(data) + 1)
		if err == io.EOF {
			// net/http tells the client that the head is not complete.
			return nil, errHandOver
		}
		if err != nil {
			return nil, err
		}
	}
}

// armRead sets the time within which the next bytes must arrive; 0 sets no limit. It fails
// when the connection can carry no further response, or is closing and no part of a further
// request has arrived.
func (c *conn) armRead(limit time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readEnded || c.closing && c.buffered() == 0 {
		return http.ErrServerClosed
	}
	if c.isGone() {
		return net.ErrClosed
	}
	c.readingHead = limit > 0
	var deadline time.Time
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	return c.net.SetReadDeadline(deadline)
}

// beginClose makes the connection close when the requests that have arrived are answered.
func (c *conn) beginClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.readingHead {
		c.interruptRead()
	}
}

// interruptRead ends a read that waits for the next request.
func (c *conn) interruptRead() { c.net.SetReadDeadline(time.Unix(1, 0)) }

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// takeFree waits until a further request may be worked on. It reports whether the request is worked on beside
// an earlier one and holds a token of the server for that.
func (c *conn) takeFree() (ahead bool, err error) {
	select {
	case <-c.free:
	case <-c.gone:
		return false, net.ErrClosed
	}
	if c.server.sentAhead == nil || c.last == nil {
		return false, nil
	}
	select {
	case <-c.last.done:
		return false, nil
	default:
	}
	select {
	case <-c.server.sentAhead:
		return true, nil
	case <-c.last.done:
		return false, nil
	case <-c.gone:
		return false, net.ErrClosed
	}
}

func (c *conn) putAhead(ahead bool) {
	if ahead {
		c.server.sentAhead <- struct{}{}
	}
}

// boundedConn is a connection that returns no byte behind a head together with the head, and counts the request
// as one in progress until it is told otherwise.
type boundedConn interface {
	// NextHead makes the bytes behind the last head the start of a further one. The returned function ends
	// the request.
	NextHead() (done func())
	// Buffered returns the number of bytes that have arrived behind the last head.
	Buffered() int
}

// nextHead returns the function that ends the request whose head was read last.
func (c *conn) nextHead() (done func()) {
	if bounded, ok := c.net.(boundedConn); ok {
		return bounded.NextHead()
	}
	return func() {}
}

// buffered returns the number of bytes of further requests that have arrived.
func (c *conn) buffered() int {
	n := c.reader.Buffered()
	if bounded, ok := c.net.(boundedConn); ok {
		n += bounded.Buffered()
	}
	return n
}

func (c *conn) setLast(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.moreArrived, c.readingHead = e, c.buffered() > 0, false
}

func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnded = true
}

// isFinal reports whether the connection is closed after the response of e. No further request
// is then read.
func (c *conn) isFinal(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.last == e && !c.readingHead && !c.moreArrived {
		c.readEnded = true
		c.interruptRead()
	}
	return c.closing && c.readEnded && c.last == e
}

func (c *conn) waitForResponses() {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if last != nil {
		<-last.done
	}
}

// abort makes the connection end without a further response. It stays open for reading until
// the client has received the earlier ones.
func (c *conn) abort() {
	c.goneOnce.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.gone)
		c.interruptRead()
	})
}

// isGone reports whether the connection can carry no further response.
func (c *conn) isGone() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// turnKey is the context key of the exchange of a request.
type turnKey struct{}

// WaitTurn waits until all requests that were sent earlier on the same connection have their
// responses. A request that must not run twice has to wait: if an earlier response closes the
// connection, the client sends the requests behind it again. WaitTurn returns false when the
// connection closed or ctx ended before. It returns true at once for a request that was not
// read by a Server.
func WaitTurn(ctx context.Context) bool {
	e, ok := ctx.Value(turnKey{}).(*exchange)
	if !ok {
		return true
	}
	select {
	case <-e.turn:
	case <-ctx.Done():
		return false
	}
	return !e.conn.isGone()
}

// serve runs the handler and writes its response.
func (e *exchange) serve(r *http.Request) {
	defer e.conn.server.pending.responseWritten()
	defer func() { e.conn.free <- struct{}{} }()
	defer e.conn.putAhead(e.ahead)
	defer e.ended()
	defer close(e.done)
	w := newResponse(e, r)
	defer w.heldMemory.Release()
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if p != http.ErrAbortHandler {
			e.conn.server.logger.Error("handler panicked", "panic", p)
		}
		// Earlier responses are delivered before the connection is aborted.
		<-e.turn
		e.conn.abort()
	}()
	e.conn.server.http.Handler.ServeHTTP(w, r)
	if err := w.finish(); err != nil {
		e.conn.abort()
	}
}

// handedOver is a connection whose next bytes are in a buffer.
type handedOver struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (h *handedOver) Read(p []byte) (int, error) {
	if h.reader != nil && h.reader.Buffered() == 0 {
		h.reader = nil
	}
	if h.reader == nil {
		return h.Conn.Read(p)
	}
	return h.reader.Read(p[:min(len(p), h.reader.Buffered())])
}

// NetConn returns the connection that the server accepted.
func (h *handedOver) NetConn() net.Conn { return h.Conn }

// CloseWrite ends the sending direction. net/http uses it to let the last response arrive.
func (h *handedOver) CloseWrite() error {
	if half, ok := h.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
