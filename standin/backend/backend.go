// Package backend implements a stand-in backend server for tests, with adjustable faults.
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

// Request headers that control how the stand-in handles a request.
const (
	// HeaderWorkID holds the ID of the work, under which its runs are counted.
	HeaderWorkID = "X-Work-Id"
	// HeaderServiceMS holds the service time in milliseconds; it replaces the one from the settings.
	HeaderServiceMS = "X-Service-Ms"
)

// ShedBody is the body of the response to work that is shed.
const ShedBody = "shed\n"

// maxAdminBytes bounds the body of a request that changes the settings.
const maxAdminBytes = 64 << 10

// Stats holds the counters of a stand-in. Running and Connections are current numbers;
// the others count since the start, MaxRunning being the highest value of Running. Done counts
// all work that released its slot, including work that was cancelled while it ran.
type Stats struct {
	Running     int `json:"running"`
	MaxRunning  int `json:"max_running"`
	Connections int `json:"connections"`
	Done        int `json:"done"`
	Shed        int `json:"shed"`
	Cancelled   int `json:"cancelled"`
	// LateWork counts work that arrived while the state was leaving; Shed includes it.
	LateWork int `json:"late_work"`
}

// Server is a stand-in backend server. Every request outside its administrative paths is a piece of work.
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

// New returns a stand-in that draws its random choices from a generator with the given seed.
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

// Change applies f to the settings and wakes the announcer, which announces the change at once.
func (s *Server) Change(f func(*Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.settings)
	s.grantSlots()
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

// HTTPServer returns a server that closes new connections beyond the limit in the settings.
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

// plan holds the service time of one piece of work and the faults that are injected into it.
type plan struct {
	service          time.Duration
	fail, cut, close bool
}

// drawPlan draws the random choices for one piece of work.
func (s *Server) drawPlan(r *http.Request) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	settings := s.settings
	age := time.Since(s.start)
	ms := settings.ServiceMS * s.random.ExpFloat64()
	if s.chance(settings.StragglerShare) {
		ms *= settings.StragglerFactor
	}
	if asked, err := strconv.ParseFloat(r.Header.Get(HeaderServiceMS), 64); err == nil {
		ms = asked
	}
	p := plan{service: milliseconds(ms * settings.coldFactor(age))}
	if !settings.faulty(age) {
		return p
	}
	p.fail = s.chance(settings.FailShare)
	p.cut = s.chance(settings.CutShare)
	p.close = s.chance(settings.CloseShare)
	if s.chance(settings.DelayShare) {
		p.service += milliseconds(settings.DelayMS)
	}
	return p
}

// chance returns true with the probability share. The caller holds the mutex.
func (s *Server) chance(share float64) bool { return s.random.Float64() < share }

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := workContext(r)
	defer cancel()
	if !s.acquireSlot(ctx) {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, ShedBody)
		return
	}
	defer s.releaseSlot()
	s.countRun(r.Header.Get(HeaderWorkID))
	p := s.drawPlan(r)
	if !sleep(ctx, p.service) || !s.awaitRelease(ctx) {
		s.countCancelled()
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return
	}
	writeResponse(w, r, body, p)
}

// workContext returns a context that ends when the caller disconnects or after the seconds in
// Request-Timeout.
func workContext(r *http.Request) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
}

// sleep waits for d and returns false if the context ends first.
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

// awaitRelease waits until the settings do not hold running work. It returns false if the context
// ends first.
func (s *Server) awaitRelease(ctx context.Context) bool {
	for {
		changed := s.nextChange()
		if !s.Settings().Hold {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func writeResponse(w http.ResponseWriter, r *http.Request, body []byte, p plan) {
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
