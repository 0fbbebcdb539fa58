package health

import (
	"slices"
	"time"
)

// maxFailedCalls bounds the number of failed calls whose times are kept.
const maxFailedCalls = 64

// FailedCalls holds the times of the failed calls of a backend server, to distinguish its own
// failures from failures of the services that it calls. When a call that it makes to serve a
// request fails, the request fails too, which says nothing about the health of the backend
// server. It is not safe for concurrent use.
type FailedCalls struct {
	// failed holds the times of failed calls, oldest first.
	failed []time.Duration
}

// Record adds a call by the backend server that failed at now. If the list is full, it drops the
// oldest call.
func (c *FailedCalls) Record(now time.Duration) {
	if len(c.failed) == maxFailedCalls {
		c.failed = slices.Delete(c.failed, 0, 1)
	}
	c.failed = append(c.failed, now)
}

// MatchFailure reports whether a call failed while the backend server served, from start to end, a
// request that failed; that call then explains the failure. It removes that call, so that each
// call explains at most one failed request and a single failed call cannot hide the failures of a
// failing backend server.
func (c *FailedCalls) MatchFailure(start, end time.Duration) bool {
	for i := len(c.failed) - 1; i >= 0; i-- {
		if c.failed[i] < start {
			return false
		}
		if c.failed[i] <= end {
			c.failed = slices.Delete(c.failed, i, i+1)
			return true
		}
	}
	return false
}
