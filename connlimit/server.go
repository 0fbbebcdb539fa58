package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/headlimit"
)

const (
	// maxStreams is the number of requests at a time on a connection of HTTP/2, the least that RFC 9113
	// recommends.
	maxStreams = 100
	// serverBuffer is the size of the buffer through which net/http reads a connection, shortestLine that of the
	// shortest header line.
	serverBuffer = 4 << 10
	shortestLine = 3
	// connectionBuffer and streamBuffer bound the bytes of bodies that a connection of HTTP/2 holds.
	connectionBuffer = 256 << 10
	streamBuffer     = 64 << 10
)

type connKey struct{}

// Wrap makes s obey the gate. Its listener must be one of the gate. It must be called before other packages wrap
// the handler or the hooks of s.
func (g *Gate) Wrap(s *http.Server) *http.Server {
	if s.Handler != nil {
		s.Handler = g.Handler(s.Handler)
	}
	innerState, innerContext := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if inner := unwrap(c); inner != nil {
			inner.stateChanged(state)
		}
		if innerState != nil {
			innerState(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if innerContext != nil {
			ctx = innerContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerConnection: connectionBuffer,
		MaxReceiveBufferPerStream:     streamBuffer,
		WriteByteTimeout:              g.options.Limits.AnswerStallTimeout,
	}
	return s
}

// unwrap returns the connection of a gate that c is or wraps, or nil.
func unwrap(c net.Conn) *Conn {
	for {
		switch inner := c.(type) {
		case *Conn:
			return inner
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}

// stateChanged is called by the server of the connection, between its reads.
func (c *Conn) stateChanged(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch {
	case c.phase == phaseHTTP2:
		if state == http.StateIdle {
			c.idleSince = time.Now()
		}
	case state == http.StateActive && c.phase == phaseHead:
		if c.uncounted {
			// The server has the head from a read of the body before.
			c.gate.limiter.Set(c.state, headlimit.Cost(serverBuffer, serverBuffer/shortestLine))
		}
		c.phase, c.knownLength = phaseBody, false
		c.running, c.cost = true, c.gate.limiter.Begin(c.state)
		c.scanner = headlimit.Scanner{}
	case state == http.StateIdle && c.running:
		c.gate.limiter.End(c.state, c.gate.now(), c.cost)
		c.phase, c.running = phaseHead, false
		c.uncounted = !c.knownLength && !c.wholeBody
		c.overread = c.ahead.Started() || c.uncounted
		c.scanner, c.ahead = c.ahead, headlimit.Scanner{}
		c.gate.limiter.Set(c.state, c.scanner.Cost())
	}
}

// NextHead makes the bytes behind the head that was read last the start of a further head, while its request is in
// progress. The returned function ends the request.
func (c *Conn) NextHead() (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
		c.phase = phaseHead
		return func() {}
	}
	cost := c.cost
	c.phase, c.running = phaseHead, false
	return func() {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.gate.limiter.End(c.state, c.gate.now(), cost)
	}
}

// Buffered returns the number of bytes that have arrived behind the head that was read last.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Handler bounds the requests in progress.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.requests.Add(-1)
		if g.requests.Add(1) > int64(g.options.Limits.Requests) {
			g.refuseRequest(w, r, reasonRequests)
			return
		}
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c == nil || r.ProtoMajor != 2 {
			next.ServeHTTP(w, r)
			return
		}
		cost, ok := c.beginStream(r)
		defer c.endStream(cost)
		if !ok {
			g.refuseRequest(w, r, headlimit.ReasonMemory)
			return
		}
		next.ServeHTTP(w, r)
		g.flush(w, r)
	})
}

// flush writes the rest of an answer of HTTP/2. A client that does not read it must not hold the request after
// it has ended. A deadline set in advance would hold each stream that has been reset until then.
func (g *Gate) flush(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	ended := make(chan struct{})
	stalled := time.AfterFunc(g.options.Limits.AnswerStallTimeout, func() {
		defer close(ended)
		g.note(reasonStalled, r.RemoteAddr)
		_ = controller.SetWriteDeadline(time.Now())
	})
	_ = controller.Flush()
	if !stalled.Stop() {
		// The server takes w back once the handler has returned; SetWriteDeadline would then panic.
		<-ended
	}
}

// beginStream makes a request of HTTP/2 one in progress, with its own cost in place of the estimated one.
func (c *Conn) beginStream(r *http.Request) (cost int64, ok bool) {
	size, lines := int64(len(r.RequestURI)), int64(0)
	for name, values := range r.Header {
		for _, v := range values {
			size += int64(len(name) + len(v))
			lines++
		}
	}
	cost = headlimit.Cost(size, lines)
	c.mu.Lock()
	if len(c.opened) > 0 {
		c.opened = c.opened[1:]
	}
	c.streams++
	incomplete := c.frames.Cost()
	for _, o := range c.opened {
		incomplete += o
	}
	c.gate.mu.Lock()
	evicted, verdict := c.gate.limiter.Read(c.state, cost+incomplete)
	c.gate.limiter.Set(c.state, cost)
	c.gate.limiter.Begin(c.state)
	c.gate.limiter.Set(c.state, incomplete)
	victims := c.gate.takeLocked(evicted)
	c.gate.mu.Unlock()
	c.mu.Unlock()
	c.gate.evict(victims)
	return cost, verdict != headlimit.Refuse
}

func (c *Conn) endStream(cost int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams--
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.limiter.End(c.state, c.gate.now(), cost)
}

func (g *Gate) refuseRequest(w http.ResponseWriter, r *http.Request, reason headlimit.Reason) {
	g.note(reason, r.RemoteAddr)
	for name, values := range g.refusalHeader(http.StatusServiceUnavailable) {
		w.Header()[name] = values
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	if r.ProtoMajor == 1 {
		_, _ = w.Write([]byte(refusalText(reason)))
	}
}

// Write implements net.Conn. It fails when the client takes too little within the stall timeout.
func (c *Conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	written := 0
	for {
		part := p[written:min(len(p), written+writeBytes)]
		deadline := time.Now().Add(c.gate.options.Limits.AnswerStallTimeout)
		c.mu.Lock()
		own := c.writeDeadline
		if !own.IsZero() && own.Before(deadline) {
			deadline = own
		}
		err := c.Conn.SetWriteDeadline(deadline)
		c.mu.Unlock()
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() && deadline != own {
			c.gate.note(reasonStalled, c.RemoteAddr().String())
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}
