package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

// Guards against a budget that grows with attempts that were refused before they arrived.
func TestRefusedAttemptsEarnNoRepeats(t *testing.T) {
	f := newFixture(t)
	f.guard.config.Repeats = Repeats{Share: 1, Spare: func(string) float64 { return 1 }, Span: 10 * time.Second}
	f.announce("good", f.backend, membership.StateLeaving)
	for range 20 {
		outcome, _ := f.do(f.newID())
		assert.Equal(t, outcome, hop.OutcomeNotRun)
	}
	repeat := job{service: "s", repeat: true}
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
			Repeats: Repeats{Share: share, Spare: func(string) float64 { return spare / guards }, Span: window},
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
			for g.countArrival(job{service: "s", repeat: true}) {
				repeats++
			}
		}
	}
	assert.Assert(t, float64(repeats) <= share*float64(firsts)+spare, "%d repeats of %d", repeats, firsts)
	assert.Assert(t, float64(repeats) > share*float64(firsts), "%d repeats of %d", repeats, firsts)
}
