package backend

import (
	"context"
	"slices"

	"github.com/jackdawlane/jackdawlane/membership"
)

// acquireSlot waits for a slot. It returns false if the work is shed or the context ends before a
// slot is granted.
func (s *Server) acquireSlot(ctx context.Context) bool {
	granted := s.enqueue()
	if granted == nil {
		return false
	}
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		return s.cancelWait(granted)
	}
}

// enqueue adds work to the queue. It returns a channel that is closed once the work has a slot,
// or nil if the work is shed.
func (s *Server) enqueue() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.State == membership.StateLeaving {
		s.stats.LateWork++
		s.stats.Shed++
		return nil
	}
	if s.stats.Running >= s.settings.Slots && len(s.waiting) >= s.settings.Queue {
		s.stats.Shed++
		return nil
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.grantSlots()
	return granted
}

// cancelWait removes work from the queue. It returns true if the work got its slot before that.
func (s *Server) cancelWait(granted chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, granted)
	if i < 0 {
		return true
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	s.stats.Cancelled++
	return false
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	s.stats.Done++
	s.grantSlots()
}

// grantSlots gives free slots to waiting work, in the order of arrival. The caller holds the mutex.
func (s *Server) grantSlots() {
	for len(s.waiting) > 0 && s.stats.Running < s.settings.Slots {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.stats.Running++
		s.stats.MaxRunning = max(s.stats.MaxRunning, s.stats.Running)
	}
}

func (s *Server) countRun(id string) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *Server) countCancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Cancelled++
}
