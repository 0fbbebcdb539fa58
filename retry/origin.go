package retry

const (
	// requestWeight is the weight of one request in the counts of a route, which thus cover
	// about the last two hundred requests.
	requestWeight = 1.0 / 200
	// minExpectedIdle is the number of idle arrivals that a route used by callers must have led
	// to expect before its counts are used. On a busy node that takes many requests.
	minExpectedIdle = 2.0
	// callerIdleRatio is the ratio of idle arrivals to the expected ones at or above which a
	// route counts as used by callers. A call arrives while the local backend server serves no
	// request only if the guard has just stopped waiting for the request that made the call.
	callerIdleRatio = 0.4
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
// while no request is being served is used by callers. Requests of callers arrive while the
// node is idle as often as the node is idle. It is not safe for concurrent use.
type OriginClassifier struct {
	routes map[string]*record
}

type record struct {
	// idle is the decayed number of requests that arrived while no request ran at the local
	// backend server, and expectedIdle the number to expect of a route used by callers.
	idle, expectedIdle float64
	// usedByCallers is the last conclusion from these counts.
	usedByCallers bool
	// carry is the part of the expected number of calls of repeated attempts that has not
	// been reported as Repeated yet.
	carry float64
}

// NewOriginClassifier returns a classifier that has seen no requests.
func NewOriginClassifier() *OriginClassifier {
	return &OriginClassifier{routes: make(map[string]*record)}
}

// Running is the work in progress at the local backend server.
type Running struct {
	// All is the number of requests that run, Repeats the number of repeated attempts among them.
	All, Repeats int
	// IdleShare is the recent share of time in which no request ran.
	IdleShare float64
}

// Classify records a request of a route and returns its origin. A call is equally likely to
// come from any running request, so the number of calls that count as repeated follows the
// expected number.
func (o *OriginClassifier) Classify(route string, running Running) Origin {
	r := o.get(route)
	r.update(running)
	if running.All == 0 || r.usedByCallers {
		return Origin{}
	}
	r.carry += float64(running.Repeats) / float64(running.All)
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

// update counts a request and concludes from the counts whether callers use the route. While
// too few idle arrivals are expected, the last conclusion stays.
func (r *record) update(running Running) {
	r.idle *= 1 - requestWeight
	r.expectedIdle *= 1 - requestWeight
	r.expectedIdle += running.IdleShare
	if running.All == 0 {
		r.idle++
	}
	if r.expectedIdle >= minExpectedIdle {
		r.usedByCallers = r.idle >= callerIdleRatio*r.expectedIdle
	}
}
