package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lateStore is the platform's store. It executes one write later, and never answers it.
type lateStore struct {
	inner http.Handler
	mu    sync.Mutex
	// path is that of the next replacement to execute later; empty if there is none.
	path  string
	delay time.Duration
	done  func()
}

// loseNext makes the store lose the answer to the next replacement of an object, which it executes after delay.
func (s *lateStore) loseNext(path string, delay time.Duration, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path, s.delay, s.done = path, delay, done
}

func (s *lateStore) take(r *http.Request) (delay time.Duration, done func(), lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.path == "" || r.Method != http.MethodPut || !strings.HasSuffix(r.URL.Path, s.path) {
		return 0, nil, false
	}
	s.path = ""
	return s.delay, s.done, true
}

// ServeHTTP implements http.Handler.
func (s *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay, done, lost := s.take(r)
	if !lost {
		s.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.AfterFunc(delay, func() {
		late, err := http.NewRequest(http.MethodPut, r.URL.String(), bytes.NewReader(body))
		if err == nil {
			s.inner.ServeHTTP(discard{}, late)
		}
		done()
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// discard is the http.ResponseWriter of a call that nobody waits for.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// oddEntry is an entry of another writer, with a field of another type.
const oddEntry = `{"metadata":{"name":"NAME","revision":%d},"spec":{"h":1}}`

func (f *fixture) leaveOddEntry(n *node) {
	f.store.PutRaw("jackdawlane-nodes", n.name, strings.ReplaceAll(oddEntry, "NAME", n.name))
	f.note("another writer leaves an entry with a field of another type under the name of %s", n.name)
}

// playLateWrite lets a write of a node's record take effect after the departure of its backend server was stored
// and acknowledged, before the node starts again.
func playLateWrite(f *fixture) (verdict, error) {
	return f.playForgotten(func(target *node) {
		if f.trouble {
			f.late.loseNext("/"+target.name, 4500*time.Millisecond, func() { f.note("the store executes the write that it did not answer") })
		}
		f.leaveOddEntry(target)
		time.Sleep(3 * time.Second)
	}, func(*node) {})
}

// playOddEntry lets another writer replace the record that holds the departure of a backend server, before the node
// starts again.
func playOddEntry(f *fixture) (verdict, error) {
	return f.playForgotten(func(*node) {}, func(target *node) {
		time.Sleep(300 * time.Millisecond)
		if f.trouble {
			f.leaveOddEntry(target)
		}
	})
}

// playForgotten stops and starts a node after the departure of its backend server, which goes on serving. before is
// called before the departure, after once it is acknowledged.
func (f *fixture) playForgotten(before, after func(target *node)) (verdict, error) {
	const (
		serve = 10500 * time.Millisecond
		// contact is the time after a start from which a machine is in touch.
		contact = 4 * time.Second
	)
	entry, target, err := f.addOrderDesk()
	if err != nil {
		return verdict{}, err
	}
	b, err := startBackend(target, "i-1", "order-desk", time.Now().UnixMilli(), orderWork)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(10 * time.Second)
	before(target)
	// The backend server goes on serving after its notice, and sends no further heartbeat. The one that it sent just
	// before is late.
	b.mu.Lock()
	b.quiet = true
	b.sequence++
	late := beat{Service: b.service, Address: target.backend, Zone: "howrah-a", Version: "v1", Capacity: slots, State: "ready", Sequence: b.sequence, Born: b.born}
	b.mu.Unlock()
	status := target.announceCall(http.MethodDelete, b.instance, nil)
	acknowledged := time.Now()
	f.note("%s: %s says that it is gone: %d", target.name, b.instance, status)
	if status != http.StatusOK {
		return verdict{}, errCannotRun
	}
	after(target)
	stopped := target.process
	_ = stopped.Process.Signal(syscall.SIGTERM)
	f.note("%s: SIGTERM", target.name)
	for end := time.Now().Add(graceTime); time.Now().Before(end) && stopped.Process.Signal(syscall.Signal(0)) == nil; {
		time.Sleep(20 * time.Millisecond)
	}
	f.note("%s: the process has ended", target.name)
	time.Sleep(300 * time.Millisecond)
	if err := target.start(); err != nil {
		return verdict{}, err
	}
	restarted := time.Now()
	f.note("%s: start", target.name)
	time.Sleep(1500 * time.Millisecond)
	f.note("%s: the heartbeat of before the notice arrives, %d ms late: %d", target.name, time.Since(acknowledged).Milliseconds(), target.announceCall(http.MethodPut, b.instance, late))
	end := f.sendOrders(entry)
	time.Sleep(time.Until(acknowledged.Add(serve)))
	b.crash()
	orders := end()
	reached, cut := 0, 0
	ran := make(map[string]bool)
	for _, a := range b.seen() {
		ran[a.id] = a.ran
		if a.at.Sub(acknowledged) > drainTime && a.at.Sub(restarted) > contact {
			reached++
		}
	}
	for _, r := range orders {
		if ran[r.id] && r.status != http.StatusOK {
			cut++
		}
	}
	return verdict{fmt.Sprintf("%d orders; %d reached the backend server later than drain_s after the acknowledgement that it is gone, contact_s or more after its node had started; its exit cut off %d that it had begun", len(orders), reached, cut), reached == 0}, nil
}
