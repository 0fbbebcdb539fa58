package membership

import (
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// peer is what the directory knows of the exchange with one control address.
type peer struct {
	// incarnation is the process of the peer to which the positions refer.
	incarnation uint64
	// position is the place in the peer's log up to which this node has read, 0
	// before the first comparison of digests.
	position uint64
	// sent is the place in the own log up to which the peer holds the changes, and
	// replied the one up to which it was sent them in reply to its last call.
	sent, replied uint64
	// owed holds the nodes whose records the peer lacks although sent says otherwise,
	// with the own position of the reply that held the record, 0 before any did.
	owed map[string]uint64
	// acknowledged is the own sequence that the peer is known to hold.
	acknowledged uint64
	// called and pulled are when this node last called the peer and the peer this node.
	called, pulled time.Duration
	// renewed is when the peer's process was first met.
	renewed time.Duration
	// failingSince is the first failure after the last reply, -1 when there is none.
	failingSince time.Duration
}

func (d *NodeTable) peer(address string) *peer {
	p := d.peers[address]
	if p == nil {
		p = &peer{failingSince: -1, called: -retryInterval, pulled: -retryInterval}
		d.peers[address] = p
	}
	return p
}

// renew forgets the exchange with an earlier process of the peer.
func (p *peer) renew(now time.Duration, incarnation uint64) {
	if p.incarnation == incarnation {
		return
	}
	*p = peer{incarnation: incarnation, failingSince: p.failingSince, called: p.called, pulled: p.pulled, renewed: now}
}

func (p *peer) owe(id string) {
	if p.owed == nil {
		p.owed = make(map[string]uint64)
	}
	p.owed[id] = 0
}

// confirm notes that the peer has read the own log up to a position.
func (p *peer) confirm(position uint64) {
	p.sent = max(p.sent, position)
	for id, at := range p.owed {
		if at > 0 && at <= position {
			delete(p.owed, id)
		}
	}
}

// unreachable reports whether the node failed to answer for goneAfter.
func (d *NodeTable) unreachable(now time.Duration, e *entry) bool {
	p := d.peers[e.record.GetControlAddress()]
	return p != nil && p.failingSince >= 0 && now-p.failingSince > goneAfter
}

func (d *NodeTable) failing(e *entry) bool {
	p := d.peers[e.record.GetControlAddress()]
	return p != nil && p.failingSince >= 0
}

// prunePeers forgets exchanges that ended long ago.
func (d *NodeTable) prunePeers(now time.Duration) {
	for address, p := range d.peers {
		if now-max(p.called, p.pulled) > goneRetention {
			delete(d.peers, address)
		}
	}
}

// sharedWith returns which records a node gets from this one. Between data
// centres only those of the two pass: others come from their own data centre.
func (d *NodeTable) sharedWith(to *entry) func(*entry) bool {
	return func(e *entry) bool {
		if e == to || e.from == to.record.GetNodeId() {
			return false
		}
		return d.local(to) || d.local(e) || e.record.GetDataCentre() == to.record.GetDataCentre()
	}
}

// outgoing returns the changes to send to a peer and the position that they
// reach. A peer that reads the own log anyway gets only what it has not yet read.
func (d *NodeTable) outgoing(now time.Duration, p *peer, to *entry) ([]*pb.NodeRecord, uint64) {
	position := p.sent
	if now-p.pulled <= evidenceAge {
		position = max(position, p.replied)
	}
	shared := d.sharedWith(to)
	records, position, _ := d.log.since(position, d.entries, func(e *entry) bool {
		return !d.isSelf(e) && shared(e)
	})
	return append(records, d.owedTo(p)...), position
}

func (d *NodeTable) owedTo(p *peer) []*pb.NodeRecord {
	var records []*pb.NodeRecord
	for id := range p.owed {
		if e := d.entries[id]; e != nil {
			records = append(records, e.record)
		}
	}
	return records
}

// payInReply adds the owed records to a reply. A position of their own tells by
// the next request whether the reply arrived.
func (d *NodeTable) payInReply(p *peer, reply *pb.SyncResponse) {
	if len(p.owed) == 0 || reply.GetMore() {
		return
	}
	d.log.last++
	reply.Position = d.log.last
	reply.Records = append(reply.Records, d.owedTo(p)...)
	for id := range p.owed {
		p.owed[id] = d.log.last
	}
}
