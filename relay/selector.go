package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Shares of the time within which a change must be in force.
const (
	// waitShare is how long a request for updates waits for a change.
	waitShare = 0.25
	// replyShare is how long a reply may take beyond that.
	replyShare = 0.15
	// staleShare is the age of a sender's knowledge from which on its replies do not count.
	staleShare = 0.45
	// readShare is the pause between two reads of the store while they succeed, and the first one after a
	// read that failed, which then doubles up to the whole time.
	readShare = 0.3
	// retryShare is the pause after all sources have been asked in vain, startShare that of a node that has no
	// configuration yet: it serves nothing, and its sources may be about to start too.
	retryShare = 0.25
	startShare = 0.04
	// listShare is the first pause before all of the configuration is read. The readers of a region that has just
	// started have it by then.
	listShare = 0.5
	// lostShare is how long a source must have failed until the tree is computed without it.
	lostShare = 1
)

const (
	// minExclusion and maxExclusion bound the time for which a lost source is left out of the tree. It
	// doubles with each further time.
	minExclusion = 10 * time.Second
	maxExclusion = 2 * time.Minute
)

// Action is what a node does next to keep its configuration up to date.
type Action struct {
	// Source is the node to ask for updates; the zero Node means none.
	Source Node
	// Wait is how long the source may wait for a change.
	Wait time.Duration
	// Timeout bounds the exchange with the source until its reply begins.
	Timeout time.Duration
	// ReadStore is set if the node reads the store itself.
	ReadStore bool
	// List is set if it may read all of the configuration, in case the changes are not known.
	List bool
	// Pause is how long to wait before the next action if there is neither of them.
	Pause time.Duration
}

// sourceState is what a node knows about another one that it asks.
type sourceState struct {
	// failingSince is the time of the first of the failures in a row; negative if the last request
	// succeeded.
	failingSince time.Duration
	failures     int
	// excludedUntil is the time until which the node is left out of the tree.
	excludedUntil time.Duration
	exclusion     time.Duration
}

// Selector decides from which node a node asks for updates, and when it reads the store itself. It does
// no I/O, has no clock, and is not safe for concurrent use.
//
// A node asks one source at a time, which replies at once when it has a change. Without a fresh reply it
// asks the other sources, which must reply at once, and then reads the store. Reads that fail are made
// less and less often: a store or a link that is slow because of load must not get more of it.
type Selector struct {
	self   Node
	maxAge time.Duration
	random func() float64
	nodes  []Node
	states map[string]*sourceState
	place  place
	// placeUntil is the time at which the exclusion of a node ends and the tree is computed again.
	placeUntil time.Duration
	// next is the index of the source that is asked next, tried the number of sources that have been asked
	// since the last fresh reply.
	next, tried int
	// behind is set while somebody is known to have a newer version.
	behind bool
	// configured is set once the node has a configuration.
	configured bool
	// reading is set while a read of the store is running.
	reading bool
	// readAt and listAt are the earliest times of the next read of the store and of all of the
	// configuration; readPause and listPause are the pauses that led to them. listAt is negative until a
	// read of the changes has failed.
	readAt, listAt       time.Duration
	readPause, listPause time.Duration
}

// NewSelector returns a selector for a node that knows no others. random returns numbers from 0 to 1.
func NewSelector(self Node, maxAge time.Duration, random func() float64) *Selector {
	if random == nil {
		random = rand.Float64
	}
	s := &Selector{self: self, maxAge: maxAge, random: random, states: make(map[string]*sourceState), listAt: -1}
	s.updatePlace(0)
	return s
}

func (s *Selector) share(x float64) time.Duration { return time.Duration(x * float64(s.maxAge)) }

// SetNodes replaces the nodes of the region.
func (s *Selector) SetNodes(now time.Duration, nodes []Node) {
	s.nodes = slices.Clone(nodes)
	known := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		known[n.ID] = true
	}
	for id := range s.states {
		if !known[id] {
			delete(s.states, id)
		}
	}
	s.updatePlace(now)
}

// Reader reports whether the node is one of those that follow the store.
func (s *Selector) Reader() bool { return s.place.reader }

// updatePlace computes the tree without the nodes that are lost.
func (s *Selector) updatePlace(now time.Duration) {
	s.placeUntil = 0
	present := slices.DeleteFunc(slices.Clone(s.nodes), func(n Node) bool {
		state := s.states[n.ID]
		if state == nil || state.excludedUntil <= now || n.ID == s.self.ID {
			return false
		}
		if s.placeUntil == 0 || state.excludedUntil < s.placeUntil {
			s.placeUntil = state.excludedUntil
		}
		return true
	})
	current := s.source()
	s.place = placeOf(s.self, present)
	s.next = max(0, slices.Index(s.place.sources, current))
}

// source returns the source that is asked next, or the zero Node if there is none.
func (s *Selector) source() Node {
	if s.next >= len(s.place.sources) {
		return Node{}
	}
	return s.place.sources[s.next]
}

// Next returns the next action.
func (s *Selector) Next(now time.Duration) Action {
	if s.placeUntil > 0 && now >= s.placeUntil {
		s.updatePlace(now)
	}
	if s.tried < len(s.place.sources) {
		a := Action{Source: s.source(), Timeout: s.share(replyShare)}
		if s.tried == 0 && !s.behind && s.state(a.Source).failures == 0 {
			a.Wait = s.share(waitShare)
			a.Timeout += a.Wait
		}
		return a
	}
	s.tried = 0
	if !s.place.reader && s.MayRead(now) {
		return Action{ReadStore: true, List: s.listAt >= 0 && now >= s.listAt}
	}
	if len(s.place.sources) == 0 {
		return Action{Pause: s.maxAge}
	}
	if !s.configured {
		return Action{Pause: s.share(startShare)}
	}
	return Action{Pause: s.share(retryShare)}
}

// Configured records that the node has a configuration.
func (s *Selector) Configured() { s.configured = true }

func (s *Selector) state(n Node) *sourceState {
	state := s.states[n.ID]
	if state == nil {
		state = &sourceState{failingSince: -1}
		s.states[n.ID] = state
	}
	return state
}

// Replied records the reply of a source: the age of its knowledge that its version is the newest one, and
// whether that version is at least the one of this node. It reports whether the reply tells what the node
// would otherwise read from the store.
func (s *Selector) Replied(n Node, age time.Duration, current bool) (fresh bool) {
	*s.state(n) = sourceState{failingSince: -1}
	if !current || age > s.share(staleShare) || s.behind {
		s.askNext()
		return false
	}
	s.tried = 0
	s.readAt, s.readPause, s.listAt, s.listPause = 0, 0, -1, 0
	return true
}

// Advanced records that a newer version has come into force.
func (s *Selector) Advanced() { s.behind = false }

// Behind records that somebody has a newer version than this node.
func (s *Selector) Behind() {
	s.behind = true
	// The source that was asked last has not told.
	s.askNext()
	s.tried = 0
}

// Failed records that a source did not reply in time.
func (s *Selector) Failed(now time.Duration, n Node) {
	state := s.state(n)
	state.failures++
	if state.failingSince < 0 {
		state.failingSince = now
	}
	s.askNext()
	if state.failures > 1 && now-state.failingSince >= s.share(lostShare) {
		state.exclusion = min(max(2*state.exclusion, minExclusion), maxExclusion)
		state.excludedUntil = now + state.exclusion
		state.failingSince, state.failures = -1, 0
		s.updatePlace(now)
	}
}

func (s *Selector) askNext() {
	s.tried++
	if len(s.place.sources) > 0 {
		s.next = (s.next + 1) % len(s.place.sources)
	}
}

// MayRead reports whether the node may read the changes from the store now.
func (s *Selector) MayRead(now time.Duration) bool { return !s.reading && now >= s.readAt }

// ReadStarted records that a read of the store has started.
func (s *Selector) ReadStarted() { s.reading = true }

// StoreRead records a read of the store that has ended. listed is set if all of the configuration was
// requested.
func (s *Selector) StoreRead(now time.Duration, ok, listed bool) {
	s.reading = false
	s.behind = s.behind && !ok
	if ok {
		s.readPause, s.readAt = 0, now+s.share(readShare)
	} else {
		s.readPause = doubled(s.readPause, s.share(readShare), s.maxAge)
		s.readAt = now + s.jittered(s.readPause)
	}
	if listed || !ok && s.listAt < 0 {
		s.listPause = doubled(s.listPause, s.share(listShare), maxListPauses*s.maxAge)
		s.listAt = now + s.jittered(s.listPause)
	}
}

// maxListPauses is the longest pause between two reads of all of the configuration by a node that is not a
// reader, as a multiple of the time within which a change must be in force.
const maxListPauses = 8

// doubled returns the pause after another one, from first to limit.
func doubled(pause, first, limit time.Duration) time.Duration {
	return min(max(2*pause, first), limit)
}

// jittered returns a random time around a pause, so that the nodes do not all read at the same time.
func (s *Selector) jittered(pause time.Duration) time.Duration {
	return time.Duration((0.5 + s.random()) * float64(pause))
}
