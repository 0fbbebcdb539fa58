package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// Intervals and timeouts of the node table.
const (
	// SyncInterval is the time between two rounds of Sync.
	SyncInterval = time.Second
	// goneAfter is how long a node may be silent before the node that watches it
	// marks it gone. It is also how long calls to a node fail before it counts as
	// unreachable, and how long a data centre is silent before it counts as lost.
	goneAfter = 5 * time.Second
	// isolatedGoneAfter replaces goneAfter while the watching node hears less than
	// half of its data centre: it is then more likely to be cut off itself, and
	// marking all others gone makes each of them send its record again. It also
	// replaces goneAfter while no witness has recently answered that it does not hear
	// the silent node. It is not used in a data centre of two live nodes, which has no
	// witnesses.
	isolatedGoneAfter = time.Minute
	// goneRetention is how long a gone record is kept. It is longer than the
	// partitions and pauses after which a peer still has to learn that the node is
	// gone.
	goneRetention = time.Hour
	// refreshInterval is how often a node raises the sequence of its record without a
	// change.
	refreshInterval = 4 * time.Hour
	// staleAfter is the age at which a live record is dropped after it missed two
	// refreshes. A peer that was away for longer than goneRetention never learns that
	// such a node is gone.
	staleAfter = 9 * time.Hour
)

// NodeTable holds the record of this node and those of all other nodes. It is not
// safe for concurrent use. All times are durations since the same arbitrary start.
type NodeTable struct {
	own     *pb.NodeRecord
	seeds   []string
	entries map[string]*nodeEntry
	log     changeLog
	peers   map[string]*peer
	// lostDataCentres holds the data centres from which no live node has been heard for
	// longer than goneAfter, as the first relay reports them.
	lostDataCentres []string
	// firstRelaySince and relaySince are when this node became the first relay or a
	// relay of its data centre, -1 while it is not.
	firstRelaySince, relaySince time.Duration
	lastReply, lastSeed         time.Duration
	lastTick                    time.Duration
	lastCompare                 time.Duration
	nextSeed, nextCompare       int
	refreshAt                   time.Duration
	configVersion               uint64
	superseded                  bool
	changes                     uint64
	byAddress                   map[string]*nodeEntry
	// parentAddresses holds the control addresses of the parents that this node syncs with.
	parentAddresses []string
	// hasUrgentChange is true while a change that was made here or received from a node
	// of this data centre waits to be passed on by UrgentCalls or in the next round.
	hasUrgentChange bool
	lastUrgent      time.Duration
	tree            tree
	viewer          viewer
}

// NewNodeTable returns a node table that holds own, the record of this node. Seeds are
// control addresses of nodes through which this node joins the fleet. The incarnation of the
// record must differ from those of all earlier processes with the same node ID.
func NewNodeTable(now time.Duration, own *pb.NodeRecord, seeds []string) *NodeTable {
	d := &NodeTable{
		own:             proto.CloneOf(own),
		seeds:           slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == own.GetControlAddress() }),
		entries:         make(map[string]*nodeEntry),
		peers:           make(map[string]*peer),
		byAddress:       make(map[string]*nodeEntry),
		viewer:          newViewer(),
		firstRelaySince: -1,
		relaySince:      -1,
		lastReply:       now - goneAfter,
		lastSeed:        now - seedInterval,
	}
	if len(d.seeds) > 0 {
		d.nextSeed = int(nodeHash(own.GetNodeId()) % uint64(len(d.seeds)))
	}
	d.publishOwn(now, max(own.GetSequence(), 1))
	return d
}

// Own returns the record of this node. The caller must not change it.
func (d *NodeTable) Own() *pb.NodeRecord { return d.own }

// Superseded reports whether another process with the same node ID and a higher
// incarnation was seen. The node must then stop or restart.
func (d *NodeTable) Superseded() bool { return d.superseded }

// UpdateOwn replaces the state and the backend servers in the record of this node if
// they changed. A new configuration version alone does not count as a change: at the
// target size it would send every record to every node 1,900 times a day.
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

// SetConfigVersion sets the configuration version that this node has in force.
func (d *NodeTable) SetConfigVersion(version uint64) { d.configVersion = max(d.configVersion, version) }

func (d *NodeTable) publishOwn(now time.Duration, sequence uint64) {
	d.own = proto.CloneOf(d.own)
	d.own.Sequence = sequence
	d.own.ConfigVersion = d.configVersion
	d.refreshAt = now + refreshInterval
	d.store(now, d.own, "")
}

// merge stores a received record if it is newer than the stored one, and returns the
// stored one if that is newer. A gone record of an unknown node is ignored: storing
// it would spread it through the fleet again after it was forgotten.
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
	if e == nil || CompareRecords(r, e.record) > 0 {
		d.store(now, r, from)
		return nil
	}
	if CompareRecords(r, e.record) < 0 {
		return e.record
	}
	return nil
}

// mergeOwn handles a received record of this node. If it is newer than the record in
// d.own, the latter is published with a higher sequence, or this process is superseded
// if the received record has a higher incarnation.
func (d *NodeTable) mergeOwn(now time.Duration, r *pb.NodeRecord) {
	if CompareRecords(r, d.own) <= 0 {
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
		longAgo := now - goneAfter
		e = &nodeEntry{hash: nodeHash(r.GetNodeId()), heardAt: longAgo, heardDirectlyAt: longAgo, notHeardAt: longAgo, watchedSince: -1}
		d.entries[r.GetNodeId()] = e
		d.tree.stale = true
	}
	d.tree.stale = d.tree.stale || e.record.GetState() != r.GetState() || e.record.GetDataCentre() != r.GetDataCentre()
	d.changes++
	d.viewer.markChanged(r.GetNodeId())
	d.hasUrgentChange = d.hasUrgentChange || from == ""
	e.record = r
	e.sender = from
	e.storedAt = now
	d.byAddress[r.GetControlAddress()] = e
	e.position = d.log.add(r.GetNodeId())
	d.log.compact(d.entries)
}

// maintain refreshes the record of this node when that is due, updates the tree, the
// role and the lost data centres, marks silent nodes gone and removes expired records.
func (d *NodeTable) maintain(now time.Duration) {
	if now >= d.refreshAt {
		d.publishOwn(now, d.own.GetSequence()+1)
	}
	d.updateTree()
	d.updateRole(now)
	d.updateLostDataCentres(now)
	d.markSilentNodesGone(now)
	for id, e := range d.entries {
		if isExpired(now, e) && !d.isSelf(e) {
			d.remove(id, e)
		}
	}
}

func (d *NodeTable) remove(id string, e *nodeEntry) {
	delete(d.entries, id)
	if d.byAddress[e.record.GetControlAddress()] == e {
		delete(d.byAddress, e.record.GetControlAddress())
	}
	d.changes++
	d.viewer.markChanged(id)
	d.tree.stale = true
}

func isExpired(now time.Duration, e *nodeEntry) bool {
	age := now - e.storedAt
	return age > staleAfter || !e.live() && age > goneRetention
}

// updateRole updates since when this node has been a relay and the first relay.
func (d *NodeTable) updateRole(now time.Duration) {
	relays := d.ownRelays(now)
	at := slices.IndexFunc(relays, d.isSelf)
	d.firstRelaySince = roleSince(now, d.firstRelaySince, at == 0)
	d.relaySince = roleSince(now, d.relaySince, at >= 0)
}

func roleSince(now, start time.Duration, holds bool) time.Duration {
	if !holds {
		return -1
	}
	if start >= 0 {
		return start
	}
	return now
}

func (d *NodeTable) isLocal(e *nodeEntry) bool {
	return e.record.GetDataCentre() == d.own.GetDataCentre()
}
