package linger

import "net"

// defaultLinger makes the operating system deliver what was written before it closes a connection.
const defaultLinger = -1

// resetOnClose sets whether c is reset when it is closed, also by the end of the process. Without it,
// the client sees an end like that of a whole answer. It has no effect on connections other than TCP.
func resetOnClose(c net.Conn, reset bool) {
	seconds := defaultLinger
	if reset {
		seconds = 0
	}
	for {
		switch inner := c.(type) {
		case interface{ SetLinger(seconds int) error }:
			// It fails only on a connection that has been closed.
			_ = inner.SetLinger(seconds)
			return
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return
		}
	}
}
