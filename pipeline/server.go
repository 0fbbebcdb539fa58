// Package pipeline serves HTTP/1.1 connections on which clients send further requests before
// the first one has been answered. net/http serves the requests of a connection one after the
// other, so that each of them waits for the answers of all that were sent before it. A Server
// runs the handler for several of them at the same time and writes the responses in the order
// of the requests.
//
// Only requests without a body are served this way. A connection that sends anything else is
// handed over to net/http for the rest of its life.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/linger"
	"github.com/jackdawlane/jackdawlane/membudget"
)

// pollInterval is the interval at which Shutdown looks for connections that are still open.
const pollInterval = 10 * time.Millisecond

// Server is an HTTP server that works on pipelined requests at the same time.
type Server struct {
	// http serves the connections that were handed over.
	http     *linger.Server
	handOver *handOverListener
	logger   *log.Logger
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	closing  bool
	pending  pending
	// sentAhead holds a token for each request of all connections that may be worked on beside an earlier one
	// of its connection; nil sets no limit.
	sentAhead chan struct{}
	// answers bounds the memory of all responses that are held; nil sets no limit.
	answers *membudget.Budget
}

// Limit bounds what the requests of all connections may take together: the requests that are worked on
// beside an earlier one of their connection, and the memory of responses that wait for their turn. It must be called
// before Serve.
func (s *Server) Limit(sentAhead int, answers *membudget.Budget) {
	s.sentAhead = make(chan struct{}, sentAhead)
	for range sentAhead {
		s.sentAhead <- struct{}{}
	}
	s.answers = answers
}

// NewServer returns a server that uses the handler and the limits of s, and s itself for the
// connections that are handed over. Those of them that linger after an answer to an unread body
// count in inFlight, which may be nil. It wraps the ConnState of s.
func NewServer(s *http.Server, inFlight *atomic.Int64, logger *log.Logger) *Server {
	server := &Server{http: linger.NewServer(s, inFlight), handOver: newHandOverListener(), logger: logger, conns: make(map[*conn]struct{})}
	inner := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if inner != nil {
			inner(c, state)
		}
		if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = wrapped.NetConn()
		}
		server.pending.connState(c, state)
	}
	return server
}

// Serve accepts connections until the server is shut down or closed; it then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if !s.setListener(l) {
		l.Close()
		return http.ErrServerClosed
	}
	handedOver := make(chan error, 1)
	go func() { handedOver <- s.http.Serve(s.handOver) }()
	for {
		nc, err := l.Accept()
		if err == nil {
			s.start(nc)
			continue
		}
		if s.isClosing() {
			return http.ErrServerClosed
		}
		if temporary, ok := err.(interface{ Temporary() bool }); ok && temporary.Temporary() {
			// The process has no free file descriptors, for example.
			time.Sleep(pollInterval)
			continue
		}
		return errors.CombineErrors(err, s.Close())
	}
}

func (s *Server) setListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listener = l
	return true
}

func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.closing {
		c.beginClose()
	}
	go c.serve()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// beginClose stops the acceptance of connections and makes every connection close as soon as
// the requests that it has received are answered.
func (s *Server) beginClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if s.listener != nil {
		s.listener.Close()
	}
	s.http.SetKeepAlivesEnabled(false)
	for c := range s.conns {
		c.beginClose()
	}
}

// Shutdown stops the acceptance of connections, waits until all requests that were received
// are answered, and closes the connections. It returns the error of ctx if that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.beginClose()
	for s.openConns() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return s.http.Shutdown(ctx)
}

// openConns returns the number of connections that have not been closed or handed over.
func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections at once.
func (s *Server) Close() error {
	s.beginClose()
	s.mu.Lock()
	for c := range s.conns {
		c.net.Close()
	}
	s.mu.Unlock()
	return s.http.Close()
}

// handOverListener is the net.Listener from which http.Server accepts the connections that
// are handed over to it.
type handOverListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newHandOverListener() *handOverListener {
	return &handOverListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// put hands a connection over and returns true. When the listener is closed, it closes the
// connection and returns false.
func (l *handOverListener) put(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		c.Close()
		return false
	}
}

// Accept implements net.Listener.
func (l *handOverListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handOverListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener. The connections come from the listener of Serve.
func (l *handOverListener) Addr() net.Addr { return &net.TCPAddr{} }
