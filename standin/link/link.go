// Package link is a TCP relay with adjustable faults for each direction.
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

// ErrLink marks a relay that cannot accept connections.
var ErrLink = errors.New("link cannot accept connections")

const (
	chunkBytes = 32 << 10
	// chunksInFlight bounds what a delayed direction holds.
	chunksInFlight = 1024
	maxAdminBytes  = 4 << 10
)

// Direction holds the faults of one direction.
type Direction struct {
	// Cut drops all bytes while connections stay open. A connection that has
	// lost bytes stays cut, since its stream would no longer be whole.
	Cut bool `json:"cut"`
	// DelayMS delays each byte, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Faults of a relay.
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
}

// New returns a relay to target.
func New(target string) *Relay {
	return &Relay{target: target, conns: make(map[*net.TCPConn]struct{})}
}

// Set replaces the faults.
func (l *Relay) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the faults.
func (l *Relay) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Reset closes every connection with a TCP reset.
func (l *Relay) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// Serve relays connections from listener until it is closed. It returns ErrLink.
func (l *Relay) Serve(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		if err != nil {
			return errors.Mark(err, ErrLink)
		}
		go l.relay(c.(*net.TCPConn))
	}
}

func (l *Relay) relay(client *net.TCPConn) {
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
	wg.Go(func() { l.pump(target, client, func(f Faults) Direction { return f.ToTarget }) })
	wg.Go(func() { l.pump(client, target, func(f Faults) Direction { return f.ToClient }) })
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

type chunk struct {
	data []byte
	due  time.Time
}

// pump forwards one direction until its end. A cut direction loses the end too.
func (l *Relay) pump(to, from *net.TCPConn, direction func(Faults) Direction) {
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
		cut = cut || d.Cut
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

// write sends chunks when they are due; one without data ends the direction.
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

// ServeHTTP serves the faults on /link (GET, PUT) and resets connections on POST /reset.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /link", l.serveFaults)
	mux.HandleFunc("PUT /link", l.serveSet)
	mux.HandleFunc("POST /reset", func(http.ResponseWriter, *http.Request) { l.Reset() })
	mux.ServeHTTP(w, r)
}

func (l *Relay) serveFaults(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(l.Faults())
}

func (l *Relay) serveSet(w http.ResponseWriter, r *http.Request) {
	var f Faults
	body := http.MaxBytesReader(w, r.Body, maxAdminBytes)
	if err := json.NewDecoder(body).Decode(&f); err != nil && err != io.EOF {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(f)
	l.serveFaults(w, r)
}
