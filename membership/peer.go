package membership

import (
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// peer is the state of the exchange of records with one control address.
type peer struct {
	// incarnation identifies the process of the peer to which the positions refer.
	incarnation uint64
	// readPosition is the position in the log of the peer up to which this node has
	// read, 0 before the first comparison of digests.
	readPosition uint64
	// sentPosition is the position in this node's log up to which the peer holds the
	// changes, and repliedPosition the one up to which the changes were sent in the
	// reply to its last call.
	sentPosition, repliedPosition uint64
	// missing holds the IDs of the nodes whose records the peer lacks although
	// sentPosition covers them. The value is the position in this node's log
	// that the reply with the record carried, or 0 if no reply has contained the record.
	missing map[string]uint64
	// acknowledgedSequence is the sequence of this node's record that the peer is known
	// to hold.
	acknowledgedSequence uint64
	// calledAt is when this node last called the peer, and pulledAt when the peer
	// last read changes from this node.
	calledAt, pulledAt time.Duration
	// processSince is when the current process of the peer was first seen.
	processSince time.Duration
	// failingSince is when the first call after the last reply failed, -1 when there
	// is none.
	failingSince time.Duration
}

func (d *NodeTable) peer(address string) *peer {
	p := d.peers[address]
	if p == nil {
		p = &peer{failingSince: -1, calledAt: -retryInterval, pulledAt: -retryInterval}
		d.peers[address] = p
	}
	return p
}

// resetIfRestarted discards the state of the exchange with an earlier process of the
// peer.
func (p *peer) resetIfRestarted(now time.Duration, incarnation uint64) {
	if p.incarnation == incarnation {
		return
	}
	*p = peer{incarnation: incarnation, failingSince: p.failingSince, calledAt: p.calledAt, pulledAt: p.pulledAt, processSince: now}
}

func (p *peer) addMissing(id string) {
	if p.missing == nil {
		p.missing = make(map[string]uint64)
	}
	p.missing[id] = 0
}

// confirmPosition records that the peer has read this node's log up to a position.
func (p *peer) confirmPosition(position uint64) {
	p.sentPosition = max(p.sentPosition, position)
	for id, at := range p.missing {
		if at > 0 && at <= position {
			delete(p.missing, id)
		}
	}
}

// unreachable reports whether calls to the node have failed for longer than
// goneAfter.
func (d *NodeTable) unreachable(now time.Duration, e *nodeEntry) bool {
	p := d.peers[e.record.GetControlAddress()]
	return p != nil && p.failingSince >= 0 && now-p.failingSince > goneAfter
}

func (d *NodeTable) failing(e *nodeEntry) bool {
	p := d.peers[e.record.GetControlAddress()]
	return p != nil && p.failingSince >= 0
}

// prunePeers removes the peers without a call in either direction for longer than
// goneRetention.
func (d *NodeTable) prunePeers(now time.Duration) {
	for address, p := range d.peers {
		if now-max(p.calledAt, p.pulledAt) > goneRetention {
			delete(d.peers, address)
		}
	}
}

// sharedWithPeer returns a filter for the records that this node sends to another.
// Between two data centres only their own records are sent: those of a third one come
// from that data centre itself.
func (d *NodeTable) sharedWithPeer(to *nodeEntry) func(*nodeEntry) bool {
	return func(e *nodeEntry) bool {
		if e == to || e.sender == to.record.GetNodeId() {
			return false
		}
		return d.isLocal(to) || d.isLocal(e) || e.record.GetDataCentre() == to.record.GetDataCentre()
	}
}

// outgoing returns the changes to send to a peer and the position that they reach in
// this node's log. A peer that already reads this log in its own calls gets only what
// it has not read yet.
func (d *NodeTable) outgoing(now time.Duration, p *peer, to *nodeEntry) ([]*pb.NodeRecord, uint64) {
	position := p.sentPosition
	if now-p.pulledAt <= maxEvidenceAge {
		position = max(position, p.repliedPosition)
	}
	shared := d.sharedWithPeer(to)
	records, position, _ := d.log.since(position, d.entries, func(e *nodeEntry) bool {
		return !d.isSelf(e) && shared(e)
	})
	return append(records, d.missingRecords(p)...), position
}

func (d *NodeTable) missingRecords(p *peer) []*pb.NodeRecord {
	var records []*pb.NodeRecord
	for id := range p.missing {
		if e := d.entries[id]; e != nil {
			records = append(records, e.record)
		}
	}
	return records
}

// addMissingToReply adds the records that the peer lacks to a reply. It reserves a
// log position for the reply, so that the position in the next request of the peer
// shows whether the reply arrived.
func (d *NodeTable) addMissingToReply(p *peer, reply *pb.SyncResponse) {
	if len(p.missing) == 0 || reply.GetMore() {
		return
	}
	d.log.last++
	reply.Position = d.log.last
	reply.Records = append(reply.Records, d.missingRecords(p)...)
	for id := range p.missing {
		p.missing[id] = d.log.last
	}
}
