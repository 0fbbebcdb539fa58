package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// secondRelayInterval is the minimum time between two calls of the second relay
	// to a node of another data centre. It makes the second relay sync in every
	// second round, whatever the jitter of the rounds.
	secondRelayInterval = 1500 * time.Millisecond
	// retryInterval is how often an unreachable node is called again.
	retryInterval = 10 * time.Second
	// seedInterval is how often a relay syncs with a seed, to join parts of a fleet
	// that do not know each other.
	seedInterval = 10 * time.Second
	// compareInterval is how often the first relay compares digests with one of the
	// relays that it syncs with, to find records that reached no node of their own
	// data centre.
	compareInterval = 10 * time.Second
	// maxCalled bounds how many nodes are called when the first of them fail.
	maxCalled = 3
)

// syncTargets returns the nodes to sync with in this round.
func (d *NodeTable) syncTargets(now time.Duration) []*nodeEntry {
	self := d.entries[d.own.GetNodeId()]
	parents := d.parents(now, self)
	d.parentAddresses = nil
	if d.relaySince < 0 && len(parents) > 0 {
		parents = d.upToFirstAnswering(parents)
		d.parentAddresses = addressesOf(parents)
		return parents
	}
	if d.firstRelaySince < 0 {
		d.parentAddresses = addressesOf(parents)
	}
	return append(parents, d.remoteTargets(now)...)
}

// upToFirstAnswering returns the nodes up to the first whose calls do not fail, at
// most maxCalled.
func (d *NodeTable) upToFirstAnswering(es []*nodeEntry) []*nodeEntry {
	for i, e := range es {
		if i+1 == maxCalled || !d.failing(e) {
			return es[:i+1]
		}
	}
	return es
}

// remoteTargets returns the relays of other data centres to sync with. The first
// relay syncs with the first relay of each in every round, and the second relay less
// often with the second one.
func (d *NodeTable) remoteTargets(now time.Duration) []*nodeEntry {
	var es []*nodeEntry
	remote := d.relays(now, true)
	for _, dc := range slices.Sorted(maps.Keys(remote)) {
		relays := remote[dc]
		if dc == d.own.GetDataCentre() {
			continue
		}
		isSecond := d.relaySince >= 0 && d.firstRelaySince < 0
		if isSecond {
			slices.Reverse(relays)
		}
		for _, e := range d.upToFirstAnswering(relays) {
			if !isSecond || now-d.peer(e.record.GetControlAddress()).calledAt >= secondRelayInterval {
				es = append(es, e)
			}
		}
	}
	return es
}

// retryTargets returns the unreachable relays, and the assigned parent if
// unreachable, that are due to be called again.
func (d *NodeTable) retryTargets(now time.Duration) []*nodeEntry {
	var candidates []*nodeEntry
	for dc, es := range d.relays(now, false) {
		if dc == d.own.GetDataCentre() || d.relaySince >= 0 {
			candidates = append(candidates, es...)
		}
	}
	if parent := d.entries[d.own.GetNodeId()].parent; parent != nil {
		candidates = append(candidates, parent)
	}
	return slices.DeleteFunc(candidates, func(e *nodeEntry) bool {
		return d.isSelf(e) || !d.unreachable(now, e) || now-d.peer(e.record.GetControlAddress()).calledAt < retryInterval
	})
}

// seedTarget returns the next seed while no peer replies, and every seedInterval if
// this node is a relay. It returns only one seed per round, because a joining node
// reads all records from each.
func (d *NodeTable) seedTarget(now time.Duration) string {
	alone := now-d.lastReply >= goneAfter
	seedDue := d.relaySince >= 0 && now-d.lastSeed >= seedInterval
	if len(d.seeds) == 0 || !alone && !seedDue {
		return ""
	}
	d.lastSeed = now
	d.nextSeed = (d.nextSeed + 1) % len(d.seeds)
	return d.seeds[d.nextSeed]
}

// scheduleComparison makes the next call to one of the targets compare digests when a
// comparison is due.
func (d *NodeTable) scheduleComparison(now time.Duration, targets []*nodeEntry) {
	if d.firstRelaySince < 0 || len(targets) == 0 || now-d.lastCompare < compareInterval {
		return
	}
	d.lastCompare = now
	d.nextCompare++
	d.peer(targets[d.nextCompare%len(targets)].record.GetControlAddress()).readPosition = 0
}
