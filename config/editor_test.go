package config

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

func testPool(name string, floor int) pool.Pool {
	return pool.Pool{Name: name, Service: name, Floor: floor, AnnounceSecretSHA256: organisation.HashSecret(name)}
}

func testOrganisation(name string) organisation.Organisation {
	return organisation.Organisation{Name: name, SecretSHA256: organisation.HashSecret(name)}
}

func testRoute(org, name, pool string) route.Route {
	return route.Route{Name: name, Organisation: org, Pool: pool, PathPrefix: "/" + name}
}

func poolChange(id string, base uint64, name string, floor int) Change {
	return Change{ID: id, Operator: "ann", Base: base, Upsert: Upserts{Pools: []pool.Pool{testPool(name, floor)}}}
}

func firstChange() Change {
	return Change{ID: "first", Operator: "ann", Upsert: Upserts{
		Pools:         []pool.Pool{testPool("p", 1), testPool("q", 1)},
		Organisations: []organisation.Organisation{testOrganisation("o")},
		Routes:        []route.Route{testRoute("o", "r", "p")},
	}}
}

func seeded(t *testing.T) (*fakeStore, *Editor) {
	t.Helper()
	s := newFakeStore()
	e := NewEditor(s, time.Now)
	_, err := e.Commit(t.Context(), firstChange())
	assert.NilError(t, err)
	return s, e
}

func loadSnapshot(t assert.TestingT, s Store) *Snapshot {
	f := NewFollower()
	_, err := NewLoader(s).Load(context.Background(), f)
	assert.NilError(t, err)
	return f.Snapshot()
}

// The second operator must neither lose a change of another row nor overwrite the same row.
func TestConcurrentChanges(t *testing.T) {
	for _, test := range []struct {
		name, pool string
		base       uint64
		conflict   bool
	}{{"other row", "q", 0, false}, {"same row", "p", 0, true}, {"same row, old base", "p", 1, true}} {
		t.Run(test.name, func(t *testing.T) {
			s, e := seeded(t)
			other := NewEditor(s, time.Now)
			s.beforeHead = func() {
				s.beforeHead = nil
				_, err := other.Commit(t.Context(), Change{ID: "theirs", Operator: "bob", Note: "raise floor",
					Upsert: Upserts{Pools: []pool.Pool{testPool("p", 7)}}})
				assert.NilError(t, err)
			}
			_, err := e.Commit(t.Context(), poolChange("mine", test.base, test.pool, 9))
			p, _ := loadSnapshot(t, s).Pool("p")
			assert.Equal(t, p.Floor, 7)
			if !test.conflict {
				assert.NilError(t, err)
				return
			}
			var conflict *ConflictError
			assert.Assert(t, errors.As(err, &conflict))
			assert.ErrorIs(t, err, ErrConflict)
			assert.Equal(t, conflict.Other.Operator, "bob")
			assert.Equal(t, conflict.Version, uint64(2))
			assert.Equal(t, conflict.Rows[0].Key, "p")
			assert.ErrorContains(t, err, "pools p")
		})
	}
}

// Two first commits start from an empty store; the second must not overwrite the first.
func TestFirstCommitsConflict(t *testing.T) {
	s := newFakeStore()
	s.beforeHead = func() {
		s.beforeHead = nil
		_, err := NewEditor(s, time.Now).Commit(t.Context(), poolChange("theirs", 0, "p", 7))
		assert.NilError(t, err)
	}
	_, err := NewEditor(s, time.Now).Commit(t.Context(), poolChange("mine", 0, "p", 9))
	assert.ErrorIs(t, err, ErrConflict)
}

// A lost answer must not make the change twice, nor report it as failed.
func TestLostAnswer(t *testing.T) {
	for _, what := range []loss{lostAnswer, lostRequest, lateWrite} {
		s, e := seeded(t)
		s.loseHead = func() loss { s.loseHead = nil; return what }
		version, err := e.Commit(t.Context(), poolChange("c", 0, "p", 9))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(2))
		assert.Equal(t, s.headWrites, 2)
	}
}

// unavailableAfterLoss loses the answer of a write of the head and cannot be read after it.
type unavailableAfterLoss struct {
	*fakeStore
	down atomic.Bool
}

func (u *unavailableAfterLoss) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if u.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return u.fakeStore.Get(ctx, key)
}

// Without the store the outcome is unknown: neither success nor failure may be reported.
// The same ID learns it later, even more than 64 changes later.
func TestOutcomeUnknownIsResolvedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := seeded(t)
		u := &unavailableAfterLoss{fakeStore: s}
		s.loseHead = func() loss { s.loseHead = nil; u.down.Store(true); return lostAnswer }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c := poolChange("late", 1, "p", 9)
		_, err := NewEditor(u, time.Now).Commit(ctx, c)
		assert.ErrorIs(t, err, ErrOutcomeUnknown)
		for i := range 200 {
			_, err := e.Commit(t.Context(), poolChange(fmt.Sprint("c", i), 0, "q", i))
			assert.NilError(t, err)
		}
		version, err := e.Commit(t.Context(), c)
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(2))
		c.Note = "another change"
		_, err = e.Commit(t.Context(), c)
		assert.ErrorIs(t, err, ErrChangeIDReused)
		_, found, err := e.Find(t.Context(), "never", 1)
		assert.NilError(t, err)
		assert.Assert(t, !found)
	})
}

// An outage between the write and the look-up that ends in time must not be reported as unknown.
func TestLostAnswerIsResolvedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := seeded(t)
		u := &unavailableAfterLoss{fakeStore: s}
		s.loseHead = func() loss { s.loseHead = nil; u.down.Store(true); return lostAnswer }
		time.AfterFunc(time.Second, func() { u.down.Store(false) })
		version, err := NewEditor(u, time.Now).Commit(t.Context(), poolChange("c", 0, "p", 9))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(2))
	})
}

// A store that is down from the start means that nothing was made.
func TestStoreDown(t *testing.T) {
	s, _ := seeded(t)
	u := &unavailableAfterLoss{fakeStore: s}
	u.down.Store(true)
	_, err := NewEditor(u, time.Now).Commit(t.Context(), poolChange("c", 0, "p", 9))
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.Assert(t, !errors.Is(err, ErrOutcomeUnknown))
}

// A change that breaks a rule must be refused before anything is written.
func TestCommitRefuses(t *testing.T) {
	tests := []struct {
		want   string
		change Change
	}{
		{"pools nowhere, which does not exist", Change{Upsert: Upserts{Routes: []route.Route{testRoute("o", "x", "nowhere")}}}},
		{"organisations nobody, which does not exist", Change{Upsert: Upserts{Routes: []route.Route{testRoute("nobody", "x", "p")}}}},
		{"pools p is deleted but route o/r refers to it", Change{Delete: Deletes{Pools: []string{"p"}}}},
		{"organisations o is deleted but route o/r", Change{Delete: Deletes{Organisations: []string{"o"}}}},
		{"does not exist", Change{Delete: Deletes{Routes: []string{"o/none"}}}},
		{"twice", Change{Upsert: Upserts{Pools: []pool.Pool{testPool("z", 1)}}, Delete: Deletes{Pools: []string{"z"}}}},
		{"floor -1", Change{Upsert: Upserts{Pools: []pool.Pool{testPool("z", 1), testPool("y", -1)}}}},
		{"empty", Change{}},
		{"the limit is", Change{Upsert: Upserts{Routes: []route.Route{{Name: "x", Organisation: "o", Pool: "p", PathPrefix: "/" + string(make([]byte, maxRowBytes))}}}}},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			s, e := seeded(t)
			before := s.version
			test.change.ID, test.change.Operator = "c", "ann"
			_, err := e.Commit(t.Context(), test.change)
			assert.ErrorIs(t, err, ErrInvalidChange)
			assert.ErrorContains(t, err, test.want)
			_, err = e.DryRun(t.Context(), test.change)
			assert.ErrorIs(t, err, ErrInvalidChange)
			assert.Equal(t, s.version, before)
		})
	}
}

// A dry run must show what a commit does, and write nothing.
func TestDryRunDiffAndRevert(t *testing.T) {
	s, e := seeded(t)
	before := s.version
	c := Change{ID: "c", Operator: "ann", Upsert: Upserts{Pools: []pool.Pool{testPool("p", 5)}}, Delete: Deletes{Pools: []string{"q"}}}
	plan, err := e.DryRun(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, s.version, before)
	_, err = e.Commit(t.Context(), c)
	assert.NilError(t, err)
	diff, err := e.Diff(t.Context(), 1, 2)
	assert.NilError(t, err)
	assert.DeepEqual(t, plan.Diff, diff)
	assert.Equal(t, len(diff), 2)

	version, err := e.Revert(t.Context(), "undo", "bob", 2)
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(3))
	diff, err = e.Diff(t.Context(), 1, 3)
	assert.NilError(t, err)
	assert.Equal(t, len(diff), 0)
	_, err = e.Revert(t.Context(), "undo-again", "bob", 2)
	assert.ErrorIs(t, err, ErrConflict)
	_, err = e.Revert(t.Context(), "undo-none", "bob", 9)
	assert.ErrorIs(t, err, ErrNoVersion)
}

// Under any interleaving of two operators with lost answers, the table must hold exactly
// the changes that were reported as made, in the order of their versions.
func TestEditorInterleavings(t *testing.T) {
	rapid.Check(t, checkInterleaving)
}

func checkInterleaving(t *rapid.T) {
	s := newFakeStore()
	made := make(map[uint64]pool.Pool)
	commit := func(id, name string, floor int) {
		version, err := NewEditor(s, time.Now).Commit(context.Background(), poolChange(id, 0, name, floor))
		if errors.Is(err, ErrConflict) {
			return
		}
		assert.NilError(t, err)
		_, twice := made[version]
		assert.Assert(t, !twice, "version %d was reported twice", version)
		made[version] = testPool(name, floor)
	}
	s.loseHead = func() loss { return loss(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "loss")) }
	names := rapid.SampledFrom([]string{"p", "q", "r"})
	for i := range rapid.IntRange(1, 4).Draw(t, "changes") {
		between := rapid.IntRange(0, 2).Draw(t, "between")
		s.beforeHead = func() {
			hook := s.beforeHead
			s.beforeHead = nil
			for ; between > 0; between-- {
				commit(fmt.Sprintf("b%d-%d", i, between), names.Draw(t, "b"), 100+10*i+between)
			}
			s.beforeHead = hook
		}
		commit(fmt.Sprint("a", i), names.Draw(t, "a"), i)
	}
	snapshot := loadSnapshot(t, s)
	assert.Equal(t, int(snapshot.Version()), len(made))
	assert.Equal(t, s.headWrites, len(made))
	floors := make(map[string]int)
	for version := range len(made) {
		p := made[uint64(version+1)]
		floors[p.Name] = p.Floor
	}
	assert.Equal(t, len(snapshot.Pools()), len(floors))
	for name, floor := range floors {
		p, _ := snapshot.Pool(name)
		assert.Equal(t, p.Floor, floor, name)
	}
}
