package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/hop"
)

// errStopping is the cause of a context that a planned stop has ended.
var errStopping = errors.New("this node is stopping")

// The parts of a planned stop end at these fractions of its time limit.
const (
	// waitFraction ends the waits. An attempt that began just before can still end in time.
	waitFraction = 0.75
	// attemptFraction ends the attempts. Callers expect a node to go on with them during the first
	// five sixths of its stop.
	attemptFraction = 0.86
	// replyFraction ends the queries for attempts that were given up.
	replyFraction = 0.88
)

// StopTimes are the times in a planned stop at which the entry ends what its requests still do.
type StopTimes struct {
	// Waits is the time from which no request waits or begins another attempt.
	Waits time.Time
	// Attempts is the time at which attempts without a complete answer are given up.
	Attempts time.Time
	// Replies is the deadline of the queries for the state of attempts that were given up.
	Replies time.Time
}

// StopTimesWithin returns the times in a stop that began at start and must end within limit.
func StopTimesWithin(start time.Time, limit time.Duration) StopTimes {
	at := func(fraction float64) time.Time { return start.Add(time.Duration(fraction * float64(limit))) }
	return StopTimes{Waits: at(waitFraction), Attempts: at(attemptFraction), Replies: at(replyFraction)}
}

// stop is the state of a planned stop. Before ScheduleStop neither context ends.
type stop struct {
	times    atomic.Pointer[StopTimes]
	once     sync.Once
	refusing atomic.Bool
	// waits and attempts end at the times of the same name.
	waits, attempts       context.Context
	endWaits, endAttempts context.CancelFunc
}

func newStop() *stop {
	s := &stop{}
	s.waits, s.endWaits = context.WithCancel(context.Background())
	s.attempts, s.endAttempts = context.WithCancel(context.Background())
	return s
}

// ScheduleStop sets the times at which waits and attempts end. Only the first call has an effect.
func (e *Entry) ScheduleStop(t StopTimes) {
	e.stop.once.Do(func() {
		e.stop.times.Store(&t)
		time.AfterFunc(time.Until(t.Waits), e.stop.endWaits)
		time.AfterFunc(time.Until(t.Attempts), e.stop.endAttempts)
	})
}

// RefuseNew makes the entry refuse new requests from now on.
func (e *Entry) RefuseNew() { e.stop.refusing.Store(true) }

// waitsEnded reports whether no request may wait or begin another attempt any more.
func (s *stop) waitsEnded() bool { return s.waits.Err() != nil }

// limitWait returns the part of a wait that ends before the stop ends all waits.
func (s *stop) limitWait(wait time.Duration) time.Duration {
	if t := s.times.Load(); t != nil {
		return min(wait, time.Until(t.Waits))
	}
	return wait
}

// withAttempts returns r with a context that also ends when attempts are given up, unless the entry
// then relays an answer to the caller. release must be called at the end of the request.
func (rs *requestState) withAttempts(r *http.Request) (limited *http.Request, release func()) {
	ctx, cancel := context.WithCancelCause(r.Context())
	unregister := context.AfterFunc(rs.entry.stop.attempts, func() {
		if !rs.delivering.Load() {
			cancel(errStopping)
		}
	})
	return r.WithContext(ctx), func() {
		unregister()
		cancel(nil)
	}
}

// givenUp reports whether the stop has ended the attempt.
func (ra *requestAttempt) givenUp() bool {
	return errors.Is(context.Cause(ra.r.Context()), errStopping)
}

// stopping returns the reply for a request that did not run because the node stops.
func stopping() *ErrorReply {
	return NotRun(http.StatusServiceUnavailable, hop.ReasonStopping, "this node is stopping")
}

// givenUpReply returns what is known of an attempt that the stop has ended, or nil after delivering
// an answer that the guard retained. The guard drops work that is not idempotent if it waits in the
// queue; dispatched work goes on.
func (ra *requestAttempt) givenUpReply() *ErrorReply {
	unknown := Unknown(hop.ReasonStopping, "this node is stopping and the work may have run")
	if ra.route.Idempotent || ra.guardTime == (hop.GuardTime{}) && ra.bodyOnRequest {
		return unknown
	}
	if ra.guardTime == (hop.GuardTime{}) {
		// The guard takes no such work.
		return stopping()
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ra.r.Context()), ra.entry.stop.times.Load().Replies)
	defer cancel()
	state, answer := ra.query(ctx, ra.guardOfAttempt(), ra.id, 0)
	switch {
	case state == attempt.NotRun:
		return stopping()
	case answer != nil:
		ra.deliverRetained(answer)
		return nil
	}
	return unknown
}
