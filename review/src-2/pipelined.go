package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pipelined"] = pipelined }

const (
	// longBytes is the size of the answers to /look/long, shortBytes that of the others.
	longBytes, shortBytes = 400_000, 5_000
	// garbled is the share of its answers that the faulty backend breaks off in a spell: one in so many.
	garbled = 50
	// spell is the length of each of the spells in which it does, one every spellEvery.
	spell, spellEvery = 5500 * time.Millisecond, 10 * time.Second
	// batch is the number of requests that a client sends ahead.
	batch = 6
)

// sent is one request of a batch.
type sent struct {
	id, path string
	// begun is set when a byte of its answer arrived, whole when all of it did.
	begun, whole bool
	status       int
}

// pipelined: clients send six lookups ahead on a kept connection. In spells, one backend of three breaks off
// one in fifty of its answers.
func pipelined() {
	maxAge = "3s"
	_, nodes, backends := startFleet("wuno96b", "wuno96b", "wuno96b", "huvo11a")
	var answers atomic.Int64
	var mu sync.Mutex
	broken := map[string]bool{}
	faulty, started := backends[0], time.Now()
	for _, b := range backends {
		b.answer = func(b *backend, w http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			id, size := r.Header.Get("Request-Id"), shortBytes
			if r.URL.Path == "/look/long" {
				size = longBytes
			}
			w.Header().Set("Request-Id", id)
			w.Header().Set("Server-Signature", "sig-"+b.id+"-"+id)
			w.Header().Set("Content-Length", fmt.Sprint(size))
			body := []byte(strings.Repeat("x", size))
			if b == faulty && trouble && time.Since(started)%spellEvery < spell && answers.Add(1)%garbled == 0 {
				mu.Lock()
				broken[id] = true
				mu.Unlock()
				log.note("backend %s: breaks off its answer to %s %s", b.id, id, r.URL.Path)
				w.Write(body[:size*2/3])
				panic(http.ErrAbortHandler)
			}
			w.Write(body)
		}
	}
	front := nodes[3]
	stop := time.Now().Add(60 * time.Second)
	var all []*sent
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			for time.Now().Before(stop) {
				c, err := net.Dial("tcp", front.traffic)
				if err != nil {
					cannotRun(err)
				}
				reader := bufio.NewReader(c)
				for whole := true; whole && time.Now().Before(stop); {
					requests := sendBatch(c)
					whole = readBatch(reader, requests)
					mu.Lock()
					all = append(all, requests...)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
				c.Close()
			}
		})
	}
	group.Wait()
	ran := map[string]string{}
	for _, b := range backends {
		for _, a := range b.runs() {
			if b != faulty {
				ran[a.id] = b.id
			}
		}
	}
	lost, served := 0, 0
	for _, s := range all {
		if s.whole {
			served++
		}
		if b := ran[s.id]; b != "" && !s.begun {
			lost++
			log.note("lost: %s %s ran at %s, which is sound, and its connection was closed without a byte of its answer", s.id, s.path, b)
		}
	}
	if served == 0 {
		cannotRun(fmt.Errorf("no request was served"))
	}
	verdict(lost > 3, "%d of %d requests from kept connections were passed on to sound backends, and their connection was closed without an answer; backend %s broke off %d answers", lost, len(all), faulty.id, len(broken))
}

// sendBatch sends the requests of a batch, of which every other one asks for a long answer.
func sendBatch(c net.Conn) []*sent {
	var requests []*sent
	text, line := "", ""
	for i := range batch {
		s := &sent{id: newID(), path: "/look/short"}
		if i%2 == 1 {
			s.path = "/look/long"
		}
		requests = append(requests, s)
		text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\n\r\n", s.path, s.id)
		line += " " + s.id
	}
	log.note("client: sends GET /look/short and /look/long in turn:%s", line)
	io.WriteString(c, text)
	return requests
}

// readBatch reads the answers, and returns false when the connection ends before.
func readBatch(reader *bufio.Reader, requests []*sent) bool {
	line := ""
	defer func() { log.note("client: is answered: %s", line) }()
	for _, s := range requests {
		if _, err := reader.Peek(1); err != nil {
			line += fmt.Sprintf("%s nothing, %v; ", s.id, err)
			return false
		}
		s.begun = true
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			line += fmt.Sprintf("%s no head, %v; ", s.id, err)
			return false
		}
		n, err := io.Copy(io.Discard, res.Body)
		s.status = res.StatusCode
		if err != nil {
			line += fmt.Sprintf("%s %d and %d bytes, then %v; ", s.id, s.status, n, err)
			return false
		}
		line += fmt.Sprintf("%s %d; ", s.id, s.status)
		s.whole = true
	}
	return true
}
