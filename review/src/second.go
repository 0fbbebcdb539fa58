package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// secondAnswer: after 1 of 34 complete answers, one of two backends also sends a 503 that belongs to
// no request, late.
func secondAnswer(c *cluster) (verdict, error) {
	c.store.configure(7, map[string]route{
		"book": {host: "book.example", prefix: "/book/", kind: "non_idempotent", service: "booking", timeout: 8, target: 3},
	}, "booking", "portal")
	all := &runs{}
	var nodes []*node
	var steady atomic.Bool
	for i, service := range []string{"portal", "booking", "booking"} {
		n, err := c.newNode(fmt.Sprintf("node-%d", i+1), service)
		if err != nil {
			return verdict{}, err
		}
		b, err := newBackend(n, all, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return verdict{}, err
		}
		b.work = 200 * time.Millisecond
		if i == 1 {
			var count atomic.Int64
			b.extra = func() bool { return c.trouble && steady.Load() && count.Add(1)%34 == 10 }
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
	}
	if err := waitServed(nodes[0].outbound, http.MethodPost, "book.example", "/book/warm", 15*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	steady.Store(true)
	var answers sync.Map
	var group sync.WaitGroup
	for range 400 {
		id := newID("book")
		group.Go(func() {
			a := ask(nodes[0].outbound, http.MethodPost, "book.example", "/book/order", id, 8*time.Second)
			answers.Store(id, a)
			c.rec.line("client: %s gets %v", id, a)
		})
		time.Sleep(40 * time.Millisecond)
	}
	group.Wait()
	times := make(map[string]int)
	for _, r := range all.list() {
		times[r.id]++
	}
	twice, refused := 0, 0
	for id, n := range times {
		if n > 1 {
			twice++
			c.rec.line("TWICE: request %s, which is not idempotent, ran %d times", id, n)
		}
		if a, ok := answers.Load(id); ok && a.(answer).status == http.StatusServiceUnavailable {
			refused++
			c.rec.line("REFUSED: request %s ran and was answered with 503", id)
		}
	}
	return verdict{broken: twice+refused > 0, text: fmt.Sprintf("%d bookings ran twice, %d ran and were answered with 503", twice, refused)}, nil
}
