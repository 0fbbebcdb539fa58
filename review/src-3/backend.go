package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached a backend server.
type arrival struct {
	id, caller string
	at         time.Time
	// ran is set when the backend server began to work on it, which it does once it has the whole body.
	ran, whole bool
}

// backend is one process of a backend server. It runs up to slots requests at a time and queues a few more.
type backend struct {
	node              *node
	instance, service string
	born              int64
	work              time.Duration
	server            *http.Server
	free              chan struct{}
	ended             chan struct{}
	endOnce           sync.Once
	mu                sync.Mutex
	sequence          int
	state             string
	queued            int
	// quiet is set when the backend server sends no further heartbeats.
	quiet    bool
	arrivals []*arrival
	// answerBytes is the length of an answer; with 0 the answer is a short one.
	answerBytes int
}

// startBackend starts a process at the backend server's address of a VM; it announces itself from then on.
func startBackend(n *node, instance, service string, born int64, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", n.backend)
	if err != nil {
		return nil, err
	}
	b := &backend{node: n, instance: instance, service: service, born: born, work: work, free: make(chan struct{}, slots), ended: make(chan struct{}), state: "ready"}
	for range slots {
		b.free <- struct{}{}
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	n.f.note("%s: backend server %s of %s starts, born %d", n.name, instance, service, born)
	go b.announce()
	return b, nil
}

func (b *backend) announce() {
	for {
		b.mu.Lock()
		quiet := b.quiet
		b.mu.Unlock()
		if quiet {
			return
		}
		b.sendBeat()
		select {
		case <-b.ended:
			return
		case <-time.After(beatInterval):
		}
	}
}

// sendBeat sends one heartbeat and reports whether it was acknowledged.
func (b *backend) sendBeat() bool {
	b.mu.Lock()
	b.sequence++
	body := beat{Service: b.service, Address: b.node.backend, Zone: "howrah-a", Version: "v1", Capacity: slots, State: b.state, Sequence: b.sequence, Born: b.born}
	b.mu.Unlock()
	status := b.node.announceCall(http.MethodPut, b.instance, body)
	b.node.f.note("%s: heartbeat of %s, %s, sequence %d, born %d: %d", b.node.name, b.instance, body.State, body.Sequence, body.Born, status)
	return status/100 == 2
}

// drain reports that the backend server leaves, until that is acknowledged or the time is over. It returns the
// time of the acknowledgement.
func (b *backend) drain(limit time.Duration) (time.Time, bool) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if b.sendBeat() {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// crash ends the process at once.
func (b *backend) crash() {
	b.endOnce.Do(func() { close(b.ended) })
	b.server.Close()
	b.node.f.note("%s: backend server %s ends", b.node.name, b.instance)
}

func (b *backend) reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (b *backend) load() string {
	return fmt.Sprintf("%d,%d,%d", slots-len(b.free), b.queued, slots)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", b.instance)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	expected := r.Header.Get("Expect-Instance")
	if expected != "" && expected != b.instance {
		b.reject(w, http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{id: id, caller: r.Header.Get("Caller-Service"), at: time.Now()}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	b.queued++
	b.mu.Unlock()
	length, err := io.Copy(io.Discard, r.Body)
	whole := err == nil
	started := false
	if whole {
		started = b.takeSlot(r.Context())
	}
	b.mu.Lock()
	b.queued--
	a.whole, a.ran = whole, started
	w.Header().Set("Instance-Load", b.load())
	b.mu.Unlock()
	b.node.f.note("%s: %s reaches %s, Caller-Service %s, %d bytes, whole %t, runs %t", b.node.name, id, b.instance, a.caller, length, whole, started)
	if !started {
		return
	}
	defer func() { b.free <- struct{}{} }()
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Server-Signature", "sig."+b.instance)
	if b.answerBytes == 0 {
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(b.answerBytes))
	_, _ = io.WriteString(w, strings.Repeat("x", b.answerBytes))
}

func (b *backend) takeSlot(ctx context.Context) bool {
	select {
	case <-b.free:
		return true
	case <-ctx.Done():
		return false
	}
}

// seen returns the requests that have reached the backend server.
func (b *backend) seen() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []arrival
	for _, a := range b.arrivals {
		all = append(all, *a)
	}
	return all
}
