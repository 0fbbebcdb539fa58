package connlimit

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawlane/jackdawlane/headlimit"
)

// phase is what the next bytes of a connection are.
type phase int

const (
	phaseHead phase = iota
	phaseBody
	phaseHTTP2
)

const (
	// prefaceLine is the first line of a connection of HTTP/2 in the clear; prefaceRest follows an empty line.
	prefaceLine = "PRI * HTTP/2.0\r\n\r\n"
	prefaceRest = "SM\r\n\r\n"
	// lastChunk ends a body in chunks that has no trailer.
	lastChunk = "\r\n0\r\n\r\n"
	// writeBytes is the most that is written within one stall timeout.
	writeBytes = 32 << 10
	// startAndEndLines are the request line and the empty line of a head.
	startAndEndLines = 2
	// forgetOpened is the time without a stream after which a connection of HTTP/2 has no request whose handler
	// is still to start. Requests that were reset get no handler, or a late one.
	forgetOpened = time.Second
	// waitPause is the time after which a connection with requests in progress tries again to read a head.
	waitPause = 10 * time.Millisecond
)

// Conn is a connection that a Gate bounds.
type Conn struct {
	net.Conn
	gate *Gate
	// state belongs to the limiter; gate.mu guards it.
	state *headlimit.Conn

	mu      sync.Mutex
	phase   phase
	scanner headlimit.Scanner
	frames  headlimit.Frames
	// begun is set when the connection cannot begin with a preface of HTTP/2, or its first head has ended.
	begun bool
	// first holds the first bytes of the connection, as long as they may be a preface; prefaceLeft is how much of
	// its rest is to come.
	first       []byte
	prefaceLeft int
	// pending holds bytes behind the end of a head.
	pending []byte
	// bodyLeft is how much of the body is to be read, if the head states its length. Further bytes are those of
	// the next head, which ahead counts.
	bodyLeft    int64
	knownLength bool
	ahead       headlimit.Scanner
	// wholeBody is set when the last bytes that were read of a body in chunks are those that end one.
	wholeBody bool
	// overread is set when the server may have read a part of the present head while it read a body. It
	// may then have read the whole head and run the request.
	overread bool
	// uncounted is set when that part, of a buffer at most, was not counted.
	uncounted bool
	// running is set while a request of HTTP/1 is in progress, cost is its cost.
	running bool
	cost    int64
	// opened are the costs of streams without a handler.
	opened  []int64
	streams int
	// idleSince is when a connection of HTTP/2 last had no stream.
	idleSince     time.Time
	writeDeadline time.Time
	closed        sync.Once
	// refused is set when a refusal has been written, after which the connection is closed by the gate.
	refused atomic.Bool
}

// NetConn returns the connection that was accepted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending direction.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.forget()
	if c.refused.Load() {
		// It closes once the client has read the refusal.
		return nil
	}
	return c.Conn.Close()
}

func (c *Conn) forget() {
	c.closed.Do(func() {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.gate.limiter.Close(c.state)
		delete(c.gate.conns, c.state)
	})
}

// evict closes the connection for the sake of others. No request of it is in progress.
func (c *Conn) evict(reason headlimit.Reason) {
	c.mu.Lock()
	// The server may be about to answer a request that it has read; a refusal could contradict it. The
	// client of an idle connection expects no answer.
	silent := c.phase != phaseHead || c.overread || c.begun && !c.scanner.Started()
	c.mu.Unlock()
	if !silent {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = c.Conn.Write([]byte(c.gate.refusal(http.StatusServiceUnavailable, reason)))
	}
	// The close frees the memory of the head at once, because it ends the server's read.
	c.Conn.Close()
}

// Read implements net.Conn. It returns no byte behind the end of a head together with the head, so that the
// server holds one head at a time.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		// The gate reads what still arrives.
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	c.mu.Unlock()
	var err error
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	used, cost, lines := c.scan(p[:n])
	if used < n {
		c.pending = append(bytes.Clone(p[used:n]), c.pending...)
	}
	c.mu.Unlock()
	if limit := int64(c.gate.options.Limits.MaxHeaderLines); lines > limit+startAndEndLines && !c.inProgress() {
		return 0, c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, reasonLines)
	}
	if cost >= 0 && !c.charge(cost) {
		return 0, c.refuseHead(http.StatusServiceUnavailable, headlimit.ReasonMemory)
	}
	if !c.headRead() {
		return 0, net.ErrClosed
	}
	return used, err
}

// scan counts bytes that were read. It returns how many of them the server may have now, the cost of the
// incomplete head or -1, and the lines of the head.
func (c *Conn) scan(data []byte) (used int, cost, lines int64) {
	switch c.phase {
	case phaseBody:
		return c.scanBody(data), -1, 0
	case phaseHTTP2:
		c.scanFrames(data)
		return len(data), c.frames.Cost(), 0
	}
	if !c.begun {
		c.first = append(c.first, data[:min(len(data), len(prefaceLine)-len(c.first))]...)
		if !bytes.HasPrefix([]byte(prefaceLine), c.first) {
			c.first, c.begun = nil, true
		}
	}
	used, ended := c.scanner.Scan(data)
	cost, lines = c.scanner.Cost(), c.scanner.Lines()
	if ended {
		c.phase = phaseBody
		c.bodyLeft, c.knownLength = c.scanner.BodyLength()
		if len(c.first) == len(prefaceLine) {
			c.phase, c.prefaceLeft = phaseHTTP2, len(prefaceRest)
			cost = 0
		}
		c.scanner, c.ahead, c.first, c.begun = headlimit.Scanner{}, headlimit.Scanner{}, nil, true
	}
	return used, cost, lines
}

// scanBody counts bytes that were read behind a head, and returns how many of them the server may have now: no
// byte of the next head together with those of the body.
func (c *Conn) scanBody(data []byte) (used int) {
	if !c.knownLength {
		c.wholeBody = bytes.HasSuffix(data, []byte(lastChunk))
		return len(data)
	}
	if c.bodyLeft > 0 {
		used = int(min(c.bodyLeft, int64(len(data))))
		c.bodyLeft -= int64(used)
		return used
	}
	if _, ended := c.ahead.Scan(data); ended {
		// The head before began in a buffer of the server, and ends here. What follows is not counted.
		c.ahead, c.knownLength, c.wholeBody = headlimit.Scanner{}, false, false
	}
	return len(data)
}

func (c *Conn) scanFrames(data []byte) {
	n := min(c.prefaceLeft, len(data))
	c.prefaceLeft -= n
	c.frames.Scan(data[n:], func(cost int64) {
		if c.streams == 0 && !c.idleSince.IsZero() && time.Since(c.idleSince) > forgetOpened {
			c.opened = nil
		}
		c.opened = append(c.opened, cost)
	})
}

// charge sets the cost of the incomplete head. It returns false when the head is to be refused. It waits instead
// while requests of the connection are in progress, and while connections that were closed free their memory.
func (c *Conn) charge(cost int64) bool {
	for {
		opened := c.openedCost()
		c.gate.mu.Lock()
		evicted, verdict := c.gate.limiter.Read(c.state, cost+opened)
		victims := c.gate.takeLocked(evicted)
		wait := verdict == headlimit.Wait || verdict == headlimit.Refuse && !c.state.Gone() && c.state.Requests() > 0
		c.gate.mu.Unlock()
		c.gate.evict(victims)
		if !wait {
			return verdict == headlimit.Accept
		}
		time.Sleep(waitPause)
	}
}

func (c *Conn) openedCost() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum int64
	for _, cost := range c.opened {
		sum += cost
	}
	return sum
}

// inProgress reports whether a request of the connection is in progress. Its answer comes before any refusal.
func (c *Conn) inProgress() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.state.Requests() > 0
}

// headRead makes a head that has ended a request in progress. It returns false when the connection has been
// closed for the sake of others: their clients may have been told that the request does not run.
func (c *Conn) headRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseBody || c.running {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.state.Gone() {
		return false
	}
	c.running, c.cost = true, c.gate.limiter.Begin(c.state)
	return true
}

// takeLocked returns the connections that the limiter has named. The caller holds g.mu.
func (g *Gate) takeLocked(named []*headlimit.Conn) []*Conn {
	var all []*Conn
	for _, state := range named {
		all = append(all, g.conns[state])
		delete(g.conns, state)
	}
	return all
}

// evict closes connections whose heads took the memory that others need.
func (g *Gate) evict(all []*Conn) {
	for _, c := range all {
		g.note(headlimit.ReasonMemory, c.RemoteAddr().String())
		c.evict(headlimit.ReasonMemory)
	}
}

// refuseHead answers an incomplete head and closes the connection. The server has not read the head.
func (c *Conn) refuseHead(status int, reason headlimit.Reason) error {
	c.gate.note(reason, c.RemoteAddr().String())
	c.mu.Lock()
	http2 := c.phase == phaseHTTP2
	c.mu.Unlock()
	c.gate.mu.Lock()
	gone := c.state.Gone()
	c.gate.mu.Unlock()
	switch {
	case http2:
		c.Close()
	case !gone:
		c.gate.mu.Lock()
		c.gate.limiter.Evict(c.state)
		c.gate.mu.Unlock()
		c.refused.Store(true)
		c.gate.refuse(c.Conn, status, reason)
	}
	return net.ErrClosed
}
