package guard

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/membership"
)

// announceExpiry is the default time for which a backend server counts as present after
// its last announcement.
const announceExpiry = 3 * time.Second

// server is a backend server that announces itself to this guard. It is immutable.
type server struct {
	backend       membership.Backend
	transport     *http.Transport
	queue         *queue
	lastAnnounced time.Time
	// instance identifies the process of the backend server; it is empty if unknown.
	instance string
	expiry   time.Duration
}

// registry holds the backend servers that announce themselves to a guard.
type registry struct {
	self        membership.Guard
	clock       monotonicClock
	expiry      time.Duration
	idleTimeout time.Duration
	// exclusive is set when the backend servers receive requests from this guard only.
	exclusive bool
	mu        sync.Mutex
	servers   map[string]server
	// pastCounts sums the counts of the queues of removed backend servers.
	pastCounts map[admission.Rank]admission.Counts
}

// announce records an announcement and removes expired backend servers.
func (r *registry) announce(b membership.Backend, instance string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(now)
	b.Guard = r.self
	old, ok := r.servers[b.ID]
	transport := old.transport
	if !ok || old.backend.Connections != b.Connections || old.instance != instance {
		transport = exchange.NewTransport(exchange.DialTimeout, b.Connections, b.Connections)
		if r.idleTimeout > 0 {
			transport.IdleConnTimeout = r.idleTimeout
		}
		closeIdle(old)
	}
	queue := old.queue
	if ok {
		queue.announce(b.Slots, b.State)
	} else {
		queue = newQueue(r.clock, b.Slots, b.State, r.exclusive)
	}
	r.servers[b.ID] = server{backend: b, transport: transport, queue: queue, lastAnnounced: now, instance: instance, expiry: r.expiry}
}

// removeExpired removes backend servers that no longer announce themselves. It keeps
// those with queued or running attempts, because these attempts count against the limit
// if the backend server announces itself again.
func (r *registry) removeExpired(now time.Time) {
	for id, s := range r.servers {
		if s.expired(now) && s.queue.idle() {
			addCounts(r.pastCounts, s.queue.counts())
			delete(r.servers, id)
			closeIdle(s)
		}
	}
}

func closeIdle(s server) {
	if s.transport != nil {
		s.transport.CloseIdleConnections()
	}
}

func (s server) expired(now time.Time) bool { return now.Sub(s.lastAnnounced) >= s.expiry }

// lookup returns a backend server that has not expired.
func (r *registry) lookup(id string, now time.Time) (server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[id]
	return s, ok && !s.expired(now)
}

func (r *registry) backends(now time.Time) []membership.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(now)
	var bs []membership.Backend
	for _, s := range r.servers {
		if !s.expired(now) {
			bs = append(bs, s.backend)
		}
	}
	slices.SortFunc(bs, func(a, b membership.Backend) int { return strings.Compare(a.ID, b.ID) })
	return bs
}
