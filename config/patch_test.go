package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
)

// drawSnapshot draws a snapshot whose rows often have the keys of those of another one.
func drawSnapshot(t *rapid.T, version uint64) *Snapshot {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID[int])
	draw := func(label string) int { return rapid.IntRange(0, 2).Draw(t, label) }
	var routes []route.Route
	for _, i := range names.Draw(t, "routes") {
		r := route.Route{Name: fmt.Sprint("r", i), Host: "h.example", PathPrefix: fmt.Sprintf("/%d/", draw("prefix")), Pool: fmt.Sprint("p", draw("pool"))}
		if draw("split") == 0 {
			r.Split = []route.WeightedPool{{Pool: "p0", Weight: 0.3}}
		}
		routes = append(routes, r)
	}
	var pools []pool.Pool
	for _, i := range names.Draw(t, "pools") {
		pools = append(pools, pool.Pool{Name: fmt.Sprint("p", i), Service: fmt.Sprint("s", draw("service"))})
	}
	var organisations []organisation.Organisation
	for _, i := range names.Draw(t, "organisations") {
		organisations = append(organisations, organisation.Organisation{Name: fmt.Sprint("o", i),
			KeyHashes: []organisation.Hash{organisation.HashSecret(fmt.Sprint(i, draw("key")))}})
	}
	return NewSnapshot(version, routes, pools, organisations)
}

// Guards against a node whose configuration, put together from the changes, is not the operator's.
func TestPatchedSnapshotIsTheNewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawSnapshot(t, 3), drawSnapshot(t, 5)
		data, err := json.Marshal(after.PatchFrom(before))
		assert.NilError(t, err)
		var patch Patch
		assert.NilError(t, json.Unmarshal(data, &patch))
		patched, err := before.Apply(patch)
		assert.NilError(t, err)
		assert.Equal(t, patched.Version(), uint64(5))
		assert.DeepEqual(t, patched.Routes(), after.Routes())
		assert.DeepEqual(t, patched.Pools(), after.Pools())
		assert.DeepEqual(t, patched.Organisations(), after.Organisations())
		assert.Equal(t, patched.Digest(), after.Digest())
		assert.Equal(t, patched.computeDigest(), after.Digest())
		for prefix := range 3 {
			path := fmt.Sprintf("/%d/x", prefix)
			want, wantFound := after.Match("", "h.example", "GET", path)
			got, found := patched.Match("", "h.example", "GET", path)
			assert.Equal(t, found, wantFound)
			assert.Equal(t, got.PathPrefix, want.PathPrefix)
		}
		for _, o := range after.Organisations() {
			got, _ := patched.OrganisationByKey(o.KeyHashes[0])
			want, _ := after.OrganisationByKey(o.KeyHashes[0])
			assert.Equal(t, got.Name, want.Name)
		}
	})
}

// Guards against a patch that is applied to other rows than those it was made from.
func TestPatchForOtherRowsIsRefused(t *testing.T) {
	a := NewSnapshot(1, []route.Route{{Name: "a", Pool: "p"}}, nil, nil)
	b := NewSnapshot(2, []route.Route{{Name: "a", Pool: "p"}, {Name: "b", Pool: "p"}}, nil, nil)
	otherRows := NewSnapshot(1, []route.Route{{Name: "a", Pool: "q"}}, nil, nil)
	_, err := otherRows.Apply(b.PatchFrom(a))
	assert.ErrorIs(t, err, ErrPatch)
	_, err = b.Apply(b.PatchFrom(a))
	assert.ErrorIs(t, err, ErrPatch)
	all, err := otherRows.Apply(b.PatchFrom(nil))
	assert.NilError(t, err)
	assert.DeepEqual(t, all.Routes(), b.Routes())
}
