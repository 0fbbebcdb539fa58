// Package balance chooses the backend server to which an entry sends an attempt. It
// reads no clock and has no random source of its own: both are parameters.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// minCompared is the number of random candidates whose load is compared. One more is
	// compared for each backend server that the request already tried. More candidates
	// at the first attempt gain little and send more entries to a backend server that
	// reports too low a load.
	minCompared = 2
	// overflowLoad is the load from which on a farther locality is considered for an
	// attempt: all slots are in use.
	overflowLoad = 1.0
	// minOverflowGain is how much lower the load of the farther locality must be, so that
	// traffic does not alternate between localities of similar load.
	minOverflowGain = 0.25
	// crossRegionPenalty is the additional probability of failing that is accepted in order to
	// keep a request at a suspected backend server of the entry's region instead of sending it
	// to another region. Links to other regions are billed by volume.
	crossRegionPenalty = 0.3
	// maxWaitableFailureProbability is the highest probability of failing at which a suspected
	// backend server gets a request that can wait. Above it, such a request waits. A request
	// that cannot wait has no such bound.
	maxWaitableFailureProbability = 0.3
	// maxCrossRegionAttempts is the largest number of attempts of one request in other regions.
	maxCrossRegionAttempts = 2
)

// Locality is the distance of a backend server from the entry.
type Locality int

// The localities, from the nearest to the farthest.
const (
	SameDataCentre Locality = iota
	SameRegion
	OtherRegion
	localities
)

// tier orders backend servers by their condition. Those of a later tier are used
// only when no candidate of an earlier tier is left.
type tier int

const (
	tierReady tier = iota
	tierStarting
	tierSuspect
	// tierRefused holds the backend servers whose guards refused this request because
	// they suspect them. They are tried again with Choice.Force.
	tierRefused
	// tierUnreachable holds the backend servers whose guard is in back-off after a failed
	// connection, and those recently reported as gone, leaving or stopping.
	tierUnreachable
	tierEjected
	tiers
	unusable
)

// Location is the location of the entry.
type Location struct{ Region, DataCentre string }

// Attempt describes an attempt for which a backend server is chosen.
type Attempt struct {
	// Tried holds the backend servers already tried for the request, with the
	// reason of each refusal.
	Tried map[string]hop.Reason
	// Bytes is the expected size of the request and its reply together.
	Bytes int64
	// CrossRegionAttempts is the number of earlier attempts of the request in other regions.
	CrossRegionAttempts int
	// SameRegionOnly keeps the attempt in the entry's region. It is meant for a request that a
	// backend server declined: another region would most likely decline it too, after
	// traffic over a link that is billed.
	SameRegionOnly bool
	// QueueWait is how long the attempt may wait for a slot at the backend server. Backend servers
	// that are known to have no slot until then are left out. If it is negative, none is left out.
	QueueWait time.Duration
	// Rank is the rank of the attempt, which decides whose refusals apply to it.
	Rank admission.Rank
	// CanWait says that the request can wait for a recovery, so that Pick chooses no backend
	// server when no ready or starting one is left and all suspected ones are likely to fail.
	CanWait bool
	// ReadyOnly leaves out the backend servers that are not ready, suspected, ejected or out of reach.
	ReadyOnly bool
	// Unanswered is set when the request was sent to a guard that did not reply in time.
	// Other guards may not reply for the same reason, so the attempt goes to the backend
	// server of the entry's region whose load was reported most recently, if there is one.
	Unanswered bool
	// Retest allows backend servers whose guards refused other requests because they suspect
	// them. Each guard decides whether it takes the attempt.
	Retest bool
}

// Choice is the chosen backend server and how the attempt is sent to it.
type Choice struct {
	Backend  membership.Backend
	Locality Locality
	// Force asks the guard to accept the attempt although the backend server is suspected
	// or ejected.
	Force bool
}

// Picker chooses among the backend servers of one service. It is not safe for
// concurrent use.
type Picker struct {
	at         Location
	paths      *Paths
	byteBudget *ByteBudget
	loads      loads
}

// NewPicker returns a picker for an entry at the given location. All pickers of an
// entry share paths and byteBudget.
func NewPicker(at Location, paths *Paths, byteBudget *ByteBudget) *Picker {
	return &Picker{at: at, paths: paths, byteBudget: byteBudget, loads: loads{byID: make(map[string]*backendState)}}
}

// Pick chooses a backend server and counts the attempt as in flight. It returns false
// when no candidate may be used now. Each successful Pick must be followed by End.
func (p *Picker) Pick(now time.Duration, rng *rand.Rand, candidates []membership.Backend, a Attempt) (Choice, bool) {
	d := p.decide(now, rng, candidates, a)
	p.loads.sweep(now)
	if d.backend == nil {
		return Choice{}, false
	}
	p.begin(now, d.backend, a)
	return p.choice(d), true
}

// decision is the result of decide.
type decision struct {
	// backend is nil if no candidate may be used now.
	backend *membership.Backend
	tier    tier
	rule    Rule
	groups  *[tiers]byLocality
	// searched is the tier in which loads were compared, and reached the farthest locality of it.
	searched tier
	reached  Locality
}

// choice returns the choice of a decision for a backend server.
func (p *Picker) choice(d decision) Choice {
	force := d.tier == tierSuspect || d.tier == tierRefused || d.tier == tierEjected
	return Choice{Backend: *d.backend, Locality: p.locality(d.backend), Force: force}
}

// decide chooses a backend server. It changes nothing but the state of rng.
func (p *Picker) decide(now time.Duration, rng *rand.Rand, candidates []membership.Backend, a Attempt) decision {
	groups := p.group(now, candidates, a)
	for t := range tiers {
		if a.ReadyOnly && t != tierReady {
			break
		}
		best, reached := p.choose(now, rng, &groups[t], a)
		if best == nil {
			continue
		}
		d := decision{backend: best, tier: t, rule: RuleLeastLoaded, groups: groups, searched: t, reached: reached}
		suspect, failureProbability := p.leastFailing(groups)
		switch {
		case t == tierReady && suspect != nil && p.locality(best) == OtherRegion && p.locality(suspect) != OtherRegion && failureProbability < crossRegionPenalty:
			d.backend, d.tier, d.rule = suspect, tierSuspect, RuleNearerSuspect
		case t == tierSuspect || t == tierRefused:
			if a.CanWait && failureProbability > maxWaitableFailureProbability {
				d.backend, d.rule = nil, RuleWait
			} else if failureProbability < 1 {
				d.backend, d.rule = suspect, RuleLeastFailing
			}
		}
		return d
	}
	return decision{rule: RuleNone, groups: groups}
}

// leastFailing returns the suspected backend server that is least likely to fail, and
// its probability of failing. A backend server in another region is preferred only if
// its probability is lower by more than crossRegionPenalty.
func (p *Picker) leastFailing(groups *[tiers]byLocality) (*membership.Backend, float64) {
	var best *membership.Backend
	failureProbability, leastCost := 1.0, math.Inf(1)
	for _, t := range []tier{tierSuspect, tierRefused} {
		for locality, backends := range groups[t] {
			for _, backend := range backends {
				failing := p.loads.failureProbability(backend.ID)
				cost := failing
				if Locality(locality) == OtherRegion {
					cost += crossRegionPenalty
				}
				if cost < leastCost {
					best, failureProbability, leastCost = backend, failing, cost
				}
			}
		}
	}
	return best, failureProbability
}

// End records the end of an attempt at the backend server with the given ID.
func (p *Picker) End(now time.Duration, id string, f Feedback) {
	b := p.loads.get(now, id)
	b.inFlight = max(0, b.inFlight-1)
	p.loads.report(now, b, f)
}

// Report records feedback that arrives without the end of an attempt.
func (p *Picker) Report(now time.Duration, id string, f Feedback) {
	p.loads.report(now, p.loads.get(now, id), f)
}

func (p *Picker) begin(now time.Duration, backend *membership.Backend, a Attempt) {
	b := p.loads.get(now, backend.ID)
	b.inFlight++
	b.sentSinceReport++
	p.paths.try(now, backend.Guard.NodeID)
	if p.locality(backend) == OtherRegion {
		p.byteBudget.Spend(now, a.Bytes)
	}
}

// byLocality holds the candidates of one tier by locality.
type byLocality [localities][]*membership.Backend

func (p *Picker) group(now time.Duration, candidates []membership.Backend, a Attempt) *[tiers]byLocality {
	var groups [tiers]byLocality
	crossRegion := p.byteBudget.Allows(now, a.Bytes) && a.CrossRegionAttempts < maxCrossRegionAttempts && !a.SameRegionOnly
	for i := range candidates {
		backend := &candidates[i]
		t, locality := p.tier(now, backend, a), p.locality(backend)
		if t == unusable || locality == OtherRegion && !crossRegion {
			continue
		}
		groups[t][locality] = append(groups[t][locality], backend)
	}
	return &groups
}

func (p *Picker) tier(now time.Duration, backend *membership.Backend, a Attempt) tier {
	reason, tried := a.Tried[backend.ID]
	known := p.loads.byID[backend.ID]
	switch {
	case backend.State == membership.StateLeaving, tried && reason != hop.ReasonSuspect:
		return unusable
	case backend.Ejected:
		return tierEjected
	case !p.paths.Usable(now, backend.Guard.NodeID), known != nil && now < known.absentUntil:
		return tierUnreachable
	case tried:
		return tierRefused
	case backend.Suspect, known != nil && now < known.suspectUntil && !(a.Retest && now >= known.retestAt):
		return tierSuspect
	case a.QueueWait >= 0 && known != nil && known.refusals.freeAt(a.Rank)-now > a.QueueWait:
		// It would refuse the attempt.
		return unusable
	case backend.State != membership.StateReady:
		return tierStarting
	}
	return tierReady
}

func (p *Picker) locality(backend *membership.Backend) Locality {
	switch {
	case backend.Guard.Region != p.at.Region:
		return OtherRegion
	case backend.Guard.DataCentre != p.at.DataCentre:
		return SameRegion
	}
	return SameDataCentre
}

// choose returns the best candidate of one tier for the attempt, or nil if the tier is empty, and the
// farthest locality in which it compared loads.
func (p *Picker) choose(now time.Duration, rng *rand.Rand, g *byLocality, a Attempt) (*membership.Backend, Locality) {
	if a.Unanswered {
		if best := p.lastReported(g); best != nil {
			return best, OtherRegion
		}
	}
	return p.pickByLocality(now, rng, g, minCompared+len(a.Tried))
}

// lastReported returns the backend server in the entry's region with the most recent load
// report, or nil when none has reported.
func (p *Picker) lastReported(g *byLocality) *membership.Backend {
	var best *membership.Backend
	var reportedAt time.Duration
	for _, backends := range g[:OtherRegion] {
		for _, backend := range backends {
			known := p.loads.byID[backend.ID]
			if known != nil && known.hasReport && (best == nil || known.reportedAt > reportedAt) {
				best, reportedAt = backend, known.reportedAt
			}
		}
	}
	return best
}

// pickByLocality returns the least loaded of n random candidates in the nearest locality. If
// its load is at least overflowLoad, a candidate of a farther locality replaces it when
// its load is lower by more than minOverflowGain. It also returns the farthest locality that it considered.
func (p *Picker) pickByLocality(now time.Duration, rng *rand.Rand, g *byLocality, n int) (*membership.Backend, Locality) {
	var best *membership.Backend
	var load float64
	for locality, backends := range g {
		b, l := p.leastLoaded(now, rng, backends, n)
		if b != nil && (best == nil || l < load-minOverflowGain) {
			best, load = b, l
		}
		if best != nil && load < overflowLoad {
			return best, Locality(locality)
		}
	}
	return best, OtherRegion
}

// leastLoaded returns the least loaded of n random candidates and its estimated load.
func (p *Picker) leastLoaded(now time.Duration, rng *rand.Rand, backends []*membership.Backend, n int) (*membership.Backend, float64) {
	var best *membership.Backend
	var load float64
	for i := range min(n, len(backends)) {
		j := i + rng.IntN(len(backends)-i)
		backends[i], backends[j] = backends[j], backends[i]
		l := p.loads.estimate(now, backends[i].ID, backends[i].Slots)
		if best == nil || l < load {
			best, load = backends[i], l
		}
	}
	return best, load
}
