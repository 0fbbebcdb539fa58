package balance

import "time"

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Paths tracks an entry's failed connections to guards, with an exponential back-off
// for each guard. A failure is evidence against the network path to the guard, never
// against a backend server. Paths is not safe for concurrent use.
type Paths struct {
	byGuard map[string]*path
}

type path struct {
	backoff time.Duration
	retryAt time.Duration
	// trying is true while the single attempt that is allowed after the back-off runs.
	trying bool
}

// NewPaths returns paths without recorded failures.
func NewPaths() *Paths { return &Paths{byGuard: make(map[string]*path)} }

// RecordFailure records a failed connection to the guard with the given node ID.
// Further failures during the back-off are ignored.
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

// RecordSuccess records a reply from the guard, which ends its back-off.
func (p *Paths) RecordSuccess(guard string) { delete(p.byGuard, guard) }

// Usable reports whether an attempt may be sent to the guard now.
func (p *Paths) Usable(now time.Duration, guard string) bool {
	s := p.byGuard[guard]
	return s == nil || now >= s.retryAt
}

// backoff returns the time for which no attempt is sent to the guard.
func (p *Paths) backoff(now time.Duration, guard string) time.Duration {
	s := p.byGuard[guard]
	if s == nil {
		return 0
	}
	return max(0, s.retryAt-now)
}

// Try records that a message is sent to the guard. After a back-off, only one message at a time tests the
// path.
func (p *Paths) Try(now time.Duration, guard string) { p.try(now, guard) }

// try records that an attempt is sent to the guard. After a back-off, it starts the
// back-off again, so that only one attempt at a time tests the path.
func (p *Paths) try(now time.Duration, guard string) {
	if s := p.byGuard[guard]; s != nil && now >= s.retryAt {
		s.retryAt = now + s.backoff
		s.trying = true
	}
}

// Retain removes the guards for which known returns false.
func (p *Paths) Retain(known func(guard string) bool) {
	for guard := range p.byGuard {
		if !known(guard) {
			delete(p.byGuard, guard)
		}
	}
}
