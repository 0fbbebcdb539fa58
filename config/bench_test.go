package config

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/route"
)

// The target size of the configuration. The first organisation has movedRoutes routes, which some
// changes move together; the other routes are spread over a part of the other organisations.
const (
	targetRoutes        = 67_000
	targetOrganisations = 160_000
	movedRoutes         = 3_000
)

func targetRoute(i int) route.Route {
	r := route.Route{Name: fmt.Sprintf("route-%05d", i), Organisation: "organisation-000000", Host: "www.example.org",
		PathPrefix: fmt.Sprintf("/service/%d", i), Methods: []string{"GET", "POST"}, Pool: fmt.Sprintf("pool-%04d", i%1900)}
	if i >= movedRoutes {
		r.Organisation = fmt.Sprintf("organisation-%06d", 1+i%(targetOrganisations-1))
	}
	return r
}

func targetChange() Change {
	c := Change{ID: "import", Operator: "bench"}
	for i := range targetRoutes {
		c.Upsert.Routes = append(c.Upsert.Routes, targetRoute(i))
	}
	for i := range targetOrganisations {
		c.Upsert.Organisations = append(c.Upsert.Organisations, testOrganisation(fmt.Sprintf("organisation-%06d", i)))
	}
	for i := range 1900 {
		c.Upsert.Pools = append(c.Upsert.Pools, testPool(fmt.Sprintf("pool-%04d", i), 10))
	}
	return c
}

// changeOneRoute changes the timeout of one route.
func changeOneRoute() Change {
	r := targetRoute(movedRoutes + 12_345)
	r.TimeoutMS = 500
	return Change{ID: "one", Operator: "bench", Upsert: Upserts{Routes: []route.Route{r}}}
}

// moveToPool changes the pool of all routes of the first organisation.
func moveToPool() Change {
	c := Change{ID: "move-pool", Operator: "bench"}
	for i := range movedRoutes {
		r := targetRoute(i)
		r.Pool = "pool-0000"
		r.TimeoutMS = 500
		c.Upsert.Routes = append(c.Upsert.Routes, r)
	}
	return c
}

// moveToOrganisation moves all routes of the first organisation to a new organisation.
func moveToOrganisation() Change {
	c := Change{ID: "move-organisation", Operator: "bench"}
	c.Upsert.Organisations = []organisation.Organisation{testOrganisation("organisation-080000-b")}
	for i := range movedRoutes {
		r := targetRoute(i)
		c.Delete.Routes = append(c.Delete.Routes, r.Key())
		r.Organisation = "organisation-080000-b"
		c.Upsert.Routes = append(c.Upsert.Routes, r)
	}
	return c
}

func targetStore(b *testing.B) *fakeStore {
	b.Helper()
	s := newFakeStore()
	_, err := NewEditor(s, time.Now).Commit(b.Context(), targetChange())
	assert.NilError(b, err)
	return s
}

// BenchmarkChange reports what a change writes at the target size. It commits recentChanges (64)
// changes first, so that the head has its full size.
func BenchmarkChange(b *testing.B) {
	s := targetStore(b)
	e := NewEditor(s, time.Now)
	for i := range recentChanges {
		_, err := e.Commit(b.Context(), poolChange(fmt.Sprintf("change-with-a-uuid-0123456789abcdef-%04d", i), 0, "extra", i))
		assert.NilError(b, err)
	}
	for name, change := range map[string]Change{"one": changeOneRoute(), "move-pool": moveToPool(), "move-organisation": moveToOrganisation()} {
		b.Run(name, func(b *testing.B) {
			var plan Plan
			for b.Loop() {
				var err error
				plan, err = e.DryRun(b.Context(), change)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(plan.NewPages), "pages")
			b.ReportMetric(float64(plan.NewPageBytes), "page-bytes")
			b.ReportMetric(float64(plan.HeadBytes), "head-bytes")
			b.ReportMetric(float64(len(plan.Diff)), "rows")
		})
	}
}

// BenchmarkFollowerStart loads the whole configuration, as a starting node does.
func BenchmarkFollowerStart(b *testing.B) {
	s := targetStore(b)
	for b.Loop() {
		loadSnapshot(b, s)
	}
	b.ReportMetric(float64(len(s.objects)-2), "pages")
	b.ReportMetric(float64(s.bytesWritten), "stored-bytes")
}

// BenchmarkFollowerChange loads a change of one route, and reports the heap that a follower uses.
func BenchmarkFollowerChange(b *testing.B) {
	s := targetStore(b)
	before := heapBytes()
	f := NewFollower()
	_, err := NewLoader(s).Load(b.Context(), f)
	assert.NilError(b, err)
	followerHeap := heapBytes() - before
	version := 0
	for b.Loop() {
		b.StopTimer()
		c := changeOneRoute()
		c.ID = fmt.Sprint("c", version)
		c.Upsert.Routes[0].TimeoutMS = int64(version + 1)
		version++
		_, err := NewEditor(s, time.Now).Commit(b.Context(), c)
		assert.NilError(b, err)
		b.StartTimer()
		_, err = NewLoader(s).Load(b.Context(), f)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(followerHeap), "heap-bytes")
}

// BenchmarkEditRoute reports the number of store calls that the command makes to edit one route.
func BenchmarkEditRoute(b *testing.B) {
	s := targetStore(b)
	s.calls = 0
	edits := 0
	for b.Loop() {
		e := NewEditor(s, time.Now)
		v, err := e.Reader(b.Context())
		assert.NilError(b, err)
		c := changeOneRoute()
		_, _, err = v.Route(b.Context(), c.Upsert.Routes[0].Key())
		assert.NilError(b, err)
		c.ID = fmt.Sprint("edit-", edits)
		c.Upsert.Routes[0].TimeoutMS = int64(edits + 1)
		edits++
		_, err = e.Commit(b.Context(), c)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(s.calls)/float64(edits), "store-calls")
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
