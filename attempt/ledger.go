// Package attempt records what a guard did with each attempt, so that no
// attempt is dispatched twice and a lost answer can be accounted for.
//
// A record expires Retention after its attempt ended. Expiry is safe because an
// attempt carries a reading of the guard's own clock from before it was sent,
// and is taken only within MaxAge of that reading: a copy that arrives after
// its record has expired is too old to be taken. No clock of another node counts.
package attempt

import (
	"net/http"
	"time"
)

// Retention periods.
const (
	// Retention is how long a tombstone, or the record of an ended attempt, is kept.
	Retention = 20 * time.Minute
	// AnswerRetention is how long a retained answer is kept.
	AnswerRetention = 30 * time.Second
	// MaxAge bounds the time between the sending of an attempt and its arrival or
	// first resolution. Half of Retention leaves the other half for clock differences.
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

// DefaultLimits holds 20 min of attempts at 200 a second, more than twice the
// rate of a node at the target size, and 32 MB of answers.
var DefaultLimits = Limits{Records: 1 << 18, AnswerBytes: 1 << 20, TotalBytes: 32 << 20}

// State is what a ledger knows about an attempt.
type State int

// States of an attempt.
const (
	// Unseen attempts have no record.
	Unseen State = iota
	// Queued attempts have not been dispatched.
	Queued
	// Dispatched attempts may have reached the backend server and have not ended.
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

// AcceptResult says whether an arriving attempt is taken.
type AcceptResult int

// Results for an arriving attempt.
const (
	// Accepted attempts are now queued.
	Accepted AcceptResult = iota
	// RefusedNotRun attempts have a tombstone.
	RefusedNotRun
	// RefusedTooOld attempts were sent more than MaxAge ago. A copy may have run
	// and its record expired.
	RefusedTooOld
	// RefusedFull attempts found no room for another record, so no tombstone
	// remains. An entry sends no second copy of an attempt that could be taken later.
	RefusedFull
	// RefusedDuplicate attempts were taken before and may have run.
	RefusedDuplicate
)

type record struct {
	state    State
	reserved int
	answer   *Answer
}

// Ledger holds the records of one guard. It is not safe for concurrent use.
type Ledger struct {
	limits   Limits
	records  map[string]*record
	ended    queue
	answers  queue
	retained int
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, records: make(map[string]*record)}
}

// Accept takes an attempt that carries the reading known of the guard's clock.
func (l *Ledger) Accept(id string, known, now time.Time) AcceptResult {
	l.expire(now)
	if r, ok := l.records[id]; ok {
		if r.state == NotRun {
			return RefusedNotRun
		}
		return RefusedDuplicate
	}
	if !recent(known, now) {
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

// Refuse ends a queued attempt, or a dispatched one of which no byte was sent, as not run.
func (l *Ledger) Refuse(id string, now time.Time) {
	if r, ok := l.records[id]; ok && (r.state == Queued || r.state == Dispatched) {
		l.end(id, r, NotRun, now)
	}
}

// Reserve makes room for n more bytes of the answer to a dispatched attempt.
// It drops the oldest retained answers if it must. When it returns false the
// answer cannot be retained and what was reserved for it is free again.
func (l *Ledger) Reserve(id string, n int, now time.Time) bool {
	l.expire(now)
	r, ok := l.records[id]
	if !ok || r.state != Dispatched {
		return false
	}
	if r.reserved+n > l.limits.AnswerBytes || !l.makeRoom(n) {
		l.release(r)
		return false
	}
	r.reserved += n
	l.retained += n
	return true
}

// Finish ends a dispatched attempt. The body of the answer must have been
// reserved; a nil answer leaves the attempt unknown.
func (l *Ledger) Finish(id string, a *Answer, now time.Time) {
	r, ok := l.records[id]
	if !ok || r.state != Dispatched {
		return
	}
	if a == nil || len(a.Body) != r.reserved {
		l.end(id, r, Unknown, now)
		return
	}
	l.end(id, r, Answered, now)
	r.answer = a
	l.answers.push(id, now.Add(AnswerRetention))
}

// Resolve decides an attempt, which carries the reading known, whose answer was
// lost. An unseen or queued attempt is not run from now on. An unseen one is
// unknown when its record can have expired or its tombstone finds no room.
func (l *Ledger) Resolve(id string, known, now time.Time) State {
	l.expire(now)
	r, ok := l.records[id]
	if !ok {
		if len(l.records) >= l.limits.Records || !recent(known, now) {
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

// recent reports whether the reading known is at most MaxAge old. A reading of
// the future is not one of this guard's clock.
func recent(known, now time.Time) bool {
	age := now.Sub(known)
	return age >= 0 && age <= MaxAge
}

func (l *Ledger) end(id string, r *record, s State, now time.Time) {
	r.state = s
	if s != Answered {
		l.release(r)
	}
	l.ended.push(id, now.Add(Retention))
}

func (l *Ledger) release(r *record) {
	l.retained -= r.reserved
	r.reserved = 0
	r.answer = nil
}

func (l *Ledger) makeRoom(n int) bool {
	for l.retained+n > l.limits.TotalBytes {
		id, ok := l.answers.pop()
		if !ok {
			return false
		}
		l.forget(id)
	}
	return true
}

// forget drops the answer of an attempt.
func (l *Ledger) forget(id string) {
	r := l.records[id]
	r.state = Unknown
	l.release(r)
}

func (l *Ledger) expire(now time.Time) {
	for l.answers.due(now) {
		id, _ := l.answers.pop()
		l.forget(id)
	}
	for l.ended.due(now) {
		id, _ := l.ended.pop()
		delete(l.records, id)
	}
}
