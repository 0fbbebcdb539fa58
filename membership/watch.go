package membership

import (
	"slices"
	"time"
)

const (
	// askAfterSilence is how long a watched node may be silent before others are
	// asked about it. It leaves two rounds for the answers before goneAfter.
	askAfterSilence = 2500 * time.Millisecond
	// minWatchToAsk and minWatchToMarkGone are how long this node must have watched
	// another before it asks others about it, and before it may mark it gone.
	minWatchToAsk      = 1500 * time.Millisecond
	minWatchToMarkGone = 4 * time.Second
	// maxWitnessAge is how long ago a witness may have heard a node that it reports
	// as heard. It covers a round with its jitter.
	maxWitnessAge = 1500 * time.Millisecond
	// witnessCount is the number of nodes that are asked about a silent one.
	witnessCount = 3
)

// markSilentNodesGone marks gone the silent nodes that this one watches. A node is
// marked only if a witness does not hear it either, because it may have moved to
// another parent. Without such an answer, or if this node is probably cut off itself,
// a node is marked later.
func (d *NodeTable) markSilentNodesGone(now time.Duration) {
	paused := now-d.lastTick > maxEvidenceAge
	d.lastTick = now
	isolated := d.isolated(now)
	for _, e := range d.tree.localNodes {
		watched := !d.isSelf(e) && e.live() && d.isWatcherOf(now, e)
		if !watched {
			e.watchedSince = -1
			continue
		}
		// While this process was paused it could hear no node, so the watch starts again.
		if e.watchedSince < 0 || paused {
			e.watchedSince = now
		}
		if d.shouldMarkGone(now, e, isolated) {
			d.store(now, goneRecord(e.record), "")
		}
	}
}

// shouldMarkGone decides whether to mark a watched node gone. A node that this one
// began to watch only recently has minWatchToMarkGone to call this node or to be
// heard by a witness. If the two nodes are the only ones of their data centre, there
// is no witness to wait for.
func (d *NodeTable) shouldMarkGone(now time.Duration, e *nodeEntry, isolated bool) bool {
	silence, watched := e.silence(now), now-e.watchedSince
	if isolated || now-e.notHeardAt > maxEvidenceAge {
		alone := len(d.tree.localNodes) == 2
		return min(silence, watched) > isolatedGoneAfter || alone && min(silence, watched) > goneAfter
	}
	return silence > goneAfter && watched > minWatchToMarkGone
}

func (e *nodeEntry) silence(now time.Duration) time.Duration { return now - max(e.heardAt, e.storedAt) }

// isWatcherOf reports whether this node is the first reachable parent of another and
// therefore watches it.
func (d *NodeTable) isWatcherOf(now time.Duration, e *nodeEntry) bool {
	if e.parent != nil && !d.isSelf(e.parent) && !d.unreachable(now, e.parent) {
		return false
	}
	parents := d.parents(now, e)
	return len(parents) > 0 && d.isSelf(parents[0])
}

// isolated reports whether this node hears less than half, itself included, of the
// nodes of its data centre that it watches or calls. It uses maxEvidenceAge, which is
// shorter than goneAfter, because the nodes fall silent one after another when this
// node is cut off.
func (d *NodeTable) isolated(now time.Duration) bool {
	expected, heard := 1, 1
	for _, e := range d.tree.localNodes {
		p := d.peers[e.record.GetControlAddress()]
		called := p != nil && now-p.calledAt <= maxEvidenceAge
		if d.isSelf(e) || !called && e.watchedSince < 0 {
			continue
		}
		expected++
		if now-max(e.heardDirectlyAt, e.storedAt) <= maxEvidenceAge {
			heard++
		}
	}
	return 2*heard < expected
}

// silentNodesByAddress returns, for each address to call, the silent nodes to ask
// about. The silent node itself is called too: it may be alive and sync with a node
// that this one does not consider its parent.
func (d *NodeTable) silentNodesByAddress(now time.Duration) map[string][]string {
	silentByAddress := make(map[string][]string)
	for _, e := range d.tree.localNodes {
		if e.watchedSince < 0 || !e.live() || e.silence(now) <= askAfterSilence || now-e.watchedSince <= minWatchToAsk {
			continue
		}
		for _, w := range append(d.witnesses(now, e), e) {
			address := w.record.GetControlAddress()
			silentByAddress[address] = append(silentByAddress[address], e.record.GetNodeId())
		}
	}
	return silentByAddress
}

// witnesses returns nodes that hear a node if it is alive: its other parents and its
// children, then any others of the data centre.
func (d *NodeTable) witnesses(now time.Duration, e *nodeEntry) []*nodeEntry {
	candidates := d.parents(now, e)
	ranked := d.tree.ranked[d.own.GetDataCentre()]
	for _, child := range ranked {
		if child.parent == e {
			candidates = append(candidates, child)
		}
	}
	var es []*nodeEntry
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

// recordWitnessAnswers records what a witness answered about the nodes that it was
// asked about.
func (d *NodeTable) recordWitnessAnswers(now time.Duration, asked, heard []string) {
	for _, id := range asked {
		e := d.entries[id]
		if e == nil {
			continue
		}
		if slices.Contains(heard, id) {
			e.heardAt = max(e.heardAt, now-maxWitnessAge)
		} else {
			e.notHeardAt = now
		}
	}
}

// heardDirectly returns those of the nodes that this node itself heard recently.
func (d *NodeTable) heardDirectly(now time.Duration, ids []string) []string {
	var heard []string
	for _, id := range ids {
		if e := d.entries[id]; e != nil && now-e.heardDirectlyAt <= maxWitnessAge {
			heard = append(heard, id)
		}
	}
	return heard
}
