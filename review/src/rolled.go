package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drainBound   = 2500 * time.Millisecond
	contactBound = 4 * time.Second
	// lateness is how late the last heartbeat of the leaving backend arrives.
	lateness = 2500 * time.Millisecond
	// servesOn is how long the leaving backend goes on after its notice was acknowledged.
	servesOn = 9 * time.Second
)

// rolledWhileLeaving: a backend leaves while its node is stopped and started again as planned, and a
// heartbeat from before arrives late.
func rolledWhileLeaving(c *cluster) (verdict, error) {
	c.store.configure(7, map[string]route{
		"book": {host: "book.example", prefix: "/book/", kind: "non_idempotent", service: "booking", timeout: 8, target: 3},
	}, "booking", "portal")
	all := &runs{}
	var nodes []*node
	var backends []*backend
	for i, service := range []string{"portal", "booking", "booking"} {
		n, err := c.newNode(fmt.Sprintf("node-%d", i+1), service)
		if err != nil {
			return verdict{}, err
		}
		b, err := newBackend(n, all, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return verdict{}, err
		}
		b.work = 400 * time.Millisecond
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		go b.beats()
		nodes, backends = append(nodes, n), append(backends, b)
	}
	for _, n := range nodes {
		if err := waitReady(n, 15*time.Second); err != nil {
			return verdict{}, err
		}
	}
	if err := waitServed(nodes[0].outbound, http.MethodPost, "book.example", "/book/warm", 15*time.Second); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var lost atomic.Int64
	group.Go(func() { requests(c, nodes[0].outbound, stop, &group, &lost) })
	time.Sleep(3 * time.Second)

	leaving, machine := backends[1], nodes[1]
	if c.trouble {
		c.rec.line("the platform sends SIGTERM to %s (planned stop and start)", machine.name)
		machine.signal(syscall.SIGTERM)
	}
	time.Sleep(1900 * time.Millisecond)
	leaving.quiet.Store(true)
	time.Sleep(100 * time.Millisecond)
	late := leaving.heartbeat("ready")
	c.rec.line("backend i-2 sends a heartbeat that is delayed on its way")
	sentAt := time.Now()
	if !leaving.leave() {
		return verdict{}, fmt.Errorf("the notice of leaving got no acknowledgement")
	}
	acknowledged := time.Now()
	c.rec.line("node-2 acknowledges that backend i-2 has left; the backend serves on for %s", servesOn)
	inTouch := acknowledged
	if c.trouble {
		<-machine.ended
		c.rec.line("node-2 has ended")
		time.Sleep(200 * time.Millisecond)
		if err := machine.start(); err != nil {
			return verdict{}, err
		}
		inTouch = time.Now().Add(contactBound)
	}
	time.Sleep(time.Until(sentAt.Add(lateness)))
	ok := leaving.send(late)
	c.rec.line("the delayed heartbeat arrives %.1f s late, acknowledged: %v", time.Since(sentAt).Seconds(), ok)
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	before := lost.Load()
	leaving.end()
	c.rec.line("backend i-2 ends")
	time.Sleep(time.Second)
	close(stop)
	group.Wait()

	after := 0
	var first, last time.Duration
	for _, r := range all.list() {
		since := r.at.Sub(acknowledged)
		if r.backend != leaving.id || since <= drainBound || r.at.Before(inTouch) {
			continue
		}
		if after == 0 {
			first = since
		}
		after, last = after+1, since
	}
	text := fmt.Sprintf("%d requests reached backend i-2 later than drain_s after the acknowledgement that it had left, with all machines in touch", after)
	if after > 0 {
		text += fmt.Sprintf("; the first %.1f s, the last %.1f s after it", first.Seconds(), last.Seconds())
	}
	text += fmt.Sprintf("; when it ended, %d bookings in progress were lost (502)", lost.Load()-before)
	return verdict{broken: after > 0, text: text}, nil
}

// requests sends ten bookings a second until stop is closed.
func requests(c *cluster, address string, stop chan struct{}, group *sync.WaitGroup, lost *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		group.Go(func() {
			id := newID("book")
			a := ask(address, http.MethodPost, "book.example", "/book/order", id, 5*time.Second)
			c.rec.line("client: %s gets %v", id, a)
			if a.status == http.StatusBadGateway {
				lost.Add(1)
			}
		})
	}
}
