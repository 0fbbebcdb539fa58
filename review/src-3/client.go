package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client, on a connection of its own.
type request struct {
	id, method, path string
	body             int
	// leave is when the client closes its connection; 0 means that it waits for the answer.
	leave time.Duration
	// closedAt is when it did, zero if it did not.
	closedAt time.Time
	status   int
}

const (
	host     = "jepu9.example"
	deadline = 8 * time.Second
)

// send sends a request to a node and waits for the answer, or closes the connection before.
func (r *request) send(n *node) {
	c, err := net.DialTimeout("tcp", n.traffic, time.Second)
	if err != nil {
		n.f.note("%s: no connection for %s", n.name, r.id)
		return
	}
	defer c.Close()
	began := time.Now()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, host, r.id, deadline.Milliseconds())
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	if _, err := io.WriteString(c, head+"\r\n"+strings.Repeat("x", r.body)); err != nil {
		n.f.note("%s: %s could not be sent", n.name, r.id)
		return
	}
	limit := deadline
	if r.leave > 0 {
		limit = r.leave
	}
	_ = c.SetReadDeadline(began.Add(limit))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		c.Close()
		r.closedAt = time.Now()
		n.f.note("%s: client of %s (%d bytes) leaves after %d ms", n.name, r.id, r.body, time.Since(began).Milliseconds())
		return
	}
	r.status = res.StatusCode
	n.f.note("%s: %s (%d bytes) is answered %d after %d ms", n.name, r.id, r.body, r.status, time.Since(began).Milliseconds())
}

// pipelined is a kept connection on which requests are sent behind one with a long answer.
type pipelined struct {
	name     string
	behind   int
	answered map[string]bool
}

func (p *pipelined) behindID(i int) string { return fmt.Sprintf("%s-behind-%d", p.name, i) }

func getRequest(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, host, id, deadline.Milliseconds())
}

// send sends one request, and after its answer the long one and those behind it. It reads answers until the
// connection ends.
func (p *pipelined) send(n *node) {
	p.answered = make(map[string]bool)
	c, err := net.DialTimeout("tcp", n.traffic, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(deadline + 2*time.Second))
	reader := bufio.NewReader(c)
	_, _ = io.WriteString(c, getRequest("/record/1", p.name+"-first"))
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	text := getRequest("/lesson/1", p.name+"-long")
	for i := range p.behind {
		text += getRequest("/record/1", p.behindID(i))
	}
	_, _ = io.WriteString(c, text)
	for {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			n.f.note("%s: connection %s ends: %s", n.name, p.name, err)
			return
		}
		id := res.Header.Get("Request-Id")
		p.answered[id] = true
		length, err := io.Copy(io.Discard, res.Body)
		n.f.note("%s: connection %s gets %d for %s, %d bytes, %v", n.name, p.name, res.StatusCode, id, length, err)
		if err != nil || id == p.behindID(p.behind-1) {
			return
		}
	}
}
