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
