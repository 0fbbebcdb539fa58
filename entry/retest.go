package entry

import (
	"math/rand/v2"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// retestShare of idempotent requests first try a backend server that is
// suspected or ejected, so that its guard sees work by which it can recover.
// The guard limits the rate; a refused try costs one more hop.
const retestShare = 0.1

// choose returns the backend server of the n-th attempt, false when there is none.
func (t *task) choose(n int, candidates []membership.Backend, a balance.Attempt) (balance.Choice, bool) {
	if n == 1 && t.route.Idempotent && rand.Float64() < retestShare {
		if unhealthy := t.unhealthy(); len(unhealthy) > 0 {
			choice, ok := t.entry.balancer.pick(t.pool.Service, unhealthy, a)
			// The guard decides whether it takes the re-test.
			choice.Force = false
			return choice, ok
		}
	}
	return t.entry.balancer.pick(t.pool.Service, candidates, a)
}

func (t *task) unhealthy() []membership.Backend {
	var out []membership.Backend
	for _, b := range t.entry.config.View().Backends(t.pool.Service) {
		if b.State == membership.StateReady && (b.Suspect || b.Ejected) && t.pool.Allows(b.Guard.Region) {
			out = append(out, b)
		}
	}
	return out
}

// steered reports whether a guard refused the work because of the backend server's health.
func steered(r hop.Reason) bool { return r == hop.ReasonSuspect || r == hop.ReasonEjected }
