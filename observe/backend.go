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
	// announceGap is the least time between two changes of a backend server's
	// health in the directory, since each change spreads to the whole fleet.
	announceGap = 5 * time.Second
	// announceSuspect is the age from which suspicion is announced. Most healthy
	// backend servers that are suspected are cleared within a few seconds.
	announceSuspect = 10 * time.Second
	// serviceExpiry drops a service that this node neither guards nor aggregates.
	serviceExpiry = time.Minute
)

// backend is a backend server that announces to this node.
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

// service is a service of which this node is a guard or the aggregator.
// Name, coordinator and updates may be used by any goroutine.
type service struct {
	name        string
	coordinator *ejection.Coordinator
	permits     permits
	aggregator  *health.Aggregator
	used        time.Duration
	reported    time.Duration
	reporting   bool
}

func (o *Monitor) service(now time.Duration, name string) *service {
	s := o.services[name]
	if s == nil {
		s = &service{
			name:        name,
			coordinator: o.newCoordinator(name),
			aggregator:  health.NewAggregator(),
			reported:    now - health.ReportInterval,
		}
		o.services[name] = s
	}
	s.used = now
	return s
}

// follow takes over which backend servers announce to this node.
func (o *Monitor) follow(now time.Duration) {
	present := make(map[string]membership.Backend)
	for _, b := range o.config.Backends() {
		present[b.ID] = b
		o.backend(now, b.ID, b.Service).ready = b.State == membership.StateReady
	}
	for id, b := range o.backends {
		if _, ok := present[id]; !ok {
			o.judge.Forget(id)
			delete(o.backends, id)
			b.service.permits.release(id)
		}
	}
	maps.DeleteFunc(o.services, func(_ string, s *service) bool {
		return now-s.used > serviceExpiry && len(s.coordinator.Holds()) == 0
	})
}

func (o *Monitor) backend(now time.Duration, id, serviceName string) *backend {
	s := o.service(now, serviceName)
	b := o.backends[id]
	if b == nil {
		b = &backend{service: s, announced: guard.Healthy, announcedAt: now - announceGap, retests: newRetests(now)}
		o.backends[id] = b
	}
	return b
}

var outcomes = map[guard.Result]health.Result{guard.OK: health.OK, guard.Failed: health.Failed, guard.Shed: health.Shed}

// take gives a finished dispatch to the judge and to the recovery of an ejected backend server.
func (o *Monitor) take(d dispatch) {
	b := o.backend(d.at, d.BackendID, d.Service)
	outcome := outcomes[d.Result]
	good := o.judge.Observe(d.at, d.BackendID, d.Service, d.Route, outcome, d.Latency)
	if outcome != health.Shed {
		b.service.coordinator.Observe(d.BackendID, good)
	}
	if o.judge.Assess(d.at, d.BackendID).Suspect != b.suspect {
		o.publish(d.at)
	}
}

// publish replaces the states that traffic reads.
func (o *Monitor) publish(now time.Duration) {
	next := make(states)
	for id, b := range o.backends {
		o.assess(now, id, b)
		held := slices.Contains(b.service.coordinator.Holds(), id)
		if !b.suspect && !held && b.announced == guard.Healthy {
			continue
		}
		s := state{suspect: b.suspect, announced: b.announced, retests: b.retests}
		if held {
			s.held = b.service
		}
		next[id] = s
	}
	o.states.Store(&next)
}

// assess takes over the verdict and the ejection of a backend server and logs their changes.
func (o *Monitor) assess(now time.Duration, id string, b *backend) {
	v := o.judge.Assess(now, id)
	if v.Suspect != b.suspect {
		b.suspect, b.suspectSince = v.Suspect, now
		o.config.Logger.Info("suspicion changed", "backend_server", id, "suspect", v.Suspect, "failure", v.Failure, "slowness", v.Slowness)
		if v.Suspect {
			o.config.Metrics.Add("observe.suspected", 1)
		}
	}
	if ejected := o.enforced(b.service, id); ejected != b.ejected {
		b.ejected = ejected
		o.config.Logger.Warn("ejection changed", "backend_server", id, "ejected", ejected)
		if ejected {
			o.config.Metrics.Add("observe.ejected", 1)
		}
	}
	if h := b.announcement(now); h != b.announced && now-b.announcedAt >= announceGap {
		b.announced, b.announcedAt = h, now
	}
}

func (b *backend) announcement(now time.Duration) guard.Health {
	switch {
	case b.ejected:
		return guard.Ejected
	case b.suspect && now-b.suspectSince >= announceSuspect:
		return guard.Suspect
	}
	return guard.Healthy
}

// unhealthy returns the judgement on every backend server that is not healthy.
func (o *Monitor) unhealthy() map[string]guard.Health {
	all := make(map[string]guard.Health)
	for id := range *o.states.Load() {
		if h := o.Health(id); h != guard.Healthy {
			all[id] = h
		}
	}
	return all
}
