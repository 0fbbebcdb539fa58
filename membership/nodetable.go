package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// Times of the directory.
const (
	// SyncInterval is the time between two rounds of Sync.
	SyncInterval = time.Second
	// goneAfter is how long a node may stay silent before its relay marks it gone.
	goneAfter = 5 * time.Second
	// isolatedGoneAfter replaces goneAfter while the relay hears less than half
	// of its data centre: the relay itself is then the likelier one to be cut off,
	// and marking all others gone makes each of them send its record again.
	isolatedGoneAfter = time.Minute
	// goneRetention outlasts the partitions and pauses after which a peer still
	// has to learn that a node is gone.
	goneRetention = time.Hour
	// refreshInterval is how often a node raises its sequence without a change.
	refreshInterval = 4 * time.Hour
	// staleAfter drops a live record that missed two refreshes: a peer that was
	// away longer than goneRetention never hears that such a node is gone.
	staleAfter = 9 * time.Hour
)

// NodeTable holds the own record and those of all other nodes. It is not safe
// for concurrent use. All times are since the same arbitrary start.
type NodeTable struct {
	own     *pb.NodeRecord
	seeds   []string
	entries map[string]*entry
	log     changeLog
	peers   map[string]*peer
	// lost holds the data centres out of contact, as the relay reports them.
	lost []string
	// firstSince and relaySince say when this node became first relay or relay, -1 when it is not.
	firstSince, relaySince time.Duration
	lastReply, lastSeed    time.Duration
	lastTick               time.Duration
	lastCompare            time.Duration
	nextSeed, nextCompare  int
	refreshAt              time.Duration
	configVersion          uint64
	superseded             bool
	changes                uint64
	byAddress              map[string]*entry
	// upstream holds the addresses of the parents that this node syncs with.
	upstream []string
	// urgent says that a change from below waits to be sent up.
	urgent     bool
	lastUrgent time.Duration
	tree       tree
	viewer     viewer
}

// NewNodeTable returns a node table with the own record. Seeds are control
// addresses to join through. The record's incarnation must differ from those
// of all earlier processes with the same node ID.
func NewNodeTable(now time.Duration, own *pb.NodeRecord, seeds []string) *NodeTable {
	d := &NodeTable{
		own:        proto.CloneOf(own),
		seeds:      slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == own.GetControlAddress() }),
		entries:    make(map[string]*entry),
		peers:      make(map[string]*peer),
		byAddress:  make(map[string]*entry),
		viewer:     newViewer(),
		firstSince: -1,
		relaySince: -1,
		lastReply:  now - goneAfter,
		lastSeed:   now - seedInterval,
	}
	if len(d.seeds) > 0 {
		d.nextSeed = int(relayHash(own.GetNodeId()) % uint64(len(d.seeds)))
	}
	d.publishOwn(now, max(own.GetSequence(), 1))
	return d
}

// Own returns the own record. The caller must not change it.
func (d *NodeTable) Own() *pb.NodeRecord { return d.own }

// Superseded reports whether another process with the same node ID and a higher
// incarnation was seen. The node must then stop or restart.
func (d *NodeTable) Superseded() bool { return d.superseded }

// UpdateOwn replaces state and backend servers of the own record, if they changed.
// The configuration version alone is no change: at the target it would send
// every record to every node 1,900 times a day.
func (d *NodeTable) UpdateOwn(now time.Duration, state pb.NodeState, backends []*pb.BackendServer) {
	next := proto.CloneOf(d.own)
	next.State = state
	next.BackendServers = backends
	if proto.Equal(next, d.own) {
		return
	}
	d.own = proto.CloneOf(next)
	d.publishOwn(now, d.own.GetSequence()+1)
}

// SetConfigVersion notes the version that this node has in force.
func (d *NodeTable) SetConfigVersion(version uint64) { d.configVersion = max(d.configVersion, version) }

func (d *NodeTable) publishOwn(now time.Duration, sequence uint64) {
	d.own = proto.CloneOf(d.own)
	d.own.Sequence = sequence
	d.own.ConfigVersion = d.configVersion
	d.refreshAt = now + refreshInterval
	d.store(now, d.own, "")
}

// merge takes a record received from a node if it is newer than the one held.
// It returns the one held if that is newer. A gone record of an unknown node is
// passed over: to keep it would send it round the fleet again after it was forgotten.
func (d *NodeTable) merge(now time.Duration, r *pb.NodeRecord, from string) *pb.NodeRecord {
	if r.GetNodeId() == "" {
		return nil
	}
	if r.GetNodeId() == d.own.GetNodeId() {
		d.mergeOwn(now, r)
		return nil
	}
	e := d.entries[r.GetNodeId()]
	if e == nil && isGone(r) {
		return nil
	}
	if e == nil || Compare(r, e.record) > 0 {
		d.store(now, r, from)
		return nil
	}
	if Compare(r, e.record) < 0 {
		return e.record
	}
	return nil
}

// mergeOwn answers a record of this node that is newer than the own one.
func (d *NodeTable) mergeOwn(now time.Duration, r *pb.NodeRecord) {
	if Compare(r, d.own) <= 0 {
		return
	}
	if r.GetIncarnation() > d.own.GetIncarnation() {
		d.superseded = true
		return
	}
	d.publishOwn(now, r.GetSequence()+1)
}

func (d *NodeTable) store(now time.Duration, r *pb.NodeRecord, from string) {
	e := d.entries[r.GetNodeId()]
	if e == nil {
		never := now - goneAfter
		e = &entry{hash: relayHash(r.GetNodeId()), heard: never, direct: never, denied: never, watchedSince: -1}
		d.entries[r.GetNodeId()] = e
		d.tree.stale = true
	}
	d.tree.stale = d.tree.stale || e.record.GetState() != r.GetState() || e.record.GetDataCentre() != r.GetDataCentre()
	d.changes++
	d.viewer.change(r.GetNodeId())
	d.urgent = d.urgent || from == ""
	e.record = r
	e.from = from
	e.learnt = now
	d.byAddress[r.GetControlAddress()] = e
	e.position = d.log.add(r.GetNodeId())
	d.log.compact(d.entries)
}

// expire marks silent nodes gone and forgets old records.
func (d *NodeTable) expire(now time.Duration) {
	if now >= d.refreshAt {
		d.publishOwn(now, d.own.GetSequence()+1)
	}
	d.updateTree()
	d.updateRole(now)
	d.updateLost(now)
	d.watch(now)
	for id, e := range d.entries {
		if forgettable(now, e) && !d.isSelf(e) {
			d.forget(id, e)
		}
	}
}

func (d *NodeTable) forget(id string, e *entry) {
	delete(d.entries, id)
	if d.byAddress[e.record.GetControlAddress()] == e {
		delete(d.byAddress, e.record.GetControlAddress())
	}
	d.changes++
	d.viewer.change(id)
	d.tree.stale = true
}

func forgettable(now time.Duration, e *entry) bool {
	age := now - e.learnt
	return age > staleAfter || !e.live() && age > goneRetention
}

// updateRole notes since when this node is relay and first relay.
func (d *NodeTable) updateRole(now time.Duration) {
	relays := d.ownRelays(now)
	at := slices.IndexFunc(relays, d.isSelf)
	d.firstSince = since(now, d.firstSince, at == 0)
	d.relaySince = since(now, d.relaySince, at >= 0)
}

func since(now, start time.Duration, holds bool) time.Duration {
	if !holds {
		return -1
	}
	if start >= 0 {
		return start
	}
	return now
}

func (d *NodeTable) local(e *entry) bool {
	return e.record.GetDataCentre() == d.own.GetDataCentre()
}
