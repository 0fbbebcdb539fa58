// Package balance chooses the backend server of an attempt at an entry. It is
// pure: time and randomness are parameters.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// choices is the number of random candidates compared, and one more for each
	// backend server that refused the request. More at the first attempt gain
	// little and draw more entries to a backend server that reports too low a load.
	choices = 2
	// spillLoad is the load at which a nearer locality is left for the next one:
	// all slots are in use.
	spillLoad = 1.0
	// spillGain is how much lower the load of the farther locality must be, so that
	// traffic does not alternate between localities of similar load.
	spillGain = 0.25
	// farRisk is how much more likely a suspected backend server of the region must be
	// to fail before the work goes to another region, whose links are billed by volume.
	farRisk = 0.3
	// maxForcedRisk is the probability of failing up to which a suspected backend server
	// gets work at once; above it, work that may wait does so.
	maxForcedRisk = 0.5
	// maxFar bounds the attempts of one request in other regions.
	maxFar = 2
)

// Locality is the distance of a backend server from the entry.
type Locality int

// The localities, the nearest first.
const (
	SameDataCentre Locality = iota
	SameRegion
	OtherRegion
	rings
)

// tier orders backend servers by condition. Those of a later tier are used
// only when no earlier one is left.
type tier int

const (
	tierReady tier = iota
	tierStarting
	tierSuspect
	// tierRefused holds those that refused this request as suspect. They are
	// tried again with Force.
	tierRefused
	tierNoPath
	tierEjected
	tiers
	unusable
)

// Location is that of the entry.
type Location struct{ Region, DataCentre string }

// Attempt describes the attempt to place.
type Attempt struct {
	// Tried holds the backend servers already tried for the request, with the
	// reason of each refusal.
	Tried map[string]hop.Reason
	// Bytes is the expected size of request and reply.
	Bytes int64
	// CrossRegionAttempts is the number of attempts in other regions made for the request.
	CrossRegionAttempts int
	// SameRegionOnly keeps the attempt in the region: work that a backend server declined would
	// most likely be declined elsewhere too, over a link that is billed.
	SameRegionOnly bool
	// CanWait lets the work wait until a backend server that is likely to fail has recovered.
	CanWait bool
	// Unanswered work was sent to a guard that did not reply in time. Others may be silent
	// for the same reason, so it goes to the one that replied last.
	Unanswered bool
	// Retest work goes to backend servers that refused other work as suspect; their
	// guards decide which of it they take.
	Retest bool
}

// Choice is the chosen backend server.
type Choice struct {
	Backend  membership.Backend
	Locality Locality
	// Force asks the guard to serve although it steers work away.
	Force bool
}

// Picker chooses among the backend servers of one service. It is not safe for
// concurrent use.
type Picker struct {
	at    Location
	paths *Paths
	bytes *ByteBudget
	loads loads
}

// NewPicker returns a picker. Paths and bytes are shared by the pickers of an entry.
func NewPicker(at Location, paths *Paths, bytes *ByteBudget) *Picker {
	return &Picker{at: at, paths: paths, bytes: bytes, loads: loads{byID: make(map[string]*backend)}}
}

// Pick chooses a backend server and counts the attempt as in flight. It
// returns false when none is left. End must follow each choice.
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
		case t == tierReady && suspect != nil && p.ring(best) == OtherRegion && p.ring(suspect) != OtherRegion && risk < farRisk:
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
		return Choice{Backend: *best, Locality: p.ring(best), Force: force}, true
	}
	return Choice{}, false
}

// leastFailing returns the suspected backend server that is least likely to fail, and
// the probability. One in another region must be better by farRisk.
func (p *Picker) leastFailing(groups *[tiers]grouped) (*membership.Backend, float64) {
	var best *membership.Backend
	risk, least := 1.0, math.Inf(1)
	for _, t := range []tier{tierSuspect, tierRefused} {
		for ring, ms := range groups[t] {
			for _, m := range ms {
				failing := p.loads.failing(m.ID)
				cost := failing
				if Locality(ring) == OtherRegion {
					cost += farRisk
				}
				if cost < least {
					best, risk, least = m, failing, cost
				}
			}
		}
	}
	return best, risk
}

// End records the end of an attempt.
func (p *Picker) End(now time.Duration, id string, r Feedback) {
	b := p.loads.get(now, id)
	b.inFlight = max(0, b.inFlight-1)
	p.loads.report(now, b, r)
}

// Report takes a load report that does not end an attempt.
func (p *Picker) Report(now time.Duration, id string, r Feedback) {
	p.loads.report(now, p.loads.get(now, id), r)
}

func (p *Picker) begin(now time.Duration, m *membership.Backend, a Attempt) {
	b := p.loads.get(now, m.ID)
	b.inFlight++
	b.sent++
	p.paths.try(now, m.Guard.NodeID)
	if p.ring(m) == OtherRegion {
		p.bytes.Spend(now, a.Bytes)
	}
}

// grouped holds candidates by locality.
type grouped [rings][]*membership.Backend

func (p *Picker) group(now time.Duration, candidates []membership.Backend, a Attempt) *[tiers]grouped {
	var groups [tiers]grouped
	far := p.bytes.Allows(now, a.Bytes) && a.CrossRegionAttempts < maxFar && !a.SameRegionOnly
	for i := range candidates {
		m := &candidates[i]
		t, r := p.tier(now, m, a), p.ring(m)
		if t == unusable || r == OtherRegion && !far {
			continue
		}
		groups[t][r] = append(groups[t][r], m)
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
	case !p.paths.Usable(now, m.Guard.NodeID), known != nil && now < known.absent:
		return tierNoPath
	case tried:
		return tierRefused
	case m.Suspect, known != nil && now < known.suspected && !a.Retest:
		return tierSuspect
	case m.State != membership.StateReady:
		return tierStarting
	}
	return tierReady
}

func (p *Picker) ring(m *membership.Backend) Locality {
	switch {
	case m.Guard.Region != p.at.Region:
		return OtherRegion
	case m.Guard.DataCentre != p.at.DataCentre:
		return SameRegion
	}
	return SameDataCentre
}

// choose returns the candidate of a tier for the attempt, or nil when there is none.
func (p *Picker) choose(now time.Duration, rng *rand.Rand, g *grouped, a Attempt) *membership.Backend {
	if a.Unanswered {
		if best := p.lastHeard(g); best != nil {
			return best
		}
	}
	return p.spill(now, rng, g, choices+len(a.Tried))
}

// lastHeard returns the backend server of the region whose guard replied last, or nil
// when none is known to have replied.
func (p *Picker) lastHeard(g *grouped) *membership.Backend {
	var best *membership.Backend
	var heard time.Duration
	for _, ring := range g[:OtherRegion] {
		for _, m := range ring {
			known := p.loads.byID[m.ID]
			if known != nil && known.known && (best == nil || known.reported > heard) {
				best, heard = m, known.reported
			}
		}
	}
	return best
}

// spill returns the choice of the nearest locality, or of a farther one when the
// nearer is loaded and the farther clearly less so.
func (p *Picker) spill(now time.Duration, rng *rand.Rand, g *grouped, n int) *membership.Backend {
	var best *membership.Backend
	var load float64
	for _, ring := range g {
		b, l := p.least(now, rng, ring, n)
		if b != nil && (best == nil || l < load-spillGain) {
			best, load = b, l
		}
		if best != nil && load < spillLoad {
			break
		}
	}
	return best
}

// least returns the least loaded of n random candidates.
func (p *Picker) least(now time.Duration, rng *rand.Rand, ms []*membership.Backend, n int) (*membership.Backend, float64) {
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
