// Package health detects failing and slow backend servers. It compares the results of
// the requests that they serve with those of the other backend servers of the same
// service. It does no I/O and takes the time as a parameter.
package health

import (
	"maps"
	"slices"
	"time"
)

// Result is the result of a request that reached the backend server. Network faults on
// the way to it and callers that disconnected are not results and must not be observed.
type Result int

// Results of a request.
const (
	OK Result = iota
	Failed
	// Shed means that the backend server refused the request under load. It is evidence of
	// neither health nor failure.
	Shed
)

const (
	// settleDelay is the age at which an observation becomes final. By then the baseline
	// of the same moment has arrived.
	settleDelay = 2 * time.Second
	// baselineLifetime is the maximum age of a baseline that may be used to eject a backend server.
	baselineLifetime = 3 * time.Second
	// maxPending bounds the pending observations of one backend server.
	maxPending = 1024
)

// Detector holds the evidence of one guard against its backend servers. It is not safe for concurrent use.
type Detector struct {
	services map[string]*service
	// backends holds the backend servers of all services by ID.
	backends   map[string]*backend
	advancedAt time.Duration
}

// service holds the backend servers of one service and the baseline from the other guards.
type service struct {
	backends map[string]*backend
	// otherGuards holds the requests that other guards reported, by route.
	otherGuards map[string]*recentCounts
	// mergedAt is the time of the latest MergeBaseline; hasBaseline is false before the first.
	mergedAt    time.Duration
	hasBaseline bool
}

// backend holds the requests of one backend server and the evidence against it.
type backend struct {
	service *service
	routes  map[string]*routeStats
	pending []observation
	// settledEvidence is the evidence from settled observations. suspectEvidence also includes the
	// pending observations, and determines suspect.
	settledEvidence, suspectEvidence evidence
	// ejectionEvidence is the evidence from observations that were settled with a fresh baseline.
	ejectionEvidence evidence
	suspect          bool
	// aboveEjectThreshold is set while the ejection evidence is at least ejectAbove.
	aboveEjectThreshold      bool
	aboveEjectThresholdSince time.Duration
}

// routeStats holds the requests of one backend server on one route.
type routeStats struct {
	// total is cumulative; addedToRecent is the part of it that has been added to recent.
	total, addedToRecent RouteCounters
	recent               recentCounts
	// baseline is the cached baseline of the route; it is computed again unless baselineValid is set.
	baseline      routeBaseline
	baselineValid bool
}

// observation is the result of one request that was not shed.
type observation struct {
	at     time.Duration
	stats  *routeStats
	route  string
	failed bool
	bucket int
}

// Assessment states whether one backend server is suspected or should be ejected.
type Assessment struct {
	// Suspect asks the guard to send new requests to other backend servers.
	Suspect bool
	// EjectionCandidate asks the guard to request an ejection permit.
	EjectionCandidate bool
	// Failure and Slowness are the evidence behind Suspect, in nats.
	Failure, Slowness float64
}

// NewDetector returns a detector without observations.
func NewDetector() *Detector {
	return &Detector{services: make(map[string]*service), backends: make(map[string]*backend)}
}

// Observe records the result of one request and reports whether it was good: the request
// was neither shed nor failed, and the backend server is not suspected. A single slow
// answer can be good, since the baseline has slow answers too. Latency excludes the time
// in the guard's queue.
func (d *Detector) Observe(now time.Duration, backendID, serviceName, route string, result Result, latency time.Duration) bool {
	if result == Shed {
		return false
	}
	b := d.backend(backendID, serviceName)
	r := b.routeStats(route)
	r.total.count(result, latency)
	o := observation{at: now, stats: r, route: route, failed: result == Failed, bucket: Bucket(latency)}
	if len(b.pending) >= maxPending {
		b.settle(now-settleDelay, false)
	}
	if len(b.pending) < maxPending {
		b.pending = append(b.pending, o)
	}
	x := b.baselineFor(o)
	b.suspectEvidence.add(o, x, suspicionCap)
	b.updateSuspicion()
	return !o.failed && !b.suspect
}

// MergeBaseline adds the requests of the other guards of a service in the latest interval.
func (d *Detector) MergeBaseline(now time.Duration, serviceName string, counters []RouteCounters) {
	s := d.service(serviceName)
	for _, c := range counters {
		recent := s.otherGuards[c.Route]
		if recent == nil {
			recent = new(recentCounts)
			s.otherGuards[c.Route] = recent
		}
		recent.add(c)
	}
	s.mergedAt = now
	s.hasBaseline = true
}

// Advance decays the recent counts, adds the new requests to them, and computes the
// evidence of recent requests again with the current baselines. The owner calls it about
// once a second, after MergeBaseline.
func (d *Detector) Advance(now time.Duration) {
	elapsed := now - d.advancedAt
	d.advancedAt = now
	for _, s := range d.services {
		s.advance(now, elapsed)
	}
}

// NeedsBaseline reports whether there is enough evidence against a backend server of the
// service that its guard should report, and so fetch a baseline, each second.
func (d *Detector) NeedsBaseline(serviceName string) bool {
	s := d.services[serviceName]
	if s == nil {
		return false
	}
	for _, b := range s.backends {
		if b.suspectEvidence.highest() >= FrequentReportThreshold || b.ejectionEvidence.highest() >= FrequentReportThreshold {
			return true
		}
	}
	return false
}

// Assess returns the assessment of a backend server; the zero value when it is unknown.
func (d *Detector) Assess(now time.Duration, backendID string) Assessment {
	b := d.backends[backendID]
	if b == nil {
		return Assessment{}
	}
	sustained := b.aboveEjectThreshold && now-b.aboveEjectThresholdSince >= ejectAfter
	return Assessment{
		Suspect: b.suspect,
		// Ejection evidence lags by settleDelay, so a backend server that has recovered and
		// is no longer suspect is not ejected.
		EjectionCandidate: b.suspect && sustained && b.service.hasFreshBaseline(now),
		Failure:           b.suspectEvidence.failure,
		Slowness:          b.suspectEvidence.slowness,
	}
}

// Counters returns the cumulative counters of the guard's backend servers of a service,
// sorted by backend server ID.
func (d *Detector) Counters(serviceName string) []BackendCounters {
	s := d.services[serviceName]
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

// Forget drops the state of a backend server that the guard no longer serves.
func (d *Detector) Forget(backendID string) {
	b := d.backends[backendID]
	if b == nil {
		return
	}
	delete(d.backends, backendID)
	delete(b.service.backends, backendID)
}

func (d *Detector) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{backends: make(map[string]*backend), otherGuards: make(map[string]*recentCounts)}
		d.services[name] = s
	}
	return s
}

func (d *Detector) backend(id, serviceName string) *backend {
	b := d.backends[id]
	if b == nil {
		s := d.service(serviceName)
		b = &backend{service: s, routes: make(map[string]*routeStats)}
		d.backends[id] = b
		s.backends[id] = b
	}
	return b
}

func (s *service) hasFreshBaseline(now time.Duration) bool {
	return s.hasBaseline && now-s.mergedAt <= baselineLifetime
}

func (s *service) advance(now, elapsed time.Duration) {
	for route, recent := range s.otherGuards {
		recent.decay(elapsed)
		if recent.long.requests < 0.01 {
			delete(s.otherGuards, route)
		}
	}
	for _, b := range s.backends {
		b.updateRecent(elapsed)
	}
	for _, b := range s.backends {
		b.rescore(now, elapsed)
	}
}

// updateRecent decays the recent counts and adds the requests since the last call to them.
func (b *backend) updateRecent(elapsed time.Duration) {
	for _, r := range b.routes {
		r.recent.decay(elapsed)
		r.recent.add(r.total.since(r.addedToRecent))
		r.addedToRecent = r.total.clone()
		r.baselineValid = false
	}
}

// rescore settles the observations that are old enough and computes the evidence of the
// pending ones again with the current baseline.
func (b *backend) rescore(now, elapsed time.Duration) {
	b.settledEvidence.decay(suspicionDecay * elapsed.Seconds())
	b.settle(now-settleDelay, b.service.hasFreshBaseline(now))
	b.suspectEvidence = b.settledEvidence
	for _, o := range b.pending {
		b.suspectEvidence.add(o, b.baselineFor(o), suspicionCap)
	}
	b.updateSuspicion()
	b.updateEjectionTimer(now)
}

// settle makes the observations up to a time final and removes them from the pending ones.
// They count for ejection only if fresh says that the baseline is fresh.
func (b *backend) settle(until time.Duration, fresh bool) {
	n := 0
	for _, o := range b.pending {
		if o.at > until {
			break
		}
		b.settledEvidence.add(o, b.baselineFor(o), suspicionCap)
		if fresh {
			b.ejectionEvidence.add(o, b.baselineFor(o), ejectionCap)
		}
		n++
	}
	b.pending = slices.Delete(b.pending, 0, n)
}

// updateSuspicion sets suspect with hysteresis between suspectAbove and clearBelow.
func (b *backend) updateSuspicion() {
	if b.suspect {
		b.suspect = b.suspectEvidence.highest() >= clearBelow
		return
	}
	b.suspect = b.suspectEvidence.highest() >= suspectAbove
}

// updateEjectionTimer notes since when the ejection evidence has been at least ejectAbove.
func (b *backend) updateEjectionTimer(now time.Duration) {
	above := b.ejectionEvidence.highest() >= ejectAbove
	if above && !b.aboveEjectThreshold {
		b.aboveEjectThresholdSince = now
	}
	b.aboveEjectThreshold = above
}

func (b *backend) routeStats(route string) *routeStats {
	r := b.routes[route]
	if r == nil {
		r = &routeStats{total: RouteCounters{Route: route}}
		b.routes[route] = r
	}
	return r
}

// baselineFor returns the baseline of the observation's route over all other backend servers
// of the service.
func (b *backend) baselineFor(o observation) routeBaseline {
	if o.stats.baselineValid {
		return o.stats.baseline
	}
	var sum recentCounts
	if recent := b.service.otherGuards[o.route]; recent != nil {
		sum.addRecentCounts(recent)
	}
	// The order is fixed so that a replay yields exactly the same floating-point sums.
	for _, id := range slices.Sorted(maps.Keys(b.service.backends)) {
		other := b.service.backends[id]
		if r := other.routes[o.route]; other != b && r != nil {
			sum.addRecentCounts(&r.recent)
		}
	}
	o.stats.baseline = sum.baseline()
	o.stats.baselineValid = true
	return o.stats.baseline
}
