package membership

import (
	"slices"
	"time"
)

const (
	// suspectAfter is how long a watched node may be silent before others are
	// asked about it. It leaves two rounds for the answers before goneAfter.
	suspectAfter = 2500 * time.Millisecond
	// askAfter and takeoverAfter are how long a node is watched before others are
	// asked about it, and before it can be marked gone.
	askAfter      = 1500 * time.Millisecond
	takeoverAfter = 4 * time.Second
	// witnessAge bounds the age of what a witness reports as heard. It covers a
	// round with its jitter.
	witnessAge = 1500 * time.Millisecond
	// witnessCount is the number of nodes that are asked about a silent one.
	witnessCount = 3
)

// watch marks the silent nodes that this one watches. A node is marked only if
// a witness does not hear it either, because it may have moved to another
// parent, and later if this node is probably cut off itself.
func (d *NodeTable) watch(now time.Duration) {
	paused := now-d.lastTick > evidenceAge
	d.lastTick = now
	isolated := d.isolated(now)
	for _, e := range d.tree.locals {
		watched := !d.isSelf(e) && e.live() && d.watches(now, e)
		if !watched {
			e.watchedSince = -1
			continue
		}
		// A process that was paused itself has heard nobody meanwhile.
		if e.watchedSince < 0 || paused {
			e.watchedSince = now
		}
		if d.isDead(now, e, isolated) {
			d.store(now, goneRecord(e.record), "")
		}
	}
}

// isDead decides on a watched node. One that this node has begun to watch only
// lately gets takeoverAfter to call here or to be heard by a witness.
func (d *NodeTable) isDead(now time.Duration, e *entry, isolated bool) bool {
	silence, watched := e.silence(now), now-e.watchedSince
	if isolated || now-e.denied > evidenceAge {
		alone := len(d.tree.locals) == 2
		return min(silence, watched) > isolatedGoneAfter || alone && min(silence, watched) > goneAfter
	}
	return silence > goneAfter && watched > takeoverAfter
}

func (e *entry) silence(now time.Duration) time.Duration { return now - max(e.heard, e.learnt) }

// watches reports whether this node is the first reachable parent of another.
func (d *NodeTable) watches(now time.Duration, e *entry) bool {
	if e.parent != nil && !d.isSelf(e.parent) && !d.unreachable(now, e.parent) {
		return false
	}
	parents := d.parents(now, e)
	return len(parents) > 0 && d.isSelf(parents[0])
}

// isolated reports whether this node hears less than half, itself included, of
// the nodes of its data centre that it watches or calls. It counts a shorter
// time than goneAfter, because nodes fall silent one after another when this
// node is cut off.
func (d *NodeTable) isolated(now time.Duration) bool {
	expected, heard := 1, 1
	for _, e := range d.tree.locals {
		p := d.peers[e.record.GetControlAddress()]
		called := p != nil && now-p.called <= evidenceAge
		if d.isSelf(e) || !called && e.watchedSince < 0 {
			continue
		}
		expected++
		if now-max(e.direct, e.learnt) <= evidenceAge {
			heard++
		}
	}
	return 2*heard < expected
}

// suspects returns for each address the silent nodes to ask about there. The
// silent node itself is called too: it may sync with a parent that only other
// nodes take for its parent.
func (d *NodeTable) suspects(now time.Duration) map[string][]string {
	questions := make(map[string][]string)
	for _, e := range d.tree.locals {
		if e.watchedSince < 0 || !e.live() || e.silence(now) <= suspectAfter || now-e.watchedSince <= askAfter {
			continue
		}
		for _, w := range append(d.witnesses(now, e), e) {
			address := w.record.GetControlAddress()
			questions[address] = append(questions[address], e.record.GetNodeId())
		}
	}
	return questions
}

// witnesses returns nodes that hear a node if it lives: its other parents and
// its children, otherwise any of the data centre.
func (d *NodeTable) witnesses(now time.Duration, e *entry) []*entry {
	candidates := d.parents(now, e)
	ranked := d.tree.ranked[d.own.GetDataCentre()]
	for _, child := range ranked {
		if child.parent == e {
			candidates = append(candidates, child)
		}
	}
	var es []*entry
	for _, w := range append(candidates, ranked...) {
		if len(es) == witnessCount {
			break
		}
		if w != e && !d.isSelf(w) && !slices.Contains(es, w) && !d.unreachable(now, w) {
			es = append(es, w)
		}
	}
	return es
}

// takeAnswers notes what a witness said about the nodes it was asked about.
func (d *NodeTable) takeAnswers(now time.Duration, asked, heard []string) {
	for _, id := range asked {
		e := d.entries[id]
		if e == nil {
			continue
		}
		if slices.Contains(heard, id) {
			e.heard = max(e.heard, now-witnessAge)
		} else {
			e.denied = now
		}
	}
}

// heardAtFirstHand returns those of the nodes that this one heard lately.
func (d *NodeTable) heardAtFirstHand(now time.Duration, ids []string) []string {
	var heard []string
	for _, id := range ids {
		if e := d.entries[id]; e != nil && now-e.direct <= witnessAge {
			heard = append(heard, id)
		}
	}
	return heard
}
