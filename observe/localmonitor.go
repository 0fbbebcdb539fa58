package observe

import (
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/health"
)

// LocalMonitor judges the backend servers of a guard by their own results only. It
// needs no baseline from other nodes and takes no capacity away: work that must
// not repeat goes elsewhere while another backend server can take it, and
// idempotent work re-tests. It is safe for concurrent use.
type LocalMonitor struct {
	clock    func() time.Duration
	mu       sync.Mutex
	backends map[string]*steered
	calls    health.Dependencies
}

type steered struct {
	filter   *health.FailureEstimator
	retested time.Duration
}

// CallFailed takes the failure of a call that one of the backend servers made.
func (s *LocalMonitor) CallFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.CallFailed(s.clock())
}

// NewLocalMonitor returns a judge without results. The clock returns the time since
// an arbitrary start.
func NewLocalMonitor(clock func() time.Duration) *LocalMonitor {
	return &LocalMonitor{
		clock:    clock,
		backends: make(map[string]*steered),
	}
}

func (s *LocalMonitor) get(id string, now time.Duration) *steered {
	b := s.backends[id]
	if b == nil {
		b = &steered{filter: health.NewFailureEstimator(health.DefaultFailureModel, now)}
		s.backends[id] = b
	}
	return b
}

// Observe implements guard.HealthMonitor.
func (s *LocalMonitor) Observe(d guard.DispatchReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if d.Result == guard.Shed || s.explained(now, d) {
		return
	}
	s.get(d.BackendID, now).filter.Observe(now, d.Result == guard.Failed)
}

// explained reports whether the service that a run called is to blame for its failure.
func (s *LocalMonitor) explained(now time.Duration, d guard.DispatchReport) bool {
	return d.Result == guard.Failed && d.Answered && s.calls.Explains(now-d.Latency, now)
}

// Reset forgets a backend server, for instance because another process has its place.
func (s *LocalMonitor) Reset(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.backends, id)
}

// FailureProbability implements guard.HealthMonitor.
func (s *LocalMonitor) FailureProbability(id string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	return s.get(id, now).filter.FailureProbability(now)
}

// Health implements guard.HealthMonitor.
func (s *LocalMonitor) Health(id string) guard.Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if s.get(id, now).filter.Suspect(now) {
		return guard.Suspect
	}
	return guard.Healthy
}

// AnnouncedHealth implements guard.HealthMonitor. The judgement changes every few seconds,
// too often for the directory.
func (s *LocalMonitor) AnnouncedHealth(string) guard.Health { return guard.Healthy }

// AdmitRetest implements guard.HealthMonitor.
func (s *LocalMonitor) AdmitRetest(id string, idempotent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	b := s.get(id, now)
	if !idempotent || !b.filter.RetestDue(now-b.retested) {
		return false
	}
	b.retested = now
	return true
}
