// Package balance chooses the backend server to which an entry sends an attempt. It
// reads no clock and has no random source of its own: both are parameters.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// minCompared is the number of random candidates whose load is compared. One more is
	// compared for each backend server that the request already tried. More candidates
	// at the first attempt gain little and send more entries to a backend server that
	// reports too low a load.
	minCompared = 2
	// spillLoad is the load from which on a farther locality is considered: all slots
	// are in use.
	spillLoad = 1.0
	// spillGain is how much lower the load of the farther locality must be, so that
	// traffic does not alternate between localities of similar load.
	spillGain = 0.25
	// crossRegionRisk is the additional probability of failing that is accepted in order to
	// keep work at a suspected backend server of the entry's region instead of sending it
	// to another region. Links to other regions are billed by volume.
	crossRegionRisk = 0.3
	// maxForcedRisk is the probability of failing up to which a suspected backend server
	// gets work at once. Above it, work that can wait is not placed.
	maxForcedRisk = 0.5
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
	// SameRegionOnly keeps the attempt in the entry's region. It is meant for work that a
	// backend server declined: another region would most likely decline it too, after
	// traffic over a link that is billed.
	SameRegionOnly bool
	// CanWait says that the work can wait for a recovery, so that no backend server is
	// chosen when all that are left are likely to fail.
	CanWait bool
	// Unanswered is set when the work was sent to a guard that did not reply in time.
	// Other guards may be silent for the same reason, so the attempt goes to the guard
	// that replied last.
	Unanswered bool
	// Retest allows backend servers whose guards refused other work because they suspect
	// them. Each guard decides whether it takes the attempt.
	Retest bool
}

// Choice is the chosen backend server and how the attempt is sent to it.
type Choice struct {
	Backend  membership.Backend
	Locality Locality
	// Force asks the guard to take the attempt although it steers work away from the
	// backend server.
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
	p.loads.sweep(now)
	groups := p.group(now, candidates, a)
	for t := range tiers {
		best := p.choose(now, rng, &groups[t], a)
		if best == nil {
			continue
		}
		suspect, risk := p.leastFailing(groups)
		switch {
		case t == tierReady && suspect != nil && p.locality(best) == OtherRegion && p.locality(suspect) != OtherRegion && risk < crossRegionRisk:
			best, t = suspect, tierSuspect
		case t == tierSuspect || t == tierRefused:
			if a.CanWait && risk > maxForcedRisk {
				return Choice{}, false
			}
			if risk < 1 {
				best = suspect
			}
		}
		p.begin(now, best, a)
		force := t == tierSuspect || t == tierRefused || t == tierEjected
		return Choice{Backend: *best, Locality: p.locality(best), Force: force}, true
	}
	return Choice{}, false
}

// leastFailing returns the suspected backend server that is least likely to fail, and
// its probability of failing. A backend server in another region is preferred only if
// its probability is lower by more than crossRegionRisk.
func (p *Picker) leastFailing(groups *[tiers]byLocality) (*membership.Backend, float64) {
	var best *membership.Backend
	risk, leastCost := 1.0, math.Inf(1)
	for _, t := range []tier{tierSuspect, tierRefused} {
		for locality, ms := range groups[t] {
			for _, m := range ms {
				failing := p.loads.failureProbability(m.ID)
				cost := failing
				if Locality(locality) == OtherRegion {
					cost += crossRegionRisk
				}
				if cost < leastCost {
					best, risk, leastCost = m, failing, cost
				}
			}
		}
	}
	return best, risk
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

func (p *Picker) begin(now time.Duration, m *membership.Backend, a Attempt) {
	b := p.loads.get(now, m.ID)
	b.inFlight++
	b.sentSinceReport++
	p.paths.try(now, m.Guard.NodeID)
	if p.locality(m) == OtherRegion {
		p.byteBudget.Spend(now, a.Bytes)
	}
}

// byLocality holds the candidates of one tier by locality.
type byLocality [localities][]*membership.Backend

func (p *Picker) group(now time.Duration, candidates []membership.Backend, a Attempt) *[tiers]byLocality {
	var groups [tiers]byLocality
	crossRegion := p.byteBudget.Allows(now, a.Bytes) && a.CrossRegionAttempts < maxCrossRegionAttempts && !a.SameRegionOnly
	for i := range candidates {
		m := &candidates[i]
		t, locality := p.tier(now, m, a), p.locality(m)
		if t == unusable || locality == OtherRegion && !crossRegion {
			continue
		}
		groups[t][locality] = append(groups[t][locality], m)
	}
	return &groups
}

func (p *Picker) tier(now time.Duration, m *membership.Backend, a Attempt) tier {
	reason, tried := a.Tried[m.ID]
	known := p.loads.byID[m.ID]
	switch {
	case m.State == membership.StateLeaving, tried && reason != hop.ReasonSuspect:
		return unusable
	case m.Ejected:
		return tierEjected
	case !p.paths.Usable(now, m.Guard.NodeID), known != nil && now < known.absentUntil:
		return tierUnreachable
	case tried:
		return tierRefused
	case m.Suspect, known != nil && now < known.suspectUntil && !a.Retest:
		return tierSuspect
	case m.State != membership.StateReady:
		return tierStarting
	}
	return tierReady
}

func (p *Picker) locality(m *membership.Backend) Locality {
	switch {
	case m.Guard.Region != p.at.Region:
		return OtherRegion
	case m.Guard.DataCentre != p.at.DataCentre:
		return SameRegion
	}
	return SameDataCentre
}

// choose returns the best candidate of one tier for the attempt, or nil if the tier is empty.
func (p *Picker) choose(now time.Duration, rng *rand.Rand, g *byLocality, a Attempt) *membership.Backend {
	if a.Unanswered {
		if best := p.lastReported(g); best != nil {
			return best
		}
	}
	return p.spill(now, rng, g, minCompared+len(a.Tried))
}

// lastReported returns the backend server in the entry's region with the most recent load
// report, or nil when none has reported.
func (p *Picker) lastReported(g *byLocality) *membership.Backend {
	var best *membership.Backend
	var reportedAt time.Duration
	for _, backends := range g[:OtherRegion] {
		for _, m := range backends {
			known := p.loads.byID[m.ID]
			if known != nil && known.hasReport && (best == nil || known.reportedAt > reportedAt) {
				best, reportedAt = m, known.reportedAt
			}
		}
	}
	return best
}

// spill returns the least loaded of n random candidates in the nearest locality. If
// its load is at least spillLoad, a candidate of a farther locality replaces it when
// its load is lower by more than spillGain.
func (p *Picker) spill(now time.Duration, rng *rand.Rand, g *byLocality, n int) *membership.Backend {
	var best *membership.Backend
	var load float64
	for _, backends := range g {
		b, l := p.leastLoaded(now, rng, backends, n)
		if b != nil && (best == nil || l < load-spillGain) {
			best, load = b, l
		}
		if best != nil && load < spillLoad {
			break
		}
	}
	return best
}

// leastLoaded returns the least loaded of n random candidates and its estimated load.
func (p *Picker) leastLoaded(now time.Duration, rng *rand.Rand, ms []*membership.Backend, n int) (*membership.Backend, float64) {
	var best *membership.Backend
	var load float64
	for i := range min(n, len(ms)) {
		j := i + rng.IntN(len(ms)-i)
		ms[i], ms[j] = ms[j], ms[i]
		l := p.loads.estimate(now, ms[i].ID, ms[i].Slots)
		if best == nil || l < load {
			best, load = ms[i], l
		}
	}
	return best, load
}
