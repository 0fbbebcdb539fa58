package guard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
)

const (
	// queuePerSlot bounds the queue of a backend server.
	queuePerSlot = 4
	// maxQueueWait leaves time to try another backend server.
	maxQueueWait = 200 * time.Millisecond
)

// slots is the built-in Admission: as many dispatches as announced slots and a
// short first-in-first-out queue for each backend server.
type slots struct {
	mu      sync.Mutex
	servers map[string]*slotQueue
}

type slotQueue struct {
	limit   int
	running int
	waiting []chan struct{}
}

func newSlots() *slots { return &slots{servers: make(map[string]*slotQueue)} }

// Admit implements Admission.
func (s *slots) Admit(ctx context.Context, w Work, limit int) (func(), hop.Reason) {
	release := func() { s.release(w.BackendID) }
	turn, ok := s.enter(w.BackendID, limit)
	if !ok {
		return nil, hop.ReasonFull
	}
	if turn == nil {
		return release, ""
	}
	timer := time.NewTimer(maxQueueWait)
	defer timer.Stop()
	reason := hop.ReasonFull
	select {
	case <-turn:
		return release, ""
	case <-ctx.Done():
		reason = reasonOf(ctx)
	case <-timer.C:
	}
	if !s.abandon(w.BackendID, turn) {
		// The slot was handed over at the same moment.
		release()
	}
	return nil, reason
}

// Load implements Admission.
func (s *slots) Load(id string) (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.servers[id]
	if !ok {
		return 0, 0
	}
	return q.running + len(q.waiting), q.limit
}

// enter takes a slot, or returns a channel that is closed when one is handed over.
func (s *slots) enter(id string, limit int) (turn chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, found := s.servers[id]
	if !found {
		q = &slotQueue{}
		s.servers[id] = q
	}
	q.limit = limit
	if q.running < limit && len(q.waiting) == 0 {
		q.running++
		return nil, true
	}
	if len(q.waiting) >= limit*queuePerSlot {
		return nil, false
	}
	turn = make(chan struct{})
	q.waiting = append(q.waiting, turn)
	return turn, true
}

func (s *slots) abandon(id string, turn chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.servers[id]
	i := slices.Index(q.waiting, turn)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

func (s *slots) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.servers[id]
	q.running--
	for q.running < q.limit && len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
	if q.running == 0 && len(q.waiting) == 0 {
		delete(s.servers, id)
	}
}
