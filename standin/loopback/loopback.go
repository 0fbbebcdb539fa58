// Package loopback gives tests addresses on the loopback interface that no other test run uses.
//
// A test that starts a program on a given address has to choose the address first. If it chooses a
// free port of 127.0.0.1, another process or an outgoing connection can take the port before the
// program listens on it, or while the program restarts.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// firstPort and lastPort bound the ports that NextAddress returns.
	firstPort, lastPort = 10_000, 65_535
	// hostPrefix is the network 127.64.0.0/10, whose hosts have hostBits bits. Linux has no more process
	// IDs than the network has hosts.
	hostPrefix = 127<<24 | 64<<16
	hostBits   = 22
)

// returned counts the addresses that NextAddress has returned.
var returned atomic.Uint32

// Host returns the loopback address of this process, which differs from those of all other running
// processes.
func Host() netip.Addr {
	host := hostPrefix | uint32(os.Getpid())%(1<<hostBits)
	return netip.AddrFrom4([4]byte{byte(host >> 24), byte(host >> 16), byte(host >> 8), byte(host)})
}

// NextAddress returns an address of Host with a port that it has not returned before. Once all ports have
// been returned it begins again.
func NextAddress() netip.AddrPort {
	const ports = lastPort - firstPort + 1
	port := firstPort + (returned.Add(1)-1)%ports
	return netip.AddrPortFrom(Host(), uint16(port))
}

// Listen listens on NextAddress.
func Listen() (net.Listener, error) {
	return net.Listen("tcp", NextAddress().String())
}
