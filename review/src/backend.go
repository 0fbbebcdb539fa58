package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a backend began to work on.
type run struct {
	at                       time.Time
	backend, id, method, uri string
	caller                   string
	bodyBytes                int64
}

// runs holds the requests that the backends of a case ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// backend is a stand-in of an application backend.
type backend struct {
	node     *node
	runs     *runs
	id       string
	born     int64
	capacity int
	work     time.Duration
	sequence atomic.Int64
	state    atomic.Value
	quiet    atomic.Bool
	listener net.Listener
	// conns holds the open connections.
	conns sync.Map
	// earlyAfter is called with a request that has a long body. It returns how many bytes of the body
	// the backend reads before it rejects the request, or 0 to read all of it.
	earlyAfter func(r *http.Request) int64
	// fails is called with each request; the backend runs it and answers 500 if it returns true.
	fails func(r *http.Request) bool
	// extra is called after each complete answer; if it returns true, the backend also sends a 503
	// that belongs to no request, at the point where the next answer on the connection is expected.
	extra func() bool
}

func newBackend(n *node, all *runs, id string) (*backend, error) {
	b := &backend{node: n, runs: all, id: id, born: time.Now().UnixMilli(), capacity: 7, work: 20 * time.Millisecond}
	b.state.Store("ready")
	l, err := net.Listen("tcp", n.app)
	if err != nil {
		return nil, err
	}
	b.listener = l
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.conns.Store(c, true)
		go b.serve(c)
	}
}

// end ends the backend: it closes its listener and all of its connections.
func (b *backend) end() {
	b.listener.Close()
	b.conns.Range(func(c, _ any) bool {
		c.(net.Conn).Close()
		return true
	})
}

// beat sends a heartbeat; it reports whether the heartbeat was acknowledged.
func (b *backend) beat(state string) bool {
	return b.send(b.heartbeat(state))
}

// heartbeat returns the next heartbeat without sending it.
func (b *backend) heartbeat(state string) *http.Request {
	body, _ := json.Marshal(map[string]any{
		"service": b.node.service, "address": b.node.app, "zone": b.node.zone, "version": "v1", "capacity": b.capacity,
		"state": state, "warmup_left_s": 0, "sequence": b.sequence.Add(1), "born": b.born,
	})
	r, _ := http.NewRequest(http.MethodPut, "http://"+b.node.control+"/v1/instances/"+b.id, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	return r
}

func (b *backend) send(r *http.Request) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode < 300
}

// leave sends the notice that the backend has left.
func (b *backend) leave() bool {
	r, _ := http.NewRequest(http.MethodDelete, "http://"+b.node.control+"/v1/instances/"+b.id, nil)
	return b.send(r)
}

// beats sends heartbeats until quiet is set.
func (b *backend) beats() {
	for !b.quiet.Load() {
		b.beat(b.state.Load().(string))
		time.Sleep(500 * time.Millisecond)
	}
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	defer b.conns.Delete(c)
	reader := bufio.NewReader(c)
	extra := false
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if r.URL.Path == "/healthz" {
			b.answer(c, http.StatusOK, "", "Instance-Id: "+b.id+"\r\n", "")
			continue
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
			_, _ = io.Copy(io.Discard, r.Body)
			b.answer(c, http.StatusMisdirectedRequest, id, "Instance-Id: "+b.id+"\r\n", "")
			continue
		}
		if b.earlyAfter != nil {
			if n := b.earlyAfter(r); n > 0 {
				_, _ = io.CopyN(io.Discard, r.Body, n)
				b.node.cluster.rec.line("backend %s rejects request %s after %d bytes of its body: 503 with Not-Executed; it keeps the connection and reads on", b.id, id, n)
				b.answer(c, http.StatusServiceUnavailable, id, "Not-Executed: 1\r\nInstance-Load: 0,0,"+strconv.Itoa(b.capacity)+"\r\n", "")
				_, _ = io.Copy(io.Discard, r.Body)
				continue
			}
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		b.runs.add(run{at: time.Now(), backend: b.id, id: id, method: r.Method, uri: r.RequestURI, caller: r.Header.Get("Caller-Service"), bodyBytes: n})
		b.node.cluster.rec.line("backend %s (%s) runs request %s: %s %s, %d bytes of body, Caller-Service %s", b.id, b.node.service, id, r.Method, r.RequestURI, n, r.Header.Get("Caller-Service"))
		if extra {
			time.Sleep(10 * time.Millisecond)
			b.node.cluster.rec.line("backend %s sends a 503 that belongs to no request, while it runs request %s", b.id, id)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		time.Sleep(b.work)
		if b.fails != nil && b.fails(r) {
			b.node.cluster.rec.line("backend %s answers request %s with 500", b.id, id)
			b.answer(c, http.StatusInternalServerError, id, "Server-Signature: sig."+b.id+"."+id+"\r\nInstance-Load: 0,0,"+strconv.Itoa(b.capacity)+"\r\n", "failed\n")
			continue
		}
		b.answer(c, http.StatusOK, id, "Server-Signature: sig."+b.id+"."+id+"\r\nInstance-Load: 0,0,"+strconv.Itoa(b.capacity)+"\r\n", "done "+id+"\n")
		extra = b.extra != nil && b.extra()
	}
}

func (b *backend) answer(c net.Conn, status int, id, headers, body string) {
	if id != "" {
		headers += "Request-Id: " + id + "\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), headers, body)
}
