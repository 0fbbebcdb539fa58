package balance

import "time"

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Paths holds the connection failures of an entry to guards. A failure is
// evidence against the path, never against a backend server. It is not safe
// for concurrent use.
type Paths struct {
	byGuard map[string]*path
}

type path struct {
	backoff time.Duration
	retryAt time.Duration
	// trying is true while the one attempt after the back-off runs.
	trying bool
}

// NewPaths returns the paths of an entry, all of them up.
func NewPaths() *Paths { return &Paths{byGuard: make(map[string]*path)} }

// RecordFailure records a failed connection to the guard with the given node ID.
// Failures during the back-off count as one.
func (p *Paths) RecordFailure(now time.Duration, guard string) {
	s := p.byGuard[guard]
	if s == nil {
		s = &path{}
		p.byGuard[guard] = s
	}
	if !s.trying && now < s.retryAt {
		return
	}
	s.trying = false
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = now + s.backoff
}

// RecordSuccess records a reply of the guard.
func (p *Paths) RecordSuccess(guard string) { delete(p.byGuard, guard) }

// Usable reports whether the path may be tried.
func (p *Paths) Usable(now time.Duration, guard string) bool {
	s := p.byGuard[guard]
	return s == nil || now >= s.retryAt
}

// try lets one attempt at a time use a path after its back-off.
func (p *Paths) try(now time.Duration, guard string) {
	if s := p.byGuard[guard]; s != nil && now >= s.retryAt {
		s.retryAt = now + s.backoff
		s.trying = true
	}
}

// Retain forgets the guards for which known is false.
func (p *Paths) Retain(known func(guard string) bool) {
	for guard := range p.byGuard {
		if !known(guard) {
			delete(p.byGuard, guard)
		}
	}
}
