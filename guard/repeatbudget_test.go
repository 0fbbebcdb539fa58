package guard

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// Guards against a budget that grows with attempts that were refused before they arrived.
func TestRefusedAttemptsEarnNoRepeats(t *testing.T) {
	f := newFixture(t)
	f.guard.config.RepeatBudget = RepeatBudget{Share: 1, Spare: func(string) float64 { return 1 }, Span: 10 * time.Second}
	f.announce("good", f.backend, membership.StateLeaving)
	for range 20 {
		outcome, _ := f.do(f.newID())
		assert.Equal(t, outcome, hop.OutcomeNotRun)
	}
	f.guard.registry.clock = func() time.Duration { return 10 * time.Second }
	repeat := job{service: "s", repeat: hop.RepeatLimited}
	assert.Assert(t, f.guard.countArrival(repeat), "the spare one")
	assert.Assert(t, !f.guard.mayRepeat(repeat))
	assert.Assert(t, !f.guard.countArrival(repeat))
}

// Guards against repeats beyond the budget that the guards of a service share, and
// against a burst of them that is refused although the window has room.
func TestRepeatsStayWithinTheSharedBudget(t *testing.T) {
	const guards, spare, share, window = 12, 58.0, 0.2, 10 * time.Second
	var now time.Duration
	var all []*Guard
	for range guards {
		g := New(Config{
			RepeatBudget: RepeatBudget{Share: share, Spare: func(string) float64 { return spare / guards }, Span: window},
		})
		g.registry.clock = func() time.Duration { return now }
		all = append(all, g)
	}
	firsts, repeats := 0, 0
	for ; now < window; now += 100 * time.Millisecond {
		for i, g := range all {
			if int(now/(100*time.Millisecond))%4 == i%4 {
				firsts++
				assert.Assert(t, g.countArrival(job{service: "s"}))
			}
			for g.countArrival(job{service: "s", repeat: hop.RepeatLimited}) {
				repeats++
			}
		}
	}
	assert.Assert(t, float64(repeats) <= share*float64(firsts)+spare, "%d repeats of %d", repeats, firsts)
	assert.Assert(t, float64(repeats) > share*float64(firsts), "%d repeats of %d", repeats, firsts)
}

// budgetOfOne is a guard without other traffic whose part of the budget is one repeat.
func budgetOfOne(t *testing.T) *fixture {
	f := newFixture(t)
	f.guard.config.RepeatBudget = RepeatBudget{Share: 0.2, Spare: func(string) float64 { return 1 }, Span: 10 * time.Second}
	f.guard.registry.clock = func() time.Duration { return 10 * time.Second }
	return f
}

// Guards against repeats that guards of sound backend servers refuse while those of
// failing ones have their part of the budget left, and against paying twice for one repeat.
func TestGuardOfFailureGrantsRepeat(t *testing.T) {
	failing, sound := budgetOfOne(t), budgetOfOne(t)
	limited := job{service: "s", repeat: hop.RepeatLimited}
	assert.Assert(t, sound.guard.countArrival(limited))
	assert.Assert(t, !sound.guard.mayRepeat(limited), "its part is used up")

	header := http.Header{}
	failing.guard.grant(header, job{service: "s"})
	assert.Equal(t, header.Get(hop.HeaderGrant), "true")
	assert.Assert(t, !failing.guard.mayRepeat(limited), "the grant uses the part")
	granted := job{service: "s", repeat: hop.RepeatGranted}
	assert.Assert(t, sound.guard.mayRepeat(granted))
	assert.Assert(t, sound.guard.countArrival(granted))

	header = http.Header{}
	failing.guard.grant(header, job{service: "s"})
	assert.Equal(t, header.Get(hop.HeaderGrant), "", "nothing is left to grant")
}

// Guards against calls of repeated runs that nobody counts: they count as repeats of the
// service that is called.
func TestCallOfRepeatedRunCounts(t *testing.T) {
	f := budgetOfOne(t)
	running := func() [2]int {
		all, repeats := f.guard.Running()
		return [2]int{all, repeats}
	}
	ended := f.guard.started(job{})
	endedRepeat := f.guard.started(job{repeat: hop.RepeatGranted})
	assert.Equal(t, running(), [2]int{2, 1})
	endedRepeat()
	ended()
	assert.Equal(t, running(), [2]int{0, 0})

	call := job{service: "s", repeat: hop.RepeatCall}
	assert.Assert(t, f.guard.countArrival(call))
	assert.Assert(t, f.guard.countArrival(call), "it is never refused")
	assert.Assert(t, !f.guard.mayRepeat(job{service: "s", repeat: hop.RepeatLimited}))
}

// Guards against twice the spare repeats when a guard restarts within a span.
func TestSpareRepeatsGrowAfterStart(t *testing.T) {
	f := budgetOfOne(t)
	var now time.Duration
	f.guard.registry.clock = func() time.Duration { return now }
	limited := job{service: "s", repeat: hop.RepeatLimited}
	assert.Assert(t, !f.guard.mayRepeat(limited))
	now = 9 * time.Second
	assert.Assert(t, !f.guard.mayRepeat(limited))
	now = 10 * time.Second
	assert.Assert(t, f.guard.mayRepeat(limited))
}
