package health

import "time"

const (
	// ReportInterval is the longest time between two reports of a guard on a service.
	ReportInterval = 4 * time.Second
	// FrequentReportThreshold in nats is the steering evidence from which a guard reports
	// each second. One failure stays below it, so background errors cost few calls.
	FrequentReportThreshold = 3.0
	// reportLifetime is how long a reporter counts as heard. It tolerates one lost report.
	reportLifetime = 2*ReportInterval + 2*time.Second
)

// Aggregator pools the counters that the guards of one service report. Each
// guard receives the work of the others since its own previous report, so that
// guards may report at different intervals and no work counts twice.
type Aggregator struct {
	reporters map[string]*reporter
	pooled    map[string]RouteCounters
}

type reporter struct {
	incarnation uint64
	at          time.Duration
	totals      map[string]RouteCounters
	// seen is the pool at its latest report.
	seen map[string]RouteCounters
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{reporters: make(map[string]*reporter), pooled: make(map[string]RouteCounters)}
}

// Report takes the cumulative counters of a guard and returns the work that all
// other guards reported since its previous report. The first report of an
// incarnation only sets the origin, since its work may be old.
func (a *Aggregator) Report(now time.Duration, nodeID string, incarnation uint64, backends []BackendCounters) []RouteCounters {
	a.expire(now)
	totals := sumRoutes(backends)
	r := a.reporters[nodeID]
	if r == nil || r.incarnation != incarnation {
		a.reporters[nodeID] = &reporter{
			incarnation: incarnation, at: now, totals: totals, seen: cloneRoutes(a.pooled),
		}
		return []RouteCounters{}
	}
	work := make(map[string]RouteCounters)
	for route, c := range totals {
		d := c.since(r.totals[route])
		addRoute(a.pooled, route, d)
		addRoute(work, route, d)
	}
	others := a.others(r, work)
	r.at, r.totals, r.seen = now, totals, cloneRoutes(a.pooled)
	return others
}

// ReportingGuards returns how many guards other than one have reported lately.
func (a *Aggregator) ReportingGuards(now time.Duration, except string) int {
	a.expire(now)
	n := len(a.reporters)
	if a.reporters[except] != nil {
		n--
	}
	return n
}

// others returns what the pool gained since the reporter's previous report, without its own work.
func (a *Aggregator) others(r *reporter, work map[string]RouteCounters) []RouteCounters {
	gained := make(map[string]RouteCounters)
	for route, c := range a.pooled {
		d := c.since(r.seen[route]).since(work[route])
		if d.Requests > 0 {
			gained[route] = d
		}
	}
	return sortedRoutes(gained)
}

func (a *Aggregator) expire(now time.Duration) {
	for id, r := range a.reporters {
		if now-r.at > reportLifetime {
			delete(a.reporters, id)
		}
	}
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
	sum := m[route].clone()
	sum.Route = route
	sum.add(c)
	m[route] = sum
}

func cloneRoutes(m map[string]RouteCounters) map[string]RouteCounters {
	c := make(map[string]RouteCounters, len(m))
	for route, counters := range m {
		c[route] = counters.clone()
	}
	return c
}
