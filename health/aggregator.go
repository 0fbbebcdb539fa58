package health

import "time"

// reportLifetime is how long the last report of a guard counts. Reports come
// each second, so this tolerates one that is late.
const reportLifetime = 2 * time.Second

// Aggregator pools the counters that the guards of one service report.
type Aggregator struct {
	reporters map[string]*reporter
}

type reporter struct {
	incarnation uint64
	at          time.Duration
	totals      map[string]RouteCounters
	recent      map[string]RouteCounters
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{reporters: make(map[string]*reporter)}
}

// Report takes the cumulative counters of a guard and returns the pooled work
// of all other guards in their latest reporting interval. The first report of an
// incarnation only sets the origin, since its work may be old.
func (a *Aggregator) Report(now time.Duration, nodeID string, incarnation uint64, backends []BackendCounters) []RouteCounters {
	totals := sumRoutes(backends)
	recent := make(map[string]RouteCounters)
	if r := a.reporters[nodeID]; r != nil && r.incarnation == incarnation {
		for route, c := range totals {
			recent[route] = c.since(r.totals[route])
		}
	}
	a.reporters[nodeID] = &reporter{incarnation: incarnation, at: now, totals: totals, recent: recent}
	return a.pool(now, nodeID)
}

func (a *Aggregator) pool(now time.Duration, except string) []RouteCounters {
	pooled := make(map[string]RouteCounters)
	for id, r := range a.reporters {
		if now-r.at > reportLifetime {
			delete(a.reporters, id)
			continue
		}
		if id == except {
			continue
		}
		for route, c := range r.recent {
			addRoute(pooled, route, c)
		}
	}
	return sortedRoutes(pooled)
}

func sumRoutes(backends []BackendCounters) map[string]RouteCounters {
	totals := make(map[string]RouteCounters)
	for _, b := range backends {
		for _, c := range b.Routes {
			addRoute(totals, c.Route, c)
		}
	}
	return totals
}

func addRoute(m map[string]RouteCounters, route string, c RouteCounters) {
	sum := m[route]
	sum.Route = route
	sum.add(c)
	m[route] = sum
}
