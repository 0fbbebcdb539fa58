package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The link of a client takes windowBytes in each roundTrip.
const (
	windowBytes = 32 << 10
	roundTrip   = 16 * time.Millisecond
)

// pipelining is a client that keeps a connection and sends each request before the answer to the one before it has
// arrived. It ends when an answer says that the connection closes, and when all is answered that it had the time to send.
type pipelining struct {
	name string
	// sent is the number of requests that were sent.
	sent int
	// whole holds the IDs of the requests whose answer has arrived whole.
	whole map[string]bool
	// ending says how the connection ended; empty if the client closed it.
	ending string
}

func (p *pipelining) id(i int) string { return fmt.Sprintf("%s-%d", p.name, i) }

// dialClient opens a connection with a small receive buffer.
func dialClient(n *node) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return d.Dial("tcp", n.traffic)
}

func (p *pipelining) sendNext(c net.Conn) {
	id := p.id(p.sent)
	p.sent++
	_, _ = fmt.Fprintf(c, "GET /lesson/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nConnection: keep-alive\r\n\r\n", host, id, deadline.Milliseconds())
}

// readBody reads a body at the rate of the client's link and returns its length.
func readBody(body io.Reader) (length int64, err error) {
	for {
		n, err := io.CopyN(io.Discard, body, windowBytes)
		length += n
		if err == io.EOF {
			return length, nil
		}
		if err != nil {
			return length, err
		}
		time.Sleep(roundTrip)
	}
}

// run sends requests until the given time, each one ahead of the answer that it waits for.
func (p *pipelining) run(n *node, until time.Time) {
	p.whole = make(map[string]bool)
	c, err := dialClient(n)
	if err != nil {
		n.f.note("%s: no connection for %s", n.name, p.name)
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	p.sendNext(c)
	for answered := 0; answered < p.sent; answered++ {
		if time.Now().Before(until) {
			p.sendNext(c)
		}
		_ = c.SetReadDeadline(time.Now().Add(deadline + time.Second))
		id := p.id(answered)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			p.ending = fmt.Sprintf("before the answer to %s", id)
			n.f.note("%s: the connection of %s ends %s: %s", n.name, p.name, p.ending, err)
			return
		}
		length, err := readBody(res.Body)
		n.f.note("%s: %s gets %d, %d bytes of %d, connection closes %t, %v", n.name, id, res.StatusCode, length, res.ContentLength, res.Close, err)
		if err != nil {
			p.ending = fmt.Sprintf("within the answer to %s, after %d bytes of %d", id, length, res.ContentLength)
			return
		}
		p.whole[id] = true
		if res.Close {
			return
		}
	}
}

// playStopped stops a node, as planned, whose clients send each request before the answer to the one before it has
// arrived.
func playStopped(f *fixture) (verdict, error) {
	const (
		clients     = 8
		sounds      = 5
		work        = 250 * time.Millisecond
		answerBytes = 300_000
		// sending is how long the clients send; the stop begins within it.
		sending    = 8 * time.Second
		beforeStop = 1500 * time.Millisecond
	)
	entry, err := f.addNode("sidecar-fukuoka-a-1", "record-hall")
	if err != nil {
		return verdict{}, err
	}
	for i := range sounds {
		if _, err := f.addNode(fmt.Sprintf("sidecar-fukuoka-a-%d", 2+i), "lesson-desk"); err != nil {
			return verdict{}, err
		}
	}
	f.configure(7, map[string]routeSpec{
		"r-1": {Host: host, PathPrefix: "/lesson/", RouteType: "idempotent", TimeoutS: 8, TargetLatencyS: 5, Priority: 1, Service: "lesson-desk", MaxAttempts: 2},
	}, "record-hall", "lesson-desk")
	for _, n := range f.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	var backends []*backend
	for i, n := range f.nodes[1:] {
		b, err := startBackend(n, fmt.Sprintf("i-%d", 1+i), "lesson-desk", time.Now().UnixMilli(), work)
		if err != nil {
			return verdict{}, err
		}
		b.answerBytes = answerBytes
		backends = append(backends, b)
	}
	time.Sleep(5 * time.Second)
	var all []*pipelining
	var wait sync.WaitGroup
	until := time.Now().Add(sending)
	for i := range clients {
		p := &pipelining{name: fmt.Sprintf("c%d", i)}
		all = append(all, p)
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.run(entry, until)
		}()
	}
	time.Sleep(beforeStop)
	if f.trouble {
		_ = entry.process.Process.Signal(syscall.SIGTERM)
		f.note("%s: SIGTERM", entry.name)
	}
	wait.Wait()
	ran := make(map[string]bool)
	for _, b := range backends {
		for _, a := range b.seen() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	whole, lost := 0, 0
	for _, p := range all {
		whole += len(p.whole)
		for i := range p.sent {
			if id := p.id(i); ran[id] && !p.whole[id] {
				lost++
				f.note("%s ran at a sound backend server and has no whole answer; the connection ended %s", id, p.ending)
			}
		}
	}
	if whole == 0 {
		return verdict{}, errCannotRun
	}
	return verdict{fmt.Sprintf("%d requests have a whole answer; %d that a sound backend server had run have none", whole, lost), lost == 0}, nil
}
