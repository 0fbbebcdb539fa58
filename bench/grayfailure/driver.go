// Package grayfailure measures how fast backend servers with gray failures are
// detected and how many healthy ones are ejected, in virtual time, and compares this
// with simpler methods. A seed determines a run completely.
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
	// faultGrace is the time after the end of a fault in which suspecting or ejecting the
	// backend server still counts as right, since work that began before may end in it.
	faultGrace = 5 * time.Second
	wheelSize  = 1 << 16
	// exchangePhase is the time between the turns of two guards. It spreads the turns over
	// each second, as they are spread between real nodes.
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

// fault describes how one backend server misbehaves.
type fault struct {
	name          string
	failShare     float64
	latencyFactor float64
}

var faults = []fault{
	{"fails 20 %", 0.2, 1},
	{"fails 50 %", 0.5, 1},
	{"fails 100 %", 1, 1},
	{"5 times slower", 0, 5},
}

// serviceCondition describes how all backend servers of a service behave and how high the
// demand is. demand and latencyFactor are factors; the other fields are shares of requests.
type serviceCondition struct {
	demand, latencyFactor, failShare, shedShare, brokenShare, badOrganisationShare float64
}

var normalCondition = serviceCondition{demand: 1, latencyFactor: 1}

// policy is a method of detecting faulty backend servers. The driver runs all policies under
// the same model.
type policy interface {
	// observe takes the result of one request and reports whether it counts as good for the
	// recovery of an ejected backend server.
	observe(now time.Duration, backend, service int, route string, o health.Result, latency time.Duration) (good bool)
	// exchange is called once a second for each guard and sends its reports if the policy uses
	// reports. sent tells whether the reports arrive, and received whether the replies to them do.
	exchange(now time.Duration, guard int, sent, received bool)
	suspect(now time.Duration, backend int) bool
	// ejectable reports whether the policy asks for the ejection of a backend server.
	ejectable(now time.Duration, backend int) bool
}

type server struct {
	fault      *fault
	faultSince time.Duration
	faultEnd   time.Duration
	detected   bool
	suspected  bool
	ejected    bool
	recovery   ejection.Recovery
	lastRetest time.Duration
	// No work reaches the backend server until unreachableUntil. The other two times concern the
	// guard with the same index: its reports are lost until reportsLostUntil, and the replies to
	// them until repliesLostUntil.
	unreachableUntil time.Duration
	reportsLostUntil time.Duration
	repliesLostUntil time.Duration
}

type completion struct {
	backend int
	route   string
	result  health.Result
	latency time.Duration
}

// run is a simulated fleet under one policy.
type run struct {
	rng        *rand.Rand
	policy     policy
	now        time.Duration
	servers    [backendCount]server
	conditions [serviceCount]serviceCondition
	next       [serviceCount]time.Duration
	permits    [serviceCount]ejection.PermitSet
	// wheel holds the work in progress by the millisecond at which it completes.
	wheel    [wheelSize][]completion
	cutUntil time.Duration
	result   result
}

// result counts the decisions of a policy. The maps are keyed by the name of the fault.
type result struct {
	detections           map[string][]time.Duration
	ejections            map[string]int
	missed               map[string]int
	healthySuspected     int
	healthyEjected       int
	requests             int
	reports, reportTurns int
}

func newResult() result {
	return result{detections: map[string][]time.Duration{}, ejections: map[string]int{}, missed: map[string]int{}}
}

func newRun(seed uint64, p policy) *run {
	r := &run{rng: rand.New(rand.NewPCG(seed, 1)), policy: p, result: newResult()}
	for i := range serviceCount {
		r.conditions[i] = normalCondition
		r.permits[i] = ejection.PermitSet{Service: serviceName(i)}
	}
	return r
}

var serviceNames = [serviceCount]string{"service-0", "service-1", "service-2"}

func serviceName(i int) string { return serviceNames[i] }
func backendName(i int) string { return fmt.Sprintf("backend-%d", i) }

// guardOf returns the guard of a backend server. The two backend servers of a guard are always in
// different services, because guardCount is greater than perService.
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
		gap := r.rng.ExpFloat64() / (serviceRate * r.conditions[s].demand)
		r.next[s] += time.Duration(gap * float64(time.Second))
		r.dispatch(s, r.pickRoute(s))
	}
}

func (r *run) pickRoute(s int) routeModel {
	if r.rng.Float64() < r.conditions[s].brokenShare {
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

// dispatch sends a request to the first backend server, in random order, that the policy
// admits. If it admits none, the request goes to a random one.
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
	if r.now < b.unreachableUntil {
		return // The policy sees no result of work that is lost on the way to the backend server.
	}
	c := r.conditions[i/perService]
	f := fault{latencyFactor: 1}
	if b.fault != nil {
		f = *b.fault
	}
	latency := float64(m.median) * math.Exp(0.4*r.rng.NormFloat64()) * c.latencyFactor * f.latencyFactor
	if r.rng.Float64() < 0.02 {
		latency *= 20
	}
	done := completion{backend: i, route: m.name, latency: time.Duration(latency)}
	switch {
	case r.rng.Float64() < c.shedShare:
		done.result = health.Shed
		done.latency = time.Millisecond
	case m.name == brokenRoute.name, r.chance(f.failShare), r.chance(c.failShare), r.chance(backgroundBad),
		m.name == routes[0].name && r.chance(c.badOrganisationShare):
		done.result = health.Failed
		done.latency = time.Duration(min(latency, float64(5*time.Millisecond)))
	}
	at := (r.now + done.latency + time.Millisecond) / time.Millisecond
	at = min(at, r.now/time.Millisecond+wheelSize-1)
	r.wheel[at%wheelSize] = append(r.wheel[at%wheelSize], done)
}

func (r *run) chance(share float64) bool { return share > 0 && r.rng.Float64() < share }

func (r *run) complete() {
	slot := &r.wheel[r.now/time.Millisecond%wheelSize]
	for _, c := range *slot {
		good := r.policy.observe(r.now, c.backend, c.backend/perService, c.route, c.result, c.latency)
		r.recover(c, good)
		r.recordSuspicion(c.backend)
	}
	*slot = (*slot)[:0]
}

func (r *run) recover(c completion, good bool) {
	b := &r.servers[c.backend]
	if !b.ejected || c.result == health.Shed {
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
	r.policy.exchange(r.now, g, r.now >= b.reportsLostUntil, r.now >= b.repliesLostUntil)
	for i := g; i < backendCount; i += guardCount {
		r.recordSuspicion(i)
		r.eject(i)
	}
}

// isFaulty reports whether it is right to suspect or eject a backend server.
func (r *run) isFaulty(b *server) bool {
	return b.fault != nil || (b.faultEnd > 0 && r.now-b.faultEnd < faultGrace)
}

// recordSuspicion records the first suspicion of a faulty backend server as its detection,
// and counts each time at which a healthy backend server becomes suspect.
func (r *run) recordSuspicion(i int) {
	b := &r.servers[i]
	suspect := r.policy.suspect(r.now, i)
	if suspect && b.fault != nil && !b.detected && r.now >= b.faultSince {
		b.detected = true
		r.result.detections[b.fault.name] = append(r.result.detections[b.fault.name], r.now-b.faultSince)
	}
	if suspect && !b.suspected && !r.isFaulty(b) {
		r.result.healthySuspected++
	}
	b.suspected = suspect
}

func (r *run) eject(i int) {
	b := &r.servers[i]
	if b.ejected || !r.policy.ejectable(r.now, i) {
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
	if !r.isFaulty(b) {
		r.result.healthyEjected++
		return
	}
	if b.fault != nil {
		r.result.ejections[b.fault.name]++
	}
}

func (r *run) startFault(i int, f *fault) {
	b := &r.servers[i]
	b.fault = f
	// While a cut path keeps work from the backend server, its fault cannot be detected.
	// Detection time therefore counts from the end of the cut.
	b.faultSince = max(r.now, b.unreachableUntil)
	b.detected = false
}

func (r *run) endFault(i int) {
	b := &r.servers[i]
	if !b.detected {
		r.result.missed[b.fault.name]++
	}
	b.fault = nil
	b.faultEnd = r.now
}
