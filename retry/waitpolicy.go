package retry

import "time"

// usefulShare is the share of the time for an answer within which work must have found
// a backend server, so that the answer can still be in time.
const usefulShare = 0.6

// WaitPolicy bounds how long a request waits while no backend server takes it. Its times
// are measured from the arrival of the request.
type WaitPolicy struct {
	// Target is the latency within which an answer has its full value; 0 means Timeout.
	Target time.Duration
	// Timeout is when the request needs its reply.
	Timeout time.Duration
}

// MaxWait returns how long after its arrival a request may wait. A request that no
// backend server has received can be refused as not run, so it waits only while its
// answer can meet the target. One that failed and may be repeated has nothing but the
// failure to gain from an earlier end, so it waits while any answer is in time.
func (p WaitPolicy) MaxWait(failed bool) time.Duration {
	limit := p.Timeout
	if p.Target > 0 && !failed {
		limit = min(p.Target, limit)
	}
	return time.Duration(usefulShare * float64(limit))
}
