package guard

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/attempt"
)

// call is an attempt between its arrival and its end.
type call struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// calls joins the ledger with the attempts in progress.
type calls struct {
	mu     sync.Mutex
	ledger *attempt.Ledger
	active map[string]call
}

func newCalls(l attempt.Limits) *calls {
	return &calls{ledger: attempt.NewLedger(l), active: make(map[string]call)}
}

func (c *calls) arrive(id string, known time.Time, cancel context.CancelFunc) attempt.AcceptResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.ledger.Accept(id, known, time.Now())
	if v == attempt.Accepted {
		c.active[id] = call{cancel: cancel, done: make(chan struct{})}
	}
	return v
}

// end wakes those who wait for the attempt. An attempt that ended without a
// result is left unknown, or not run if it was never dispatched.
func (c *calls) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Finish(id, nil, time.Now())
	c.ledger.Refuse(id, time.Now())
	close(c.active[id].done)
	delete(c.active, id)
}

func (c *calls) dispatch(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Dispatch(id)
}

func (c *calls) refuse(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Refuse(id, time.Now())
}

func (c *calls) reserve(id string, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Reserve(id, n, time.Now())
}

func (c *calls) finish(id string, a *attempt.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Finish(id, a, time.Now())
}

func (c *calls) answer(id string) (*attempt.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Answer(id, time.Now())
}

// resolve decides the attempt; an attempt that was queued is cancelled.
// done is closed at the end of an attempt in progress.
func (c *calls) resolve(id string, known time.Time) (s attempt.State, done <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s = c.ledger.Resolve(id, known, time.Now())
	active := c.active[id]
	if s == attempt.NotRun && active.cancel != nil {
		active.cancel()
	}
	return s, active.done
}

// cancel resolves the attempt and ends it if it is in progress.
func (c *calls) cancel(id string, known time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Resolve(id, known, time.Now())
	if active, ok := c.active[id]; ok {
		active.cancel()
	}
}
