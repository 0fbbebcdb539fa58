package ejection

import "time"

// goodAnswers in a row end an ejection. A backend server that still fails 20 %
// of its work achieves that in about 1 % of sequences.
const goodAnswers = 20

// Recovery follows an ejected backend server on its trickle of idempotent work.
type Recovery struct {
	until    time.Duration
	good     int
	answered bool
}

// NewRecovery starts an ejection that lasts at least as long as hold.
func NewRecovery(now, hold time.Duration) Recovery {
	return Recovery{until: now + hold}
}

// Observe counts an answer; one that failed or was slow starts the count again.
func (r *Recovery) Observe(good bool) {
	r.answered = true
	if !good {
		r.good = 0
		return
	}
	r.good++
}

// Done reports whether the ejection may end. A service whose work must not repeat
// has no trickle; its ejections end with the hold time, which doubles each time.
func (r *Recovery) Done(now time.Duration) bool {
	return now >= r.until && (r.good >= goodAnswers || !r.answered)
}
