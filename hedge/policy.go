package hedge

import "time"

const (
	// targetShare is the share of the target latency after which an unanswered request is sent to a
	// second backend server at the latest. The answer of that attempt can then still arrive within
	// the target.
	targetShare = 0.5
	// minDelay is the shortest delay. It is the latency that entry and guard may add; below it a second
	// attempt would mostly measure the way to the guard.
	minDelay = 2 * time.Millisecond
	// maxLoad is the mean load of a service, as a ratio to its limits of concurrency, from which on it
	// counts as near its capacity. With the four to seven slots of a backend server, first attempts
	// begin to wait there, and a hedge would make others wait.
	maxLoad = 0.75
	// maxSuspectedShare is the share of suspected backend servers from which on none is hedged: the
	// others then carry at least twice their load. About 30 % are suspected at any time in a deployment
	// whose gray failures are hangs, and hedging must work there.
	maxSuspectedShare = 0.5
	// maxRefusedShare is the share of refused attempts above which a service counts as overloaded or
	// as recovering.
	maxRefusedShare = 0.1
)

// MaxTries is how often a second attempt of a request is tried, each time one delay after the last try
// was refused. The reason of a refusal may pass within that time, and the requests that still wait then
// are the slowest.
const MaxTries = 4

// Basis is what the delay of a second attempt is derived from.
type Basis string

// The values of Basis.
const (
	BasisQuantile Basis = "quantile"
	BasisTarget   Basis = "target"
)

// TargetDelay returns the delay that is derived from the target latency of a route; 0 when none is
// stated.
func TargetDelay(target time.Duration) time.Duration {
	return time.Duration(targetShare * float64(target))
}

// Delay returns the time after which an unanswered attempt gets a second one in parallel: the
// q-quantile of the observed latencies, which may be nil, but at most the delay by the target latency.
// Without enough observations it is the latter. It returns false when neither is known.
func Delay(now time.Duration, observed *Latencies, q float64, target time.Duration) (time.Duration, Basis, bool) {
	latest := TargetDelay(target)
	if observed != nil {
		delay, ok := observed.Quantile(now, q)
		delay = max(delay, minDelay)
		if ok && (latest == 0 || delay < latest) {
			return delay, BasisQuantile, true
		}
	}
	return latest, BasisTarget, latest > 0
}

// Refusal says why a second attempt is not sent; empty when it is.
type Refusal string

// The refusals. Those of the guards are reasons of package hop.
const (
	RefusedSuspected  Refusal = "suspected"
	RefusedOverload   Refusal = "overload"
	RefusedNearLimit  Refusal = "load"
	RefusedNoBackend  Refusal = "no-backend-server"
	RefusedRetryShare Refusal = "retry-budget"
	RefusedStopping   Refusal = "stopping"
)

// Service is the state of a service in the entry's region as the entry sees it.
type Service struct {
	// Servers is the number of its backend servers, Suspected that of those that are suspected,
	// ejected or out of reach.
	Servers, Suspected int
	// Load is the mean load of the others, as a ratio to their limits.
	Load float64
	// RefusedShare is the share of recent attempts that were refused.
	RefusedShare float64
}

// Check returns why a second attempt must not be sent to the service.
func (s Service) Check() Refusal {
	switch {
	case float64(s.Suspected) >= maxSuspectedShare*float64(s.Servers):
		return RefusedSuspected
	case s.RefusedShare > maxRefusedShare:
		return RefusedOverload
	case s.Load >= maxLoad:
		return RefusedNearLimit
	}
	return ""
}

// FitsBackend reports whether a backend server takes a second attempt: only if it starts at once,
// because it must not make a first attempt wait.
func FitsBackend(running, queued, limit int) bool { return queued == 0 && running < limit }
