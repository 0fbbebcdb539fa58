package config_test

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	standin "github.com/jackdawlane/jackdawlane/standin/objectstore"
)

func startStore(t *testing.T, callsPerSecond int) (*standin.Server, *objectstore.Client) {
	t.Helper()
	store := standin.New(callsPerSecond)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := objectstore.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	t.Cleanup(client.Close)
	return store, client
}

func newPoolChange(operator string, i int) config.Change {
	p := pool.Pool{Name: fmt.Sprint(operator, "-", i), Service: "s", AnnounceSecretSHA256: organisation.HashSecret("x")}
	return config.Change{ID: "change-" + p.Name, Operator: operator, Upsert: config.Upserts{Pools: []pool.Pool{p}}}
}

// Two operators commit at the same time over HTTP, while the store loses answers and limits the
// rate of calls. Every change must be made exactly once.
func TestOperatorsOverHTTP(t *testing.T) {
	const changes = 10
	store, client := startStore(t, 200)
	store.SetFaults(standin.Faults{LoseAnswers: 12})
	var group sync.WaitGroup
	for _, operator := range []string{"ann", "bob"} {
		group.Go(func() {
			e := config.NewEditor(client, time.Now)
			for i := range changes {
				_, err := e.Commit(t.Context(), newPoolChange(operator, i))
				assert.Check(t, err)
			}
		})
	}
	group.Wait()
	f := config.NewFollower()
	_, err := config.NewLoader(client).Load(t.Context(), f)
	assert.NilError(t, err)
	assert.Equal(t, f.Snapshot().Version(), uint64(2*changes))
	assert.Equal(t, len(f.Snapshot().Pools()), 2*changes)
	assert.Equal(t, store.Faults().LoseAnswers, 0)
}

// A stale watch returns a head that is older than the one loaded before; the follower must keep the
// version in force.
func TestFollowerKeepsVersionAfterStaleWatch(t *testing.T) {
	store, client := startStore(t, 0)
	e := config.NewEditor(client, time.Now)
	_, err := e.Commit(t.Context(), newPoolChange("ann", 1))
	assert.NilError(t, err)
	store.SetFaults(standin.Faults{StaleWatches: true})
	_, err = e.Commit(t.Context(), newPoolChange("ann", 2))
	assert.NilError(t, err)

	f := config.NewFollower()
	loader := config.NewLoader(client)
	etag, err := loader.Load(t.Context(), f)
	assert.NilError(t, err)
	data, _, err := loader.WatchHead(t.Context(), etag, time.Second)
	assert.NilError(t, err)
	accepted, err := f.OfferHead(data)
	assert.NilError(t, err)
	assert.Assert(t, !accepted)
	assert.Equal(t, f.Snapshot().Version(), uint64(2))
}
