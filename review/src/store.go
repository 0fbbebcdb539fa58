package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store with its history.
type object struct {
	kind, name string
	revision   uint64
	created    uint64
	spec       any
	deleted    bool
}

func (o object) encode() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": nil,
	}
}

// store is a stand-in of the platform's metadata store. It is linearizable and keeps its whole
// history.
type store struct {
	address  string
	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	history  []object
	changed  chan struct{}
	// silentNow is set during an outage.
	silentNow bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 500, objects: make(map[string]object), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// silence begins an outage in which the store does not answer. A call that arrives during it never gets
// an answer, and its connection returns nothing further. Watches that wait go on afterwards.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentNow = true
}

func (s *store) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentNow = false
}

// put creates or replaces an object, as the operator does.
func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, spec)
}

// set stores an object. The caller holds s.mu.
func (s *store) set(kind, name string, spec any) object {
	key := kind + "/" + name
	old, ok := s.objects[key]
	if ok && reflect.DeepEqual(old.spec, spec) {
		return old
	}
	s.revision++
	o := object{kind: kind, name: name, revision: s.revision, created: s.revision, spec: spec}
	if ok {
		o.created = old.created
	}
	s.objects[key] = o
	s.add(o)
	return o
}

func (s *store) add(o object) {
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	silent := s.silentNow
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	var sent struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec any `json:"spec"`
	}
	_ = json.Unmarshal(body, &sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = sent.Metadata.Name
	}
	old, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old.encode())
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, map[string]any{})
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.revision:
		reply(w, http.StatusConflict, old.encode())
	case r.Method == http.MethodDelete:
		delete(s.objects, kind+"/"+name)
		s.revision++
		old.revision, old.deleted = s.revision, true
		s.add(old)
		reply(w, http.StatusOK, old.encode())
	default:
		reply(w, http.StatusOK, s.set(kind, name, sent.Spec).encode())
	}
}

// read serves one object, the objects of a kind, or the changes after a revision.
func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	if after, err := strconv.ParseUint(query.Get("watch"), 10, 64); err == nil && name == "" {
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.watch(w, r, kind, after, time.Duration(wait)*time.Millisecond)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.objects[kind+"/"+name]
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, o.encode())
		return
	}
	items := []any{}
	var all []object
	for _, o := range s.objects {
		if o.kind == kind {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b object) int { return strings.Compare(a.name, b.name) })
	for _, o := range all {
		items = append(items, o.encode())
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []any{}
		for _, o := range s.history {
			if o.kind == kind && o.revision > after {
				events = append(events, map[string]any{"object": o.encode(), "tombstone": o.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// route is a route of the operator's configuration.
type route struct {
	host, prefix, kind, service string
	timeout, target             float64
}

// configure writes a version of the operator's configuration.
func (s *store) configure(version uint64, routes map[string]route, services ...string) {
	tables, names := map[string]any{}, map[string]any{}
	for name, r := range routes {
		tables[name] = map[string]any{
			"host": r.host, "path_prefix": r.prefix, "route_type": r.kind, "timeout_s": r.timeout,
			"target_latency_s": r.target, "priority": 1, "service": r.service, "max_attempts": 2,
		}
	}
	for _, name := range services {
		names[name] = map[string]any{"health_path": "/healthz", "max_connections": 330, "protocol": "h1", "tls": false}
	}
	s.put("config", "main", map[string]any{
		"version": hex8(version), "routes": tables, "services": names,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
}

func hex8(v uint64) string {
	text := strconv.FormatUint(v, 16)
	return strings.Repeat("0", 8-len(text)) + text
}
