package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["other-service"] = otherService }

// otherService: a heartbeat of another writer, without zone, version and warmup_left_s, names the id of a
// backend and another service. No backend may be used because of it.
func otherService() {
	_, nodes, backends := startFleet("wuno96b", "wuno96b", "huvo11a", "huvo11a")
	clients := startLoad(nodes, 3, "/proof/one", 100*time.Millisecond)
	time.Sleep(4 * time.Second)
	victim := backends[0]
	if trouble {
		status := sendBeat(victim.node, victim.id, map[string]any{
			"service": "huvo11a", "address": victim.node.backend, "capacity": 4, "state": "ready",
			"sequence": 1, "born": time.Now().UnixMilli(),
		})
		log.note("another writer: PUT /v1/instances/%s at %s, service huvo11a, without zone, version and warmup_left_s: answered %d", victim.id, victim.node.id, status)
	}
	time.Sleep(8 * time.Second)
	clients.end()
	var wrong []string
	for _, b := range backends {
		for _, a := range b.runs() {
			if b.node.service != "huvo11a" && strings.HasPrefix(a.path, "/proof/") {
				wrong = append(wrong, a.id)
				log.note("wrong service: %s %s was run by %s of %s; its client got %v", a.id, a.path, b.id, b.node.service, clients.given[a.id])
			}
		}
	}
	if clients.served() == 0 {
		cannotRun(fmt.Errorf("no request was served"))
	}
	verdict(len(wrong) > 0, "%d of %d requests on the route to huvo11a were run by a backend of wuno96b", len(wrong), len(clients.sent))
}
