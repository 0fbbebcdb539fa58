package retry

const (
	// originWeight is that of one request in the share of a route, about the last fifty.
	originWeight = 1.0 / 50
	// minOrigins is the number of requests of a route before its share says anything.
	minOrigins = 10
	// independentShare is the share of requests that arrive while nothing runs from which
	// a route is taken to be used by callers. A call arrives then only if its run was just
	// given up.
	independentShare = 0.05
	// maxRoutes bounds the memory. Requests of routes beyond it count only if nothing
	// but repeated work runs.
	maxRoutes = 4096
)

// Origin says where a request may come from.
type Origin struct {
	// MayBeCall is set when it may be a call of work at the local backend server.
	MayBeCall bool
	// Repeated is set when it counts as a call of repeated work.
	Repeated bool
}

// OriginClassifier tells the requests of callers from the calls that the local backend server
// makes, and counts those that repeated work makes. Callers and the backend server send
// to the same address, but a call arrives only while its run goes on, so a route that is
// used while nothing runs is one of callers. It is not safe for concurrent use.
type OriginClassifier struct {
	routes map[string]*origin
}

type origin struct {
	// requests counts the requests of the route since the start.
	requests int
	// idle is the decayed share of requests that arrived while nothing ran.
	idle float64
	// owed is the expected number of calls of repeated work that were not counted yet.
	owed float64
}

// NewOriginClassifier returns the knowledge of no routes.
func NewOriginClassifier() *OriginClassifier {
	return &OriginClassifier{routes: make(map[string]*origin)}
}

// Classify takes a request of a route. Of the work that runs at the local backend server,
// some repeats; a call is as likely to come from any of it, so the calls that count as
// repeated are as many as expected.
func (o *OriginClassifier) Classify(route string, running, repeats int) Origin {
	r := o.get(route)
	r.learn(running)
	if running == 0 || !r.calls() {
		return Origin{}
	}
	r.owed += float64(repeats) / float64(running)
	if r.owed < 1 {
		return Origin{MayBeCall: true}
	}
	r.owed--
	return Origin{MayBeCall: true, Repeated: true}
}

// get returns what is known of a route; beyond maxRoutes it is not kept.
func (o *OriginClassifier) get(route string) *origin {
	r := o.routes[route]
	if r == nil {
		r = &origin{}
		if len(o.routes) < maxRoutes {
			o.routes[route] = r
		}
	}
	return r
}

// learn takes whether work runs when a request arrives.
func (r *origin) learn(running int) {
	r.requests++
	idle := 0.0
	if running == 0 {
		idle = 1
	}
	// The first requests weigh as in a plain mean.
	r.idle += (idle - r.idle) * max(originWeight, 1/float64(r.requests))
}

// calls reports whether the requests of the route may be calls.
func (r *origin) calls() bool { return r.requests < minOrigins || r.idle < independentShare }
