package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

var here = Location{Region: "r1", DataCentre: "r1a"}

func server(n int, region, dc string) membership.Backend {
	return membership.Backend{
		ID: fmt.Sprintf("s@%d", n), Service: "s", Slots: 4, State: membership.StateReady,
		Guard: membership.Guard{NodeID: fmt.Sprintf("g%d", n), Region: region, DataCentre: dc},
	}
}

func newPicker(bytes float64) *Picker {
	return NewPicker(here, NewPaths(), NewByteBudget(0, bytes, bytes))
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a choice that was tried, is leaving, or is ejected while another is left.
func TestPickNeverUnusable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPicker(rapid.SampledFrom([]float64{0, 1000}).Draw(t, "bytes"))
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var all []membership.Backend
		tried := map[string]hop.Reason{}
		usable := false
		for i := range rapid.IntRange(0, 8).Draw(t, "n") {
			b := server(i, "r1", rapid.SampledFrom([]string{"r1a", "r1b"}).Draw(t, "dc"))
			b.State = rapid.SampledFrom([]membership.State{membership.StateReady, membership.StateLeaving, membership.StateStarting}).Draw(t, "state")
			b.Ejected = rapid.Bool().Draw(t, "ejected")
			b.Suspect = rapid.Bool().Draw(t, "suspect")
			if rapid.Bool().Draw(t, "tried") {
				tried[b.ID] = hop.ReasonFull
			}
			_, done := tried[b.ID]
			usable = usable || !done && !b.Ejected && b.State != membership.StateLeaving
			all = append(all, b)
		}
		c, ok := p.Pick(0, r, all, Attempt{Tried: tried})
		if !ok {
			assert.Assert(t, !usable)
			return
		}
		_, again := tried[c.Backend.ID]
		assert.Assert(t, !again && c.Backend.State != membership.StateLeaving)
		assert.Assert(t, !c.Backend.Ejected || !usable)
		assert.Equal(t, c.Force, c.Backend.Ejected || c.Backend.Suspect)
	})
}

// Guards against traffic over links between regions while nearer ones are free,
// and against traffic beyond the budget.
func TestRingsAndBudget(t *testing.T) {
	p, r := newPicker(1000), rng()
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1b"), server(3, "r2", "r2a")}
	tried := map[string]hop.Reason{}
	for _, want := range []Locality{SameDataCentre, SameRegion, OtherRegion} {
		c, ok := p.Pick(0, r, all, Attempt{Tried: tried, Bytes: 600})
		assert.Assert(t, ok)
		assert.Equal(t, c.Locality, want)
		tried[c.Backend.ID] = hop.ReasonFull
	}
	_, ok := p.Pick(0, r, all[2:], Attempt{Bytes: 600})
	assert.Assert(t, !ok, "beyond the budget")
	_, ok = p.Pick(time.Second, r, all[2:], Attempt{Bytes: 600})
	assert.Assert(t, ok, "the budget fills again")
}

// Guards against an entry that stays in a loaded data centre.
func TestSpillOver(t *testing.T) {
	p, r := newPicker(0), rng()
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1b")}
	p.End(0, all[0].ID, Feedback{Reason: hop.ReasonFull})
	c, _ := p.Pick(0, r, all, Attempt{})
	assert.Equal(t, c.Locality, SameRegion)
	c, _ = p.Pick(3*time.Second, r, all, Attempt{})
	assert.Equal(t, c.Locality, SameDataCentre, "an old report counts as average")
}

// Guards against a request that fails while a suspected backend server could serve it.
func TestForceAfterSuspectRefusals(t *testing.T) {
	p, r := newPicker(0), rng()
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1a")}
	tried := map[string]hop.Reason{}
	for range all {
		c, _ := p.Pick(0, r, all, Attempt{Tried: tried})
		assert.Assert(t, !c.Force)
		p.End(0, c.Backend.ID, Feedback{Reason: hop.ReasonSuspect, Suspect: true})
		tried[c.Backend.ID] = hop.ReasonSuspect
	}
	c, ok := p.Pick(0, r, all, Attempt{Tried: tried})
	assert.Assert(t, ok && c.Force)
}

// Guards against attempts over a path that just failed, and against several at
// once when its back-off ends.
func TestPathBackoff(t *testing.T) {
	p, r := newPicker(0), rng()
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1b")}
	p.paths.RecordFailure(0, "g1")
	c, _ := p.Pick(0, r, all, Attempt{})
	assert.Equal(t, c.Backend.ID, "s@2")
	c, _ = p.Pick(minBackoff, r, all, Attempt{})
	assert.Equal(t, c.Backend.ID, "s@1")
	c, _ = p.Pick(minBackoff, r, all, Attempt{})
	assert.Equal(t, c.Backend.ID, "s@2", "one attempt at a time")
	p.paths.RecordFailure(minBackoff, "g1")
	assert.Assert(t, !p.paths.Usable(2*minBackoff, "g1"), "the back-off doubles")
	p.paths.RecordSuccess("g1")
	assert.Assert(t, p.paths.Usable(2*minBackoff, "g1"))
}

// Guards against reports that are no numbers or out of range.
func TestFalseReports(t *testing.T) {
	p := newPicker(0)
	for _, load := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 1e300} {
		p.End(0, "s@1", Feedback{Load: load, HasLoad: true})
		e := p.loads.estimate(0, "s@1", 4)
		assert.Assert(t, e >= 0 && e <= maxLoad, "load %v gives %v", load, e)
	}
}

// Guards against traffic to another region for work that a backend server of the region,
// suspected for one failure, would most likely have done.
func TestSuspectOfTheRegionBeforeAnotherRegion(t *testing.T) {
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1b"), server(3, "r2", "r2a")}
	for _, c := range []struct {
		failing float64
		want    string
	}{{0.2, "s@2"}, {0.9, "s@3"}} {
		p, r := newPicker(1000), rng()
		tried := map[string]hop.Reason{"s@1": hop.ReasonSuspect, "s@2": hop.ReasonSuspect}
		p.End(0, "s@1", Feedback{Reason: hop.ReasonSuspect, Suspect: true, Failing: 0.95})
		p.End(0, "s@2", Feedback{Reason: hop.ReasonSuspect, Suspect: true, Failing: c.failing})
		choice, ok := p.Pick(0, r, all, Attempt{Tried: tried})
		assert.Assert(t, ok)
		assert.Equal(t, choice.Backend.ID, c.want)
		assert.Equal(t, choice.Force, c.want == "s@2")
	}
}

// Guards against one request that is sent to other regions again and again.
func TestFarAttemptsAreBounded(t *testing.T) {
	p, r := newPicker(1000), rng()
	_, ok := p.Pick(0, r, []membership.Backend{server(3, "r2", "r2a")}, Attempt{CrossRegionAttempts: maxFar})
	assert.Assert(t, !ok)
}

// Guards against work at a backend server that most likely fails it, while the work could
// wait, and against a choice among suspected ones by load instead of by risk.
func TestPatientWorkWaitsForRecovery(t *testing.T) {
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1b")}
	p, r := newPicker(0), rng()
	p.End(0, "s@1", Feedback{Suspect: true, Failing: 0.9})
	p.End(0, "s@2", Feedback{Suspect: true, Failing: 0.8})
	_, ok := p.Pick(0, r, all, Attempt{CanWait: true})
	assert.Assert(t, !ok, "both most likely fail")
	choice, ok := p.Pick(0, r, all, Attempt{})
	assert.Assert(t, ok && choice.Force)
	assert.Equal(t, choice.Backend.ID, "s@2")
	p.End(0, "s@1", Feedback{Suspect: true, Failing: 0.4})
	choice, ok = p.Pick(0, r, all, Attempt{CanWait: true})
	assert.Assert(t, ok && choice.Force)
	assert.Equal(t, choice.Backend.ID, "s@1")
}

// Guards against a backend server that has joined and gets no work, because reports that
// are seconds old still make the others seem less loaded than the average.
func TestNewBackendGetsItsShare(t *testing.T) {
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1a"), server(3, "r1", "r1a"), server(4, "r1", "r1a")}
	p, r := newPicker(0), rng()
	p.End(0, "s@1", Feedback{Load: 3, HasLoad: true})
	joined := 0
	for i := range 300 {
		now := time.Duration(i+1) * time.Second
		c, ok := p.Pick(now, r, all, Attempt{})
		assert.Assert(t, ok)
		if c.Backend.ID == "s@4" {
			joined++
			p.loads.byID["s@4"].inFlight = 0
			delete(p.loads.byID, "s@4")
			continue
		}
		p.End(now, c.Backend.ID, Feedback{Load: 0, HasLoad: true})
	}
	assert.Assert(t, joined > 40, "%d of 300", joined)
}

// Guards against a second attempt at a guard that is as silent as the first one.
func TestUnansweredWorkGoesToTheGuardHeardLast(t *testing.T) {
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1b"), server(3, "r1", "r1b"), server(4, "r2", "r2a")}
	p, r := newPicker(1000), rng()
	for i, id := range []string{"s@3", "s@2", "s@4"} {
		p.End(time.Duration(i)*time.Second, id, Feedback{Load: 0.5, HasLoad: true})
	}
	for range 20 {
		choice, ok := p.Pick(4*time.Second, r, all, Attempt{Unanswered: true})
		assert.Assert(t, ok)
		assert.Equal(t, choice.Backend.ID, "s@2", "the last one of the region")
		p.End(0, "s@2", Feedback{})
	}
}

// Guards against attempts at backend servers that are known to be gone while others are left.
func TestAbsentBackendServerIsAvoided(t *testing.T) {
	all := []membership.Backend{server(1, "r1", "r1a"), server(2, "r1", "r1b")}
	for _, reason := range []hop.Reason{hop.ReasonNoBackend, hop.ReasonLeaving, hop.ReasonStopping} {
		p, r := newPicker(1000), rng()
		p.End(0, "s@1", Feedback{Reason: reason})
		choice, ok := p.Pick(absentTime-1, r, all, Attempt{})
		assert.Assert(t, ok)
		assert.Equal(t, choice.Backend.ID, "s@2", reason)
		choice, ok = p.Pick(absentTime, r, all, Attempt{})
		assert.Assert(t, ok)
		assert.Equal(t, choice.Backend.ID, "s@1", reason)
	}
}
