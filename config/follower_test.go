package config

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/organisation"
)

// storeWithVersions returns a store with n committed versions, and their encoded heads.
// The floor of the pool p is the number of the version.
func storeWithVersions(t *testing.T, n int) (*fakeStore, [][]byte) {
	t.Helper()
	s := newFakeStore()
	e := NewEditor(s, time.Now)
	var heads [][]byte
	for i := range n {
		c := Change{ID: fmt.Sprint("c", i), Operator: "ann"}
		for j := range 100 {
			c.Upsert.Organisations = append(c.Upsert.Organisations, testOrganisation(fmt.Sprintf("o%03d", (i*37+j)%300)))
		}
		c.Upsert.Pools = append(c.Upsert.Pools, testPool("p", i+1))
		_, err := e.Commit(t.Context(), c)
		assert.NilError(t, err)
		heads = append(heads, s.objects[HeadKey].Value)
	}
	return s, heads
}

// Stale, reordered and duplicated heads, and pages that arrive late, in part or damaged,
// must never lower the version of a follower or produce a snapshot that mixes versions.
func TestFollowerVersionNeverDecreases(t *testing.T) {
	s, heads := storeWithVersions(t, 12)
	rapid.Check(t, func(t *rapid.T) {
		f := NewFollower()
		highest, last := uint64(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "head") {
				i := rapid.IntRange(0, len(heads)-1).Draw(t, "version")
				accepted, err := f.OfferHead(heads[i])
				assert.NilError(t, err)
				assert.Equal(t, accepted, uint64(i+1) > highest)
				highest = max(highest, uint64(i+1))
			} else {
				offerMissingPages(t, f, s)
			}
			version := f.Snapshot().Version()
			assert.Assert(t, version >= last && version <= highest)
			last = version
			checkSnapshot(t, f, heads)
		}
		assert.NilError(t, NewLoader(s).LoadMissingPages(context.Background(), f))
		assert.Equal(t, f.Snapshot().Version(), highest)
		checkSnapshot(t, f, heads)
	})
}

func offerMissingPages(t *rapid.T, f *Follower, s *fakeStore) {
	for _, hash := range f.MissingPages() {
		data := s.objects[pageKey(hash)].Value
		switch rapid.IntRange(0, 3).Draw(t, "page") {
		case 0:
			assert.ErrorIs(t, f.OfferPage(hash, append([]byte(" "), data...)), ErrCorrupt)
		case 1:
		default:
			assert.NilError(t, f.OfferPage(hash, data))
		}
	}
}

// checkSnapshot checks that the snapshot is of a single version, and that the follower holds the head
// and all pages of this version, so that it can serve them.
func checkSnapshot(t *rapid.T, f *Follower, heads [][]byte) {
	version := f.Snapshot().Version()
	if version == 0 {
		assert.Assert(t, f.EncodedHead() == nil)
		return
	}
	p, ok := f.Snapshot().Pool("p")
	assert.Assert(t, ok)
	assert.Equal(t, p.Floor, int(version))
	assert.Equal(t, string(f.EncodedHead()), string(heads[version-1]))
	head, err := DecodeHead(f.EncodedHead())
	assert.NilError(t, err)
	for _, refs := range head.Index {
		for _, ref := range refs {
			checkHeld(t, f, ref.Hash)
			children, err := decodeIndex(f.pages[ref.Hash].data)
			assert.NilError(t, err)
			for _, child := range children {
				checkHeld(t, f, child.Hash)
			}
		}
	}
}

func checkHeld(t *rapid.T, f *Follower, hash Hash) {
	data, ok := f.Page(hash)
	assert.Assert(t, ok)
	assert.Equal(t, hashOf(data), hash)
}

// A follower that drops pages that are still used would read them again with each change.
func TestFollowerReusesPages(t *testing.T) {
	s, _ := storeWithVersions(t, 9)
	f := NewFollower()
	_, err := NewLoader(s).Load(t.Context(), f)
	assert.NilError(t, err)
	_, err = NewEditor(s, time.Now).Commit(t.Context(), Change{ID: "one", Operator: "ann",
		Upsert: Upserts{Organisations: []organisation.Organisation{{Name: "o000", SecretSHA256: organisation.HashSecret("new")}}}})
	assert.NilError(t, err)
	data, _, err := NewLoader(s).Head(t.Context())
	assert.NilError(t, err)
	accepted, err := f.OfferHead(data)
	assert.NilError(t, err)
	assert.Assert(t, accepted)
	assert.Equal(t, len(f.MissingPages()), 1)
	assert.Equal(t, f.Snapshot().Version(), uint64(9))
	index := f.MissingPages()[0]
	assert.NilError(t, f.OfferPage(index, s.objects[pageKey(index)].Value))
	assert.Equal(t, len(f.MissingPages()), 1)
	assert.Equal(t, f.Snapshot().Version(), uint64(9))
	assert.NilError(t, NewLoader(s).LoadMissingPages(t.Context(), f))
	assert.Assert(t, f.Snapshot().Authenticate("o000", "new"))
}

// A damaged page or index page in the store must get neither into a snapshot nor into the pages
// that a change writes.
func TestDamagedPageIsRejected(t *testing.T) {
	for _, level := range []string{"index", "rows"} {
		t.Run(level, func(t *testing.T) {
			s, _ := storeWithVersions(t, 1)
			f := NewFollower()
			data, _, err := NewLoader(s).Head(t.Context())
			assert.NilError(t, err)
			_, err = f.OfferHead(data)
			assert.NilError(t, err)
			head, err := DecodeHead(data)
			assert.NilError(t, err)
			damaged := head.Index[Pools][0].Hash
			if level == "rows" {
				refs, err := decodeIndex(s.objects[pageKey(damaged)].Value)
				assert.NilError(t, err)
				damaged = refs[0].Hash
			}
			s.objects[pageKey(damaged)] = objectstore.Object{Value: []byte(`[{"name":"x"}]`)}
			_, err = NewEditor(s, time.Now).DryRun(t.Context(), poolChange("c", 0, "z", 1))
			assert.ErrorIs(t, err, ErrCorrupt)
			assert.ErrorIs(t, NewLoader(s).LoadMissingPages(t.Context(), f), ErrCorrupt)
			assert.Equal(t, f.Snapshot().Version(), uint64(0))
		})
	}
}
