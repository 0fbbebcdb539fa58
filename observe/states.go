package observe

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/health"
)

// state is the published health of one backend server that is not healthy.
type state struct {
	suspect bool
	// permitService is the service of the backend server if this node holds or has
	// requested a permit for its ejection, otherwise nil.
	permitService *service
	announced     guard.Health
	retests       *retests
}

// states is immutable and holds every backend server that is not healthy.
type states map[string]state

// Health implements guard.HealthMonitor. An ejection is checked here against the
// clock, so that a process that was paused does not enforce a permit that has lapsed.
func (m *Monitor) Health(backendID string) guard.Health {
	s, ok := (*m.states.Load())[backendID]
	switch {
	case ok && s.permitService != nil && m.ejectionInForce(s.permitService, backendID):
		return guard.Ejected
	case ok && s.suspect:
		return guard.Suspect
	}
	return guard.Healthy
}

// FailureProbability implements guard.HealthMonitor.
func (m *Monitor) FailureProbability(backendID string) float64 {
	if m.Health(backendID) == guard.Healthy {
		return 0
	}
	return 1
}

// AnnouncedHealth implements guard.HealthMonitor.
func (m *Monitor) AnnouncedHealth(backendID string) guard.Health {
	s, ok := (*m.states.Load())[backendID]
	if !ok || s.announced == guard.Ejected && m.Health(backendID) != guard.Ejected {
		return guard.Healthy
	}
	return s.announced
}

// AdmitRetest implements guard.HealthMonitor.
func (m *Monitor) AdmitRetest(backendID string, idempotent bool) bool {
	s, ok := (*m.states.Load())[backendID]
	return ok && s.retests.admit(m.config.Clock(), idempotent)
}

// RetestIn implements guard.HealthMonitor. Re-tests are admitted at random times.
func (m *Monitor) RetestIn(string) time.Duration { return 0 }

// retests limits the re-tests of one backend server.
type retests struct {
	mu   sync.Mutex
	last time.Duration
	rng  *rand.Rand
}

func newRetests(now time.Duration) *retests {
	return &retests{last: now, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

func (r *retests) admit(now time.Duration, idempotent bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !health.AdmitRetest(now-r.last, idempotent, r.rng) {
		return false
	}
	r.last = now
	return true
}
