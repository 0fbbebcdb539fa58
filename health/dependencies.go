package health

import (
	"slices"
	"time"
)

// maxFailedCalls bounds the failed calls that are remembered.
const maxFailedCalls = 64

// Dependencies tells failures of a backend server from those of the services that it
// calls: a run answers with a failure when a call that it needs fails, which says nothing
// of the server that ran it. It is not safe for concurrent use.
type Dependencies struct {
	// failed holds the times of failed calls, oldest first.
	failed []time.Duration
}

// CallFailed takes the failure of a call that the backend server made.
func (d *Dependencies) CallFailed(now time.Duration) {
	if len(d.failed) == maxFailedCalls {
		d.failed = slices.Delete(d.failed, 0, 1)
	}
	d.failed = append(d.failed, now)
}

// Explains reports whether a failed call explains the failure of a run. Each call
// explains one run at most, so that a backend server that fails on its own is not
// excused by a single call.
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
