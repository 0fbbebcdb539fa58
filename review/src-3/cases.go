package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// orderWork is the time that an order takes.
const orderWork = 290 * time.Millisecond

// servers is the number of backend servers of the service that orders go to. One of them that crashes or leaves is
// within the share that the pages name.
const servers = 7

// addOrderDesk adds a VM whose clients send the orders, and the VMs of the service. The backend server of the last
// one is not started.
func (f *fixture) addOrderDesk() (entry, last *node, err error) {
	if entry, err = f.addNode("sidecar-howrah-a-1", "pattern-shop"); err != nil {
		return nil, nil, err
	}
	for i := range servers {
		if last, err = f.addNode(fmt.Sprintf("sidecar-howrah-a-%d", 2+i), "order-desk"); err != nil {
			return nil, nil, err
		}
	}
	f.configure(7, map[string]routeSpec{
		"r-1": {Host: host, PathPrefix: "/order/", RouteType: "non_idempotent", TimeoutS: 8, TargetLatencyS: 3, Priority: 1, Service: "order-desk", MaxAttempts: 2},
	}, "pattern-shop", "order-desk")
	for _, n := range f.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return nil, nil, err
		}
	}
	for i, n := range f.nodes[1:servers] {
		if _, err := startBackend(n, fmt.Sprintf("i-other-%d", i), "order-desk", time.Now().UnixMilli(), orderWork); err != nil {
			return nil, nil, err
		}
	}
	return entry, last, nil
}

// playGone lets clients leave whose uploads wait for a free slot.
func playGone(f *fixture) (verdict, error) {
	const (
		rounds = 5
		late   = 500 * time.Millisecond
		few    = 5
		// large is more than an entry holds of a body, small is less.
		large, small = 100_000, 1200
	)
	entry, err := f.addNode("sidecar-howrah-a-1", "pattern-shop")
	if err != nil {
		return verdict{}, err
	}
	target, err := f.addNode("sidecar-howrah-a-2", "order-desk")
	if err != nil {
		return verdict{}, err
	}
	f.configure(7, map[string]routeSpec{
		"r-1": {Host: host, PathPrefix: "/view/", RouteType: "idempotent", TimeoutS: 10, TargetLatencyS: 6, Priority: 1, Service: "order-desk", MaxAttempts: 2},
	}, "pattern-shop", "order-desk")
	for _, n := range f.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	b, err := startBackend(target, "i-1", "order-desk", time.Now().UnixMilli(), 2*time.Second)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	leaveAfter := 400 * time.Millisecond
	if !f.trouble {
		leaveAfter = 0
	}
	var all []*request
	var wait sync.WaitGroup
	send := func(r *request) {
		all = append(all, r)
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.send(entry)
		}()
	}
	for round := range rounds {
		for i := range slots {
			send(&request{id: fmt.Sprintf("stays-%d-%d", round, i), method: http.MethodPut, path: "/view/1", body: small})
		}
		time.Sleep(400 * time.Millisecond)
		// Four of the twenty clients of a round leave.
		for i := range 3 {
			send(&request{id: fmt.Sprintf("waits-%d-%d", round, i), method: http.MethodPut, path: "/view/1", body: small})
			send(&request{id: fmt.Sprintf("large-%d-%d", round, i), method: http.MethodPut, path: "/view/1", body: large, leave: leaveAfter})
		}
		send(&request{id: fmt.Sprintf("small-%d", round), method: http.MethodPut, path: "/view/1", body: small, leave: leaveAfter})
		time.Sleep(3800 * time.Millisecond)
		for i := range 6 {
			send(&request{id: fmt.Sprintf("calm-%d-%d", round, i), method: http.MethodPut, path: "/view/1", body: small})
		}
		time.Sleep(2600 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(time.Second)
	left := make(map[string]*request)
	for _, r := range all {
		if !r.closedAt.IsZero() {
			left[r.id] = r
		}
	}
	reached, ran := 0, 0
	for _, a := range b.seen() {
		r := left[a.id]
		if r == nil || a.at.Sub(r.closedAt) <= late {
			continue
		}
		reached++
		if a.ran {
			ran++
		}
		f.note("%s reached its backend server %d ms after its client had left, runs %t", a.id, a.at.Sub(r.closedAt).Milliseconds(), a.ran)
	}
	return verdict{fmt.Sprintf("%d requests, %d clients left, %d of these requests reached a backend server over half a second later, %d ran", len(all), len(left), reached, ran), reached <= few}, nil
}

// leave makes a backend server leave as the pages say: it reports that it drains, goes on for drain_s and a little
// longer, says that it is gone, and exits. It returns the time of the first acknowledgement.
func (b *backend) leave() (acknowledged time.Time, ok bool) {
	acknowledged, ok = b.drain(4 * time.Second)
	b.node.f.note("acknowledged: %t", ok)
	time.Sleep(drainTime + 1500*time.Millisecond)
	b.node.f.note("%s: %s says that it is gone: %d", b.node.name, b.instance, b.node.announceCall(http.MethodDelete, b.instance, nil))
	b.crash()
	return acknowledged, ok
}

// sendOrders makes clients of a VM send forty orders a second until end is called, which returns them.
func (f *fixture) sendOrders(n *node) (end func() []*request) {
	stop := make(chan struct{})
	var orders []*request
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			r := &request{id: fmt.Sprintf("order-%d", i), method: http.MethodPost, path: "/order/1", body: 1200}
			orders = append(orders, r)
			wait.Add(1)
			go func() {
				defer wait.Done()
				r.send(n)
			}()
		}
	}()
	return func() []*request {
		close(stop)
		wait.Wait()
		return orders
	}
}

// drainVerdict counts the requests that reached a backend server later than drain_s after the acknowledgement
// that it leaves, and the orders whose run its exit cut off.
func drainVerdict(b *backend, orders []*request, acknowledged time.Time, ok bool) verdict {
	late, cut := 0, 0
	ran := make(map[string]bool)
	for _, a := range b.seen() {
		ran[a.id] = a.ran
		if ok && a.at.Sub(acknowledged) > drainTime {
			late++
		}
	}
	for _, r := range orders {
		if ran[r.id] && r.status != http.StatusOK {
			cut++
		}
	}
	return verdict{fmt.Sprintf("acknowledged %t; %d requests reached the backend server, %d of them later than drain_s after the acknowledgement that it leaves; its exit cut off %d orders that it had begun", ok, len(b.seen()), late, cut), late == 0}
}

// playStaleLeave lets a backend server leave whose latest start has an earlier time than the one before.
func playStaleLeave(f *fixture) (verdict, error) {
	entry, target, err := f.addOrderDesk()
	if err != nil {
		return verdict{}, err
	}
	now := func() int64 { return time.Now().UnixMilli() }
	ahead := int64(0)
	if f.trouble {
		ahead = 2400
	}
	first, err := startBackend(target, "i-1", "order-desk", now()+ahead, orderWork)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(beatInterval + 400*time.Millisecond)
	first.crash()
	time.Sleep(200 * time.Millisecond)
	second, err := startBackend(target, "i-1", "order-desk", now(), orderWork)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4500 * time.Millisecond)
	end := f.sendOrders(entry)
	time.Sleep(500 * time.Millisecond)
	acknowledged, ok := second.leave()
	return drainVerdict(second, end(), acknowledged, ok), nil
}
