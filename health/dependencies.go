package health

import (
	"slices"
	"time"
)

// maxFailedCalls bounds the number of failed calls whose times are kept.
const maxFailedCalls = 64

// Dependencies distinguishes failures of a backend server from failures of the services
// that it calls. When a call that it makes to serve a request fails, the request fails too,
// which says nothing about the health of the backend server. It is not safe for concurrent use.
type Dependencies struct {
	// failed holds the times of failed calls, oldest first.
	failed []time.Duration
}

// CallFailed records that a call made by the backend server failed.
func (d *Dependencies) CallFailed(now time.Duration) {
	if len(d.failed) == maxFailedCalls {
		d.failed = slices.Delete(d.failed, 0, 1)
	}
	d.failed = append(d.failed, now)
}

// Explains reports whether a failed call explains the failure of a request that the backend
// server served from start to end: a call that failed in that time. It removes that call, so
// that each call explains at most one failed request and a single failed call cannot hide
// the failures of a failing backend server.
func (d *Dependencies) Explains(start, end time.Duration) bool {
	for i := len(d.failed) - 1; i >= 0; i-- {
		if d.failed[i] < start {
			return false
		}
		if d.failed[i] <= end {
			d.failed = slices.Delete(d.failed, i, i+1)
			return true
		}
	}
	return false
}
