// Package headlimit decides which connections of clients a process keeps and which request heads it
// reads, so that the memory of all of them together stays within a budget, whatever the number of
// connections. It is pure: the caller passes the time, and closes the connections that the Limiter names.
//
// It is designed for some hundred connections of ordinary clients, beside thousands of connections
// that send heads of any size and never end them.
package headlimit

import "time"

const (
	// bytesFactor and lineBytes estimate the memory of a head: net/http holds the bytes that it read
	// and the strings that it made of them, and for each line an entry of a map. A line of a request that
	// is served takes 480 bytes at the peak (measured with 9,290 lines in each of 400 requests), which
	// includes the copies for the next hop and the garbage of a heap with GOGC=100, about half of it.
	bytesFactor = 2
	lineBytes   = 256
	// requestBytes estimates the memory of a request without its head: buffers of 4 KB, contexts, the
	// stacks of its goroutines. It bounds requests whose heads are short, such as those of HTTP/2 that are reset
	// at once.
	requestBytes = 16 << 10
	// reserveDivisor: this part of the budget is left to connections with at most SmallBytes.
	reserveDivisor = 4
)

// Cost estimates the memory of a request whose head has this many bytes and lines.
func Cost(bytes, lines int64) int64 { return requestBytes + bytesFactor*bytes + lineBytes*lines }

// Limits are the limits of a process.
type Limits struct {
	// Bytes bounds the estimated memory of all requests that are being read or served.
	Bytes int64
	// SmallBytes is the size up to which the requests of one connection may use all of Bytes. Larger ones
	// leave a quarter of it free, so that ordinary requests are served beside large ones.
	SmallBytes int64
	// Connections bounds the open connections, PerAddress those from one address.
	Connections, PerAddress int
	// KeepIdle is the time for which a connection without a request in progress is kept that has carried one.
	KeepIdle time.Duration
}

// Conn is the state of one connection. Only a Limiter changes it.
type Conn struct {
	address string
	// since is when the connection was opened, or its last request ended.
	since time.Duration
	// reading is the cost of the head that is being read, running that of the requests in progress.
	reading, running int64
	// accepted is the part of reading that needs no further decision.
	accepted int64
	requests int
	// proven is set once a request of the connection has ended.
	proven bool
	// gone is set when the connection is closed or to be closed. closing is what it still takes then.
	gone    bool
	closing int64
}

func (c *Conn) cost() int64 { return c.reading + c.running }

// Gone reports whether the connection is closed or to be closed.
func (c *Conn) Gone() bool { return c.gone }

// Requests returns the number of requests in progress.
func (c *Conn) Requests() int { return c.requests }

// Reason says why a connection is closed or a request refused.
type Reason string

// The reasons of a Limiter.
const (
	ReasonConnections Reason = "connections"
	ReasonPerAddress  Reason = "connections-per-address"
	ReasonMemory      Reason = "request-memory"
)

// Limiter decides for all connections of a process. It is not safe for concurrent use.
type Limiter struct {
	limits  Limits
	conns   map[*Conn]struct{}
	address map[string]int
	used    int64
	// closing is what connections still take that are to be closed.
	closing int64
}

// New returns a limiter without connections.
func New(l Limits) *Limiter {
	return &Limiter{limits: l, conns: make(map[*Conn]struct{}), address: make(map[string]int)}
}

// Used returns the estimated memory of all requests, also those of connections that are to be closed.
func (l *Limiter) Used() int64 { return l.used + l.closing }

// Connections returns the number of connections that are not to be closed.
func (l *Limiter) Connections() int { return len(l.conns) }

// Open admits a new connection. If a limit is reached, it names a connection to close for it, or it returns no
// connection and the reason for which the new one is to be closed.
func (l *Limiter) Open(now time.Duration, address string) (c, evicted *Conn, reason Reason) {
	switch {
	case l.address[address] >= l.limits.PerAddress:
		reason = ReasonPerAddress
		evicted = l.leastUseful(now, func(c *Conn) bool { return c.address == address })
	case len(l.conns) >= l.limits.Connections:
		reason = ReasonConnections
		evicted = l.leastUseful(now, func(*Conn) bool { return true })
	}
	if reason != "" && evicted == nil {
		return nil, nil, reason
	}
	if evicted != nil {
		l.Evict(evicted)
	}
	c = &Conn{address: address, since: now}
	l.conns[c] = struct{}{}
	l.address[address]++
	return c, evicted, reason
}

// leastUseful returns the connection without a request in progress that is the first to go: the oldest that
// has never carried a request, otherwise the one that has been idle for longest and beyond KeepIdle.
func (l *Limiter) leastUseful(now time.Duration, may func(*Conn) bool) *Conn {
	var unproven, idle *Conn
	for c := range l.conns {
		switch {
		case c.requests > 0 || !may(c):
		case !c.proven:
			if unproven == nil || c.since < unproven.since {
				unproven = c
			}
		case now-c.since > l.limits.KeepIdle && (idle == nil || c.since < idle.since):
			idle = c
		}
	}
	if unproven != nil {
		return unproven
	}
	return idle
}

// Verdict says what becomes of a head.
type Verdict int

const (
	// Accept: the head may be read on.
	Accept Verdict = iota
	// Wait: the head may be read on once connections that are to be closed have freed their memory. Read is
	// to be called again then.
	Wait
	// Refuse: the head is to be refused.
	Refuse
)

// Read sets the cost of the head that the connection is reading. If the budget is used up, it names
// connections to close, those with the largest incomplete heads, or refuses the head. It accepts a cost that is no
// higher than the one accepted before: what was read may be the end of a body, or room for an answer, without which
// requests in progress do not end.
func (l *Limiter) Read(c *Conn, cost int64) (evicted []*Conn, v Verdict) {
	if c.gone {
		return nil, Refuse
	}
	l.used += cost - c.reading
	c.reading = cost
	if cost <= c.accepted {
		c.accepted = cost
		return nil, Accept
	}
	limit := l.limits.Bytes
	if c.cost() > l.limits.SmallBytes {
		limit -= limit / reserveDivisor
	}
	for l.used > limit {
		largest := l.largestIncomplete()
		if largest == nil || largest == c || largest.reading <= c.reading {
			// A connection with requests in progress is kept for them; only the head is refused.
			return evicted, Refuse
		}
		l.Evict(largest)
		evicted = append(evicted, largest)
	}
	if l.used+l.closing > limit {
		return evicted, Wait
	}
	c.accepted = cost
	return evicted, Accept
}

// Set sets the cost of the head that the connection is reading without a decision: the server already
// has the bytes.
func (l *Limiter) Set(c *Conn, cost int64) {
	if !c.gone {
		l.used += cost - c.reading
	}
	c.reading, c.accepted = cost, cost
}

// largestIncomplete returns the connection without a request in progress whose incomplete head is the
// largest, the oldest of several.
func (l *Limiter) largestIncomplete() *Conn {
	var largest *Conn
	for c := range l.conns {
		if c.requests > 0 || c.reading == 0 {
			continue
		}
		if largest == nil || c.reading > largest.reading || c.reading == largest.reading && c.since < largest.since {
			largest = c
		}
	}
	return largest
}

// Begin makes the head that the connection has read a request in progress, and returns its cost.
func (l *Limiter) Begin(c *Conn) int64 {
	cost := c.reading
	c.running += cost
	c.reading, c.accepted = 0, 0
	c.requests++
	return cost
}

// End ends a request in progress that had the cost.
func (l *Limiter) End(c *Conn, now time.Duration, cost int64) {
	c.requests--
	c.running -= cost
	c.proven = true
	c.since = now
	if !c.gone {
		l.used -= cost
	}
}

// Close forgets a connection that has been closed and takes no memory any more.
func (l *Limiter) Close(c *Conn) {
	l.Evict(c)
	l.closing -= c.closing
	c.closing = 0
}

// Evict marks a connection that is to be closed. What it takes counts until Close, because the server frees it
// only when it gets to run.
func (l *Limiter) Evict(c *Conn) {
	if c.gone {
		return
	}
	c.gone = true
	c.closing = c.cost()
	l.used -= c.closing
	l.closing += c.closing
	delete(l.conns, c)
	if l.address[c.address]--; l.address[c.address] == 0 {
		delete(l.address, c.address)
	}
}
