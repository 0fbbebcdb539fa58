package ejection

import "time"

// goodAnswers in a row end an ejection. A backend server that still fails 20 %
// of its work achieves that in about 1 % of sequences.
const goodAnswers = 20

// Recovery follows an ejected backend server on its trickle of idempotent work.
type Recovery struct {
	until time.Duration
	good  int
}

// NewRecovery starts the n-th ejection of a backend server.
func NewRecovery(now time.Duration, n int) Recovery {
	return Recovery{until: now + HoldTime(n)}
}

// Observe counts an answer; one that failed or was slow starts the count again.
func (r *Recovery) Observe(good bool) {
	if !good {
		r.good = 0
		return
	}
	r.good++
}

// Done reports whether the ejection may end.
func (r *Recovery) Done(now time.Duration) bool {
	return now >= r.until && r.good >= goodAnswers
}
