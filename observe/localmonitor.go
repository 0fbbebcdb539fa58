package observe

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/health"
	"github.com/jackdawlane/jackdawlane/telemetry"
)

// LocalMonitor assesses the backend servers of a guard by their own results only. It
// needs no baseline from other nodes and removes no capacity: non-idempotent requests go
// to another backend server while one can take them, and idempotent requests re-test the
// suspected one. It is safe for concurrent use.
type LocalMonitor struct {
	clock       func() time.Duration
	logger      *log.Logger
	metrics     *telemetry.Metrics
	mu          sync.Mutex
	backends    map[string]*backendEstimate
	failedCalls health.FailedCalls
}

type backendEstimate struct {
	id        string
	estimator *health.FailureEstimator
	running   *health.RunningEvidence
	retested  time.Duration
	// retestRun is the last re-test that was dispatched, if retestStarted is set since retested.
	retestRun     health.RunID
	retestStarted bool
	// logged is the assessment that was logged last.
	logged assessment
}

// RecordFailedCall records the failure of a call that one of the backend servers made.
func (m *LocalMonitor) RecordFailedCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failedCalls.Record(m.clock())
}

// ReportChanges makes the monitor log each change between suspect and healthy, and count it. It must
// be called before the monitor is used.
func (m *LocalMonitor) ReportChanges(logger *log.Logger, metrics *telemetry.Metrics) {
	m.logger, m.metrics = logger, metrics
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
		b = &backendEstimate{
			id:        id,
			estimator: health.NewFailureEstimator(health.DefaultFailureModel, now),
			running:   health.NewRunningEvidence(health.DefaultFailureModel, now),
		}
		m.backends[id] = b
	}
	return b
}

// Started implements guard.HealthMonitor.
func (m *LocalMonitor) Started(d guard.DispatchStart) func(health.RunEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	b := m.estimate(d.BackendID, now)
	id := b.running.Start(now, d.Route)
	if d.Retest {
		b.retestRun, b.retestStarted = id, true
	}
	m.assess(b, now)
	return func(how health.RunEnd) {
		m.mu.Lock()
		defer m.mu.Unlock()
		now := m.clock()
		// After a Reset this is the evidence of the process that has been replaced.
		b.running.End(now, id, how)
		if m.backends[d.BackendID] == b {
			m.assess(b, now)
		}
	}
}

// CallStarted records that one of the backend servers may have sent a call, until ended is called.
func (m *LocalMonitor) CallStarted() (ended func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	calls := make(map[*health.RunningEvidence]health.CallID, len(m.backends))
	for _, b := range m.backends {
		calls[b.running] = b.running.CallStarted(now)
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		now := m.clock()
		for running, id := range calls {
			running.CallEnded(now, id)
		}
	}
}

// Observe implements guard.HealthMonitor. A request without a response is evidence for the time
// at which it started, which the running evidence takes into account.
func (m *LocalMonitor) Observe(d guard.DispatchReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	b := m.estimate(d.BackendID, now)
	if d.Result == guard.Shed || d.NoResponse && b.running.Judges(d.Route) || m.causedByFailedCall(now, d) {
		return
	}
	b.estimator.Observe(now, d.Result == guard.Failed)
	m.assess(b, now)
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
	return m.assess(m.estimate(id, now), now).probability
}

// Health implements guard.HealthMonitor.
func (m *LocalMonitor) Health(id string) guard.Health {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if m.assess(m.estimate(id, now), now).cause != notSuspect {
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
	if !idempotent || now-b.retested < b.retestGap(now) {
		return false
	}
	b.retested, b.retestStarted = now, false
	return true
}

// RetestIn implements guard.HealthMonitor.
func (m *LocalMonitor) RetestIn(id string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	b := m.estimate(id, now)
	return max(0, b.retested+b.retestGap(now)-now)
}

// retestGap returns the time from the last re-test to the next one.
func (b *backendEstimate) retestGap(now time.Duration) time.Duration {
	if !b.running.Assess(now).Suspect {
		return b.estimator.RetestGap()
	}
	return b.running.RetestGap(b.retestRun, b.retestStarted)
}
