package quota

import (
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
)

// minRefusals is the number of remembered refusals below which none is removed.
const minRefusals = 1024

// Client is what an entry knows about the owners of limits: which of them do not reply, and which have
// refused an organisation until when. It is designed for some hundred active organisations at an entry.
type Client struct {
	paths    *balance.Paths
	refusals map[refusalKey]refusal
	// sweepAt is the number of refusals at which those that are over are removed.
	sweepAt int
}

type refusalKey struct{ organisation, node string }

// refusal is the last refusal of an owner.
type refusal struct {
	result Result
	// due is the time at which the owner expects to grant the next permit. The owner is not asked again
	// before until, which is not later. The reply came at the time learnt.
	due, until, learnt time.Duration
	// handoverEnd is the earliest end of the hand-over of a primary that waits for it.
	handoverEnd time.Duration
}

// notOwnerPause is the time for which a node that is not an owner by its own directory is not asked
// again. The directories of the two nodes agree within a few seconds.
const notOwnerPause = 200 * time.Millisecond

// ReplyTimeout is the time in which an owner must reply. It allows for a round trip between regions and for a
// VM of 0.16 cores that the system lets wait for one or two periods of 100 ms.
const ReplyTimeout = 250 * time.Millisecond

// maxRefusalAge bounds the time for which an owner is not asked again, so that a higher limit takes effect within
// it also where no permit was due for longer.
const maxRefusalAge = 10 * time.Second

// NewClient returns a client that knows nothing.
func NewClient() *Client {
	return &Client{paths: balance.NewPaths(), refusals: make(map[refusalKey]refusal), sweepAt: minRefusals}
}

// Retain forgets the paths to nodes for which known returns false.
func (c *Client) Retain(known func(node string) bool) { c.paths.Retain(known) }

// Ask is a request for a permit to one owner.
type Ask struct {
	Organisation string
	Node         Node
	Role         Role
	// HandoverEnd is the earliest time, by the clock of the entry, at which the primary begins to grant
	// permits, if it has told that it waits for the end of its hand-over. Until then the previous primary,
	// which is the standby now, may grant permits from its bucket.
	HandoverEnd time.Duration
}

// Handover returns the time until HandoverEnd; 0 if there is none or it is over.
func (a Ask) Handover(now time.Duration) time.Duration { return max(0, a.HandoverEnd-now) }

// Refusal says why a request got no permit.
type Refusal struct {
	// Unavailable is set if no owner could be reached. Otherwise all parts of the limit that could be
	// asked are used up.
	Unavailable bool
	// After is the time until the next permit is due, if Unavailable is not set.
	After time.Duration
	// Node and Role are the owner whose refusal determines After, and Age is the age of that refusal.
	Node string
	Role Role
	Age  time.Duration
}

// Permit is a permit for one request.
type Permit struct {
	Ask
	// Receipt identifies it to the owner; it is zero if the owner keeps no account of it.
	Receipt Receipt
}

// Search is the search for one permit.
type Search struct {
	client *Client
	name   string
	parts  []Part
	// standby is set when the primary of the first of the parts does not serve.
	standby bool
	// handoverEnd is the HandoverEnd of a request to the standby of the first part, and askedAt the time
	// of the last request.
	handoverEnd, askedAt time.Duration
	refused              bool
	refusal              Refusal
}

// Search begins the search for a permit for the organisation.
func (c *Client) Search(organisation string, parts []Part) *Search {
	return &Search{client: c, name: organisation, parts: parts}
}

// Next returns which owner to ask next; false means that there is none and Refusal holds the result. An
// owner that has refused the organisation is not asked before the next permit is due there, and one that
// does not reply is asked again after a back-off that grows.
func (s *Search) Next(now time.Duration) (Ask, bool) {
	ask, found := s.Peek(now)
	if found {
		s.client.paths.Try(now, ask.Node.ID)
		s.askedAt = now
	}
	return ask, found
}

// Peek is Next for a caller that will not ask the owner. It changes only the search.
func (s *Search) Peek(now time.Duration) (Ask, bool) {
	for len(s.parts) > 0 {
		ask := Ask{Organisation: s.name, Node: s.parts[0].Primary, Role: Primary}
		if s.standby {
			ask.Node, ask.Role, ask.HandoverEnd = s.parts[0].Standby, Standby, s.handoverEnd
		}
		if r, found := s.client.refusals[refusalKey{s.name, ask.Node.ID}]; found && now < r.until {
			s.refuse(now, ask, r)
			continue
		}
		if ask.Node.ID != "" && s.client.paths.Usable(now, ask.Node.ID) {
			return ask, true
		}
		s.skip(ask)
	}
	return Ask{}, false
}

// Learn records the reply to a request for a permit. It returns the permit if the owner granted one.
func (s *Search) Learn(now time.Duration, ask Ask, reply Reply) (Permit, bool) {
	if reply.Result == NoReply {
		s.client.paths.RecordFailure(now, ask.Node.ID)
		s.skip(ask)
		return Permit{}, false
	}
	s.client.paths.RecordSuccess(ask.Node.ID)
	if reply.Result == Granted && ask.HandoverEnd > 0 && now >= ask.HandoverEnd {
		// The permit may be one of the previous primary, which has come after the hand-over. It is not used,
		// and the primary is asked again.
		s.standby = false
		return Permit{}, false
	}
	if reply.Result == Granted {
		return Permit{Ask: ask, Receipt: reply.Receipt}, true
	}
	r := refusal{result: reply.Result, due: now + reply.Again, until: now + min(reply.Again, maxRefusalAge), learnt: now}
	if reply.Handover > 0 {
		// Counted from the request, because it is not known when the owner replied.
		r.handoverEnd = s.askedAt + reply.Handover
		r.until = min(r.until, r.handoverEnd)
	}
	if reply.Again == 0 {
		r.until = now + notOwnerPause
	}
	if reply.Again == 0 && reply.Result != Empty {
		// The reply says nothing about when a permit is due.
		r.result = Unknown
	}
	s.client.remember(now, refusalKey{ask.Organisation, ask.Node.ID}, r)
	s.refuse(now, ask, r)
	return Permit{}, false
}

// refuse records that an owner has refused, and goes on to the next one.
func (s *Search) refuse(now time.Duration, ask Ask, r refusal) {
	if r.result != Unknown && (!s.refused || r.due-now < s.refusal.After) {
		s.refused = true
		s.refusal = Refusal{After: r.due - now, Node: ask.Node.ID, Role: ask.Role, Age: now - r.learnt}
	}
	if r.result == Empty {
		s.standby = false
		s.parts = s.parts[1:]
		return
	}
	s.skip(ask)
	s.handoverEnd = r.handoverEnd
}

// skip goes on to the owner after one that does not serve.
func (s *Search) skip(ask Ask) {
	s.standby, s.handoverEnd = ask.Role == Primary, 0
	if !s.standby {
		s.parts = s.parts[1:]
	}
}

// Refusal returns why the search found no permit.
func (s *Search) Refusal() Refusal {
	if !s.refused {
		return Refusal{Unavailable: true}
	}
	return s.refusal
}

// remember keeps a refusal, and removes those that are over when there are many.
func (c *Client) remember(now time.Duration, key refusalKey, r refusal) {
	c.refusals[key] = r
	if len(c.refusals) < c.sweepAt {
		return
	}
	for k, old := range c.refusals {
		if now >= old.until {
			delete(c.refusals, k)
		}
	}
	c.sweepAt = max(minRefusals, 2*len(c.refusals))
}
