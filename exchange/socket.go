package exchange

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Sockets are read and written through package syscall, as by package net: the race detector then knows that
// what the peer does with the data comes after what was done before it was sent.

// receive reads what a socket holds, without waiting. It returns unix.EAGAIN when that is nothing.
func receive(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != unix.EINTR {
			return max(n, 0), err
		}
	}
}

// send writes to a socket what it takes, without waiting. It returns unix.EAGAIN when that is nothing.
func send(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, p)
		if err != unix.EINTR {
			return max(n, 0), err
		}
	}
}

// hasNoInput reports whether the connection is open and holds no bytes that wait to be read. It does
// not wait for a Read in progress.
func hasNoInput(c syscall.RawConn) bool {
	var received error
	err := c.Control(func(fd uintptr) {
		for {
			_, _, received = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if received != unix.EINTR {
				return
			}
		}
	})
	return err == nil && received == unix.EAGAIN
}
