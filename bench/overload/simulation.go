// Package overload measures admission, fairness and load balancing in virtual
// time and compares them with simpler policies. A seed determines a run completely.
package overload

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	ms = time.Millisecond
	// hopDelay is the one-way time between entry and guard.
	hopDelay     = 500 * time.Microsecond
	shortMean    = 20 * ms
	longRatio    = 50
	shortTimeout = time.Second
	longTimeout  = 20 * time.Second
	serverCount  = 12
	entryCount   = 6
	// maxAttempts is the largest number of attempts for a request.
	maxAttempts = 3
	// retryWindow is how long after its arrival refused short work may be retried.
	retryWindow = 25 * ms
	// staleReportInterval is the interval at which the least loaded baseline gets load reports.
	staleReportInterval = 100 * ms
)

// policy names the way in which entries choose a backend server and backend servers queue work.
type policy string

const (
	// fleetPolicy is the policy of the fleet itself, in the packages balance and admission.
	fleetPolicy policy = "jackdawlane"
	randomFIFO  policy = "random, FIFO"
	leastLoaded policy = "least loaded, FIFO"
)

var policies = []policy{fleetPolicy, randomFIFO, leastLoaded}

// distribution is the distribution of service times.
type distribution string

const (
	exponential distribution = "exponential"
	lognormal   distribution = "lognormal"
)

func (d distribution) draw(r *rand.Rand, mean time.Duration) time.Duration {
	if d == exponential {
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
	const sigma = 1.0
	return time.Duration(float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// run is the simulation of one service under one policy.
type run struct {
	policy  policy
	dist    distribution
	slots   int
	seed    uint64
	until   time.Duration
	sources []source
	// falseReport, if set, replaces the load that server 0 reports.
	falseReport *balance.Feedback
	// reportDelay delays the load reports of all servers.
	reportDelay time.Duration

	now      time.Duration
	events   eventHeap
	sequence int
	rng      *rand.Rand
	backends []membership.Backend
	servers  []*server
	pickers  []*balance.Picker
	// staleLoads holds the loads last reported to the least loaded baseline.
	staleLoads    []int
	results       []result
	lastRequestID int
}

// source is a Poisson stream of requests.
type source struct {
	org  string
	long bool
	// rate is in requests per second.
	rate    func(time.Duration) float64
	maxRate float64
}

// request is one request of a caller, with the attempts made so far.
type request struct {
	id       int
	org      string
	long     bool
	arrived  time.Duration
	deadline time.Duration
	service  time.Duration
	entry    int
	tried    map[string]hop.Reason
	attempt  int
}

type result struct {
	request
	end time.Duration
	ok  bool // answered before the deadline
	ran bool
}

// server is one backend server with the queue of its guard. The field fifo is the queue
// of the baselines.
type server struct {
	queue   *admission.Queue
	fifo    []*request
	running int
	work    map[string]*request
	timer   time.Duration
	served  int
	loads   []float64 // running and queued work per slot, sampled
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

func (s *run) schedule(t time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{t, s.sequence, do})
}

func (s *run) simulate() {
	s.rng = rand.New(rand.NewPCG(s.seed, 1))
	s.staleLoads = make([]int, serverCount)
	for i := range serverCount {
		b := membership.Backend{
			ID: strconv.Itoa(i), Slots: s.slots, State: membership.StateReady,
			Guard: membership.Guard{NodeID: fmt.Sprint("g", i), Region: "r", DataCentre: "d"},
		}
		s.backends = append(s.backends, b)
		q := admission.NewQueue(0, s.slots, membership.StateReady)
		s.servers = append(s.servers, &server{queue: q, work: map[string]*request{}})
	}
	for range entryCount {
		p := balance.NewPicker(balance.Location{Region: "r", DataCentre: "d"}, balance.NewPaths(), balance.NewByteBudget(0, 0, 0))
		s.pickers = append(s.pickers, p)
	}
	for i, src := range s.sources {
		s.scheduleArrival(src, rand.New(rand.NewPCG(s.seed, uint64(100+i))))
	}
	s.sample()
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// sample records the load of each backend server and refreshes the load reports of the
// least loaded baseline.
func (s *run) sample() {
	for i, g := range s.servers {
		busy := g.running + len(g.fifo)
		if s.policy == fleetPolicy {
			l := g.queue.Load(s.now)
			busy = l.Running + l.Queued
		}
		s.staleLoads[i] = busy
		g.loads = append(g.loads, float64(busy)/float64(s.slots))
	}
	if s.now < s.until {
		s.schedule(s.now+staleReportInterval, s.sample)
	}
}

// scheduleArrival schedules the next arrival of a source by thinning a Poisson process. Only this
// source uses r, so that another source does not change its requests.
func (s *run) scheduleArrival(src source, r *rand.Rand) {
	next := s.now + time.Duration(r.ExpFloat64()/src.maxRate*float64(time.Second))
	if next > s.until {
		return
	}
	s.schedule(next, func() {
		if r.Float64() < src.rate(s.now)/src.maxRate {
			s.arrive(src, r)
		}
		s.scheduleArrival(src, r)
	})
}

func (s *run) arrive(src source, r *rand.Rand) {
	mean, timeout := shortMean, shortTimeout
	if src.long {
		mean, timeout = mean*longRatio, longTimeout
	}
	s.lastRequestID++
	s.send(&request{
		id: s.lastRequestID, org: src.org, long: src.long, arrived: s.now, deadline: s.now + timeout,
		service: s.dist.draw(r, mean), entry: r.IntN(entryCount), tried: map[string]hop.Reason{},
	})
}

// send makes one attempt of a request.
func (s *run) send(r *request) {
	r.attempt++
	i, ok := s.choose(r)
	if !ok {
		s.finish(r, false, false)
		return
	}
	s.schedule(s.now+hopDelay, func() { s.receive(i, r) })
}

func (s *run) choose(r *request) (int, bool) {
	switch s.policy {
	case randomFIFO:
		return s.rng.IntN(serverCount), true
	case leastLoaded:
		best := slices.Index(s.staleLoads, slices.Min(s.staleLoads))
		return best, true
	}
	c, ok := s.pickers[r.entry].Pick(s.now, s.rng, s.backends, balance.Attempt{Tried: r.tried})
	if !ok {
		return 0, false
	}
	i, _ := strconv.Atoi(c.Backend.ID)
	return i, true
}

func (s *run) receive(i int, r *request) {
	g := s.servers[i]
	if s.policy != fleetPolicy {
		g.fifo = append(g.fifo, r)
		s.startFIFO(g)
		return
	}
	id := strconv.Itoa(r.id)
	route := "short"
	if r.long {
		route = "long"
	}
	result, actions := g.queue.Offer(s.now, admission.Request{ID: id, Organisation: r.org, Route: route, Deadline: r.deadline})
	g.work[id] = r
	s.apply(i, actions)
	switch result.Decision {
	case admission.Dispatched:
		s.serve(i, id)
	case admission.Refused:
		delete(g.work, id)
		s.retryOrFinish(i, r, result.Reason)
	}
	s.scheduleQueue(i)
}

func (s *run) apply(i int, actions admission.Actions) {
	g := s.servers[i]
	for _, d := range actions.Drop {
		r := g.work[d.ID]
		delete(g.work, d.ID)
		s.retryOrFinish(i, r, d.Reason)
	}
	for _, id := range actions.Dispatch {
		s.serve(i, id)
	}
	s.scheduleQueue(i)
}

// scheduleQueue schedules the next time-dependent change of the queue of a backend server.
func (s *run) scheduleQueue(i int) {
	g := s.servers[i]
	next, ok := g.queue.NextDeadline()
	if !ok || g.timer > s.now && g.timer <= next {
		return
	}
	g.timer = next
	s.schedule(next, func() { s.apply(i, g.queue.Advance(s.now)) })
}

func (s *run) serve(i int, id string) {
	g := s.servers[i]
	r := g.work[id]
	g.served++
	s.schedule(s.now+r.service, func() {
		delete(g.work, id)
		s.apply(i, g.queue.Done(s.now, id, r.service, admission.Answered))
		s.reply(i, r, "", func() { s.finish(r, true, true) })
	})
}

// retryOrFinish handles a refused attempt. It makes another attempt until maxAttempts is
// reached. Short work is retried only within retryWindow, so its caller gets a
// refusal at most one queue wait after the end of the window.
func (s *run) retryOrFinish(i int, r *request, reason hop.Reason) {
	s.reply(i, r, reason, func() {
		r.tried[s.backends[i].ID] = reason
		if r.attempt < maxAttempts && (r.long || s.now-r.arrived < retryWindow) {
			s.send(r)
			return
		}
		s.finish(r, false, false)
	})
}

// reply delivers a reply with its load report to the entry of the request, and then calls then.
func (s *run) reply(i int, r *request, reason hop.Reason, then func()) {
	feedback := balance.Feedback{Load: s.servers[i].queue.Load(s.now).Ratio(), HasLoad: true, Reason: reason}
	if i == 0 && s.falseReport != nil {
		feedback.Load, feedback.HasLoad = s.falseReport.Load, s.falseReport.HasLoad
	}
	s.schedule(s.now+hopDelay, func() {
		if s.reportDelay == 0 {
			s.pickers[r.entry].End(s.now, s.backends[i].ID, feedback)
		} else {
			s.pickers[r.entry].End(s.now, s.backends[i].ID, balance.Feedback{Reason: reason})
			s.schedule(s.now+s.reportDelay, func() { s.pickers[r.entry].Report(s.now, s.backends[i].ID, feedback) })
		}
		then()
	})
}

func (s *run) startFIFO(g *server) {
	for g.running < s.slots && len(g.fifo) > 0 {
		r := g.fifo[0]
		g.fifo = g.fifo[1:]
		g.running++
		g.served++
		s.schedule(s.now+r.service, func() {
			g.running--
			s.startFIFO(g)
			s.schedule(s.now+hopDelay, func() { s.finish(r, true, true) })
		})
	}
}

func (s *run) finish(r *request, ok, ran bool) {
	s.results = append(s.results, result{request: *r, end: s.now, ok: ok && s.now <= r.deadline, ran: ran})
}
