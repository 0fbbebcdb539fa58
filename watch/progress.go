package watch

import (
	"sync"
	"time"
)

// Progress tells how far a follower has come, for logs and metrics. It is safe for concurrent use.
type Progress struct {
	mu          sync.Mutex
	confirmedAt time.Time
	state       ProgressState
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
	// Checks are the checks that got a response.
	Checks int64 `json:"checks"`
	// HistoryGone is how often the store no longer had the changes after Revision.
	HistoryGone int64 `json:"history_gone"`
}

// NewProgress returns the progress of a follower that starts now.
func NewProgress() *Progress { return &Progress{confirmedAt: time.Now()} }

// Age returns the time since the start of the last call that succeeded.
func (p *Progress) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.confirmedAt)
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
		p.confirmedAt = r.started
		s.Revision = revision
		switch r.call {
		case listCall:
			s.Lists++
		case watchCall:
			s.Watches++
		}
	})
}

// checked records a check that got its response. It does nothing on nil.
func (p *Progress) checked(started time.Time) {
	p.update(func(s *ProgressState) {
		p.confirmedAt = started
		s.Checks++
	})
}
