package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/objectstore"
)

// slowStore delays each call by a random time, so that the calls of an editor and a garbage
// collector interleave.
type slowStore struct {
	*fakeStore
	mu     sync.Mutex
	random *rand.Rand
}

func (s *slowStore) delay() {
	s.mu.Lock()
	d := time.Duration(s.random.IntN(20)) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *slowStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	s.delay()
	return s.fakeStore.Get(ctx, key)
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, c objectstore.Condition) (string, error) {
	s.delay()
	return s.fakeStore.Put(ctx, key, value, c)
}

func (s *slowStore) Delete(ctx context.Context, key string, c objectstore.Condition) error {
	s.delay()
	return s.fakeStore.Delete(ctx, key, c)
}

// checkReadable checks that the latest versions can be read; kept is their number.
func checkReadable(t *testing.T, s Store, kept int) {
	t.Helper()
	h := newHistory(s)
	head, err := h.current(t.Context())
	assert.NilError(t, err)
	for i := range kept {
		_, err := h.diff(t.Context(), Head{}, head.Head)
		assert.NilError(t, err, "version %d", head.Version)
		if head.Version == 1 || i == kept-1 {
			return
		}
		head, err = h.readHead(t.Context(), head.Ancestors[0].Head)
		assert.NilError(t, err)
	}
}

// A garbage collection must not delete objects that a concurrent commit uses. The commits write
// earlier rows again, so that they need pages that the collection is about to delete.
func TestCollectDuringCommits(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			s, e := newSeededStore(t)
			for i := range 6 {
				_, err := e.Commit(t.Context(), poolChange(fmt.Sprint("old", i), 0, "p", i))
				assert.NilError(t, err)
			}
			slow := &slowStore{fakeStore: s, random: rand.New(rand.NewPCG(seed, 0))}
			var group sync.WaitGroup
			group.Go(func() {
				editor := NewEditor(slow, time.Now)
				for i := range 12 {
					_, err := editor.Commit(t.Context(), poolChange(fmt.Sprint("new", i), 0, "p", i%6))
					assert.Check(t, err)
				}
			})
			group.Go(func() {
				for range 6 {
					_, err := NewGarbageCollector(slow).collect(t.Context(), 2, false)
					assert.Check(t, err)
				}
			})
			group.Wait()
			checkReadable(t, s, 2)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// A collection keeps the requested number of versions, and a dry run changes nothing. When the part of
// the history that may contain the change ID of a commit was deleted, the commit must report that
// its outcome is unknown.
func TestCollect(t *testing.T) {
	s, e := newSeededStore(t)
	for i := range 200 {
		_, err := e.Commit(t.Context(), poolChange(fmt.Sprint("c", i), 0, "p", i))
		assert.NilError(t, err)
	}
	_, err := NewGarbageCollector(s).Collect(t.Context(), MinKeptVersions-1, false)
	assert.ErrorIs(t, err, ErrInvalidChange)
	before, objects := s.writes, len(s.objects)
	planned, err := NewGarbageCollector(s).Collect(t.Context(), 70, true)
	assert.NilError(t, err)
	assert.Equal(t, s.writes, before)
	assert.Equal(t, len(s.objects), objects)
	done, err := NewGarbageCollector(s).Collect(t.Context(), 70, false)
	assert.NilError(t, err)
	assert.Equal(t, done.OldestKept, uint64(132))
	assert.Equal(t, done.Deleted, planned.Unused)
	assert.Assert(t, done.Deleted > 380)
	checkReadable(t, s, 70)
	again, err := NewGarbageCollector(s).Collect(t.Context(), 200, false)
	assert.NilError(t, err)
	assert.Equal(t, again.OldestKept, uint64(132))
	assert.Equal(t, again.Unused, 0)
	_, err = e.Revert(t.Context(), "undo", "ann", 132)
	assert.ErrorIs(t, err, ErrNoVersion)
	_, err = e.Commit(t.Context(), poolChange("c1", 2, "q", 1))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
}
