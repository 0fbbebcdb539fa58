package link

import (
	"net"
	"sync"
	"time"
)

// limitedChunkBytes is the size of the parts in which a connection takes turns on limited bandwidth.
const limitedChunkBytes = 4 << 10

// Bandwidth is the capacity of one direction of a network link, which several relays may share. Its
// connections take turns.
type Bandwidth struct {
	bytesPerSecond float64
	mu             sync.Mutex
	// free is the time at which all bytes that were accepted have been carried.
	free    time.Time
	carried int64
}

// NewBandwidth returns a link that carries the given number of bytes per second.
func NewBandwidth(bytesPerSecond int) *Bandwidth {
	return &Bandwidth{bytesPerSecond: float64(bytesPerSecond)}
}

// Carried returns the number of bytes that the link has accepted so far.
func (b *Bandwidth) Carried() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.carried
}

// carry waits until n further bytes have been carried.
func (b *Bandwidth) carry(n int) {
	b.mu.Lock()
	if now := time.Now(); b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(n) / b.bytesPerSecond * float64(time.Second)))
	due := b.free
	b.carried += int64(n)
	b.mu.Unlock()
	time.Sleep(time.Until(due))
}

// forwardLimited forwards one direction's stream over limited bandwidth. It ends both connections when
// the receiver is gone, whose bytes no longer use the link.
func (b *Bandwidth) forwardLimited(to, from *net.TCPConn) {
	data := make([]byte, limitedChunkBytes)
	for {
		n, err := from.Read(data)
		if n > 0 {
			b.carry(n)
			if _, writeErr := to.Write(data[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.CloseWrite()
			return
		}
	}
}
