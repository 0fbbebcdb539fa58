package retry

import "time"

// maxWaitShare is the share of the target latency or timeout within which a backend
// server must have been found, so that the answer can still be in time.
const maxWaitShare = 0.6

// callWaitShare replaces maxWaitShare for calls, which are short compared with their timeout.
const callWaitShare = 0.8

// WaitPolicy bounds how long a request waits while no backend server takes it. All
// durations are measured from the arrival of the request.
type WaitPolicy struct {
	// Target is the latency within which an answer has its full value to the caller. 0
	// means that there is no target and Timeout is used instead.
	Target time.Duration
	// Timeout is the time after which a reply is too late for the caller.
	Timeout time.Duration
	// Call is set for a request that a backend server sent while it handles another one.
	Call bool
}

// MaxWait returns how long after its arrival a request may wait. A request that no
// backend server has received can be refused as not run, so it waits only while its
// answer can still meet the target. For a request that failed and may be repeated, ending
// early would only return the failure, so it waits as long as an answer can still arrive
// before the timeout. If a call is refused, the request fails that waits for it, so a call also
// waits beyond its target.
func (p WaitPolicy) MaxWait(failed bool) time.Duration {
	limit := p.Timeout
	if p.Call {
		return time.Duration(callWaitShare * float64(limit))
	}
	if p.Target > 0 && !failed {
		limit = min(p.Target, limit)
	}
	return time.Duration(maxWaitShare * float64(limit))
}
