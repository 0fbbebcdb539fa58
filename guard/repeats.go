package guard

import (
	"sync"

	"github.com/jackdawlane/jackdawlane/retry"
)

// repeats limits the attempts that may have reached a backend server before. The guard
// of each backend server holds a part of the budget of its service, because it sees all
// that arrives there: fewer and larger parts than one for each entry, and no messages.
type repeats struct {
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// allowRepeat counts an attempt and reports whether the budget of its service allows it.
func (g *Guard) allowRepeat(j job) bool {
	if g.config.RepeatShare == 0 {
		return true
	}
	spare := g.config.RepeatSpare(j.service)
	now := g.registry.clock()
	r := &g.repeats
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budgets[j.service]
	if budget == nil {
		if r.budgets == nil {
			r.budgets = make(map[string]*retry.Budget)
		}
		budget = retry.NewBudget(now, g.config.RepeatShare, spare.Burst)
		r.budgets[j.service] = budget
	}
	budget.SetSpare(spare)
	if j.repeat {
		return budget.Allow(now)
	}
	budget.Request(now)
	return true
}
