package observe

import (
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/health"
)

// LocalMonitor assesses the backend servers of a guard by their own results only. It
// needs no baseline from other nodes and removes no capacity: non-idempotent requests go
// to another backend server while one can take them, and idempotent requests re-test the
// suspected one. It is safe for concurrent use.
type LocalMonitor struct {
	clock       func() time.Duration
	mu          sync.Mutex
	backends    map[string]*backendEstimate
	failedCalls health.FailedCalls
}

type backendEstimate struct {
	estimator *health.FailureEstimator
	retested  time.Duration
}

// RecordFailedCall records the failure of a call that one of the backend servers made.
func (m *LocalMonitor) RecordFailedCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failedCalls.Record(m.clock())
}

// NewLocalMonitor returns a monitor that has no results yet. The clock returns the time
// since an arbitrary start.
func NewLocalMonitor(clock func() time.Duration) *LocalMonitor {
	return &LocalMonitor{
		clock:    clock,
		backends: make(map[string]*backendEstimate),
	}
}

func (m *LocalMonitor) estimate(id string, now time.Duration) *backendEstimate {
	b := m.backends[id]
	if b == nil {
		b = &backendEstimate{estimator: health.NewFailureEstimator(health.DefaultFailureModel, now)}
		m.backends[id] = b
	}
	return b
}

// Observe implements guard.HealthMonitor.
func (m *LocalMonitor) Observe(d guard.DispatchReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if d.Result == guard.Shed || m.causedByFailedCall(now, d) {
		return
	}
	m.estimate(d.BackendID, now).estimator.Observe(now, d.Result == guard.Failed)
}

// causedByFailedCall reports whether the failure of a dispatch is attributed to a failed
// request that the backend server may have sent in the meantime.
func (m *LocalMonitor) causedByFailedCall(now time.Duration, d guard.DispatchReport) bool {
	return d.Result == guard.Failed && d.Answered && m.failedCalls.MatchFailure(now-d.Latency, now)
}

// Reset discards the results of a backend server, for example because another process
// has replaced it.
func (m *LocalMonitor) Reset(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.backends, id)
}

// FailureProbability implements guard.HealthMonitor.
func (m *LocalMonitor) FailureProbability(id string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	return m.estimate(id, now).estimator.FailureProbability(now)
}

// Health implements guard.HealthMonitor.
func (m *LocalMonitor) Health(id string) guard.Health {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if m.estimate(id, now).estimator.Suspect(now) {
		return guard.Suspect
	}
	return guard.Healthy
}

// AnnouncedHealth implements guard.HealthMonitor. It always returns guard.Healthy, because
// the health changes every few seconds, too often to be announced to the other nodes.
func (m *LocalMonitor) AnnouncedHealth(string) guard.Health { return guard.Healthy }

// AdmitRetest implements guard.HealthMonitor.
func (m *LocalMonitor) AdmitRetest(id string, idempotent bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	b := m.estimate(id, now)
	if !idempotent || now-b.retested < b.estimator.RetestGap() {
		return false
	}
	b.retested = now
	return true
}

// RetestIn implements guard.HealthMonitor.
func (m *LocalMonitor) RetestIn(id string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	b := m.estimate(id, now)
	return max(0, b.retested+b.estimator.RetestGap()-now)
}
