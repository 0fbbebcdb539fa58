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
	grace = 6 * time.Second
	// lookupDeadline and lookupTarget are those of slot-lookup in the grown site.
	lookupDeadline = 10 * time.Second
	lookupTarget   = 4 * time.Second
	lossSlack      = 200 * time.Millisecond
)

// lookup is a request of a client and its end.
type lookup struct {
	id           string
	sent, ended  time.Time
	answer       answer
	afterSIGTERM time.Duration
}

// rolledWhileWaiting: a machine is stopped as planned while a lookup, which one backend has failed,
// waits at its node for another backend.
func rolledWhileWaiting(c *cluster) (verdict, error) {
	c.store.configure(7, map[string]route{
		"slots": {host: "slots.example", prefix: "/slots/", kind: "idempotent", service: "slots", timeout: lookupDeadline.Seconds(), target: lookupTarget.Seconds()},
	}, "slots", "portal")
	all := &runs{}
	var nodes []*node
	var backends []*backend
	var fail atomic.Bool
	for i, service := range []string{"portal", "slots", "slots"} {
		n, err := c.newNode(fmt.Sprintf("node-%d", i+1), service)
		if err != nil {
			return verdict{}, err
		}
		b, err := newBackend(n, all, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return verdict{}, err
		}
		b.work = 100 * time.Millisecond
		b.fails = func(*http.Request) bool { return fail.CompareAndSwap(true, false) }
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
	if err := waitServed(nodes[0].outbound, http.MethodGet, "slots.example", "/slots/warm", 15*time.Second); err != nil {
		return verdict{}, err
	}
	backends[2].state.Store("draining")
	c.rec.line("backend i-3 leaves as planned (draining); i-2 stays")
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var lookups []*lookup
	var group sync.WaitGroup
	send := func(terminated time.Time) {
		l := &lookup{id: newID("lookup"), sent: time.Now()}
		if !terminated.IsZero() {
			l.afterSIGTERM = l.sent.Sub(terminated)
		}
		group.Go(func() {
			l.answer = ask(nodes[0].outbound, http.MethodGet, "slots.example", "/slots/today", l.id, lookupDeadline)
			l.ended = time.Now()
			c.rec.line("client: %s gets %v after %.2f s", l.id, l.answer, l.ended.Sub(l.sent).Seconds())
			mu.Lock()
			defer mu.Unlock()
			lookups = append(lookups, l)
		})
	}
	for range 80 {
		send(time.Time{})
		time.Sleep(50 * time.Millisecond)
	}
	var terminated time.Time
	if c.trouble {
		terminated = time.Now()
		c.rec.line("the platform sends SIGTERM to node-1, with SIGKILL after %s", grace)
		nodes[0].signal(syscall.SIGTERM)
		time.AfterFunc(grace, nodes[0].kill)
	}
	time.Sleep(300 * time.Millisecond)
	fail.Store(true)
	send(terminated)
	group.Wait()
	lost := 0
	for _, l := range lookups {
		took := l.ended.Sub(l.sent)
		if l.answer.err == nil || took >= lookupDeadline-lossSlack {
			continue
		}
		lost++
		c.rec.line("LOST: %s, sent %.2f s after the SIGTERM, ends after %.2f s without an answer", l.id, l.afterSIGTERM.Seconds(), took.Seconds())
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d of %d lookups that the node had read ended without an answer, long before their deadline", lost, len(lookups))}, nil
}
