// Package backend is a stand-in backend server for tests, with adjustable faults.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request headers that the stand-in obeys.
const (
	// HeaderWorkID names the work whose runs are counted.
	HeaderWorkID = "X-Work-Id"
	// HeaderServiceMS replaces the service time, in milliseconds.
	HeaderServiceMS = "X-Service-Ms"
)

// maxAdminBytes bounds the body of a change of settings.
const maxAdminBytes = 64 << 10

// Stats counts what a stand-in did.
type Stats struct {
	Running     int `json:"running"`
	MaxRunning  int `json:"max_running"`
	Connections int `json:"connections"`
	Done        int `json:"done"`
	Shed        int `json:"shed"`
	Cancelled   int `json:"cancelled"`
	// LateWork counts work that arrived while leaving.
	LateWork int `json:"late_work"`
}

// Server is a stand-in backend server.
type Server struct {
	mu       sync.Mutex
	settings Settings
	stats    Stats
	waiting  []chan struct{}
	runs     map[string]int
	random   *rand.Rand
	start    time.Time
	changed  chan struct{}
}

// New returns a stand-in whose random choices follow from seed.
func New(s Settings, seed uint64) *Server {
	return &Server{
		settings: s,
		runs:     make(map[string]int),
		random:   rand.New(rand.NewPCG(seed, seed)),
		start:    time.Now(),
		changed:  make(chan struct{}),
	}
}

// Settings returns the current settings.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Change applies f to the settings. An announcer reports the change at once.
func (s *Server) Change(f func(*Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.settings)
	s.grant()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Runs returns how often each work ID has run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// HTTPServer returns a server that keeps to the connection limit.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: s, ConnState: s.connState}
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.stats.Connections++
		if s.stats.Connections > s.settings.Connections {
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.stats.Connections--
	}
}

// ServeHTTP serves /healthz, /runs, /stats and /admin/settings; every other path is work.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		io.WriteString(w, "ok\n")
	case "/runs":
		writeJSON(w, s.Runs())
	case "/stats":
		writeJSON(w, s.Stats())
	case "/admin/settings":
		s.serveSettings(w, r)
	default:
		s.serveWork(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// serveSettings returns the settings; PUT changes those that its JSON body names.
func (s *Server) serveSettings(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
		next := s.Settings()
		if err == nil {
			err = json.Unmarshal(body, &next)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Change(func(c *Settings) { *c = next })
	}
	writeJSON(w, s.Settings())
}

// plan holds the random choices for one piece of work.
type plan struct {
	service          time.Duration
	fail, cut, close bool
}

func (s *Server) plan(r *http.Request) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.settings
	age := time.Since(s.start)
	ms := c.ServiceMS * s.random.ExpFloat64()
	if s.chance(c.StragglerShare) {
		ms *= c.StragglerFactor
	}
	if asked, err := strconv.ParseFloat(r.Header.Get(HeaderServiceMS), 64); err == nil {
		ms = asked
	}
	p := plan{service: milliseconds(ms * c.coldFactor(age))}
	if !c.faulty(age) {
		return p
	}
	p.fail = s.chance(c.FailShare)
	p.cut = s.chance(c.CutShare)
	p.close = s.chance(c.CloseShare)
	if s.chance(c.DelayShare) {
		p.service += milliseconds(c.DelayMS)
	}
	return p
}

func (s *Server) chance(share float64) bool { return s.random.Float64() < share }

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := workContext(r)
	defer cancel()
	if !s.enter(ctx) {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.countRun(r.Header.Get(HeaderWorkID))
	p := s.plan(r)
	if !sleep(ctx, p.service) {
		s.countCancelled()
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return
	}
	answer(w, r, body, p)
}

// workContext ends with the caller's interest or the deadline in Request-Timeout.
func workContext(r *http.Request) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func answer(w http.ResponseWriter, r *http.Request, body []byte, p plan) {
	if p.close {
		panic(http.ErrAbortHandler)
	}
	if p.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s done %d\n%s", r.Method, r.Header.Get(HeaderWorkID), len(body), body)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if !p.cut {
		io.WriteString(w, text)
		return
	}
	io.WriteString(w, text[:len(text)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
