package entry

import (
	"math/rand/v2"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// retestShare is the share of idempotent requests that are first sent to a suspected or
// ejected backend server, so that its guard receives requests with which it can detect a recovery.
// The guard limits the rate of such tests; a request that it refuses costs one more hop.
const retestShare = 0.1

// choose returns the backend server for the n-th attempt, and false when there is none.
func (rs *requestState) choose(n int, candidates []membership.Backend, a balance.Attempt) (balance.Choice, bool) {
	if n == 1 && rs.route.Idempotent && rand.Float64() < retestShare {
		if unhealthy := rs.unhealthyBackends(); len(unhealthy) > 0 {
			choice, ok := rs.entry.balancer.pick(rs.pool.Service, unhealthy, a)
			// The guard must stay free to refuse the re-test.
			choice.Force = false
			return choice, ok
		}
	}
	return rs.entry.balancer.pick(rs.pool.Service, candidates, a)
}

func (rs *requestState) unhealthyBackends() []membership.Backend {
	var out []membership.Backend
	for _, b := range rs.entry.config.View().Backends(rs.pool.Service) {
		if b.State == membership.StateReady && (b.Suspect || b.Ejected) && rs.pool.AllowsRegion(b.Guard.Region) {
			out = append(out, b)
		}
	}
	return out
}

// refusedForHealth reports whether the reason states that a guard refused the attempt because of
// its backend server's health.
func refusedForHealth(r hop.Reason) bool { return r == hop.ReasonSuspect || r == hop.ReasonEjected }
