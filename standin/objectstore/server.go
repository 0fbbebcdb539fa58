// Package objectstore is a stand-in of the platform's object store for tests and trials.
package objectstore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	store "github.com/jackdawlane/jackdawlane/objectstore"
)

// MaxWait bounds the wait of one watch.
const MaxWait = time.Minute

type object struct {
	value []byte
	etag  string
}

// Server holds objects in memory. It is an http.Handler, safe for concurrent use.
type Server struct {
	callsPerSecond int

	mu       sync.Mutex
	objects  map[string]object
	version  uint64
	changed  chan struct{} // closed and replaced at each change of objects or faults
	faults   Faults
	frozen   map[string]object // what stale watches see
	counters Counters
	window   time.Time // start of the second in which calls were counted
	calls    int       // calls in the window
}

// New returns an empty store that takes callsPerSecond calls in a second; 0 means no limit.
func New(callsPerSecond int) *Server {
	return &Server{callsPerSecond: callsPerSecond, objects: make(map[string]object), changed: make(chan struct{})}
}

// ServeHTTP serves the object store protocol under /objects/ and the switches under /admin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/admin/") {
		s.serveAdmin(w, r)
		return
	}
	key, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.delay(r)
	if !s.admit(time.Now()) {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	s.serveObject(w, r, key)
}

func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, key string) {
	switch {
	case r.Method == http.MethodGet && key == "":
		s.list(w, r.URL.Query().Get("prefix"))
	case r.Method == http.MethodGet && r.URL.Query().Has("wait"):
		s.watch(w, r, key)
	case r.Method == http.MethodGet:
		s.get(w, r, key)
	case (r.Method == http.MethodPut || r.Method == http.MethodDelete) && key != "":
		s.write(w, r, key)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// admit counts a call against the limit of the current second.
func (s *Server) admit(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.window) >= time.Second {
		s.window = now
		s.calls = 0
	}
	s.calls++
	if s.callsPerSecond > 0 && s.calls > s.callsPerSecond {
		s.counters.Limited++
		return false
	}
	return true
}

func (s *Server) list(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	s.counters.Reads++
	entries := []store.Entry{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, store.Entry{Key: key, ETag: s.objects[key].etag})
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, key string) {
	s.mu.Lock()
	s.counters.Reads++
	o, ok := s.objects[key]
	s.mu.Unlock()
	answer(w, o, ok, r.Header.Get("If-None-Match"))
}

func answer(w http.ResponseWriter, o object, ok bool, known string) {
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", o.etag)
	if o.etag == known {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.value)
}

// watch answers when the object differs from If-None-Match, or at the end of the wait.
// Without If-None-Match it waits for the object to exist.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, key string) {
	seconds, err := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil || seconds < 0 {
		http.Error(w, "wait is not a number of seconds", http.StatusBadRequest)
		return
	}
	known := r.Header.Get("If-None-Match")
	timer := time.NewTimer(min(time.Duration(seconds)*time.Second, MaxWait))
	defer timer.Stop()
	s.count(func(c *Counters) { c.Watches++ })
	for {
		o, ok, changed := s.observe(key)
		if ok && o.etag != known || !ok && known != "" {
			answer(w, o, ok, known)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, o, ok, known)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// observe returns what a watch sees. It breaks the connection while the store is down.
func (s *Server) observe(key string) (object, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortIfDown()
	objects := s.objects
	if s.faults.StaleWatches {
		objects = s.frozen
	}
	o, ok := objects[key]
	return o, ok, s.changed
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "body not read", http.StatusBadRequest)
		return
	}
	if len(value) > store.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	etag, status := s.apply(r, key, value)
	if etag != "" {
		w.Header().Set("ETag", etag)
	}
	w.WriteHeader(status)
}

// apply makes a write and returns the new ETag and the status.
// It breaks the connection after the write when its answer is to be lost.
func (s *Server) apply(r *http.Request, key string, value []byte) (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortIfDown()
	s.counters.Writes++
	o, exists := s.objects[key]
	if !conditionHolds(r.Header, o, exists) {
		return "", http.StatusPreconditionFailed
	}
	if r.Method == http.MethodDelete && !exists {
		return "", http.StatusNotFound
	}
	s.version++
	etag := ""
	if r.Method == http.MethodDelete {
		delete(s.objects, key)
	} else {
		etag = strconv.Quote(strconv.FormatUint(s.version, 10))
		s.objects[key] = object{value: value, etag: etag}
	}
	s.broadcast()
	s.loseAnswer(key)
	if etag == "" || exists {
		return etag, http.StatusOK
	}
	return etag, http.StatusCreated
}

func conditionHolds(h http.Header, o object, exists bool) bool {
	match, noneMatch := h.Get("If-Match"), h.Get("If-None-Match")
	if match != "" && (!exists || match != "*" && match != o.etag) {
		return false
	}
	return noneMatch == "" || !exists || noneMatch != "*" && noneMatch != o.etag
}

// broadcast wakes the watches. The caller holds the mutex.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
