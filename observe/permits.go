package observe

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/ejection"
	"github.com/jackdawlane/jackdawlane/membership"
)

// permitWatchTime is how long the stored permits of a service are checked after the last
// candidate, release or held permit. The checks repeat a failed removal and undo a write
// that takes effect late.
const permitWatchTime = 20 * time.Second

// permitUpdates is the state of the updates of the permits of one service in the store.
type permitUpdates struct {
	// updateMu keeps updates of the coordinator from overlapping.
	updateMu sync.Mutex
	// The fields below belong to the goroutine of Run.
	updateRunning   bool
	watchUntil      time.Duration
	pendingReleases []string
	lastError       string
}

func (p *permitUpdates) release(id string) {
	if !slices.Contains(p.pendingReleases, id) {
		p.pendingReleases = append(p.pendingReleases, id)
	}
}

func (m *Monitor) newCoordinator(name string) *ejection.Coordinator {
	holder := fmt.Sprintf("%s/%d", m.config.NodeID, m.config.Incarnation)
	return ejection.NewCoordinator(name, holder, m.config.Store, m.config.Clock, rand.Text, m.config.Times)
}

// ejectionInForce reports whether the ejection of a backend server is in force now. Any
// goroutine may call it.
func (m *Monitor) ejectionInForce(s *service, backendID string) bool {
	return s.coordinator.Ejected(backendID, m.readyBackends(s.name), m.config.Floor(s.name))
}

// readyBackends returns the ready backend servers of a service in the current view,
// including ejected ones.
func (m *Monitor) readyBackends(name string) []string {
	var ids []string
	for _, b := range m.config.View().Backends(name) {
		if b.State == membership.StateReady {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// candidates returns the backend servers of a service that should be ejected, sorted.
func (m *Monitor) candidates(now time.Duration, s *service) []string {
	var ids []string
	for id, b := range m.backends {
		if b.service == s && b.ready && m.detector.Assess(now, id).EjectionCandidate {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// updatePermits starts to request, renew and release the permits of a service in the
// background, unless an update is running or none has been needed for permitWatchTime.
func (m *Monitor) updatePermits(ctx context.Context, now time.Duration, s *service) {
	for _, id := range s.coordinator.RecoveredBackendIDs() {
		s.permits.release(id)
	}
	candidates := m.candidates(now, s)
	if len(candidates)+len(s.permits.pendingReleases)+len(s.coordinator.HeldBackendIDs()) > 0 {
		s.permits.watchUntil = now + permitWatchTime
	}
	if s.permits.updateRunning || m.stopping || now >= s.permits.watchUntil {
		return
	}
	releases := s.permits.pendingReleases
	s.permits.updateRunning, s.permits.pendingReleases = true, nil
	go func() {
		err := m.applyPermitUpdates(ctx, s, releases, candidates)
		m.post(func(now time.Duration) {
			s.permits.updateRunning = false
			m.logPermitError(s, err)
			m.publish(now)
		})
	}()
}

// applyPermitUpdates tries every permit update of a service and returns the last error.
// Updates that failed are repeated in a later cycle.
func (m *Monitor) applyPermitUpdates(ctx context.Context, s *service, releases, candidates []string) error {
	s.permits.updateMu.Lock()
	defer s.permits.updateMu.Unlock()
	c := s.coordinator
	var failed error
	for _, id := range releases {
		if err := c.Release(ctx, id); err != nil && !errors.Is(err, ejection.ErrNoPermit) {
			failed = err
		}
	}
	if err := c.Refresh(ctx); err != nil {
		failed = err
	}
	held := c.HeldBackendIDs()
	for _, id := range candidates {
		if slices.Contains(held, id) || slices.Contains(releases, id) {
			continue
		}
		if err := c.Eject(ctx, id, m.readyBackends(s.name), m.config.Floor(s.name)); err != nil {
			failed = errors.Wrap(err, id)
		}
	}
	return failed
}

// logPermitError counts an error of a permit update and logs it unless the previous
// update had the same error.
func (m *Monitor) logPermitError(s *service, err error) {
	text := ""
	if err != nil {
		text = err.Error()
		m.config.Metrics.Add("observe.permit_errors", 1)
	}
	if text != "" && text != s.permits.lastError {
		m.config.Logger.Warn("permits not updated", "service", s.name, "err", text)
	}
	s.permits.lastError = text
}

// Release removes the permits of this node before a planned stop and ends their renewal.
// A permit that is not removed before ctx ends lapses by itself.
func (m *Monitor) Release(ctx context.Context) {
	holding := make(chan []*service, 1)
	posted := m.post(func(time.Duration) {
		m.stopping = true
		var held []*service
		for _, s := range m.services {
			if len(s.coordinator.HeldBackendIDs()) > 0 {
				held = append(held, s)
			}
		}
		holding <- held
	})
	if !posted {
		return
	}
	for _, s := range <-holding {
		if err := m.applyPermitUpdates(ctx, s, s.coordinator.HeldBackendIDs(), nil); err != nil {
			m.config.Logger.Warn("permits not released; they lapse", "service", s.name, "err", err.Error())
		}
	}
}
