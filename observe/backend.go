package observe

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawlane/jackdawlane/ejection"
	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/health"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// minAnnounceInterval is the minimum time between two changes of the announced health of a
	// backend server, since each change spreads to the whole fleet.
	minAnnounceInterval = 5 * time.Second
	// minSuspicionTime is how long a suspicion must last before it is announced. Most
	// suspicions of healthy backend servers end within a few seconds.
	minSuspicionTime = 10 * time.Second
	// serviceExpiry is the time after which the state of a service that this node neither
	// guards nor aggregates is dropped.
	serviceExpiry = time.Minute
)

// backend is a backend server that announces itself to this node.
type backend struct {
	service      *service
	ready        bool
	suspect      bool
	suspectSince time.Duration
	ejected      bool
	announced    guard.Health
	announcedAt  time.Duration
	retests      *retests
}

// service is a service for which this node is a guard or the aggregator. Its fields belong
// to the goroutine of Run, except name, coordinator and the mutex permits.updateMu, which
// any goroutine may use.
type service struct {
	name           string
	coordinator    *ejection.Coordinator
	permits        permitUpdates
	aggregator     *health.Aggregator
	lastUsed       time.Duration
	lastReport     time.Duration
	reportInFlight bool
}

func (m *Monitor) service(now time.Duration, name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{
			name:        name,
			coordinator: m.newCoordinator(name),
			aggregator:  health.NewAggregator(),
			lastReport:  now - health.ReportInterval,
		}
		m.services[name] = s
	}
	s.lastUsed = now
	return s
}

// syncBackends updates the set of backend servers that announce themselves to this node
// and drops services that are no longer used.
func (m *Monitor) syncBackends(now time.Duration) {
	present := make(map[string]membership.Backend)
	for _, b := range m.config.Backends() {
		present[b.ID] = b
		m.backend(now, b.ID, b.Service).ready = b.State == membership.StateReady
	}
	for id, b := range m.backends {
		if _, ok := present[id]; !ok {
			m.detector.Forget(id)
			delete(m.backends, id)
			b.service.permits.release(id)
		}
	}
	maps.DeleteFunc(m.services, func(_ string, s *service) bool {
		return now-s.lastUsed > serviceExpiry && len(s.coordinator.HeldBackendIDs()) == 0
	})
}

func (m *Monitor) backend(now time.Duration, id, serviceName string) *backend {
	s := m.service(now, serviceName)
	b := m.backends[id]
	if b == nil {
		b = &backend{service: s, announced: guard.Healthy, announcedAt: now - minAnnounceInterval, retests: newRetests(now)}
		m.backends[id] = b
	}
	return b
}

var healthResults = map[guard.Result]health.Result{guard.OK: health.OK, guard.Failed: health.Failed, guard.Shed: health.Shed}

// handleDispatch passes a finished dispatch to the detector and, unless it was shed, to the
// coordinator, which uses it to detect the recovery of an ejected backend server.
func (m *Monitor) handleDispatch(d dispatch) {
	b := m.backend(d.at, d.BackendID, d.Service)
	result := healthResults[d.Result]
	good := m.detector.Observe(d.at, d.BackendID, d.Service, d.Route, result, d.Latency)
	if result != health.Shed {
		b.service.coordinator.Observe(d.BackendID, good)
	}
	if m.detector.Assess(d.at, d.BackendID).Suspect != b.suspect {
		m.publish(d.at)
	}
}

// publish replaces the states from which requests read the health of backend servers.
func (m *Monitor) publish(now time.Duration) {
	next := make(states)
	for id, b := range m.backends {
		m.assess(now, id, b)
		hasPermit := slices.Contains(b.service.coordinator.HeldBackendIDs(), id)
		if !b.suspect && !hasPermit && b.announced == guard.Healthy {
			continue
		}
		s := state{suspect: b.suspect, announced: b.announced, retests: b.retests}
		if hasPermit {
			s.permitService = b.service
		}
		next[id] = s
	}
	m.states.Store(&next)
}

// assess updates the suspicion, the ejection and the announced health of a backend
// server, and logs changes of the suspicion and the ejection.
func (m *Monitor) assess(now time.Duration, id string, b *backend) {
	assessment := m.detector.Assess(now, id)
	if assessment.Suspect != b.suspect {
		b.suspect, b.suspectSince = assessment.Suspect, now
		m.config.Logger.Info("suspicion changed", "backend_server", id, "suspect", assessment.Suspect, "failure", assessment.Failure, "slowness", assessment.Slowness)
		if assessment.Suspect {
			m.config.Metrics.Add("observe.suspected", 1)
		}
	}
	if ejected := m.ejectionInForce(b.service, id); ejected != b.ejected {
		b.ejected = ejected
		m.config.Logger.Warn("ejection changed", "backend_server", id, "ejected", ejected)
		if ejected {
			m.config.Metrics.Add("observe.ejected", 1)
		}
	}
	if h := b.healthToAnnounce(now); h != b.announced && now-b.announcedAt >= minAnnounceInterval {
		b.announced, b.announcedAt = h, now
	}
}

func (b *backend) healthToAnnounce(now time.Duration) guard.Health {
	switch {
	case b.ejected:
		return guard.Ejected
	case b.suspect && now-b.suspectSince >= minSuspicionTime:
		return guard.Suspect
	}
	return guard.Healthy
}

// unhealthy returns the health of every backend server that is not healthy.
func (m *Monitor) unhealthy() map[string]guard.Health {
	all := make(map[string]guard.Health)
	for id := range *m.states.Load() {
		if h := m.Health(id); h != guard.Healthy {
			all[id] = h
		}
	}
	return all
}
