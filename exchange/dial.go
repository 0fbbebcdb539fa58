package exchange

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A connection that has gone silent is given up after about
	// keepAliveIdle + keepAliveCount*keepAliveInterval.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout ends a connection whose peer does not acknowledge what was sent.
	unackedTimeout = 4 * time.Second
)

// NewDialer returns a dialer whose connections notice a peer that has gone silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
