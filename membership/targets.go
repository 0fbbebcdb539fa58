package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// secondInterval lets the second relay sync with other data centres in every
	// second round, whatever the jitter of the rounds.
	secondInterval = 1500 * time.Millisecond
	// retryInterval is how often a node that did not answer is tried again.
	retryInterval = 10 * time.Second
	// seedInterval is how often a relay syncs with a seed, to join parts of a
	// fleet that know nothing of each other.
	seedInterval = 10 * time.Second
	// compareInterval is how often the first relay compares digests with one of
	// its peers, for records that reached no node of their own data centre.
	compareInterval = 10 * time.Second
	// maxAttempts bounds the nodes called in place of one that fails.
	maxAttempts = 3
)

// syncTargets returns the nodes to sync with in this round.
func (d *NodeTable) syncTargets(now time.Duration) []*entry {
	self := d.entries[d.own.GetNodeId()]
	parents := d.parents(now, self)
	d.upstream = nil
	if d.relaySince < 0 && len(parents) > 0 {
		parents = d.untilAnswering(parents)
		d.upstream = addressesOf(parents)
		return parents
	}
	if d.firstSince < 0 {
		d.upstream = addressesOf(parents)
	}
	return append(parents, d.remoteTargets(now)...)
}

// untilAnswering returns the nodes up to the first that does not fail.
func (d *NodeTable) untilAnswering(es []*entry) []*entry {
	for i, e := range es {
		if i+1 == maxAttempts || !d.failing(e) {
			return es[:i+1]
		}
	}
	return es
}

// remoteTargets returns the relays of other data centres to sync with: the first
// relay with the first ones, the second relay more rarely with the second ones.
func (d *NodeTable) remoteTargets(now time.Duration) []*entry {
	var es []*entry
	remote := d.relays(now, true)
	for _, dc := range slices.Sorted(maps.Keys(remote)) {
		relays := remote[dc]
		if dc == d.own.GetDataCentre() {
			continue
		}
		second := d.relaySince >= 0 && d.firstSince < 0
		if second {
			slices.Reverse(relays)
		}
		for _, e := range d.untilAnswering(relays) {
			if !second || now-d.peer(e.record.GetControlAddress()).called >= secondInterval {
				es = append(es, e)
			}
		}
	}
	return es
}

// retryTargets returns relays, and the parent, that were passed over as
// unreachable and are due again.
func (d *NodeTable) retryTargets(now time.Duration) []*entry {
	var candidates []*entry
	for dc, es := range d.relays(now, false) {
		if dc == d.own.GetDataCentre() || d.relaySince >= 0 {
			candidates = append(candidates, es...)
		}
	}
	if parent := d.entries[d.own.GetNodeId()].parent; parent != nil {
		candidates = append(candidates, parent)
	}
	return slices.DeleteFunc(candidates, func(e *entry) bool {
		return d.isSelf(e) || !d.unreachable(now, e) || now-d.peer(e.record.GetControlAddress()).called < retryInterval
	})
}

// seedTarget returns the next seed while no peer answers, and from time to time
// if this node is a relay. It is one seed a round, because a joining node reads
// the whole directory from each.
func (d *NodeTable) seedTarget(now time.Duration) string {
	alone := now-d.lastReply >= goneAfter
	due := d.relaySince >= 0 && now-d.lastSeed >= seedInterval
	if len(d.seeds) == 0 || !alone && !due {
		return ""
	}
	d.lastSeed = now
	d.nextSeed = (d.nextSeed + 1) % len(d.seeds)
	return d.seeds[d.nextSeed]
}

// compare makes the next call to one of the relays compare digests, when it is due.
func (d *NodeTable) compare(now time.Duration, targets []*entry) {
	if d.firstSince < 0 || len(targets) == 0 || now-d.lastCompare < compareInterval {
		return
	}
	d.lastCompare = now
	d.nextCompare++
	d.peer(targets[d.nextCompare%len(targets)].record.GetControlAddress()).position = 0
}
