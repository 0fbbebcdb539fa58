package ejection

import "time"

// answersToRecover is the number of good answers in a row that end an ejection. A backend
// server that still fails 20 % of its requests gives that many in about 1 % of sequences.
const answersToRecover = 20

// Recovery decides when an ejection may end, from the answers of the ejected backend server
// to the few idempotent requests that re-test it.
type Recovery struct {
	// until is the end of the hold time; the ejection does not end before it.
	until     time.Duration
	goodInRow int
	answered  bool
}

// NewRecovery returns the recovery of an ejection that starts at now and lasts at least for hold.
func NewRecovery(now, hold time.Duration) Recovery {
	return Recovery{until: now + hold}
}

// Observe counts a good answer; an answer that is not good, failed or slow, sets the count to zero.
func (r *Recovery) Observe(good bool) {
	r.answered = true
	if !good {
		r.goodInRow = 0
		return
	}
	r.goodInRow++
}

// Done reports whether the ejection may end: the hold time is over, and either the backend
// server has given answersToRecover good answers in a row or no answer has been observed
// since the ejection began. A service whose requests must not be repeated gets no re-tests;
// its ejections are meant to end with the hold time, which doubles each time. However, a
// single answer to a request that was already running when the ejection began sets
// answered, and the ejection then ends only after answersToRecover good answers in a row.
func (r *Recovery) Done(now time.Duration) bool {
	return now >= r.until && (r.goodInRow >= answersToRecover || !r.answered)
}
