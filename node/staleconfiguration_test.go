package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/pool"
	standin "github.com/jackdawlane/jackdawlane/standin/objectstore"
)

const (
	// changeLimit is the time within which a change must be in force on all nodes, and spreadTime how
	// long it takes at most from the relays to all others, with the target number of nodes
	// (docs/CAPACITY.md). A relay must know the change in the time between.
	changeLimit = 7 * time.Second
	spreadTime  = 4900 * time.Millisecond
)

// Guards against a relay that keeps an old configuration because its watch gets no response on a
// connection that stays open, or shows an old state.
func TestRelayKeepsOldConfiguration(t *testing.T) {
	for desc, disturb := range map[string]func(*fixture){
		"silent connections": func(f *fixture) { f.link.SilenceConnections() },
		"stale watches":      func(f *fixture) { f.store.SetFaults(standin.Faults{StaleWatches: true}) },
	} {
		t.Run(desc, func(t *testing.T) {
			t.Parallel()
			f := startFixture(t)
			f.waitUntil("a watch", func() bool { return f.store.Counters().Watches > 0 })
			for floor := range 3 {
				version := f.node.config.Snapshot().Version()
				disturb(f)
				f.commit(config.Upserts{Pools: []pool.Pool{{Name: "q", Service: "s", Floor: floor, AnnounceSecretSHA256: organisation.HashSecret(secret)}}})
				acknowledged := time.Now()
				f.waitUntil("the change in force", func() bool { return f.node.config.Snapshot().Version() > version })
				assert.Check(t, time.Since(acknowledged) < changeLimit-spreadTime, "in force after %s", time.Since(acknowledged))
			}
		})
	}
}
