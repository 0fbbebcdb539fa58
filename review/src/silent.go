package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	configBound = 2500 * time.Millisecond
	// silence is how long the store does not answer.
	silence = time.Second
	// watched is how long the case goes on after the last change of the configuration.
	watched = 30 * time.Second
)

// silentStore: the store is silent for a second, shortly after a change of the configuration; later
// the operator moves a route to another service.
func silentStore(c *cluster) (verdict, error) {
	routes := func(service string, timeout float64) map[string]route {
		return map[string]route{"book": {host: "book.example", prefix: "/book/", kind: "non_idempotent", service: service, timeout: timeout, target: 3}}
	}
	c.store.configure(7, routes("old-desk", 8), "old-desk", "new-desk", "portal")
	all := &runs{}
	var nodes []*node
	for i, service := range []string{"portal", "portal", "old-desk", "old-desk", "new-desk", "new-desk"} {
		n, err := c.newNode(fmt.Sprintf("node-%d", i+1), service)
		if err != nil {
			return verdict{}, err
		}
		b, err := newBackend(n, all, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return verdict{}, err
		}
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		go b.beats()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := waitReady(n, 15*time.Second); err != nil {
			return verdict{}, err
		}
		if err := waitServed(n.outbound, http.MethodPost, "book.example", "/book/warm", 15*time.Second); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)
	c.store.configure(8, routes("old-desk", 7), "old-desk", "new-desk", "portal")
	c.rec.line("the operator changes the time-out of the route: version 8")
	time.Sleep(400 * time.Millisecond)
	if c.trouble {
		c.store.silence()
		c.rec.line("the store is silent")
	}
	time.Sleep(silence)
	c.store.resume()
	stable := time.Now().Add(contactBound)
	c.rec.line("the store answers")
	time.Sleep(1500 * time.Millisecond)
	c.store.configure(9, routes("new-desk", 7), "old-desk", "new-desk", "portal")
	acknowledged := time.Now()
	c.rec.line("the operator moves the route from old-desk to new-desk: version 9")
	bound := acknowledged.Add(configBound)
	if stable.After(bound) {
		bound = stable
	}
	time.Sleep(time.Until(bound))
	var group sync.WaitGroup
	for time.Since(acknowledged) < watched {
		for _, n := range nodes {
			group.Go(func() {
				id := newID("book")
				a := ask(n.outbound, http.MethodPost, "book.example", "/book/order", id, 5*time.Second)
				c.rec.line("client at %s: %s gets %v", n.name, id, a)
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	stale := 0
	var last time.Duration
	for _, r := range all.list() {
		if r.at.After(bound) && (r.backend == "i-3" || r.backend == "i-4") {
			stale++
			last = r.at.Sub(acknowledged)
		}
	}
	return verdict{broken: stale > 0, text: fmt.Sprintf("%d bookings that were sent later than config_s after version 9 ran at old-desk, the last one %.1f s after its acknowledgement", stale, last.Seconds())}, nil
}
