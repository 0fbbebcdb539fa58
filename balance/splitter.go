package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/jackdawlane/jackdawlane/route"
)

// goldenStep moves the point of a split so that any run of requests covers the
// shares evenly (golden-ratio sequence).
const goldenStep = 0.6180339887498949

// Splitter shares the requests of routes among their pools by weight. Each entry
// keeps close to the weights on its own and starts at a random point, so that
// many entries with few requests each do not all begin with the same pool.
// It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	random *rand.Rand
	routes map[string]*split
}

// split is the state of one route: a point from 0 to 1 on its weights.
type split struct {
	shares []route.WeightedPool
	point  float64
}

// NewSplitter returns a splitter that draws the first points from rng.
func NewSplitter(rng *rand.Rand) *Splitter {
	return &Splitter{random: rng, routes: make(map[string]*split)}
}

// Pool returns the pool of the next request of a route.
func (s *Splitter) Pool(r route.Route) string {
	if len(r.Split) == 0 {
		return r.Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.routes[r.Key()]
	if state == nil || !slices.Equal(state.shares, r.Split) {
		state = &split{shares: r.Split, point: s.random.Float64()}
		s.routes[r.Key()] = state
	}
	state.point = math.Mod(state.point+goldenStep, 1)
	return state.pool()
}

// pool returns the share at the point.
func (s *split) pool() string {
	total := 0.0
	for _, share := range s.shares {
		total += share.Weight
	}
	rest := s.point * total
	last := ""
	for _, share := range s.shares {
		if share.Weight == 0 {
			continue
		}
		last = share.Pool
		if rest < share.Weight {
			break
		}
		rest -= share.Weight
	}
	return last
}
