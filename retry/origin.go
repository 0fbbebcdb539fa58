package retry

const (
	// requestWeight is the weight of one request in a route's idle share, which thus
	// covers about the last fifty requests.
	requestWeight = 1.0 / 50
	// minRequests is the number of requests of a route from which on its idle share is used.
	minRequests = 10
	// callerIdleShare is the idle share at or above which a route counts as used by callers.
	// A call arrives while the local backend server serves no request only if the guard has
	// just stopped waiting for the request that made the call.
	callerIdleShare = 0.05
	// maxRoutes bounds the number of routes that are kept. A request of a further route
	// counts as a call of a repeated attempt only if all running requests are repeated attempts.
	maxRoutes = 4096
)

// Origin says whether a request may be a call, and whether it counts as a repeat.
type Origin struct {
	// MayBeCall is set when the local backend server may have made the request while it
	// served another one.
	MayBeCall bool
	// Repeated is set when the request counts as a call that the local backend server made
	// while it served a repeated attempt.
	Repeated bool
}

// OriginClassifier distinguishes requests of callers from calls, which the local backend
// server makes while it serves a request. It also counts the calls made while serving
// repeated attempts. Callers and the backend server send to the same address, but a call
// arrives only while the request that makes it is being served, so a route that is used
// while no request is being served is used by callers. It is not safe for concurrent use.
type OriginClassifier struct {
	routes map[string]*record
}

type record struct {
	// requests is the number of requests of the route so far.
	requests int
	// idleShare is the decayed share of requests that arrived while no request ran at the local
	// backend server.
	idleShare float64
	// carry is the part of the expected number of calls of repeated attempts that has not
	// been reported as Repeated yet.
	carry float64
}

// NewOriginClassifier returns a classifier that has seen no requests.
func NewOriginClassifier() *OriginClassifier {
	return &OriginClassifier{routes: make(map[string]*record)}
}

// Classify records a request of a route and returns its origin. Running is the number of
// requests that run at the local backend server, and repeated is how many of those are
// repeated attempts. A call is equally likely to come from any of them, so the number of calls
// that count as repeated follows the expected number.
func (o *OriginClassifier) Classify(route string, running, repeated int) Origin {
	r := o.get(route)
	r.update(running)
	if running == 0 || !r.mayBeCalls() {
		return Origin{}
	}
	r.carry += float64(repeated) / float64(running)
	if r.carry < 1 {
		return Origin{MayBeCall: true}
	}
	r.carry--
	return Origin{MayBeCall: true, Repeated: true}
}

// get returns the record of a route. A new record is kept only while there are fewer
// than maxRoutes.
func (o *OriginClassifier) get(route string) *record {
	r := o.routes[route]
	if r == nil {
		r = &record{}
		if len(o.routes) < maxRoutes {
			o.routes[route] = r
		}
	}
	return r
}

// update updates the idle share with a request that arrived while running requests ran
// at the local backend server.
func (r *record) update(running int) {
	r.requests++
	idle := 0.0
	if running == 0 {
		idle = 1
	}
	// The first requests have the same weight as in a plain mean.
	r.idleShare += (idle - r.idleShare) * max(requestWeight, 1/float64(r.requests))
}

// mayBeCalls reports whether requests of the route may be calls: its idle share is low, or
// rests on too few requests.
func (r *record) mayBeCalls() bool { return r.requests < minRequests || r.idleShare < callerIdleShare }
