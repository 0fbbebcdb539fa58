// Package connlimit applies headlimit to the servers of a process. A Gate wraps their listeners and handlers:
// it counts the bytes and lines of request heads before net/http parses them, bounds the connections and the
// requests in progress, and closes connections whose clients read no answers.
package connlimit

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/headlimit"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/linger"
	"github.com/jackdawlane/jackdawlane/settings"
	"github.com/jackdawlane/jackdawlane/telemetry"
)

const (
	// smallBytes is the size up to which the requests of one connection may use the whole budget. An
	// ordinary request of 1 KB and 20 lines takes 23 KB.
	smallBytes = 48 << 10
	// keepIdle is above the 15 s for which clients keep connections idle and use them again.
	keepIdle = 20 * time.Second
	// maxLingering bounds the connections that are held open only until their clients have read a refusal.
	maxLingering = 32
	// logInterval is the time between two log lines of one reason.
	logInterval = 10 * time.Second
	// refuseTimeout bounds the time for writing a refusal, which fits into the empty buffer of a connection.
	refuseTimeout = 10 * time.Millisecond
	// acceptPause is the time after which accepting is tried again when it failed for a while.
	acceptPause = 10 * time.Millisecond
)

// Further reasons of refusals, beside those of headlimit.
const (
	reasonLines    headlimit.Reason = "header-lines"
	reasonRequests headlimit.Reason = "requests"
	reasonStalled  headlimit.Reason = "unread-answer"
)

// Options describe a Gate.
type Options struct {
	Limits settings.Limits
	// Outcome makes refusals state outcome and reason in headers.
	Outcome bool
	// Name is the first part of the names of the metrics.
	Name    string
	Metrics *telemetry.Metrics
	Logger  *log.Logger
}

// Gate bounds what the clients of some listeners may take of the process.
type Gate struct {
	options   Options
	started   time.Time
	requests  atomic.Int64
	lingering chan struct{}
	mu        sync.Mutex
	limiter   *headlimit.Limiter
	conns     map[*headlimit.Conn]*Conn
	counts    map[headlimit.Reason]*count
}

// count is how often a reason has occurred since its last log line.
type count struct {
	unlogged int
	logged   time.Time
}

// New returns a gate.
func New(o Options) *Gate {
	g := &Gate{
		options: o, started: time.Now(), lingering: make(chan struct{}, maxLingering),
		conns: make(map[*headlimit.Conn]*Conn), counts: make(map[headlimit.Reason]*count),
		limiter: headlimit.New(headlimit.Limits{
			Bytes: o.Limits.RequestMemory(), SmallBytes: smallBytes,
			Connections: o.Limits.Connections, PerAddress: o.Limits.ConnectionsPerAddress, KeepIdle: keepIdle,
		}),
	}
	o.Metrics.Publish(o.Name+".connections", func() any { g.mu.Lock(); defer g.mu.Unlock(); return g.limiter.Connections() })
	o.Metrics.Publish(o.Name+".request_memory", func() any { g.mu.Lock(); defer g.mu.Unlock(); return g.limiter.Used() })
	return g
}

func (g *Gate) now() time.Duration { return time.Since(g.started) }

// note counts a refused request or a closed connection, and logs the count at most every logInterval.
func (g *Gate) note(reason headlimit.Reason, address string) {
	g.options.Metrics.Add(g.options.Name+".closed."+string(reason), 1)
	g.mu.Lock()
	c := g.counts[reason]
	if c == nil {
		c = &count{}
		g.counts[reason] = c
	}
	c.unlogged++
	n, due := c.unlogged, time.Since(c.logged) >= logInterval
	if due {
		c.unlogged, c.logged = 0, time.Now()
	}
	g.mu.Unlock()
	if due && g.options.Logger != nil {
		g.options.Logger.Warn("clients refused", "listener", g.options.Name, "reason", string(reason), "count", n, "last", address)
	}
}

// listener admits the connections of a listener.
type listener struct {
	net.Listener
	gate *Gate
	// http2 is set when the server speaks HTTP/2 in the clear.
	http2 bool
}

// Listener returns a listener for the server s whose connections the gate bounds.
func (g *Gate) Listener(l net.Listener, s *http.Server) net.Listener {
	return &listener{l, g, s.Protocols != nil && s.Protocols.UnencryptedHTTP2()}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			if temporary, ok := err.(interface{ Temporary() bool }); ok && temporary.Temporary() {
				// The process has no free file descriptors, for example.
				time.Sleep(acceptPause)
				continue
			}
			return nil, err
		}
		if c := l.gate.open(nc, l.http2); c != nil {
			return c, nil
		}
	}
}

// open admits a connection, or closes it and returns nil.
func (g *Gate) open(nc net.Conn, http2 bool) *Conn {
	address, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	g.mu.Lock()
	state, evicted, reason := g.limiter.Open(g.now(), address)
	victim := g.conns[evicted]
	delete(g.conns, evicted)
	var c *Conn
	if state != nil {
		c = &Conn{Conn: nc, gate: g, state: state, begun: !http2}
		g.conns[state] = c
	}
	g.mu.Unlock()
	if reason != "" {
		g.note(reason, address)
	}
	if victim != nil {
		victim.evict(reason)
	}
	if c == nil {
		g.refuse(nc, http.StatusServiceUnavailable, reason)
	}
	return c
}

// refuse writes a refusal to a connection of HTTP/1 on which no answer is being written, and closes it.
func (g *Gate) refuse(nc net.Conn, status int, reason headlimit.Reason) {
	_ = nc.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = nc.Write([]byte(g.refusal(status, reason)))
	select {
	case g.lingering <- struct{}{}:
		go func() {
			defer func() { <-g.lingering }()
			linger.Close(nc)
		}()
	default:
		nc.Close()
	}
}

// refusal returns an answer of HTTP/1 that refuses a request: 431 is final, 503 means that it did not run.
func (g *Gate) refusal(status int, reason headlimit.Reason) string {
	body := refusalText(reason)
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
	for name, values := range g.refusalHeader(status) {
		text += name + ": " + values[0] + "\r\n"
	}
	return text + "Connection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func refusalText(reason headlimit.Reason) string {
	return string(hop.ReasonOverLimit) + ": the node takes no more from its clients now (" + string(reason) + ")\n"
}

func (g *Gate) refusalHeader(status int) http.Header {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if g.options.Outcome {
		h[hop.HeaderOutcome] = []string{string(hop.OutcomeNotRun)}
		h[hop.HeaderReason] = []string{string(hop.ReasonOverLimit)}
	}
	if status == http.StatusServiceUnavailable {
		h["Retry-After"] = []string{"1"}
	}
	return h
}
