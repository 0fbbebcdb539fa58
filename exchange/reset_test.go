package exchange

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/standin/loopback"
)

// partText is what a peer sends before it ends the connection.
const partText = "part of a body"

// connect returns the two ends of a connection: the one under test, and that of its peer.
func connect(t *testing.T) (c *conn, peer *net.TCPConn) {
	l, err := loopback.Listen()
	assert.NilError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { dialed.Close() })
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { accepted.Close() })
	c, err = newConn(dialed)
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection has ended, so that a write learns of the end first.
func writeUntilError(t *testing.T, c *conn) error {
	for {
		if _, err := c.Write(make([]byte, copyBufferBytes)); err != nil {
			assert.Assert(t, !isTimeout(err), "the connection has not ended")
			return err
		}
	}
}

func isTimeout(err error) bool {
	failed, ok := err.(net.Error)
	return ok && failed.Timeout()
}

// Guards against a body that ends with its connection being taken for whole after a reset that a write
// of the request has learned of.
func TestResetLearnedByWriteIsNoEndOfBody(t *testing.T) {
	t.Parallel()
	c, peer := connect(t)
	_, err := io.WriteString(peer, partText)
	assert.NilError(t, err)
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	assert.ErrorIs(t, writeUntilError(t, c), syscall.ECONNRESET)
	data, err := io.ReadAll(c)
	assert.Equal(t, string(data), partText)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.NilError(t, c.Close())
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET, "the close hides the reset")
}

// Guards against a whole body that ends with its connection being taken for broken because the peer, which
// has ended its sending direction, no longer takes the rest of the request.
func TestResetBehindEndOfBodyIsNoBreak(t *testing.T) {
	t.Parallel()
	c, peer := connect(t)
	_, err := io.WriteString(peer, partText)
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	assert.ErrorIs(t, writeUntilError(t, c), syscall.EPIPE)
	data, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(data), partText)
}
