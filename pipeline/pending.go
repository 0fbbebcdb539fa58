package pipeline

import (
	"net"
	"net/http"
	"sync"
)

// pending counts the requests that were read and whose responses are not written yet. The zero value
// is ready to use. It is safe for concurrent use.
type pending struct {
	mu sync.Mutex
	// pipelined is the number of such requests on connections that have not been handed over.
	pipelined int
	// active holds the handed-over connections with such a request, or with a part of one.
	active map[net.Conn]struct{}
}

func (p *pending) requestRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pipelined++
}

func (p *pending) responseWritten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pipelined--
}

// connState records a change of state of a handed-over connection. A new connection stays active,
// because a part of its first request was read before it was handed over.
func (p *pending) connState(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
	case http.StateActive:
		if p.active == nil {
			p.active = make(map[net.Conn]struct{})
		}
		p.active[c] = struct{}{}
	default:
		delete(p.active, c)
	}
}

func (p *pending) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pipelined + len(p.active)
}

// Pending returns the number of requests that were read and whose responses are not written yet.
func (s *Server) Pending() int { return s.pending.count() }
