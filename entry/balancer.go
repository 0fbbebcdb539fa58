package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/retry"
)

const (
	// burstTime is how much unused traffic to other regions is saved.
	burstTime = 10 * time.Second
	// forgetInterval is the time between two removals of services and guards that are gone.
	forgetInterval = time.Minute
)

// balancer shares the choice of backend servers and the budgets among the requests of an entry.
type balancer struct {
	start   time.Time
	at      balance.Location
	view    func() *membership.View
	mu      sync.Mutex
	random  *rand.Rand
	paths   *balance.Paths
	bytes   *balance.ByteBudget
	burst   int64
	minimum float64
	share   float64
	retries map[string]*retry.Budget
	pickers map[string]*balance.Picker
	forgot  time.Duration
}

func newBalancer(c Config) *balancer {
	rate := float64(c.Limits.CrossRegionBytesPerSecond)
	burst := rate * burstTime.Seconds()
	return &balancer{
		start:   time.Now(),
		at:      balance.Location{Region: c.Region, DataCentre: c.DataCentre},
		view:    c.View,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		paths:   balance.NewPaths(),
		bytes:   balance.NewByteBudget(0, rate, burst),
		burst:   int64(burst),
		minimum: c.RetryMinimum,
		share:   c.RetryShare,
		retries: make(map[string]*retry.Budget),
		pickers: make(map[string]*balance.Picker),
	}
}

// now is the time that the decisions of balance and retry need.
func (b *balancer) now() time.Duration { return time.Since(b.start) }

// request counts a request of a caller for the service.
func (b *balancer) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Request(b.now())
}

// allowRetry reports whether a backend server of the service may be sent a request that
// another one received before.
func (b *balancer) allowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Allow(b.now())
}

func (b *balancer) budget(service string) *retry.Budget {
	budget := b.retries[service]
	if budget == nil {
		budget = retry.NewBudget(b.now(), b.share, b.minimum)
		b.retries[service] = budget
	}
	return budget
}

// pick chooses a backend server of the service. end must follow each choice.
func (b *balancer) pick(service string, candidates []membership.Backend, a balance.Attempt) (balance.Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.forget(now)
	p := b.pickers[service]
	if p == nil {
		p = balance.NewPicker(b.at, b.paths, b.bytes)
		b.pickers[service] = p
	}
	// An exchange above the burst would otherwise never fit. It is charged in full at its end.
	a.Bytes = min(a.Bytes, b.burst)
	return p.Pick(now, b.random, candidates, a)
}

// ending is what an attempt showed.
type ending struct {
	reply balance.Feedback
	// replied is true when the guard replied, and failed when it could not be
	// reached or its reply was lost. A caller that goes away shows neither.
	replied, failed bool
	// expected and actual are the bytes of request and reply.
	expected, actual int64
}

func (b *balancer) end(c balance.Choice, e ending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if p := b.pickers[c.Backend.Service]; p != nil {
		p.End(now, c.Backend.ID, e.reply)
	}
	switch {
	case e.replied:
		b.paths.RecordSuccess(c.Backend.Guard.NodeID)
	case e.failed:
		b.paths.RecordFailure(now, c.Backend.Guard.NodeID)
	}
	if c.Locality == balance.OtherRegion {
		b.bytes.Spend(now, e.actual-min(e.expected, b.burst))
	}
}

// forget drops the services without backend servers, and the paths to guards
// without backend servers of the remaining services.
func (b *balancer) forget(now time.Duration) {
	if now-b.forgot < forgetInterval {
		return
	}
	b.forgot = now
	guards := make(map[string]bool)
	for service := range b.pickers {
		backends := b.view().Backends(service)
		if len(backends) == 0 {
			delete(b.pickers, service)
			delete(b.retries, service)
		}
		for _, m := range backends {
			guards[m.Guard.NodeID] = true
		}
	}
	b.paths.Retain(func(guard string) bool { return guards[guard] })
}
