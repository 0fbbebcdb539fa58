// Package grayfailure measures how fast backend servers with gray failures are
// detected, and how many healthy ones are ejected, in virtual time and against
// simpler methods. A run follows from its seed.
package grayfailure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawlane/jackdawlane/ejection"
	"github.com/jackdawlane/jackdawlane/health"
)

const (
	serviceCount  = 3
	perService    = 12
	backendCount  = serviceCount * perService
	guardCount    = backendCount / 2
	serviceFloor  = 8
	serviceRate   = 100.0
	backgroundBad = 0.01
	// faultGrace after a fault covers answers of work that began before its end.
	faultGrace = 5 * time.Second
	wheelSize  = 1 << 16
	// exchangePhase spreads the guards' turns over the second, as between real nodes.
	exchangePhase = time.Second / guardCount / time.Millisecond * time.Millisecond
)

type routeModel struct {
	name       string
	share      float64
	idempotent bool
	median     time.Duration
}

var routes = []routeModel{
	{"lookup", 0.5, true, 10 * time.Millisecond},
	{"list", 0.3, true, 30 * time.Millisecond},
	{"book", 0.15, false, 30 * time.Millisecond},
	{"report", 0.05, true, 100 * time.Millisecond},
}

var brokenRoute = routeModel{"broken", 0, true, 10 * time.Millisecond}

// fault is what is wrong with one backend server.
type fault struct {
	name   string
	fails  float64
	slower float64
}

var faults = []fault{
	{"fails 20 %", 0.2, 1},
	{"fails 50 %", 0.5, 1},
	{"fails 100 %", 1, 1},
	{"5 times slower", 0, 5},
}

// climate is the state of one service as a whole.
type climate struct {
	demand, slower, fails, shed, brokenShare, badOrganisation float64
}

var calm = climate{demand: 1, slower: 1}

// policy is a way to find bad backend servers; all of them run under the same driver.
type policy interface {
	observe(now time.Duration, backend, service int, route string, o health.Result, latency time.Duration) (good bool)
	// exchange runs each second for one guard; sent and received tell whether its messages get through.
	exchange(now time.Duration, guard int, sent, received bool)
	suspect(now time.Duration, backend int) bool
	candidate(now time.Duration, backend int) bool
}

type server struct {
	fault       *fault
	faultSince  time.Duration
	faultEnd    time.Duration
	detected    bool
	suspected   bool
	ejected     bool
	recovery    ejection.Recovery
	lastRetest  time.Duration
	unreachable time.Duration
	reportsLost time.Duration
	repliesLost time.Duration
}

type completion struct {
	backend int
	route   string
	outcome health.Result
	latency time.Duration
}

// run is one virtual fleet under one policy.
type run struct {
	rng      *rand.Rand
	policy   policy
	now      time.Duration
	servers  [backendCount]server
	climates [serviceCount]climate
	next     [serviceCount]time.Duration
	permits  [serviceCount]ejection.PermitSet
	wheel    [wheelSize][]completion
	cutUntil time.Duration
	result   result
}

// result counts what a policy did. Detection times are by fault name.
type result struct {
	detections       map[string][]time.Duration
	ejections        map[string]int
	missed           map[string]int
	healthySuspected int
	healthyEjected   int
	requests         int
	reports, turns   int
}

func newResult() result {
	return result{detections: map[string][]time.Duration{}, ejections: map[string]int{}, missed: map[string]int{}}
}

func newRun(seed uint64, p policy) *run {
	r := &run{rng: rand.New(rand.NewPCG(seed, 1)), policy: p, result: newResult()}
	for i := range serviceCount {
		r.climates[i] = calm
		r.permits[i] = ejection.PermitSet{Service: serviceName(i)}
	}
	return r
}

var serviceNames = [serviceCount]string{"service-0", "service-1", "service-2"}

func serviceName(i int) string { return serviceNames[i] }
func backendName(i int) string { return fmt.Sprintf("backend-%d", i) }

// guardOf places the two backend servers of a guard in different services or far apart in one.
func guardOf(backend int) int { return backend % guardCount }

// advance runs the fleet until a time, in steps of 1 ms.
func (r *run) advance(until time.Duration) {
	for r.now < until {
		r.now += time.Millisecond
		r.complete()
		for s := range serviceCount {
			r.arrive(s)
		}
		if phase := r.now % time.Second; phase%exchangePhase == 0 && phase < guardCount*exchangePhase {
			r.exchange(int(phase / exchangePhase))
		}
	}
}

func (r *run) arrive(s int) {
	for r.next[s] <= r.now {
		gap := r.rng.ExpFloat64() / (serviceRate * r.climates[s].demand)
		r.next[s] += time.Duration(gap * float64(time.Second))
		r.dispatch(s, r.pickRoute(s))
	}
}

func (r *run) pickRoute(s int) routeModel {
	if r.rng.Float64() < r.climates[s].brokenShare {
		return brokenRoute
	}
	x := r.rng.Float64()
	for _, m := range routes {
		if x < m.share {
			return m
		}
		x -= m.share
	}
	return routes[0]
}

// dispatch tries backend servers in random order; the last one is forced when all refuse.
func (r *run) dispatch(s int, m routeModel) {
	r.result.requests++
	for _, k := range r.rng.Perm(perService) {
		i := s*perService + k
		if r.admits(i, m) {
			r.serve(i, m)
			return
		}
	}
	r.serve(s*perService+r.rng.IntN(perService), m)
}

func (r *run) admits(i int, m routeModel) bool {
	b := &r.servers[i]
	if !b.ejected && !r.policy.suspect(r.now, i) {
		return true
	}
	if !health.AdmitRetest(r.now-b.lastRetest, m.idempotent, r.rng) {
		return false
	}
	b.lastRetest = r.now
	return true
}

func (r *run) serve(i int, m routeModel) {
	b := &r.servers[i]
	if r.now < b.unreachable {
		return // A path fault never reaches the judge.
	}
	c := r.climates[i/perService]
	f := fault{slower: 1}
	if b.fault != nil {
		f = *b.fault
	}
	latency := float64(m.median) * math.Exp(0.4*r.rng.NormFloat64()) * c.slower * f.slower
	if r.rng.Float64() < 0.02 {
		latency *= 20
	}
	done := completion{backend: i, route: m.name, latency: time.Duration(latency)}
	switch {
	case r.rng.Float64() < c.shed:
		done.outcome = health.Shed
		done.latency = time.Millisecond
	case m.name == brokenRoute.name, r.fails(f.fails), r.fails(c.fails), r.fails(backgroundBad),
		m.name == routes[0].name && r.fails(c.badOrganisation):
		done.outcome = health.Failed
		done.latency = time.Duration(min(latency, float64(5*time.Millisecond)))
	}
	at := (r.now + done.latency + time.Millisecond) / time.Millisecond
	at = min(at, r.now/time.Millisecond+wheelSize-1)
	r.wheel[at%wheelSize] = append(r.wheel[at%wheelSize], done)
}

func (r *run) fails(share float64) bool { return share > 0 && r.rng.Float64() < share }

func (r *run) complete() {
	slot := &r.wheel[r.now/time.Millisecond%wheelSize]
	for _, c := range *slot {
		good := r.policy.observe(r.now, c.backend, c.backend/perService, c.route, c.outcome, c.latency)
		r.recover(c, good)
		r.note(c.backend)
	}
	*slot = (*slot)[:0]
}

func (r *run) recover(c completion, good bool) {
	b := &r.servers[c.backend]
	if !b.ejected || c.outcome == health.Shed {
		return
	}
	b.recovery.Observe(good)
	if b.recovery.Done(r.now) {
		b.ejected = false
		p := &r.permits[c.backend/perService]
		*p = p.Remove(map[string]bool{backendName(c.backend): true})
	}
}

func (r *run) exchange(g int) {
	b := &r.servers[g]
	r.policy.exchange(r.now, g, r.now >= b.reportsLost, r.now >= b.repliesLost)
	for i := g; i < backendCount; i += guardCount {
		r.note(i)
		r.eject(i)
	}
}

// bad reports whether a verdict against a backend server is right.
func (r *run) bad(b *server) bool {
	return b.fault != nil || (b.faultEnd > 0 && r.now-b.faultEnd < faultGrace)
}

// note counts the rising edges of suspicion.
func (r *run) note(i int) {
	b := &r.servers[i]
	suspect := r.policy.suspect(r.now, i)
	if suspect && b.fault != nil && !b.detected && r.now >= b.faultSince {
		b.detected = true
		r.result.detections[b.fault.name] = append(r.result.detections[b.fault.name], r.now-b.faultSince)
	}
	if suspect && !b.suspected && !r.bad(b) {
		r.result.healthySuspected++
	}
	b.suspected = suspect
}

func (r *run) eject(i int) {
	b := &r.servers[i]
	if b.ejected || !r.policy.candidate(r.now, i) {
		return
	}
	s := i / perService
	var ready []string
	for k := range perService {
		ready = append(ready, backendName(s*perService+k))
	}
	q := ejection.Permit{ID: backendName(i), BackendID: backendName(i), Lifetime: ejection.PermitLifetime}
	next, err := r.permits[s].Grant(q, ready, serviceFloor)
	if err != nil {
		return
	}
	r.permits[s] = next
	b.ejected = true
	b.recovery = ejection.NewRecovery(r.now, ejection.DefaultTimes.HoldTime(next.Ejections[backendName(i)]))
	if !r.bad(b) {
		r.result.healthyEjected++
		return
	}
	if b.fault != nil {
		r.result.ejections[b.fault.name]++
	}
}

func (r *run) breakServer(i int, f *fault) {
	b := &r.servers[i]
	b.fault = f
	// A path fault hides the backend server; its own fault shows once work reaches it.
	b.faultSince = max(r.now, b.unreachable)
	b.detected = false
}

func (r *run) repair(i int) {
	b := &r.servers[i]
	if !b.detected {
		r.result.missed[b.fault.name]++
	}
	b.fault = nil
	b.faultEnd = r.now
}
