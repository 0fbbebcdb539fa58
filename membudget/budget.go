// Package membudget bounds the memory that all users of a kind of buffer take together.
package membudget

import (
	"sync"
	"sync/atomic"
)

// Budget is a number of bytes that leases share. A nil Budget has no bound. It is safe for concurrent use.
type Budget struct {
	bytes int64
	used  atomic.Int64
}

// New returns a budget of the number of bytes.
func New(bytes int64) *Budget { return &Budget{bytes: bytes} }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Lease returns a lease that has taken nothing.
func (b *Budget) Lease() *Lease { return &Lease{budget: b} }

// Lease is what one user has taken of a budget. It is safe for concurrent use.
type Lease struct {
	budget   *Budget
	mu       sync.Mutex
	taken    int64
	released bool
}

// Take takes n more bytes, and returns false when the budget or the lease has none left.
func (l *Lease) Take(n int64) bool {
	if l.budget == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return false
	}
	if l.budget.used.Add(n) > l.budget.bytes {
		l.budget.used.Add(-n)
		return false
	}
	l.taken += n
	return true
}

// Return gives n bytes back.
func (l *Lease) Return(n int64) {
	if l.budget == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, l.taken)
	l.taken -= n
	l.budget.used.Add(-n)
}

// Release gives back what was taken. The lease takes nothing more.
func (l *Lease) Release() {
	if l.budget == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.used.Add(-l.taken)
	l.taken, l.released = 0, true
}
