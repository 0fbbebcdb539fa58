package guard

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/membership"
)

// announceExpiry is how long a backend server counts as present after its last announcement.
const announceExpiry = 3 * time.Second

// server is a backend server that announces itself to this guard. It is immutable.
type server struct {
	backend   membership.Backend
	transport *http.Transport
	queue     *queue
	heard     time.Time
	// instance identifies the process of the backend server where it states one.
	instance string
	expiry   time.Duration
}

// registry holds the backend servers of a guard.
type registry struct {
	self   membership.Guard
	clock  clock
	expiry time.Duration
	idle   time.Duration
	// trustSlots is set when backend servers take work from this guard only.
	trustSlots bool
	mu         sync.Mutex
	servers    map[string]server
}

// announce records an announcement and forgets backend servers that are gone.
func (g *registry) announce(b membership.Backend, instance string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	b.Guard = g.self
	old, ok := g.servers[b.ID]
	transport := old.transport
	if !ok || old.backend.Connections != b.Connections || old.instance != instance {
		transport = exchange.NewTransport(exchange.DialTimeout, b.Connections, b.Connections)
		if g.idle > 0 {
			transport.IdleConnTimeout = g.idle
		}
		closeIdle(old)
	}
	queue := old.queue
	if ok {
		queue.announce(b.Slots, b.State)
	} else {
		queue = newQueue(g.clock, b.Slots, b.State, g.trustSlots)
	}
	g.servers[b.ID] = server{backend: b, transport: transport, queue: queue, heard: now, instance: instance, expiry: g.expiry}
}

// sweep keeps backend servers that are gone while they have work, which counts
// against the limit if they come back.
func (g *registry) sweep(now time.Time) {
	for id, s := range g.servers {
		if s.gone(now) && s.queue.idle() {
			delete(g.servers, id)
			closeIdle(s)
		}
	}
}

func closeIdle(s server) {
	if s.transport != nil {
		s.transport.CloseIdleConnections()
	}
}

func (s server) gone(now time.Time) bool { return now.Sub(s.heard) >= s.expiry }

// lookup returns a backend server that is not gone.
func (g *registry) lookup(id string, now time.Time) (server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[id]
	return s, ok && !s.gone(now)
}

func (g *registry) backends(now time.Time) []membership.Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	var bs []membership.Backend
	for _, s := range g.servers {
		if !s.gone(now) {
			bs = append(bs, s.backend)
		}
	}
	slices.SortFunc(bs, func(a, b membership.Backend) int { return strings.Compare(a.ID, b.ID) })
	return bs
}
