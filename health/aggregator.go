package health

import "time"

const (
	// ReportInterval is the longest time between two reports of a guard on a service.
	ReportInterval = 4 * time.Second
	// FrequentReportThreshold is the amount of evidence against a backend server, in nats, at or
	// above which its guard sends a report every second. A single failure adds less than this,
	// so background errors cause few additional reports.
	FrequentReportThreshold = 3.0
	// reportLifetime is the time after which a guard that sends no report is dropped. It
	// tolerates one lost report.
	reportLifetime = 2*ReportInterval + 2*time.Second
)

// Aggregator sums the counters that the guards of one service report. The response
// to a report holds the requests that all other guards reported since the previous
// report of the same guard. Guards may therefore report at different intervals, and
// no request counts twice.
type Aggregator struct {
	// reporters holds the state of each reporting guard by node ID.
	reporters map[string]*reporter
	// pooled holds the sum over all guards by route.
	pooled map[string]RouteCounters
}

// reporter is the state of one reporting guard.
type reporter struct {
	incarnation uint64
	reportedAt  time.Duration
	// totals holds the cumulative counters of the latest report by route.
	totals map[string]RouteCounters
	// pooledAtReport is the value of Aggregator.pooled at the guard's latest report.
	pooledAtReport map[string]RouteCounters
}

// NewAggregator returns an aggregator that has received no reports.
func NewAggregator() *Aggregator {
	return &Aggregator{reporters: make(map[string]*reporter), pooled: make(map[string]RouteCounters)}
}

// Report records the cumulative counters of a guard and returns what all other guards
// reported since its previous report. The first report of an incarnation only sets the
// reference for later differences, because its cumulative counters may include requests
// from long before the report.
func (a *Aggregator) Report(now time.Duration, nodeID string, incarnation uint64, backends []BackendCounters) []RouteCounters {
	a.expire(now)
	totals := sumRoutes(backends)
	r := a.reporters[nodeID]
	if r == nil || r.incarnation != incarnation {
		a.reporters[nodeID] = &reporter{
			incarnation: incarnation, reportedAt: now, totals: totals, pooledAtReport: cloneRoutes(a.pooled),
		}
		return []RouteCounters{}
	}
	own := make(map[string]RouteCounters)
	for route, c := range totals {
		d := c.since(r.totals[route])
		addRoute(a.pooled, route, d)
		addRoute(own, route, d)
	}
	others := a.addedByOthers(r, own)
	r.reportedAt, r.totals, r.pooledAtReport = now, totals, cloneRoutes(a.pooled)
	return others
}

// ReportingGuards returns how many guards have reported within reportLifetime, not
// counting the guard whose node ID is except.
func (a *Aggregator) ReportingGuards(now time.Duration, except string) int {
	a.expire(now)
	n := len(a.reporters)
	if a.reporters[except] != nil {
		n--
	}
	return n
}

// addedByOthers returns what was added to the sum since the reporter's previous report,
// without the reporter's own counters in own.
func (a *Aggregator) addedByOthers(r *reporter, own map[string]RouteCounters) []RouteCounters {
	gained := make(map[string]RouteCounters)
	for route, c := range a.pooled {
		d := c.since(r.pooledAtReport[route]).since(own[route])
		if d.Requests > 0 {
			gained[route] = d
		}
	}
	return sortedRoutes(gained)
}

func (a *Aggregator) expire(now time.Duration) {
	for id, r := range a.reporters {
		if now-r.reportedAt > reportLifetime {
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
