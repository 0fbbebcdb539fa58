package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawlane/jackdawlane/membership"
)

// Rule is the rule by which a backend server was chosen, or by which none was.
type Rule string

// Rules of a choice.
const (
	RuleLeastLoaded   Rule = "the least loaded of the random candidates that were compared"
	RuleNearerSuspect Rule = "suspected, but near and unlikely to fail; all that are ready are in another region"
	RuleLeastFailing  Rule = "none is ready; the least likely to fail of those that are suspected"
	RuleWait          Rule = "none is ready and those that are suspected are likely to fail; the request waits"
	RuleNone          Rule = "no candidate may be used now"
)

// String returns the name of the locality.
func (l Locality) String() string {
	return [...]string{"own data centre", "region", "other region"}[l]
}

// conditions are the names of the tiers.
var conditions = [...]string{
	tierReady: "ready", tierStarting: "starting", tierSuspect: "suspect", tierRefused: "refused",
	tierUnreachable: "out of reach", tierEjected: "ejected", unusable: "unusable",
}

const (
	// conditionNoRoom is the condition of a backend server that is known to have no slot in time.
	conditionNoRoom = "no room"
	// conditionRegion is the condition of a backend server in another region when the attempt must stay
	// in its own, as when the budget for traffic between regions is used up.
	conditionRegion = "no traffic to other regions"
)

// Preview is what Pick would choose.
type Preview struct {
	Choice Choice
	// OK is false when no candidate may be used now.
	OK   bool
	Rule Rule
	// Candidates begins with the chosen one and those whose loads were compared with it.
	Candidates []Candidate
}

// Candidate is what a choice knows of a candidate.
type Candidate struct {
	Backend  membership.Backend
	Locality Locality
	// Condition orders the candidates before their distance and their load do.
	Condition string
	// Compared is set when the load was compared with that of other candidates.
	Compared bool
	Load     float64
	InFlight int
	// ReportAge is the time since the last load report; negative if there was none.
	ReportAge time.Duration
	// FailureProbability is that of a suspected backend server; 1 if it is not known.
	FailureProbability float64
	// Backoff is the time for which no attempt is sent to the guard, and RoomIn that until the backend
	// server is expected to have a slot for the attempt.
	Backoff, RoomIn time.Duration
	tier            tier
}

// Preview returns what Pick would choose with the same arguments. It changes nothing but the state of rng.
func (p *Picker) Preview(now time.Duration, rng *rand.Rand, candidates []membership.Backend, a Attempt) Preview {
	d := p.decide(now, rng, candidates, a)
	out := Preview{Rule: d.rule, OK: d.backend != nil}
	if out.OK {
		out.Choice = p.choice(d)
	}
	grouped := make(map[string]bool, len(candidates))
	compared := make(map[string]bool)
	for t := range d.groups {
		for l, backends := range d.groups[t] {
			for i, b := range backends {
				grouped[b.ID] = true
				if tier(t) == d.searched && Locality(l) <= d.reached && i < minCompared+len(a.Tried) {
					compared[b.ID] = true
				}
			}
		}
	}
	for i := range candidates {
		c := p.describe(now, &candidates[i], a)
		c.Compared = compared[c.Backend.ID]
		if !grouped[c.Backend.ID] && c.tier != unusable {
			c.tier, c.Condition = unusable, conditionRegion
		}
		out.Candidates = append(out.Candidates, c)
	}
	rank := func(c Candidate) int {
		switch {
		case out.OK && c.Backend.ID == out.Choice.Backend.ID:
			return 0
		case c.Compared:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(out.Candidates, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(x.tier, y.tier), cmp.Compare(x.Locality, y.Locality), cmp.Compare(x.Load, y.Load))
	})
	return out
}

func (p *Picker) describe(now time.Duration, backend *membership.Backend, a Attempt) Candidate {
	t := p.tier(now, backend, a)
	c := Candidate{
		Backend: *backend, Locality: p.locality(backend), Condition: conditions[t], tier: t, ReportAge: -1,
		Load:    p.loads.estimate(now, backend.ID, backend.Slots),
		Backoff: p.paths.backoff(now, backend.Guard.NodeID),
	}
	if t == tierSuspect || t == tierRefused {
		c.FailureProbability = p.loads.failureProbability(backend.ID)
	}
	known := p.loads.byID[backend.ID]
	if known == nil {
		return c
	}
	c.InFlight = known.inFlight
	if known.hasReport {
		c.ReportAge = now - known.reportedAt
	}
	c.RoomIn = max(0, known.refusals.freeAt(a.Rank)-now)
	if _, tried := a.Tried[backend.ID]; t == unusable && !tried && backend.State != membership.StateLeaving {
		c.Condition = conditionNoRoom
	}
	return c
}
