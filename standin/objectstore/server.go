// Package objectstore implements a stand-in for the platform's object store, for tests and trials.
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

// MaxWait bounds the time that one watch waits for a change.
const MaxWait = time.Minute

type object struct {
	value []byte
	etag  string
}

// Server holds objects in memory. It is an http.Handler, safe for concurrent use.
type Server struct {
	callsPerSecond int

	mu           sync.Mutex
	objects      map[string]object
	version      uint64
	changed      chan struct{} // closed and replaced at each change of objects or faults
	faults       Faults
	staleObjects map[string]object // objects that watches see while StaleWatches is on
	counters     Counters
	windowStart  time.Time // start of the second whose calls are counted
	windowCalls  int       // calls since windowStart
}

// New returns an empty store that accepts callsPerSecond calls in a second; 0 means no limit.
func New(callsPerSecond int) *Server {
	return &Server{callsPerSecond: callsPerSecond, objects: make(map[string]object), changed: make(chan struct{})}
}

// ServeHTTP serves the object store protocol under /objects/, and the faults and counters under /admin/.
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
	s.delayOrAbort(r)
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

// admit counts a call in the current second and returns false if the call is over the rate limit.
func (s *Server) admit(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		s.windowCalls = 0
	}
	s.windowCalls++
	if s.callsPerSecond > 0 && s.windowCalls > s.callsPerSecond {
		s.counters.Limited++
		return false
	}
	return true
}

func (s *Server) list(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	s.counters.Reads++
	entries := []store.ListEntry{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, store.ListEntry{Key: key, ETag: s.objects[key].etag})
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
	writeObject(w, o, ok, r.Header.Get("If-None-Match"))
}

// writeObject answers a read with the object, with 404 if it does not exist, or with 304 if its ETag
// is knownETag.
func writeObject(w http.ResponseWriter, o object, ok bool, knownETag string) {
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", o.etag)
	if o.etag == knownETag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.value)
}

// watch answers as soon as the ETag of the object differs from If-None-Match, or at the end of the wait.
// Without If-None-Match it waits until the object exists.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, key string) {
	seconds, err := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil || seconds < 0 {
		http.Error(w, "query parameter wait is not a non-negative number of seconds", http.StatusBadRequest)
		return
	}
	knownETag := r.Header.Get("If-None-Match")
	timer := time.NewTimer(min(time.Duration(seconds)*time.Second, MaxWait))
	defer timer.Stop()
	s.count(func(c *Counters) { c.Watches++ })
	for {
		o, ok, changed := s.watchedObject(key)
		if ok && o.etag != knownETag || !ok && knownETag != "" {
			writeObject(w, o, ok, knownETag)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeObject(w, o, ok, knownETag)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// watchedObject returns the object as a watch sees it, and a channel that is closed at the next change.
// It breaks the connection if the store is down.
func (s *Server) watchedObject(key string) (object, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortIfDown()
	objects := s.objects
	if s.faults.StaleWatches {
		objects = s.staleObjects
	}
	o, ok := objects[key]
	return o, ok, s.changed
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "request body could not be read", http.StatusBadRequest)
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

// apply makes a write and returns the new ETag and the HTTP status. If the answer is to be lost, it breaks
// the connection after the write.
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
	s.wakeWatches()
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

// wakeWatches wakes the waiting watches, so that they look at the object again. The caller holds the mutex.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
