package guard

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/attempt"
)

// activeAttempt is an attempt that was accepted and has not ended.
type activeAttempt struct {
	cancel context.CancelFunc
	// done is closed when the attempt ends.
	done chan struct{}
}

// attempts combines the ledger with the attempts in progress. It is safe for
// concurrent use.
type attempts struct {
	mu     sync.Mutex
	ledger *attempt.Ledger
	active map[string]activeAttempt
}

func newAttempts(l attempt.Limits) *attempts {
	return &attempts{ledger: attempt.NewLedger(l), active: make(map[string]activeAttempt)}
}

func (c *attempts) accept(id string, readAt time.Time, cancel context.CancelFunc) attempt.AcceptResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.ledger.Accept(id, readAt, time.Now())
	if result == attempt.Accepted {
		c.active[id] = activeAttempt{cancel: cancel, done: make(chan struct{})}
	}
	return result
}

// end ends an attempt in progress and wakes the goroutines that wait for it. An
// attempt without a result becomes unknown, or not run if it was never dispatched.
func (c *attempts) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Finish(id, nil, time.Now())
	c.ledger.Refuse(id, time.Now())
	close(c.active[id].done)
	delete(c.active, id)
}

func (c *attempts) dispatch(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Dispatch(id)
}

func (c *attempts) refuse(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Refuse(id, time.Now())
}

func (c *attempts) reserve(id string, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Reserve(id, n, time.Now())
}

func (c *attempts) finish(id string, a *attempt.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Finish(id, a, time.Now())
}

func (c *attempts) answer(id string) (*attempt.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Answer(id, time.Now())
}

// resolve settles the state of an attempt whose answer was lost and cancels the
// attempt if it was queued. done is closed when an attempt in progress ends; it is
// nil for any other attempt.
func (c *attempts) resolve(id string, readAt time.Time) (s attempt.State, done <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s = c.ledger.Resolve(id, readAt, time.Now())
	active := c.active[id]
	if s == attempt.NotRun && active.cancel != nil {
		active.cancel()
	}
	return s, active.done
}

// cancel resolves an attempt and cancels its context if it is in progress.
func (c *attempts) cancel(id string, readAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Resolve(id, readAt, time.Now())
	if active, ok := c.active[id]; ok {
		active.cancel()
	}
}
