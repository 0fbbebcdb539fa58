package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. Each node reaches it through a listener of its
// own, so that it can turn single machines away.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	kinds    map[string]map[string]*object
	events   []event
	// staleBy is how old the answers to reads with allow_stale are.
	staleBy time.Duration
	// away holds the doors that are turned away, with the status that they get.
	away map[string]int
}

type object struct {
	name              string
	revision, created uint64
	spec              json.RawMessage
}

type event struct {
	at        time.Time
	kind      string
	object    object
	tombstone bool
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 100, kinds: map[string]map[string]*object{}, away: map[string]int{}}
}

// door opens a listener for the machine of this name and returns its address.
func (s *store) door(name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) }))
	return l.Addr().String(), nil
}

// turnAway makes the store answer the calls of a machine with a status; 0 serves them again.
func (s *store) turnAway(name string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[name] = status
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) awayStatus(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away[name]
}

func (o object) encode() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": nil,
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) serve(door string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(4 * time.Millisecond)
	if status := s.awayStatus(door); status != 0 {
		w.WriteHeader(status)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	q := r.URL.Query()
	stale := time.Duration(0)
	if q.Get("allow_stale") == "1" {
		stale = s.staleBy
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, found := s.kinds[kind][name]
		s.mu.Unlock()
		if !found {
			answer(w, 404, map[string]string{"error": "no such object"})
			return
		}
		answer(w, 200, o.encode())
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(door, w, r, kind, stale)
	case r.Method == http.MethodGet:
		s.list(w, kind, q.Get("after"), stale)
	default:
		s.write(w, r.Method, kind, name, body)
	}
}

// list answers with the objects as they were some time ago.
func (s *store) list(w http.ResponseWriter, kind, after string, stale time.Duration) {
	s.mu.Lock()
	state, asOf := map[string]object{}, uint64(100)
	limit := time.Now().Add(-stale)
	for _, e := range s.events {
		if e.at.After(limit) {
			break
		}
		asOf = e.object.revision
		if e.kind != kind {
			continue
		}
		if e.tombstone {
			delete(state, e.object.name)
		} else {
			state[e.object.name] = e.object
		}
	}
	if stale == 0 {
		asOf = s.revision
	}
	s.mu.Unlock()
	items := []any{}
	names := []string{}
	for n := range state {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		items = append(items, state[n].encode())
	}
	answer(w, 200, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *store) watch(door string, w http.ResponseWriter, r *http.Request, kind string, stale time.Duration) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		if status := s.awayStatus(door); status != 0 {
			w.WriteHeader(status)
			return
		}
		s.mu.Lock()
		limit := time.Now().Add(-stale)
		found, asOf := []any{}, from
		next := time.Duration(0)
		for _, e := range s.events {
			if e.at.After(limit) {
				next = e.at.Sub(limit)
				break
			}
			asOf = max(asOf, e.object.revision)
			if e.kind == kind && e.object.revision > from {
				found = append(found, map[string]any{"tombstone": e.tombstone, "object": e.object.encode()})
			}
		}
		changed := s.changed
		s.mu.Unlock()
		left := time.Until(end)
		if len(found) > 0 || left <= 0 {
			answer(w, 200, map[string]any{"events": found, "as_of": asOf})
			return
		}
		if next > 0 {
			left = min(left, next+time.Millisecond)
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, method, kind, name string, body []byte) {
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		answer(w, 400, map[string]string{"error": "bad body"})
		return
	}
	if method == http.MethodPost {
		name = in.Metadata.Name
	}
	status, o := s.apply(method, kind, name, in.Metadata.Revision, in.Spec)
	if o == nil {
		answer(w, status, map[string]string{"error": fmt.Sprint(status)})
		return
	}
	answer(w, status, o.encode())
}

func (s *store) apply(method, kind, name string, revision uint64, spec json.RawMessage) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	old, found := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && found:
		return 409, old
	case method != http.MethodPost && !found:
		return 404, nil
	case found && revision != 0 && revision != old.revision:
		return 409, old
	case found && method == http.MethodPut && string(old.spec) == string(spec):
		return 200, old
	}
	s.revision++
	o := &object{name: name, revision: s.revision, created: s.revision, spec: spec}
	if found {
		o.created = old.created
	}
	e := event{at: time.Now(), kind: kind, object: *o}
	if method == http.MethodDelete {
		o.spec = old.spec
		e.tombstone = true
		delete(s.kinds[kind], name)
	} else {
		s.kinds[kind][name] = o
	}
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return 200, o
}

// putConfiguration writes the operator's configuration; the return is its acknowledgement.
func (s *store) putConfiguration(spec string) {
	s.mu.Lock()
	_, found := s.kinds["config"]["main"]
	s.mu.Unlock()
	method := http.MethodPost
	if found {
		method = http.MethodPut
	}
	s.apply(method, "config", "main", 0, json.RawMessage(spec))
}
