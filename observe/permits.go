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

// permitLinger is how long the permits of a service are watched after the last
// candidate, so that a removal that failed is repeated and a late write is undone.
const permitLinger = 20 * time.Second

// permits is the work on the permits of one service that needs the store.
type permits struct {
	// updating keeps updates of the coordinator from overlapping.
	updating sync.Mutex
	// The fields below belong to the goroutine of Run.
	busy     bool
	until    time.Duration
	releases []string
	refused  string
}

func (p *permits) release(id string) {
	if !slices.Contains(p.releases, id) {
		p.releases = append(p.releases, id)
	}
}

func (o *Monitor) newCoordinator(name string) *ejection.Coordinator {
	holder := fmt.Sprintf("%s/%d", o.config.NodeID, o.config.Incarnation)
	return ejection.NewCoordinator(name, holder, o.config.Store, o.config.Clock, rand.Text, o.config.Times)
}

// enforced reports whether an ejection is in force. Any goroutine may call it.
func (o *Monitor) enforced(s *service, backendID string) bool {
	return s.coordinator.Ejected(backendID, o.ready(s.name), o.config.Floor(s.name))
}

// ready returns the ready backend servers of a service in the directory, ejected ones included.
func (o *Monitor) ready(name string) []string {
	var ids []string
	for _, b := range o.config.View().Backends(name) {
		if b.State == membership.StateReady {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// candidates returns the backend servers of a service that should be ejected, sorted.
func (o *Monitor) candidates(now time.Duration, s *service) []string {
	var ids []string
	for id, b := range o.backends {
		if b.service == s && b.ready && o.judge.Assess(now, id).EjectionCandidate {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// updatePermits asks for, renews and releases the permits of a service, while
// there are any to look after.
func (o *Monitor) updatePermits(ctx context.Context, now time.Duration, s *service) {
	for _, id := range s.coordinator.Recovered() {
		s.permits.release(id)
	}
	candidates := o.candidates(now, s)
	if len(candidates)+len(s.permits.releases)+len(s.coordinator.Holds()) > 0 {
		s.permits.until = now + permitLinger
	}
	if s.permits.busy || o.stopping || now >= s.permits.until {
		return
	}
	releases := s.permits.releases
	s.permits.busy, s.permits.releases = true, nil
	go func() {
		err := o.callStore(ctx, s, releases, candidates)
		o.post(func(now time.Duration) {
			s.permits.busy = false
			o.noteRefusal(s, err)
			o.publish(now)
		})
	}()
}

// callStore returns the last error; every step is tried, and repeated in a later turn.
func (o *Monitor) callStore(ctx context.Context, s *service, releases, candidates []string) error {
	s.permits.updating.Lock()
	defer s.permits.updating.Unlock()
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
	held := c.Holds()
	for _, id := range candidates {
		if slices.Contains(held, id) || slices.Contains(releases, id) {
			continue
		}
		if err := c.Eject(ctx, id, o.ready(s.name), o.config.Floor(s.name)); err != nil {
			failed = errors.Wrap(err, id)
		}
	}
	return failed
}

// noteRefusal logs why an ejection is not possible, once for each reason.
func (o *Monitor) noteRefusal(s *service, err error) {
	text := ""
	if err != nil {
		text = err.Error()
		o.config.Metrics.Add("observe.permit_errors", 1)
	}
	if text != "" && text != s.permits.refused {
		o.config.Logger.Warn("permits not updated", "service", s.name, "err", text)
	}
	s.permits.refused = text
}

// Release removes the permits of this node for a planned stop and ends their
// renewal. What the store does not take within ctx lapses by itself.
func (o *Monitor) Release(ctx context.Context) {
	all := make(chan []*service, 1)
	asked := o.post(func(time.Duration) {
		o.stopping = true
		var held []*service
		for _, s := range o.services {
			if len(s.coordinator.Holds()) > 0 {
				held = append(held, s)
			}
		}
		all <- held
	})
	if !asked {
		return
	}
	for _, s := range <-all {
		if err := o.callStore(ctx, s, s.coordinator.Holds(), nil); err != nil {
			o.config.Logger.Warn("permits not released; they lapse", "service", s.name, "err", err.Error())
		}
	}
}
