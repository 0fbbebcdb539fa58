// Package overload measures admission, fairness and load balancing in virtual
// time, against simpler policies. A run follows from its seed.
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
	servers      = 12
	entries      = 6
	// attempts is the number of attempts for each request.
	attempts = 3
	// retryWithin is the time since arrival in which short work is tried again.
	retryWithin = 25 * ms
	// staleReports is the interval of the reports of the least loaded baseline.
	staleReports = 100 * ms
)

// policy is how entries choose and how backend servers queue.
type policy string

const (
	ours        policy = "jackdawlane"
	randomFIFO  policy = "random, FIFO"
	leastLoaded policy = "least loaded, FIFO"
)

var policies = []policy{ours, randomFIFO, leastLoaded}

// distribution is that of service times.
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

// run is one simulated run of one service.
type run struct {
	policy  policy
	dist    distribution
	slots   int
	seed    uint64
	until   time.Duration
	sources []source
	// falseReport, if set, replaces the load that server 0 reports.
	falseReport *balance.Feedback
	// lateReport delays the load reports of all servers.
	lateReport time.Duration

	now      time.Duration
	events   eventHeap
	sequence int
	rng      *rand.Rand
	backends []membership.Backend
	guards   []*guard
	entries  []*balance.Picker
	reports  []int
	results  []result
	running  int
}

// source is a Poisson stream of requests.
type source struct {
	org  string
	long bool
	// rate is in requests per second.
	rate    func(time.Duration) float64
	maxRate float64
}

// request is one request of a caller.
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

// guard is one backend server with its queue.
type guard struct {
	queue   *admission.Queue
	fifo    []*request
	running int
	work    map[string]*request
	timer   time.Duration
	served  int
	loads   []float64 // sampled
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

func (s *run) at(t time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{t, s.sequence, do})
}

func (s *run) simulate() {
	s.rng = rand.New(rand.NewPCG(s.seed, 1))
	s.reports = make([]int, servers)
	for i := range servers {
		b := membership.Backend{
			ID: strconv.Itoa(i), Slots: s.slots, State: membership.StateReady,
			Guard: membership.Guard{NodeID: fmt.Sprint("g", i), Region: "r", DataCentre: "d"},
		}
		s.backends = append(s.backends, b)
		q := admission.NewQueue(0, s.slots, membership.StateReady)
		s.guards = append(s.guards, &guard{queue: q, work: map[string]*request{}})
	}
	for range entries {
		p := balance.NewPicker(balance.Location{Region: "r", DataCentre: "d"}, balance.NewPaths(), balance.NewByteBudget(0, 0, 0))
		s.entries = append(s.entries, p)
	}
	for i, src := range s.sources {
		s.arrive(src, rand.New(rand.NewPCG(s.seed, uint64(100+i))))
	}
	s.sample()
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// sample records the load of each server, and refreshes the reports of the baseline.
func (s *run) sample() {
	for i, g := range s.guards {
		busy := g.running + len(g.fifo)
		if s.policy == ours {
			l := g.queue.Load(s.now)
			busy = l.Running + l.Queued
		}
		s.reports[i] = busy
		g.loads = append(g.loads, float64(busy)/float64(s.slots))
	}
	if s.now < s.until {
		s.at(s.now+staleReports, s.sample)
	}
}

// arrive schedules the next arrival by thinning; r is used by this source
// only, so that adding another source leaves its requests unchanged.
func (s *run) arrive(src source, r *rand.Rand) {
	next := s.now + time.Duration(r.ExpFloat64()/src.maxRate*float64(time.Second))
	if next > s.until {
		return
	}
	s.at(next, func() {
		if r.Float64() < src.rate(s.now)/src.maxRate {
			s.begin(src, r)
		}
		s.arrive(src, r)
	})
}

func (s *run) begin(src source, r *rand.Rand) {
	mean, timeout := shortMean, shortTimeout
	if src.long {
		mean, timeout = mean*longRatio, longTimeout
	}
	s.running++
	s.send(&request{
		id: s.running, org: src.org, long: src.long, arrived: s.now, deadline: s.now + timeout,
		service: s.dist.draw(r, mean), entry: r.IntN(entries), tried: map[string]hop.Reason{},
	})
}

// send makes one attempt.
func (s *run) send(r *request) {
	r.attempt++
	i, ok := s.choose(r)
	if !ok {
		s.finish(r, false, false)
		return
	}
	s.at(s.now+hopDelay, func() { s.receive(i, r) })
}

func (s *run) choose(r *request) (int, bool) {
	switch s.policy {
	case randomFIFO:
		return s.rng.IntN(servers), true
	case leastLoaded:
		best := slices.Index(s.reports, slices.Min(s.reports))
		return best, true
	}
	c, ok := s.entries[r.entry].Pick(s.now, s.rng, s.backends, balance.Attempt{Tried: r.tried})
	if !ok {
		return 0, false
	}
	i, _ := strconv.Atoi(c.Backend.ID)
	return i, true
}

func (s *run) receive(i int, r *request) {
	g := s.guards[i]
	if s.policy != ours {
		g.fifo = append(g.fifo, r)
		s.startFIFO(g)
		return
	}
	id := strconv.Itoa(r.id)
	route := "short"
	if r.long {
		route = "long"
	}
	v, ch := g.queue.Offer(s.now, admission.Request{ID: id, Organisation: r.org, Route: route, Deadline: r.deadline})
	g.work[id] = r
	s.apply(i, ch)
	switch v.Decision {
	case admission.Dispatched:
		s.serve(i, id)
	case admission.Refused:
		delete(g.work, id)
		s.refused(i, r, v.Reason)
	}
	s.schedule(i)
}

func (s *run) apply(i int, ch admission.Actions) {
	g := s.guards[i]
	for _, d := range ch.Drop {
		r := g.work[d.ID]
		delete(g.work, d.ID)
		s.refused(i, r, d.Reason)
	}
	for _, id := range ch.Dispatch {
		s.serve(i, id)
	}
	s.schedule(i)
}

// schedule sets the timer of a queue.
func (s *run) schedule(i int) {
	g := s.guards[i]
	next, ok := g.queue.Next()
	if !ok || g.timer > s.now && g.timer <= next {
		return
	}
	g.timer = next
	s.at(next, func() { s.apply(i, g.queue.Advance(s.now)) })
}

func (s *run) serve(i int, id string) {
	g := s.guards[i]
	r := g.work[id]
	g.served++
	s.at(s.now+r.service, func() {
		delete(g.work, id)
		s.apply(i, g.queue.Done(s.now, id, r.service, admission.Answered))
		s.reply(i, r, "", func() { s.finish(r, true, true) })
	})
}

// refused tries another server, unless a further attempt would delay the
// refusal of short work beyond retryWithin and one more wait.
func (s *run) refused(i int, r *request, reason hop.Reason) {
	s.reply(i, r, reason, func() {
		r.tried[s.backends[i].ID] = reason
		if r.attempt < attempts && (r.long || s.now-r.arrived < retryWithin) {
			s.send(r)
			return
		}
		s.finish(r, false, false)
	})
}

// reply takes a reply with its load report to the entry.
func (s *run) reply(i int, r *request, reason hop.Reason, then func()) {
	rep := balance.Feedback{Load: s.guards[i].queue.Load(s.now).Ratio(), HasLoad: true, Reason: reason}
	if i == 0 && s.falseReport != nil {
		rep.Load, rep.HasLoad = s.falseReport.Load, s.falseReport.HasLoad
	}
	s.at(s.now+hopDelay, func() {
		if s.lateReport == 0 {
			s.entries[r.entry].End(s.now, s.backends[i].ID, rep)
		} else {
			s.entries[r.entry].End(s.now, s.backends[i].ID, balance.Feedback{Reason: reason})
			s.at(s.now+s.lateReport, func() { s.entries[r.entry].Report(s.now, s.backends[i].ID, rep) })
		}
		then()
	})
}

func (s *run) startFIFO(g *guard) {
	for g.running < s.slots && len(g.fifo) > 0 {
		r := g.fifo[0]
		g.fifo = g.fifo[1:]
		g.running++
		g.served++
		s.at(s.now+r.service, func() {
			g.running--
			s.startFIFO(g)
			s.at(s.now+hopDelay, func() { s.finish(r, true, true) })
		})
	}
}

func (s *run) finish(r *request, ok, ran bool) {
	s.results = append(s.results, result{request: *r, end: s.now, ok: ok && s.now <= r.deadline, ran: ran})
}
