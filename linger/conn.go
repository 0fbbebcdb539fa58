package linger

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxTime and maxIdle bound how long a connection stays open for reading after its last
	// answer: in total, and while the client sends nothing and does not close it either.
	maxTime = 10 * time.Second
	maxIdle = time.Second
	// maxBytes bounds what is read from such a connection.
	maxBytes = 64 << 20
)

// errUnreadBody is returned to a server that reads a connection behind an unread body.
var errUnreadBody = errors.New("the next bytes of the connection belong to an unread body")

// connKey is the context key of the connection of a request.
type connKey struct{}

// conn is a connection of a Server.
type conn struct {
	net.Conn
	server *Server
	mu     sync.Mutex
	// ending is set when the server is to read no further byte, because the connection holds an
	// unread body.
	ending bool
	// unfinished is set while an answer is being written that the client would take for whole if the
	// connection closed now.
	unfinished bool
	once       sync.Once
}

// setUnfinished sets whether every close of the connection is to reset it.
func (c *conn) setUnfinished(unfinished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unfinished = unfinished
	resetOnClose(c.Conn, unfinished)
}

// end interrupts a Read in progress, makes every later one fail, and makes Close linger.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.server.beginLinger(c.Conn)
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// NetConn returns the connection that the server accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

func (c *conn) isUnfinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unfinished
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.isEnding() {
		return 0, errUnreadBody
	}
	return c.Conn.Read(p)
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that lingers.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite ends the sending direction.
func (c *conn) CloseWrite() error {
	if c.isEnding() {
		return c.Close()
	}
	return closeWrite(c.Conn)
}

// Close closes the connection. If it holds an unread body, Close returns at once and the
// connection lingers, unless its answer is not finished.
func (c *conn) Close() error {
	if !c.isEnding() {
		return c.Conn.Close()
	}
	c.once.Do(func() {
		if c.isUnfinished() {
			defer c.server.endLinger(c.Conn)
			c.Conn.Close()
			return
		}
		go func() {
			defer c.server.endLinger(c.Conn)
			Close(c.Conn)
		}()
	})
	return nil
}

// closeWrite ends the sending direction of c.
func closeWrite(c net.Conn) error {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return errors.Newf("%T has no sending direction of its own", c)
	}
	return half.CloseWrite()
}

// Close ends the sending direction of c, discards what the client still sends until the client
// closes the connection too or has had time to read the last answer, and closes c. Closing it at
// once would reset it when unread bytes arrive, and a reset can overtake the answer.
func Close(c net.Conn) {
	defer c.Close()
	if closeWrite(c) != nil {
		return
	}
	rest := &restReader{conn: c, limit: time.Now().Add(maxTime)}
	// The connection is closed whether the client closed it, reset it or took too long.
	_, _ = io.Copy(io.Discard, io.LimitReader(rest, maxBytes))
}

// restReader reads from a connection for at most maxIdle at a time, and until limit in total.
type restReader struct {
	conn  net.Conn
	limit time.Time
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(maxIdle)
	if r.limit.Before(deadline) {
		deadline = r.limit
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}
