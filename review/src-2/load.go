package main

import (
	"fmt"
	"sync"
	"time"
)

// configuration has a route to each of two services.
const configuration = `{"version":"00000007","routes":{
"r-book":{"host":"hulo84.example","path_prefix":"/book/","route_type":"non_idempotent","timeout_s":6,"target_latency_s":3,"priority":1,"service":"wuno96b","max_attempts":2},
"r-look":{"host":"hulo84.example","path_prefix":"/look/","route_type":"idempotent","timeout_s":6,"target_latency_s":3,"priority":1,"service":"wuno96b","max_attempts":2},
"r-proof":{"host":"hulo84.example","path_prefix":"/proof/","route_type":"non_idempotent","timeout_s":6,"target_latency_s":3,"priority":1,"service":"huvo11a","max_attempts":2}},
"services":{"wuno96b":{"health_path":"/healthz","max_connections":390,"protocol":"h1","tls":false},"huvo11a":{"health_path":"/healthz","max_connections":390,"protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

// startFleet starts a store, and for each service a node with a backend beside it, and waits until all serve.
func startFleet(services ...string) (*store, []*node, []*backend) {
	s := newStore()
	s.putConfiguration(configuration)
	var all []*node
	var backends []*backend
	for i, service := range services {
		n := newNode(s, fmt.Sprintf("sidecar-north-%d", i+1), "north", service)
		n.start()
		b := newBackend(n, fmt.Sprintf("i-%08x", 0xa0+i+1))
		b.start()
		all, backends = append(all, n), append(backends, b)
	}
	for i, n := range all {
		if !n.awaitReady(10 * time.Second) {
			cannotRun(fmt.Errorf("%s isn't ready", n.id))
		}
		backends[i].keepBeating()
	}
	time.Sleep(5 * time.Second)
	return s, all, backends
}

// load are clients that send one request after the other.
type load struct {
	mu    sync.Mutex
	sent  map[string]time.Time
	given map[string]result
	stop  chan struct{}
	group sync.WaitGroup
}

// startLoad starts clients at each node that send POST to path, with a pause between two requests.
func startLoad(nodes []*node, clients int, path string, pause time.Duration) *load {
	l := &load{sent: map[string]time.Time{}, given: map[string]result{}, stop: make(chan struct{})}
	for _, n := range nodes {
		for range clients {
			l.group.Go(func() {
				for {
					select {
					case <-l.stop:
						return
					case <-time.After(pause):
					}
					id := newID()
					l.mu.Lock()
					l.sent[id] = time.Now()
					l.mu.Unlock()
					r := n.request("POST", "hulo84.example", path, id, 6*time.Second, nil, []byte("a booking"))
					l.mu.Lock()
					l.given[id] = r
					l.mu.Unlock()
					log.note("client of %s: POST %s %s: %v", n.id, path, id, r)
				}
			})
		}
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.group.Wait()
}

// served is the number of requests that were answered with success.
func (l *load) served() int {
	n := 0
	for _, r := range l.given {
		if r.status == 200 && r.failed == "" {
			n++
		}
	}
	return n
}
