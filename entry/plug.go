package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/jackdawlane/jackdawlane/membership"
)

// Picker chooses a backend server for an attempt.
type Picker interface {
	// Pick returns one of candidates, which is not empty.
	Pick(candidates []membership.Backend) membership.Backend
}

// nearest chooses at random among the nearest backend servers: own data
// centre, then own region, then others.
type nearest struct {
	region     string
	dataCentre string
}

// Pick implements Picker.
func (n nearest) Pick(candidates []membership.Backend) membership.Backend {
	var near []membership.Backend
	best := -1
	for _, b := range candidates {
		d := n.distance(b.Guard)
		if best < 0 || d < best {
			best = d
			near = near[:0]
		}
		if d == best {
			near = append(near, b)
		}
	}
	return near[rand.IntN(len(near))]
}

func (n nearest) distance(g membership.Guard) int {
	switch {
	case g.Region != n.region:
		return 2
	case g.DataCentre != n.dataCentre:
		return 1
	}
	return 0
}

// Budget bounds retries of work that may have run.
type Budget interface {
	// Request counts a request.
	Request()
	// TakeRetry reports whether one more retry is allowed, and counts it.
	TakeRetry() bool
}

const (
	// requestsPerRetry allows retries after unknown outcomes for 10 % of requests.
	requestsPerRetry = 10
	// maxSavedRetries bounds the burst of retries after a quiet time.
	maxSavedRetries = 10
)

// shareBudget allows retries as a share of requests.
type shareBudget struct {
	mu sync.Mutex
	// saved counts requests that no retry has used yet.
	saved int
}

// Request implements Budget.
func (b *shareBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+1, maxSavedRetries*requestsPerRetry)
}

// TakeRetry implements Budget.
func (b *shareBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < requestsPerRetry {
		return false
	}
	b.saved -= requestsPerRetry
	return true
}
