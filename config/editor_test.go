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

func newSeededStore(t *testing.T) (*fakeStore, *Editor) {
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

// Another operator commits a change of a pool just before the head is written. The commit must keep
// that change when it writes another row, and fail with a conflict when it writes the same row.
func TestConcurrentChanges(t *testing.T) {
	for _, test := range []struct {
		name, pool string
		base       uint64
		conflict   bool
	}{{"other row", "q", 0, false}, {"same row", "p", 0, true}, {"same row, old base", "p", 1, true}} {
		t.Run(test.name, func(t *testing.T) {
			s, e := newSeededStore(t)
			other := NewEditor(s, time.Now)
			s.beforeHeadWrite = func() {
				s.beforeHeadWrite = nil
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

// Two editors commit to an empty store at the same time; the second commit must not overwrite the first.
func TestFirstCommitsConflict(t *testing.T) {
	s := newFakeStore()
	s.beforeHeadWrite = func() {
		s.beforeHeadWrite = nil
		_, err := NewEditor(s, time.Now).Commit(t.Context(), poolChange("theirs", 0, "p", 7))
		assert.NilError(t, err)
	}
	_, err := NewEditor(s, time.Now).Commit(t.Context(), poolChange("mine", 0, "p", 9))
	assert.ErrorIs(t, err, ErrConflict)
}

// When a write of the head gets no answer, whether it takes effect at once, later or never, the
// change must be committed exactly once and reported as successful.
func TestUnansweredHeadWrite(t *testing.T) {
	for _, fault := range []writeFault{lostAnswer, lostRequest, delayedWrite} {
		s, e := newSeededStore(t)
		s.headWriteFault = func() writeFault { s.headWriteFault = nil; return fault }
		version, err := e.Commit(t.Context(), poolChange("c", 0, "p", 9))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(2))
		assert.Equal(t, s.headWrites, 2)
	}
}

// outageStore cannot be read while down is set. Tests set it together with the loss of an answer.
type outageStore struct {
	*fakeStore
	down atomic.Bool
}

func (u *outageStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if u.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return u.fakeStore.Get(ctx, key)
}

// The answer to the write of the head is lost and the store cannot be read afterwards, so the outcome is
// unknown: neither success nor failure may be reported. A commit under the same ID finds it later, even
// when more than 64 changes were made since and the head no longer records the ID.
func TestUnknownOutcomeIsFoundLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newSeededStore(t)
		u := &outageStore{fakeStore: s}
		s.headWriteFault = func() writeFault { s.headWriteFault = nil; u.down.Store(true); return lostAnswer }
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
		_, found, err := e.FindChange(t.Context(), "never", 1)
		assert.NilError(t, err)
		assert.Assert(t, !found)
	})
}

// An outage after the lost answer that ends while the commit is still being repeated must not make
// its outcome unknown.
func TestLostAnswerIsResolvedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSeededStore(t)
		u := &outageStore{fakeStore: s}
		s.headWriteFault = func() writeFault { s.headWriteFault = nil; u.down.Store(true); return lostAnswer }
		time.AfterFunc(time.Second, func() { u.down.Store(false) })
		version, err := NewEditor(u, time.Now).Commit(t.Context(), poolChange("c", 0, "p", 9))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(2))
	})
}

// When the store cannot be read from the start, the error must say that the change was not made.
func TestStoreDown(t *testing.T) {
	s, _ := newSeededStore(t)
	u := &outageStore{fakeStore: s}
	u.down.Store(true)
	_, err := NewEditor(u, time.Now).Commit(t.Context(), poolChange("c", 0, "p", 9))
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.Assert(t, !errors.Is(err, ErrOutcomeUnknown))
}

// A change that breaks a rule must be rejected before anything is written.
func TestCommitRejectsInvalidChange(t *testing.T) {
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
			s, e := newSeededStore(t)
			before := s.writes
			test.change.ID, test.change.Operator = "c", "ann"
			_, err := e.Commit(t.Context(), test.change)
			assert.ErrorIs(t, err, ErrInvalidChange)
			assert.ErrorContains(t, err, test.want)
			_, err = e.DryRun(t.Context(), test.change)
			assert.ErrorIs(t, err, ErrInvalidChange)
			assert.Equal(t, s.writes, before)
		})
	}
}

// A dry run must show the same diff as the commit, and write nothing. A revert must restore the
// earlier rows, and fail when it is repeated or when the version does not exist.
func TestDryRunDiffAndRevert(t *testing.T) {
	s, e := newSeededStore(t)
	before := s.writes
	c := Change{ID: "c", Operator: "ann", Upsert: Upserts{Pools: []pool.Pool{testPool("p", 5)}}, Delete: Deletes{Pools: []string{"q"}}}
	plan, err := e.DryRun(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, s.writes, before)
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

// Under any interleaving of two operators whose writes may get no answer, the table must hold exactly
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
		assert.Assert(t, !twice, "version %d was reported for two changes", version)
		made[version] = testPool(name, floor)
	}
	s.headWriteFault = func() writeFault { return writeFault(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "fault")) }
	names := rapid.SampledFrom([]string{"p", "q", "r"})
	for i := range rapid.IntRange(1, 4).Draw(t, "changes") {
		between := rapid.IntRange(0, 2).Draw(t, "between")
		s.beforeHeadWrite = func() {
			hook := s.beforeHeadWrite
			s.beforeHeadWrite = nil
			for ; between > 0; between-- {
				commit(fmt.Sprintf("b%d-%d", i, between), names.Draw(t, "b"), 100+10*i+between)
			}
			s.beforeHeadWrite = hook
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
