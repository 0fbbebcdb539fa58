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

// mayRepeat reports whether the budget has room for an attempt. It takes nothing,
// because the attempt may still be refused before it arrives.
func (g *Guard) mayRepeat(j job) bool {
	if g.config.RepeatShare == 0 || !j.repeat {
		return true
	}
	g.repeats.mu.Lock()
	defer g.repeats.mu.Unlock()
	return g.budget(j.service).Has(g.registry.clock())
}

// countArrival counts an attempt that is about to be dispatched. It returns false when
// that is a repeat beyond the budget. Only what arrives counts: one request may be
// refused by several guards before.
func (g *Guard) countArrival(j job) bool {
	if g.config.RepeatShare == 0 {
		return true
	}
	g.repeats.mu.Lock()
	defer g.repeats.mu.Unlock()
	now := g.registry.clock()
	budget := g.budget(j.service)
	if j.repeat {
		return budget.Allow(now)
	}
	budget.Request(now)
	return true
}

// budget returns the budget of a service; repeats.mu is held.
func (g *Guard) budget(service string) *retry.Budget {
	spare := g.config.RepeatSpare(service)
	budget := g.repeats.budgets[service]
	if budget == nil {
		budget = retry.NewBudget(g.registry.clock(), g.config.RepeatShare, spare.Burst)
		if g.repeats.budgets == nil {
			g.repeats.budgets = make(map[string]*retry.Budget)
		}
		g.repeats.budgets[service] = budget
	}
	budget.SetSpare(spare)
	return budget
}
