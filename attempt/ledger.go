// Package attempt records what a guard did with each attempt. With these records
// the guard dispatches no attempt twice, and can tell an entry that lost the
// answer to an attempt whether the attempt ran.
//
// A record expires Retention after its attempt ended. Expiry is safe because an
// attempt carries a reading of the guard's own clock that was made before the
// attempt was sent, and the guard accepts the attempt only within MaxAge of that
// reading: a copy that arrives after the record has expired is too old to be
// accepted. The clocks of other nodes are not used.
package attempt

import (
	"net/http"
	"time"
)

// Retention periods.
const (
	// Retention is how long the record of an ended attempt is kept. This includes
	// tombstones, the records of attempts that are known not to have run.
	Retention = 20 * time.Minute
	// AnswerRetention is how long the answer to an ended attempt is kept.
	AnswerRetention = 30 * time.Second
	// MaxAge bounds the age of the guard time that an attempt carries, at its arrival
	// or first resolution. The guard time is a reading of the guard's own clock, and
	// its age is measured with the same clock. MaxAge is half of Retention; the rest of
	// Retention is a margin.
	MaxAge = Retention / 2
)

// Limits bounds the memory of a ledger.
type Limits struct {
	// Records bounds the number of records.
	Records int
	// AnswerBytes bounds the body of one retained answer.
	AnswerBytes int
	// TotalBytes bounds the bodies of all retained answers.
	TotalBytes int
}

// DefaultLimits has room for the records of 20 min of attempts at 200 a second,
// more than twice the rate of a node at the target size, and for 32 MB of answers.
var DefaultLimits = Limits{Records: 1 << 18, AnswerBytes: 1 << 20, TotalBytes: 32 << 20}

// State is what a ledger knows about an attempt.
type State int

// States of an attempt.
const (
	// Unseen attempts have no record.
	Unseen State = iota
	// Queued attempts have not been dispatched.
	Queued
	// Dispatched attempts may have reached the backend server but have not ended.
	Dispatched
	// Answered attempts have a retained answer.
	Answered
	// NotRun attempts did not run and never will.
	NotRun
	// Unknown attempts may have run and have no retained answer.
	Unknown
)

// Answer is the complete response to an attempt. It must not be changed once retained.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// AcceptResult says whether a ledger accepts an arriving attempt.
type AcceptResult int

// Results for an arriving attempt.
const (
	// Accepted attempts are now queued.
	Accepted AcceptResult = iota
	// RefusedNotRun attempts have a tombstone: they did not run and never will.
	RefusedNotRun
	// RefusedTooOld attempts carry a guard time that is more than MaxAge old or in
	// the future. A copy may have run, and its record may have expired.
	RefusedTooOld
	// RefusedFull attempts arrived when the ledger had no room for another record.
	// They leave no tombstone, so a later copy could be accepted although this one is
	// known not to have run. An entry must therefore send no second copy of an attempt
	// that could still be accepted.
	RefusedFull
	// RefusedDuplicate attempts were accepted before and may have run.
	RefusedDuplicate
)

type record struct {
	state         State
	reservedBytes int
	answer        *Answer
}

// Ledger holds the records of one guard. It is not safe for concurrent use.
type Ledger struct {
	limits        Limits
	records       map[string]*record
	recordExpiry  expiryQueue
	answerExpiry  expiryQueue
	retainedBytes int
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, records: make(map[string]*record)}
}

// Accept queues an arriving attempt, unless it has to be refused. The attempt
// carries guardTime, a reading of the guard's clock.
func (l *Ledger) Accept(id string, guardTime, now time.Time) AcceptResult {
	l.expire(now)
	if r, ok := l.records[id]; ok {
		if r.state == NotRun {
			return RefusedNotRun
		}
		return RefusedDuplicate
	}
	if !withinMaxAge(guardTime, now) {
		return RefusedTooOld
	}
	if len(l.records) >= l.limits.Records {
		return RefusedFull
	}
	l.records[id] = &record{state: Queued}
	return Accepted
}

// Dispatch reports whether a queued attempt may be sent to its backend server.
// It returns true at most once for an attempt.
func (l *Ledger) Dispatch(id string) bool {
	r, ok := l.records[id]
	if !ok || r.state != Queued {
		return false
	}
	r.state = Dispatched
	return true
}

// Refuse ends an attempt as not run. The attempt must be queued, or dispatched
// without a byte of it having been sent to the backend server.
func (l *Ledger) Refuse(id string, now time.Time) {
	if r, ok := l.records[id]; ok && (r.state == Queued || r.state == Dispatched) {
		l.end(id, r, NotRun, now)
	}
}

// Reserve reserves n more bytes for the answer to a dispatched attempt. It drops
// the oldest retained answers if it needs their room. When it returns false, the
// answer cannot be retained and the bytes reserved for it so far are free again.
func (l *Ledger) Reserve(id string, n int, now time.Time) bool {
	l.expire(now)
	r, ok := l.records[id]
	if !ok || r.state != Dispatched {
		return false
	}
	if r.reservedBytes+n > l.limits.AnswerBytes || !l.makeRoom(n) {
		l.release(r)
		return false
	}
	r.reservedBytes += n
	l.retainedBytes += n
	return true
}

// Finish ends a dispatched attempt and retains its answer. When the answer is
// nil, or its body is not as long as the bytes reserved for it, the attempt
// ends in state Unknown.
func (l *Ledger) Finish(id string, a *Answer, now time.Time) {
	r, ok := l.records[id]
	if !ok || r.state != Dispatched {
		return
	}
	if a == nil || len(a.Body) != r.reservedBytes {
		l.end(id, r, Unknown, now)
		return
	}
	l.end(id, r, Answered, now)
	r.answer = a
	l.answerExpiry.push(id, now.Add(AnswerRetention))
}

// Resolve returns the state of an attempt whose answer was lost. The attempt
// carries guardTime, a reading of the guard's clock. An attempt that is unseen or
// queued gets a tombstone, so that it never runs. The result for an unseen attempt
// is Unknown when its record may have expired or there is no room for a tombstone.
func (l *Ledger) Resolve(id string, guardTime, now time.Time) State {
	l.expire(now)
	r, ok := l.records[id]
	if !ok {
		if len(l.records) >= l.limits.Records || !withinMaxAge(guardTime, now) {
			return Unknown
		}
		r = &record{}
		l.records[id] = r
	}
	if r.state == Unseen || r.state == Queued {
		l.end(id, r, NotRun, now)
	}
	return r.state
}

// Answer returns the retained answer of an attempt.
func (l *Ledger) Answer(id string, now time.Time) (*Answer, bool) {
	l.expire(now)
	r, ok := l.records[id]
	if !ok || r.state != Answered {
		return nil, false
	}
	return r.answer, true
}

// withinMaxAge reports whether guardTime is at most MaxAge old. It returns false
// for a time in the future, which cannot be a reading of this guard's clock.
func withinMaxAge(guardTime, now time.Time) bool {
	age := now.Sub(guardTime)
	return age >= 0 && age <= MaxAge
}

// end moves an attempt to a final state and schedules the expiry of its record.
func (l *Ledger) end(id string, r *record, s State, now time.Time) {
	r.state = s
	if s != Answered {
		l.release(r)
	}
	l.recordExpiry.push(id, now.Add(Retention))
}

// release drops the answer of an attempt and the bytes reserved for it.
func (l *Ledger) release(r *record) {
	l.retainedBytes -= r.reservedBytes
	r.reservedBytes = 0
	r.answer = nil
}

// makeRoom drops the oldest retained answers until n more bytes fit. It returns
// false when they do not fit without any retained answer.
func (l *Ledger) makeRoom(n int) bool {
	for l.retainedBytes+n > l.limits.TotalBytes {
		id, ok := l.answerExpiry.pop()
		if !ok {
			return false
		}
		l.dropAnswer(id)
	}
	return true
}

// dropAnswer drops the retained answer of an attempt, whose state becomes Unknown.
func (l *Ledger) dropAnswer(id string) {
	r := l.records[id]
	r.state = Unknown
	l.release(r)
}

// expire drops the answers and the records whose retention ends by now.
func (l *Ledger) expire(now time.Time) {
	for l.answerExpiry.due(now) {
		id, _ := l.answerExpiry.pop()
		l.dropAnswer(id)
	}
	for l.recordExpiry.due(now) {
		id, _ := l.recordExpiry.pop()
		delete(l.records, id)
	}
}
