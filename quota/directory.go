package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// HandoverTime is the time that a node waits before it grants permits in a role that it did not have
// before. It covers the time that other nodes take to learn of the change of the records, so that they
// and the previous owner have stopped using the previous owner in that role.
const HandoverTime = 3 * time.Second

// maxPause is the longest time between two calls of Directory.Alive for which a process counts as running.
// After a longer pause its directory may miss changes that other nodes have acted on. Its roles then begin
// anew, with a hand-over: the entry of the same node would otherwise go on to use them.
const maxPause = 1500 * time.Millisecond

// maxDepartures bounds the departed nodes that are remembered.
const maxDepartures = 4096

// Node is a node that may own parts of limits.
type Node struct {
	ID, Region string
	// Address is the IP address and port to which requests for permits are sent.
	Address string
}

// Part is a part of an organisation's limit with its owners. An owner without ID does not exist.
type Part struct {
	Region           string
	Primary, Standby Node
}

// Standing is what a node may grant for an organisation.
type Standing struct {
	// Role is empty if the node owns no part of the limit.
	Role Role
	// Since is the time from which the node has the role; it may be in the future.
	Since time.Duration
	// PrimarySince is the time from which a standby was the primary, until a node with a higher weight
	// arrived; 0 if it was not, or was itself in a hand-over then.
	PrimarySince time.Duration
	// Arrived is set for a primary whose role began with its own arrival.
	Arrived bool
}

// Directory knows the owners of all organisations' limits, and since when this node owns which.
type Directory struct {
	self    Node
	regions []string
	start   time.Duration
	loaded  bool
	// members holds the nodes of each region, ordered by ID.
	members map[string][]member
	// departures holds the latest departed nodes of the own region, the oldest first.
	departures []departure
	// forgottenUntil is the time of the last departure that is no longer remembered, or of the end of the
	// hand-over after a pause of the process.
	forgottenUntil time.Duration
	// aliveAt is the time of the last call of Alive; 0 before the first one.
	aliveAt time.Duration
}

// member is a node of a region.
type member struct {
	Node
	hash uint64
	// since is the time from which a change of owners that is due to this node's arrival counts.
	since time.Duration
}

// departure is a node that has left, and the time from which its successors own what it owned.
type departure struct {
	hash  uint64
	since time.Duration
}

// NewDirectory returns a directory without nodes. The regions are those of the fleet; the node self is
// in one of them. Its process started at the time start.
func NewDirectory(self Node, regions []string, start time.Duration) *Directory {
	return &Directory{self: self, regions: regions, start: start, members: make(map[string][]member)}
}

// Update replaces the nodes. Nodes of the first update count as known since the start of the process,
// because the node had its record, and so its roles, before its process started. If its record is not
// among them, its arrival counts as a change.
func (d *Directory) Update(now time.Duration, nodes []Node) {
	since := now + HandoverTime
	if !d.loaded {
		since = d.start
	}
	previous := make(map[string]member)
	for _, region := range d.members {
		for _, m := range region {
			previous[m.ID] = m
		}
	}
	members := make(map[string][]member, len(d.regions))
	for _, n := range nodes {
		m := member{Node: n, hash: hashName(n.ID), since: since}
		if old, found := previous[n.ID]; found && old.Region == n.Region {
			m.since = old.since
			delete(previous, n.ID)
		}
		members[n.Region] = append(members[n.Region], m)
	}
	for _, region := range members {
		slices.SortFunc(region, func(a, b member) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, m := range previous {
		if m.Region == d.self.Region && m.ID != d.self.ID {
			d.departures = append(d.departures, departure{hash: m.hash, since: since})
		}
	}
	if excess := len(d.departures) - maxDepartures; excess > 0 {
		d.forgottenUntil = max(d.forgottenUntil, d.departures[excess-1].since)
		d.departures = slices.Clone(d.departures[excess:])
	}
	d.members, d.loaded = members, true
}

// Alive records that the process runs. It must be called at intervals well below maxPause, and before each
// decision of this node as an owner.
func (d *Directory) Alive(now time.Duration) {
	if d.aliveAt > 0 && now-d.aliveAt > maxPause {
		d.forgottenUntil = now + HandoverTime
	}
	d.aliveAt = now
}

// Parts returns the parts of the organisation's limit, that of the own region first. The others follow
// in an order that differs between regions.
func (d *Directory) Parts(organisation string) []Part {
	hash := hashName(organisation)
	own := max(0, slices.Index(d.regions, d.self.Region))
	parts := make([]Part, 0, len(d.regions))
	for i := range d.regions {
		region := d.regions[(own+i)%len(d.regions)]
		first, second := owners(hash, d.members[region])
		parts = append(parts, Part{Region: region, Primary: first.Node, Standby: second.Node})
	}
	return parts
}

// owners returns the members with the highest and the second highest weight for an organisation.
func owners(hash uint64, members []member) (first, second member) {
	var firstWeight, secondWeight uint64
	for _, m := range members {
		w := weight(hash, m.hash)
		switch {
		case first.ID == "" || w > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = m, w
		case second.ID == "" || w > secondWeight:
			second, secondWeight = m, w
		}
	}
	return first, second
}

// Standing returns the role of this node for the organisation. The role began with the last arrival or
// departure of a node with a higher weight, or of this node itself.
func (d *Directory) Standing(organisation string) Standing {
	hash := hashName(organisation)
	first, second := owners(hash, d.members[d.self.Region])
	var s Standing
	switch d.self.ID {
	case first.ID:
		s = Standing{Role: Primary, Since: first.since}
	case second.ID:
		s = Standing{Role: Standby, Since: second.since}
	default:
		return Standing{}
	}
	s.Since = max(s.Since, d.forgottenUntil)
	own := weight(hash, hashName(d.self.ID))
	for _, left := range d.departures {
		if left.since > s.Since && weight(hash, left.hash) > own {
			s.Since = left.since
		}
	}
	s.Arrived = s.Role == Primary && s.Since == first.since && s.Since > d.start
	if s.Role == Standby {
		if first.since-HandoverTime >= s.Since {
			s.PrimarySince = s.Since
		}
		s.Since = max(s.Since, first.since)
	}
	return s
}

// hashName returns a hash of a name that is the same on all nodes.
func hashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return mix(h.Sum64())
}

func weight(organisation, node uint64) uint64 { return mix(organisation ^ node) }

// mix spreads the bits of x (the finalizer of SplitMix64). FNV alone gives similar names similar hashes.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
