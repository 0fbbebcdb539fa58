package main

import (
	"fmt"
	"time"
)

func init() { cases["drain-forgotten"] = drainForgotten }

// drainForgotten: a heartbeat of another writer, without zone, version and warmup_left_s, names the id of a
// backend. A second later the backend says that it drains, and is acknowledged.
func drainForgotten() {
	const drain = 2500 * time.Millisecond
	_, nodes, backends := startFleet("wuno96b", "wuno96b", "huvo11a")
	clients := startLoad(nodes, 3, "/book/one", 100*time.Millisecond)
	time.Sleep(4 * time.Second)
	leaving := backends[0]
	leaving.stopBeat()
	leaving.beat("ready")
	if trouble {
		status := sendBeat(leaving.node, leaving.id, map[string]any{
			"service": "wuno96b", "address": leaving.node.backend, "capacity": 4, "state": "ready",
			"sequence": 1, "born": time.Now().UnixMilli(),
		})
		log.note("another writer: PUT /v1/instances/%s at %s without zone, version and warmup_left_s: answered %d", leaving.id, leaving.node.id, status)
	}
	time.Sleep(time.Second)
	status := 0
	for end := time.Now().Add(5 * time.Second); status != 200 && time.Now().Before(end); {
		if status = leaving.beat("draining"); status != 200 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	acknowledged := time.Now()
	log.note("backend %s: says that it drains: answered %d", leaving.id, status)
	if status != 200 {
		cannotRun(fmt.Errorf("the backend got no acknowledgement"))
	}
	// It serves for drain_s and a little longer, then its process ends.
	for time.Since(acknowledged) < drain+time.Second {
		time.Sleep(500 * time.Millisecond)
		leaving.beat("draining")
	}
	leaving.leave()
	leaving.end()
	time.Sleep(time.Second)
	clients.end()
	late, lost := 0, 0
	for _, a := range leaving.runs() {
		if a.at.Sub(acknowledged) <= drain {
			continue
		}
		late++
		r := clients.given[a.id]
		if r.status != 200 {
			lost++
		}
		log.note("late: %s reached %s %.3f s after the acknowledgement; its client got %v", a.id, a.backend, a.at.Sub(acknowledged).Seconds(), r)
	}
	if clients.served() == 0 {
		cannotRun(fmt.Errorf("no request was served"))
	}
	verdict(late > 0, "%d requests reached the backend later than %v after the acknowledgement that it drains; %d of them got no success", late, drain, lost)
}
