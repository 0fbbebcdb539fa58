package exchange

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A connection whose peer no longer responds is closed after about
	// keepAliveIdle + keepAliveCount*keepAliveInterval.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout is the time after which a connection is closed when its peer does
	// not acknowledge the data that was sent.
	unackedTimeout = 4 * time.Second
)

// newDialer returns a dialer whose connections detect a peer that no longer responds.
func newDialer(timeout time.Duration) *net.Dialer {
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
