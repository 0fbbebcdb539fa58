package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hedge"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/retry"
)

const (
	// burstDuration is the time over which unused budget for traffic to other regions can
	// accumulate.
	burstDuration = 10 * time.Second
	// removalInterval is the time between two removals of services and guards that no longer exist.
	removalInterval = time.Minute
)

// balancer chooses backend servers and holds the budgets that all requests of an entry share.
type balancer struct {
	start               time.Time
	location            balance.Location
	view                func() *membership.View
	mu                  sync.Mutex
	source              *rand.PCG
	random              *rand.Rand
	paths               *balance.Paths
	crossRegionBytes    *balance.ByteBudget
	burst               int64
	minRetriesPerSecond float64
	retryShare          float64
	retryBudgets        map[string]*retry.Budget
	pickers             map[string]*balance.Picker
	lastRemoval         time.Duration
}

func newBalancer(c Config) *balancer {
	rate := float64(c.Limits.CrossRegionBytesPerSecond)
	burst := rate * burstDuration.Seconds()
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	return &balancer{
		start:               time.Now(),
		location:            balance.Location{Region: c.Region, DataCentre: c.DataCentre},
		view:                c.View,
		source:              source,
		random:              rand.New(source),
		paths:               balance.NewPaths(),
		crossRegionBytes:    balance.NewByteBudget(0, rate, burst),
		burst:               int64(burst),
		minRetriesPerSecond: c.MinRetriesPerSecond,
		retryShare:          c.RetryShare,
		retryBudgets:        make(map[string]*retry.Budget),
		pickers:             make(map[string]*balance.Picker),
	}
}

// now returns the time since the start of the entry, the form of time that packages balance
// and retry use.
func (b *balancer) now() time.Duration { return time.Since(b.start) }

// recordRequest counts a caller's request for the service, which adds to the service's retry
// budget.
func (b *balancer) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordRequest(b.now())
}

// allowRetry reports whether the retry budget of the service allows one more attempt of a
// request that a backend server may already have received, and takes that attempt from the
// budget.
func (b *balancer) allowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).TryRetry(b.now())
}

// returnRetry returns what allowRetry took, for an attempt that reached no backend server.
func (b *balancer) returnRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).ReturnRetry(b.now())
}

func (b *balancer) budget(service string) *retry.Budget {
	budget := b.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(b.now(), b.retryShare, b.minRetriesPerSecond)
		b.retryBudgets[service] = budget
	}
	return budget
}

// pick chooses a backend server of the service. Each choice must be followed by a call of
// recordEnd.
func (b *balancer) pick(service string, candidates []membership.Backend, a balance.Attempt) (balance.Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.removeUnused(now)
	p := b.pickers[service]
	if p == nil {
		p = balance.NewPicker(b.location, b.paths, b.crossRegionBytes)
		b.pickers[service] = p
	}
	// An exchange larger than the burst would otherwise never fit the budget. Its full size is
	// charged when it ends.
	a.Bytes = min(a.Bytes, b.burst)
	return p.Pick(now, b.random, candidates, a)
}

// preview returns what pick would choose now. It changes nothing: the random choices come from a copy of
// the random source.
func (b *balancer) preview(service string, candidates []membership.Backend, a balance.Attempt) balance.Preview {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pickers[service]
	if p == nil {
		p = balance.NewPicker(b.location, b.paths, b.crossRegionBytes)
	}
	a.Bytes = min(a.Bytes, b.burst)
	source := *b.source
	return p.Preview(b.now(), rand.New(&source), candidates, a)
}

// serviceState is the state of a service for the decision about a second attempt.
type serviceState struct {
	hedge.Service
	// reportAge is the time since the last load report; negative if there was none.
	reportAge time.Duration
}

// serviceState returns the state of a service with the given candidates. RefusedShare is not set.
func (b *balancer) serviceState(service string, candidates []membership.Backend) serviceState {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pickers[service]
	if p == nil {
		return serviceState{reportAge: -1}
	}
	s := p.Summarise(b.now(), candidates)
	return serviceState{Service: hedge.Service{Servers: s.Servers, Suspected: s.Suspected, Load: s.Load}, reportAge: s.ReportAge}
}

// attemptFeedback is the result of an attempt as far as the balancer uses it: the load and
// health of the backend server, whether its guard could be reached, and the bytes transferred.
type attemptFeedback struct {
	backend balance.Feedback
	// guardReplied is set when the guard replied. pathFailed is set when the guard could not be
	// reached or its reply was lost. When the caller disconnects first, neither is set.
	guardReplied, pathFailed bool
	// refusal is the reason for which the attempt did not run; empty when it may have run.
	refusal hop.Reason
	// expectedBytes and actualBytes count the bytes of request and reply, as estimated before the
	// attempt and as transferred.
	expectedBytes, actualBytes int64
}

func (b *balancer) recordEnd(c balance.Choice, f attemptFeedback) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if p := b.pickers[c.Backend.Service]; p != nil {
		p.End(now, c.Backend.ID, f.backend)
	}
	switch {
	case f.guardReplied:
		b.paths.RecordSuccess(c.Backend.Guard.NodeID)
	case f.pathFailed:
		b.paths.RecordFailure(now, c.Backend.Guard.NodeID)
	}
	if c.Locality == balance.OtherRegion {
		b.crossRegionBytes.Spend(now, f.actualBytes-min(f.expectedBytes, b.burst))
	}
}

// removeUnused drops the services that no longer have backend servers, and the paths to guards
// that have no backend server of a remaining service.
func (b *balancer) removeUnused(now time.Duration) {
	if now-b.lastRemoval < removalInterval {
		return
	}
	b.lastRemoval = now
	guards := make(map[string]bool)
	for service := range b.pickers {
		backends := b.view().Backends(service)
		if len(backends) == 0 {
			delete(b.pickers, service)
			delete(b.retryBudgets, service)
		}
		for _, backend := range backends {
			guards[backend.Guard.NodeID] = true
		}
	}
	b.paths.Retain(func(guard string) bool { return guards[guard] })
}
