package backend

import (
	"context"
	"slices"

	"github.com/jackdawlane/jackdawlane/membership"
)

// enter waits for a slot. It returns false when the work is shed.
func (s *Server) enter(ctx context.Context) bool {
	turn := s.queue()
	if turn == nil {
		return false
	}
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return s.abandon(turn)
	}
}

// queue returns a channel that is closed once a slot is taken, or nil when the work is shed.
func (s *Server) queue() chan struct{} {
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
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.grant()
	return turn
}

// abandon leaves the queue. It returns true when the slot was granted meanwhile.
func (s *Server) abandon(turn chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, turn)
	if i < 0 {
		return true
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	s.stats.Cancelled++
	return false
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	s.stats.Done++
	s.grant()
}

// grant gives free slots to waiting work.
func (s *Server) grant() {
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
