// Package link implements a TCP relay with adjustable faults in each direction.
package link

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrAccept marks a relay whose listener no longer accepts connections.
var ErrAccept = errors.New("link cannot accept connections")

const (
	chunkBytes = 32 << 10
	// chunksInFlight bounds the chunks that a delayed direction buffers.
	chunksInFlight = 1024
	maxAdminBytes  = 4 << 10
)

// Direction holds the faults of one direction of the relay.
type Direction struct {
	// Cut drops all bytes while connections stay open. A connection that has lost bytes stays cut
	// after Cut is switched off, because the rest of its stream would lack those bytes.
	Cut bool `json:"cut"`
	// DelayMS is the time in milliseconds by which each byte is delayed.
	DelayMS int `json:"delay_ms"`
}

// Faults are the faults of both directions of a relay.
type Faults struct {
	ToTarget Direction `json:"to_target"`
	ToClient Direction `json:"to_client"`
}

// Relay forwards connections to a target address.
type Relay struct {
	target string
	mu     sync.Mutex
	faults Faults
	conns  map[*net.TCPConn]struct{}
	// silent is closed, and replaced, to cut the connections that are open now.
	silent chan struct{}
	// toClient limits the bytes to clients; nil means no limit.
	toClient *Bandwidth
}

// NewLimited returns a relay to target whose bytes to clients share the bandwidth. It injects no faults.
func NewLimited(target string, toClient *Bandwidth) *Relay {
	l := New(target)
	l.toClient = toClient
	return l
}

// New returns a relay to target.
func New(target string) *Relay {
	return &Relay{target: target, conns: make(map[*net.TCPConn]struct{}), silent: make(chan struct{})}
}

// Set replaces the faults.
func (l *Relay) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the current faults.
func (l *Relay) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Reset closes every open connection with a TCP reset.
func (l *Relay) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// SilenceConnections cuts every open connection for good. The connections stay open, and new ones
// work.
func (l *Relay) SilenceConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.silent)
	l.silent = make(chan struct{})
}

func (l *Relay) silenced() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// Serve relays connections from listener until it is closed, and then returns ErrAccept.
func (l *Relay) Serve(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		if err != nil {
			return errors.Mark(err, ErrAccept)
		}
		go l.relayConnection(c.(*net.TCPConn))
	}
}

// relayConnection connects to the target and forwards both directions until both have ended. If the
// target cannot be reached, it resets the connection of the client.
func (l *Relay) relayConnection(client *net.TCPConn) {
	c, err := net.Dial("tcp", l.target)
	if err != nil {
		client.SetLinger(0)
		client.Close()
		return
	}
	target := c.(*net.TCPConn)
	l.track(client, target)
	defer l.untrack(client, target)
	var wg sync.WaitGroup
	silent := l.silenced()
	wg.Go(func() { l.forward(target, client, silent, func(f Faults) Direction { return f.ToTarget }) })
	wg.Go(func() {
		if l.toClient != nil {
			l.toClient.forwardLimited(client, target)
			return
		}
		l.forward(client, target, silent, func(f Faults) Direction { return f.ToClient })
	})
	wg.Wait()
}

func (l *Relay) track(conns ...*net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
}

func (l *Relay) untrack(conns ...*net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(l.conns, c)
	}
}

// chunk holds bytes and the time at which they are sent on; without bytes it stands for the end of
// the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// forward forwards the bytes and the end of one direction's stream. A cut direction drops the end as
// well; it is cut for good once silent is closed.
func (l *Relay) forward(to, from *net.TCPConn, silent <-chan struct{}, direction func(Faults) Direction) {
	chunks := make(chan chunk, chunksInFlight)
	var wg sync.WaitGroup
	wg.Go(func() { write(to, chunks) })
	defer wg.Wait()
	defer close(chunks)
	cut := false
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		d := direction(l.Faults())
		cut = cut || d.Cut || isClosed(silent)
		due := time.Now().Add(time.Duration(d.DelayMS) * time.Millisecond)
		if n > 0 && !cut {
			chunks <- chunk{data[:n], due}
		}
		if err == nil {
			continue
		}
		if !cut {
			chunks <- chunk{nil, due}
		}
		return
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// write sends each chunk when it is due; at a chunk without data it closes the direction for writing.
func write(to *net.TCPConn, chunks <-chan chunk) {
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if c.data == nil {
			to.CloseWrite()
			continue
		}
		to.Write(c.data)
	}
}

// ServeHTTP returns the faults on GET /link, replaces them on PUT /link and resets all connections
// on POST /reset.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /link", l.getFaults)
	mux.HandleFunc("PUT /link", l.putFaults)
	mux.HandleFunc("POST /reset", func(http.ResponseWriter, *http.Request) { l.Reset() })
	mux.ServeHTTP(w, r)
}

func (l *Relay) getFaults(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(l.Faults())
}

func (l *Relay) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	body := http.MaxBytesReader(w, r.Body, maxAdminBytes)
	if err := json.NewDecoder(body).Decode(&f); err != nil && err != io.EOF {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(f)
	l.getFaults(w, r)
}
