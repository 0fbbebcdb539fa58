package exchange

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// conn counts the writes that were started on a connection, and sends a request only after the
// response before it was accepted and while no other bytes have arrived. A connection that was broken off
// never ends with io.EOF.
type conn struct {
	net.Conn
	raw syscall.RawConn
	// mu orders reads from the socket, starts of writes and writes to it, so that writesAtRead and broken are
	// exact.
	mu            sync.Mutex
	writes        int64
	writesStopped bool
	// writesAtRead is the number of writes that had been started when a Read last returned data.
	writesAtRead int64
	// broken is the error by which a write learned that the connection was broken off; 0 if none did. A socket
	// reports its error to one call only, and to each later read an end like that of a whole stream.
	broken syscall.Errno
	// head scans the heads of the responses to the current request.
	head headScanner
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
	c.head = headScanner{}
	return c.writes, sync.OnceFunc(func() { close(accepted) })
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	var n int
	var failed error
	err := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, failed = c.receive(int(fd), p)
		return failed != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, c.readError(err)
	case failed == errMalformedHead:
		return 0, failed
	case failed != nil:
		return 0, c.opError("read", failed)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive reads what the socket holds, up to a malformed line in the head of a response. It returns
// unix.EAGAIN when the socket holds nothing.
func (c *conn) receive(fd int, p []byte) (int, error) {
	if c.head.isMalformed() {
		return 0, errMalformedHead
	}
	n, err := receive(fd, p)
	if n == 0 && err == nil && c.broken != 0 {
		return 0, c.broken
	}
	if n == 0 {
		return 0, err
	}
	c.writesAtRead = c.writes
	wellFormed, err := c.head.scan(p[:n])
	if wellFormed > 0 {
		// What follows is reported by the next call, so that http.Transport knows that a response has begun.
		return wellFormed, nil
	}
	return 0, err
}

// readError returns the error of a read that failed with err. http.Transport closes the connection when a write
// fails; what the write learned is then the reason.
func (c *conn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != 0 {
		return c.opError("read", c.broken)
	}
	return err
}

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, err)}
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
	return c.writeAll(p)
}

// writeAll writes p to the socket.
func (c *conn) writeAll(p []byte) (written int, err error) {
	var failed error
	err = c.raw.Write(func(fd uintptr) bool {
		for written < len(p) && failed == nil {
			var n int
			n, failed = c.writePart(int(fd), p[written:])
			written += n
		}
		if failed == unix.EAGAIN {
			failed = nil
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return written, err
	case failed != nil:
		return written, c.opError("write", failed)
	}
	return written, nil
}

// writePart writes as much of p as the socket takes. It returns unix.EAGAIN when that is nothing.
func (c *conn) writePart(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := send(fd, p)
	failed, ok := err.(syscall.Errno)
	// After unix.EPIPE the stream from the peer is whole: the peer ended it before it refused to receive more.
	if ok && failed != unix.EAGAIN && failed != unix.EPIPE {
		c.broken = failed
	}
	return n, err
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

// scannedHead returns what is known of the head of the current response.
func (c *conn) scannedHead() headScanner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
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
