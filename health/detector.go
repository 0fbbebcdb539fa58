// Package health judges backend servers on real work against the other backend
// servers of the same service. It is pure: time is a parameter.
package health

import (
	"maps"
	"slices"
	"time"
)

// Result is the result of a piece of work that reached the backend server.
// Path faults and callers that went away are not results and must not be observed.
type Result int

// Results of work.
const (
	OK Result = iota
	Failed
	// Shed is a refusal under load. It is evidence of neither health nor failure.
	Shed
)

const (
	// settleDelay lets the baseline of the same moment arrive before work counts for ejection.
	settleDelay = 2 * time.Second
	// baselineLifetime is the age at which a baseline no longer supports ejection.
	baselineLifetime = 3 * time.Second
	// maxPending bounds the unsettled work of one backend server.
	maxPending = 1024
)

// Detector holds the evidence of one guard on its backend servers. It is not safe for concurrent use.
type Detector struct {
	services map[string]*service
	backends map[string]*backend
	advanced time.Duration
}

type service struct {
	backends map[string]*backend
	remote   map[string]*window
	merged   time.Duration
	known    bool
}

type backend struct {
	service *service
	routes  map[string]*record
	pending []observation
	// base is the steering evidence without the pending work, live includes it.
	base, live evidence
	settled    evidence
	suspect    bool
	above      bool
	aboveSince time.Duration
}

// record is the work of one backend server on one route.
type record struct {
	total, counted RouteCounters
	recent         window
	expected       expectation
	valid          bool
}

type observation struct {
	at     time.Duration
	record *record
	route  string
	failed bool
	bucket int
}

// Assessment is the state of one backend server.
type Assessment struct {
	// Suspect asks the guard to steer new work away.
	Suspect bool
	// EjectionCandidate asks for an ejection permit.
	EjectionCandidate bool
	// Failure and Slowness are the steering evidence in nats.
	Failure, Slowness float64
}

// NewDetector returns a judge without evidence.
func NewDetector() *Detector {
	return &Detector{services: make(map[string]*service), backends: make(map[string]*backend)}
}

// Observe takes the result of one piece of work and reports whether it was good:
// an answer that neither was shed nor failed, of a backend server that is not
// suspected. A single slow answer may be within the expectation. Latency excludes time in the guard's queue.
func (j *Detector) Observe(now time.Duration, backendID, serviceName, route string, outcome Result, latency time.Duration) bool {
	if outcome == Shed {
		return false
	}
	b := j.backend(backendID, serviceName)
	r := b.record(route)
	r.total.count(outcome, latency)
	o := observation{at: now, record: r, route: route, failed: outcome == Failed, bucket: Bucket(latency)}
	if len(b.pending) >= maxPending {
		b.settle(now-settleDelay, false)
	}
	if len(b.pending) < maxPending {
		b.pending = append(b.pending, o)
	}
	x := b.expect(o)
	b.live.add(o, x, steeringCap)
	b.steer()
	return !o.failed && !b.suspect
}

// MergeBaseline takes the work of the other guards of a service in the latest interval.
func (j *Detector) MergeBaseline(now time.Duration, serviceName string, counters []RouteCounters) {
	s := j.service(serviceName)
	for _, c := range counters {
		w := s.remote[c.Route]
		if w == nil {
			w = new(window)
			s.remote[c.Route] = w
		}
		w.add(c)
	}
	s.merged = now
	s.known = true
}

// Advance moves the windows and scores recent work again with the baselines now
// known. The owner calls it about once a second, after MergeBaseline.
func (j *Detector) Advance(now time.Duration) {
	elapsed := now - j.advanced
	j.advanced = now
	for _, s := range j.services {
		s.advance(now, elapsed)
	}
}

// NeedsBaseline reports whether a backend server of a service is under evidence
// that calls for the baseline of each second.
func (j *Detector) NeedsBaseline(serviceName string) bool {
	s := j.services[serviceName]
	if s == nil {
		return false
	}
	for _, b := range s.backends {
		if b.live.highest() >= FrequentReportThreshold || b.settled.highest() >= FrequentReportThreshold {
			return true
		}
	}
	return false
}

// Assess returns the state of a backend server; the zero value when it is unknown.
func (j *Detector) Assess(now time.Duration, backendID string) Assessment {
	b := j.backends[backendID]
	if b == nil {
		return Assessment{}
	}
	sustained := b.above && now-b.aboveSince >= ejectAfter
	return Assessment{
		Suspect: b.suspect,
		// Settled evidence lags behind; a backend server that already works again stays.
		EjectionCandidate: b.suspect && sustained && b.service.fresh(now),
		Failure:           b.live.failure,
		Slowness:          b.live.slowness,
	}
}

// Counters returns the cumulative counters of the guard's backend servers of a service, sorted.
func (j *Detector) Counters(serviceName string) []BackendCounters {
	s := j.services[serviceName]
	if s == nil {
		return nil
	}
	var all []BackendCounters
	for _, id := range slices.Sorted(maps.Keys(s.backends)) {
		routes := make(map[string]RouteCounters)
		for name, r := range s.backends[id].routes {
			routes[name] = r.total
		}
		all = append(all, BackendCounters{BackendID: id, Routes: sortedRoutes(routes)})
	}
	return all
}

// Forget drops a backend server that has left the guard.
func (j *Detector) Forget(backendID string) {
	b := j.backends[backendID]
	if b == nil {
		return
	}
	delete(j.backends, backendID)
	delete(b.service.backends, backendID)
}

func (j *Detector) service(name string) *service {
	s := j.services[name]
	if s == nil {
		s = &service{backends: make(map[string]*backend), remote: make(map[string]*window)}
		j.services[name] = s
	}
	return s
}

func (j *Detector) backend(id, serviceName string) *backend {
	b := j.backends[id]
	if b == nil {
		s := j.service(serviceName)
		b = &backend{service: s, routes: make(map[string]*record)}
		j.backends[id] = b
		s.backends[id] = b
	}
	return b
}

func (s *service) fresh(now time.Duration) bool {
	return s.known && now-s.merged <= baselineLifetime
}

func (s *service) advance(now, elapsed time.Duration) {
	for route, w := range s.remote {
		w.decay(elapsed)
		if w.long.requests < 0.01 {
			delete(s.remote, route)
		}
	}
	for _, b := range s.backends {
		b.rotate(elapsed)
	}
	for _, b := range s.backends {
		b.rescore(now, elapsed)
	}
}

// rotate moves the work since the last call into the windows.
func (b *backend) rotate(elapsed time.Duration) {
	for _, r := range b.routes {
		r.recent.decay(elapsed)
		r.recent.add(r.total.since(r.counted))
		r.counted = r.total.clone()
		r.valid = false
	}
}

// rescore settles work old enough and scores the rest with the present baseline.
func (b *backend) rescore(now, elapsed time.Duration) {
	b.base.fade(steeringFade * elapsed.Seconds())
	b.settle(now-settleDelay, b.service.fresh(now))
	b.live = b.base
	for _, o := range b.pending {
		b.live.add(o, b.expect(o), steeringCap)
	}
	b.steer()
	b.track(now)
}

// settle makes the work up to a time final. Without a fresh baseline it does not count for ejection.
func (b *backend) settle(until time.Duration, fresh bool) {
	n := 0
	for _, o := range b.pending {
		if o.at > until {
			break
		}
		b.base.add(o, b.expect(o), steeringCap)
		if fresh {
			b.settled.add(o, b.expect(o), ejectionCap)
		}
		n++
	}
	b.pending = slices.Delete(b.pending, 0, n)
}

func (b *backend) steer() {
	if b.suspect {
		b.suspect = b.live.highest() >= trustedBelow
		return
	}
	b.suspect = b.live.highest() >= suspectAbove
}

func (b *backend) track(now time.Duration) {
	above := b.settled.highest() >= ejectAbove
	if above && !b.above {
		b.aboveSince = now
	}
	b.above = above
}

func (b *backend) record(route string) *record {
	r := b.routes[route]
	if r == nil {
		r = &record{total: RouteCounters{Route: route}}
		b.routes[route] = r
	}
	return r
}

// expect returns the baseline of the route over all other backend servers of the service.
func (b *backend) expect(o observation) expectation {
	if o.record.valid {
		return o.record.expected
	}
	var sum window
	if w := b.service.remote[o.route]; w != nil {
		sum.addWindow(w)
	}
	// The order is fixed so that sums of floating-point numbers replay exactly.
	for _, id := range slices.Sorted(maps.Keys(b.service.backends)) {
		other := b.service.backends[id]
		if r := other.routes[o.route]; other != b && r != nil {
			sum.addWindow(&r.recent)
		}
	}
	o.record.expected = sum.expectation()
	o.record.valid = true
	return o.record.expected
}
