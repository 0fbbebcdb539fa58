package watch

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawlane/jackdawlane/boottime"
)

// Progress tells how far a follower has come, for logs and metrics. It is safe for concurrent use.
type Progress struct {
	mu sync.Mutex
	// answeredAt is the start of the last call that got its response.
	answeredAt time.Time
	// confirmedAt is the start, by boottime.Now, of the last call that showed the newest state: any one
	// but a check, which may show an old state.
	confirmedAt time.Duration
	state       ProgressState
	// newer holds a value once somebody else has newer objects.
	newer chan struct{}
	// confirmation holds a value once somebody waits for the objects to be confirmed, and confirmed is
	// closed at the next confirmation.
	confirmation, confirmed chan struct{}
}

// ProgressState is the state of a Progress at one moment.
type ProgressState struct {
	// Revision is the revision of the store from which the follower continues.
	Revision uint64 `json:"revision"`
	// Lists and Watches are the calls that have succeeded, Failures those that have not.
	Lists    int64 `json:"lists"`
	Watches  int64 `json:"watches"`
	Failures int64 `json:"failures"`
	// Overdue is how often a call without a response in time was joined by a list.
	Overdue int64 `json:"overdue"`
	// Hints is how often the objects were listed because somebody else had newer ones.
	Hints int64 `json:"hints"`
	// Checks are the checks that got a response.
	Checks int64 `json:"checks"`
	// Confirmations are the checks among them that asked for the newest state.
	Confirmations int64 `json:"confirmations"`
	// HistoryGone is how often the store no longer had the changes after Revision.
	HistoryGone int64 `json:"history_gone"`
}

// NewProgress returns the progress of a follower that starts now.
func NewProgress() *Progress {
	return &Progress{answeredAt: time.Now(), confirmedAt: boottime.Now(), newer: make(chan struct{}, 1),
		confirmation: make(chan struct{}, 1), confirmed: make(chan struct{})}
}

// NewerElsewhere records that somebody else has newer objects. If no call brings them soon, the follower
// lists the objects.
func (p *Progress) NewerElsewhere() {
	select {
	case p.newer <- struct{}{}:
	default:
	}
}

// Hints returns the channel that holds a value once somebody else has newer objects; nil if p is nil.
func (p *Progress) Hints() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.newer
}

// forgetHint drops what NewerElsewhere has told. It does nothing on nil.
func (p *Progress) forgetHint() {
	select {
	case <-p.Hints():
	default:
	}
}

// SinceAnswer returns the time since the start of the last call that got its response.
func (p *Progress) SinceAnswer() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.answeredAt)
}

// Age returns the time since the start of the last list or watch that got its response: the objects
// are at least as new as the store was then.
func (p *Progress) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return boottime.Now() - p.confirmedAt
}

// State returns the current state.
func (p *Progress) State() ProgressState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// update changes the state. It does nothing on nil.
func (p *Progress) update(change func(*ProgressState)) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.state)
}

// confirm records a call that succeeded, and the revision that it led to. It does nothing on nil.
func (p *Progress) confirm(r result, revision uint64) {
	p.update(func(s *ProgressState) {
		if r.kind != checkCall || r.current {
			p.setConfirmed(r.sentAt)
		}
		p.answeredAt = latest(p.answeredAt, r.started)
		s.Revision = revision
		switch r.kind {
		case listCall:
			s.Lists++
		case watchCall:
			s.Watches++
		}
	})
}

// checked records a check that got its response. If it asked the source and there is nothing newer, it
// confirms the objects. It does nothing on nil.
func (p *Progress) checked(r result) {
	p.update(func(s *ProgressState) {
		p.answeredAt = latest(p.answeredAt, r.started)
		s.Checks++
		if r.current {
			s.Confirmations++
		}
		if r.current && len(r.batch.Objects) == 0 {
			p.setConfirmed(r.sentAt)
		}
	})
}

// setConfirmed records that the objects in use were the newest ones at a time. The caller holds p.mu.
func (p *Progress) setConfirmed(at time.Duration) {
	if at <= p.confirmedAt {
		return
	}
	p.confirmedAt = at
	close(p.confirmed)
	p.confirmed = make(chan struct{})
}

// ConfirmedAt records that the objects in use were the newest ones at a time, by boottime.Now, as somebody
// else has found out who uses the same objects.
func (p *Progress) ConfirmedAt(t time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setConfirmed(t)
}

// Confirmed returns a channel that is closed at the next confirmation.
func (p *Progress) Confirmed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmed
}

// Learn records what was found out without the follower: the objects in use were the newest ones at a
// time, by boottime.Now, and changes are to be looked for after the revision; 0 means that it is not known.
func (p *Progress) Learn(at time.Duration, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setConfirmed(at)
	p.answeredAt = latest(p.answeredAt, time.Now().Add(at-boottime.Now()))
	if revision > 0 {
		p.state.Revision = revision
	}
}

// Confirm waits until the age of the objects is below limit, and asks the source if it is not. It returns
// false when ctx ends before.
func (p *Progress) Confirm(ctx context.Context, limit time.Duration) bool {
	for {
		p.mu.Lock()
		confirmed, age := p.confirmed, boottime.Now()-p.confirmedAt
		p.mu.Unlock()
		if age < limit {
			return true
		}
		p.requestConfirmation()
		select {
		case <-confirmed:
		case <-ctx.Done():
			return false
		}
	}
}

// requestConfirmation makes the follower confirm the objects.
func (p *Progress) requestConfirmation() {
	select {
	case p.confirmation <- struct{}{}:
	default:
	}
}

// ConfirmationRequests returns the channel that holds a value once somebody waits in Confirm; nil if p
// is nil.
func (p *Progress) ConfirmationRequests() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.confirmation
}

// latest returns the later time. A watch may end after a check that started later.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
