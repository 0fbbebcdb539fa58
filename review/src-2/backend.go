package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a backend began to work on.
type arrival struct {
	at                                time.Time
	id, backend, method, path, caller string
	body                              int
	header                            http.Header
}

// backend is a stand-in of an application backend.
type backend struct {
	node     *node
	id       string
	born     int64
	capacity int
	work     time.Duration
	// answer, if set, writes the answer.
	answer func(b *backend, w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	sequence int
	running  int
	arrivals []arrival
	server   *http.Server
	stopBeat context.CancelFunc
	gone     bool
}

func newBackend(n *node, id string) *backend {
	return &backend{node: n, id: id, born: time.Now().UnixMilli(), capacity: 4, work: 200 * time.Millisecond}
}

func (b *backend) start() {
	l, err := net.Listen("tcp", b.node.backend)
	if err != nil {
		cannotRun(err)
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go b.server.Serve(l)
	log.note("backend %s: started at %s", b.id, b.node.id)
}

// end ends the backend as the end of its process does: all its connections close.
func (b *backend) end() {
	b.mu.Lock()
	b.gone = true
	b.mu.Unlock()
	if b.stopBeat != nil {
		b.stopBeat()
	}
	b.server.Close()
	log.note("backend %s: its process ended", b.id)
}

func (b *backend) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Instance-Id", b.id)
	w.WriteHeader(status)
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	switch {
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(400)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != b.id:
		b.refuse(w, r, 421)
		return
	}
	deadline, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		deadline = 10000
	}
	b.mu.Lock()
	if b.running >= b.capacity+8 {
		b.mu.Unlock()
		b.refuse(w, r, 503)
		return
	}
	b.running++
	b.arrivals = append(b.arrivals, arrival{at: time.Now(), id: id, backend: b.id, method: r.Method, path: r.URL.RequestURI(), caller: r.Header.Get("Caller-Service"), header: r.Header.Clone()})
	mine := len(b.arrivals) - 1
	running := b.running
	b.mu.Unlock()
	if b.answer == nil {
		log.note("backend %s: runs %s (%s %s)", b.id, id, r.Method, r.URL.RequestURI())
	} else {
		log.note("backend %s: runs %s", b.id, id)
	}
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	b.arrivals[mine].body = len(body)
	b.mu.Unlock()
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", running, b.capacity))
	if b.answer != nil {
		b.answer(b, w, r, body)
		return
	}
	select {
	case <-time.After(min(b.work, time.Duration(deadline)*time.Millisecond)):
	case <-r.Context().Done():
		log.note("backend %s: drops %s, its connection closed", b.id, id)
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Signature", "sig-"+b.id+"-"+id)
	fmt.Fprintf(w, "%s ran %s\n", b.id, id)
}

// runs returns the arrivals.
func (b *backend) runs() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

// beat sends one heartbeat and returns the status of its answer; 0 means none.
func (b *backend) beat(state string) int {
	b.mu.Lock()
	b.sequence++
	sequence := b.sequence
	b.mu.Unlock()
	return sendBeat(b.node, b.id, map[string]any{
		"service": b.node.service, "address": b.node.backend, "zone": b.node.region + "-a", "version": "v1", "capacity": b.capacity,
		"state": state, "warmup_left_s": 0, "sequence": sequence, "born": b.born,
	})
}

func sendBeat(n *node, id string, fields map[string]any) int {
	data, _ := json.Marshal(fields)
	return call(n, http.MethodPut, id, data)
}

func (b *backend) leave() int { return call(b.node, http.MethodDelete, b.id, nil) }

func call(n *node, method, id string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+n.announce+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		cannotRun(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// keepBeating sends a heartbeat every 1.5 s until stopBeat.
func (b *backend) keepBeating() {
	ctx, cancel := context.WithCancel(context.Background())
	b.stopBeat = cancel
	go func() {
		for ctx.Err() == nil {
			if b.beat("ready") != 200 {
				select {
				case <-time.After(300 * time.Millisecond):
				case <-ctx.Done():
				}
				continue
			}
			select {
			case <-time.After(1500 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
}
