// Package linger serves HTTP/1.1 requests whose bodies may be left unread. The bytes of such a
// body look like further requests to a server that goes on reading the connection, so a Server
// never reads a request behind an unread body. It reads a short rest of the body itself; otherwise
// it announces in the answer that the connection closes, and closes it only after the client had
// the time to read the answer (a lingering close).
package linger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// pollInterval is the interval at which Shutdown looks for connections that linger.
const pollInterval = 10 * time.Millisecond

// Server is an http.Server whose connections linger.
type Server struct {
	*http.Server
	// inFlight, if not nil, includes the connections that linger.
	inFlight *atomic.Int64
	mu       sync.Mutex
	// lingering holds the connections that linger, or will after the current answer.
	lingering map[net.Conn]struct{}
}

// NewServer returns a server with the handler and the limits of s, whose handler it wraps. Each
// connection that lingers counts in inFlight, which may be nil.
func NewServer(s *http.Server, inFlight *atomic.Int64) *Server {
	s.Handler = &handler{next: s.Handler}
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	return &Server{Server: s, inFlight: inFlight, lingering: make(map[net.Conn]struct{})}
}

// Serve serves the connections that l accepts.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(&listener{Listener: l, server: s})
}

// Shutdown stops the server like http.Server.Shutdown and waits until no connection lingers. It
// returns the error of ctx if that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.Server.Shutdown(ctx); err != nil {
		return err
	}
	for s.lingeringConns() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Close closes all connections at once.
func (s *Server) Close() error {
	err := s.Server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.lingering {
		c.Close()
	}
	return err
}

func (s *Server) lingeringConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lingering)
}

func (s *Server) beginLinger(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingering[c] = struct{}{}
	if s.inFlight != nil {
		s.inFlight.Add(1)
	}
}

func (s *Server) endLinger(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lingering, c)
	if s.inFlight != nil {
		s.inFlight.Add(-1)
	}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, server: l.server}, nil
}
