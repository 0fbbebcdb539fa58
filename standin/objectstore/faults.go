package objectstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// Faults are the faults that the store simulates; with the zero value it simulates none.
type Faults struct {
	// Down breaks the connection of every call before the call takes effect.
	Down bool `json:"down"`
	// SlowMS is the time in milliseconds by which every call is delayed.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is how many of the following writes take effect but are not answered.
	LoseAnswers int `json:"lose_answers"`
	// LoseKey restricts LoseAnswers to writes of one key; empty means the writes of every key.
	LoseKey string `json:"lose_key"`
	// StaleWatches makes watches see the objects as they were when this fault was switched on.
	StaleWatches bool `json:"stale_watches"`
}

// Counters count the calls since the start of the store.
type Counters struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Limited counts the calls refused because of the rate limit; no other counter includes them.
	Limited uint64 `json:"limited"`
}

// SetFaults replaces the faults and wakes the waiting watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleWatches && !s.faults.StaleWatches {
		s.staleObjects = maps.Clone(s.objects)
	}
	s.faults = f
	s.wakeWatches()
}

// Faults returns the current faults; LoseAnswers is the number of answers that are still to be lost.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Server) count(add func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counters)
}

// delayOrAbort delays a call by SlowMS and then breaks its connection if the store is down.
func (s *Server) delayOrAbort(r *http.Request) {
	if slow := time.Duration(s.Faults().SlowMS) * time.Millisecond; slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortIfDown()
}

// abortIfDown breaks the connection of a call if the store is down. The caller holds the mutex.
func (s *Server) abortIfDown() {
	if s.faults.Down {
		panic(http.ErrAbortHandler)
	}
}

// loseAnswer breaks the connection of a write that has taken effect, if its answer is to be lost.
// The caller holds the mutex.
func (s *Server) loseAnswer(key string) {
	if s.faults.LoseAnswers > 0 && (s.faults.LoseKey == "" || s.faults.LoseKey == key) {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
}

// serveAdmin serves GET and PUT /admin/faults and GET /admin/counters as JSON.
func (s *Server) serveAdmin(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /admin/faults":
		_ = json.NewEncoder(w).Encode(s.Faults())
	case "GET /admin/counters":
		_ = json.NewEncoder(w).Encode(s.Counters())
	case "PUT /admin/faults":
		s.putFaults(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
