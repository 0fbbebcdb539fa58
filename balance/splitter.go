package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/jackdawlane/jackdawlane/route"
)

// goldenStep is the step by which the point of a split moves with each request. With
// the golden ratio, the points of any run of requests cover the weights evenly.
const goldenStep = 0.6180339887498949

// Splitter distributes the requests of routes over their pools by weight. Each entry
// keeps close to the weights by itself and starts at a random point, so that many
// entries with few requests each do not all begin with the same pool.
// It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	random *rand.Rand
	routes map[string]*split
}

// split is the state of one route: its weighted pools, and a point from 0 to 1 on the
// line of their weights that selects the pool of a request.
type split struct {
	pools []route.WeightedPool
	point float64
}

// NewSplitter returns a splitter that draws the first point of each route from rng.
func NewSplitter(rng *rand.Rand) *Splitter {
	return &Splitter{random: rng, routes: make(map[string]*split)}
}

// Pool returns the pool for the next request of a route.
func (s *Splitter) Pool(r route.Route) string {
	if len(r.Split) == 0 {
		return r.Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.routes[r.Key()]
	if state == nil || !slices.Equal(state.pools, r.Split) {
		state = &split{pools: r.Split, point: s.random.Float64()}
		s.routes[r.Key()] = state
	}
	state.point = state.next()
	return state.pool()
}

// Peek returns the pool that the next call of Pool will return for the route. It returns false when the
// first point of the route is not drawn yet.
func (s *Splitter) Peek(r route.Route) (string, bool) {
	if len(r.Split) == 0 {
		return r.Pool, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.routes[r.Key()]
	if state == nil || !slices.Equal(state.pools, r.Split) {
		return "", false
	}
	next := split{pools: state.pools, point: state.next()}
	return next.pool(), true
}

// next returns the point of the next request.
func (s *split) next() float64 { return math.Mod(s.point+goldenStep, 1) }

// pool returns the pool at the current point.
func (s *split) pool() string {
	total := 0.0
	for _, weighted := range s.pools {
		total += weighted.Weight
	}
	rest := s.point * total
	pool := ""
	for _, weighted := range s.pools {
		if weighted.Weight == 0 {
			continue
		}
		pool = weighted.Pool
		if rest < weighted.Weight {
			break
		}
		rest -= weighted.Weight
	}
	return pool
}
