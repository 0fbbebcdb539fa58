package membership

import (
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// maxEvidenceAge is how old the evidence that a node is alive may be to be used
	// or passed on to other nodes.
	maxEvidenceAge = 3 * time.Second
	// maxPositionAge is how long after the last call to a peer its log position is
	// still used. After a longer time the digests are compared again, because they
	// cost less than all the changes.
	maxPositionAge = 30 * time.Second
	// urgentInterval is the minimum time between calls outside of rounds.
	urgentInterval = 200 * time.Millisecond
	// maxMissing is the number of missing records above which none of them is sent to a
	// peer whose process was first seen less than goneAfter ago. Such a peer has just
	// started and reads the records from its own parent.
	maxMissing = 64
)

// Call is a Sync request to be sent.
type Call struct {
	// Address is the control address of the receiver.
	Address string
	Request *pb.SyncRequest
	// sentPosition is the position in this node's log up to which the receiver holds the
	// changes after the call.
	sentPosition uint64
	// basePosition is the receiver's log position in the first part of a reply that
	// comes in parts.
	basePosition uint64
}

// Tick expires old state and returns the calls of this round. It should be called
// every SyncInterval.
func (d *NodeTable) Tick(now time.Duration) []Call {
	d.maintain(now)
	d.updateTree()
	d.prunePeers(now)
	silentByAddress := d.silentNodesByAddress(now)
	var calls []Call
	for _, address := range d.syncAddresses(now) {
		c := d.call(now, address)
		c.Request.SilentNodes = silentByAddress[address]
		delete(silentByAddress, address)
		calls = append(calls, c)
	}
	for address, silent := range silentByAddress {
		calls = append(calls, d.probe(now, address, silent))
	}
	d.hasUrgentChange = false
	return calls
}

// UrgentCalls returns the calls that pass a change on at once, to the parents or, at
// the first relay, to relays of other data centres. It returns no calls down
// the tree: there the change waits for the next round. UrgentCalls
// should be called after each call of another method of the node table.
func (d *NodeTable) UrgentCalls(now time.Duration) []Call {
	if !d.hasUrgentChange || now-d.lastUrgent < urgentInterval {
		return nil
	}
	d.hasUrgentChange = false
	d.lastUrgent = now
	addresses := d.parentAddresses
	if d.firstRelaySince >= 0 {
		addresses = addressesOf(d.remoteTargets(now))
	}
	var calls []Call
	for _, address := range addresses {
		calls = append(calls, d.call(now, address))
	}
	return calls
}

func addressesOf(es []*nodeEntry) []string {
	var addresses []string
	for _, e := range es {
		addresses = append(addresses, e.record.GetControlAddress())
	}
	return addresses
}

// syncAddresses returns the control addresses to sync with in this round, each once.
func (d *NodeTable) syncAddresses(now time.Duration) []string {
	targets := d.syncTargets(now)
	d.scheduleComparison(now, targets)
	addresses := addressesOf(append(targets, d.retryTargets(now)...))
	if seed := d.seedTarget(now); seed != "" && !slices.Contains(addresses, seed) {
		// A seed is called rarely, so reading its changes since the last call would
		// cost more than comparing digests.
		d.peer(seed).readPosition = 0
		addresses = append(addresses, seed)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool {
		return a == "" || a == d.own.GetControlAddress()
	})
}

// heartbeat returns a request without records of other nodes. It contains the record
// of this node if the peer is not known to hold it.
func (d *NodeTable) heartbeat(p *peer) *pb.SyncRequest {
	request := &pb.SyncRequest{
		NodeId:        d.own.GetNodeId(),
		Incarnation:   d.own.GetIncarnation(),
		Sequence:      d.own.GetSequence(),
		ConfigVersion: d.configVersion,
	}
	if p.acknowledgedSequence != d.own.GetSequence() {
		request.Record = d.own
	}
	return request
}

// probe returns a call that only asks a node about silent nodes.
func (d *NodeTable) probe(now time.Duration, address string, silent []string) Call {
	p := d.peer(address)
	p.calledAt = now
	request := d.heartbeat(p)
	request.Probe = true
	request.SilentNodes = silent
	return Call{Address: address, Request: request}
}

// call returns a call that exchanges records with a node. It compares digests when
// the position in the log of the receiver is unknown or too old.
func (d *NodeTable) call(now time.Duration, address string) Call {
	p := d.peer(address)
	request := d.heartbeat(p)
	request.ReceiverIncarnation = p.incarnation
	request.HeardNodes = d.heardRemoteNodes(now, address)
	c := Call{Address: address, Request: request, sentPosition: d.log.last}
	if now-p.calledAt > maxPositionAge {
		p.readPosition = 0
	}
	p.calledAt = now
	if p.readPosition == 0 {
		buckets := d.bucketCount()
		if p.incarnation != 0 {
			// A peer that was called before usually holds the same records, which a
			// single sum shows.
			buckets = 1
		}
		request.Digest = d.digest(buckets)
		return c
	}
	request.Position = p.readPosition
	if to := d.byAddress[address]; to != nil {
		request.Records, c.sentPosition = d.outgoing(now, p, to)
	}
	return c
}

// heardRemoteNodes returns the nodes of other data centres that this node heard
// recently. Only a relay reports them, and only to a receiver in its own data centre,
// so that the receiver knows that they are alive.
func (d *NodeTable) heardRemoteNodes(now time.Duration, receiver string) []string {
	to := d.byAddress[receiver]
	if d.relaySince < 0 || to == nil || !d.isLocal(to) {
		return nil
	}
	var ids []string
	for _, e := range d.entries {
		if now-e.heardDirectlyAt <= maxEvidenceAge && !d.isLocal(e) {
			ids = append(ids, e.record.GetNodeId())
		}
	}
	slices.Sort(ids)
	return ids
}

// HandleReply handles the reply to a call. It returns a further call if the reply
// states that more remains to be read.
func (d *NodeTable) HandleReply(now time.Duration, c Call, reply *pb.SyncResponse) *Call {
	d.lastReply = now
	p := d.peer(c.Address)
	p.resetIfRestarted(now, reply.GetReceiverIncarnation())
	p.failingSince = -1
	p.acknowledgedSequence = c.Request.GetSequence()
	if reply.GetNeedRecord() {
		p.acknowledgedSequence = 0
	}
	from := d.byAddress[c.Address]
	for _, r := range reply.GetRecords() {
		if newer := d.merge(now, r, senderID(from)); newer != nil {
			p.addMissing(newer.GetNodeId())
		}
	}
	d.recordReceiver(now, c, reply)
	d.recordWitnessAnswers(now, c.Request.GetSilentNodes(), reply.GetHeardNodes())
	if c.Request.GetProbe() {
		return nil
	}
	if len(c.Request.GetDigest()) > 0 {
		return d.handleComparison(now, c, reply)
	}
	d.recordPositions(p, c, reply)
	if !reply.GetMore() {
		return nil
	}
	next := d.call(now, c.Address)
	return &next
}

func senderID(e *nodeEntry) string {
	if e == nil {
		return ""
	}
	return e.record.GetNodeId()
}

// recordPositions updates the positions that both sides hold after an exchange by
// positions.
func (d *NodeTable) recordPositions(p *peer, c Call, reply *pb.SyncResponse) {
	if c.Request.GetReceiverIncarnation() != reply.GetReceiverIncarnation() || p.readPosition == 0 {
		return
	}
	p.readPosition = max(p.readPosition, reply.GetPosition())
	p.sentPosition = max(p.sentPosition, c.sentPosition)
	for _, r := range c.Request.GetRecords() {
		delete(p.missing, r.GetNodeId())
	}
}

// handleComparison records which nodes the peer lacks after a comparison of digests,
// and returns the call for the rest of an incomplete reply.
func (d *NodeTable) handleComparison(now time.Duration, c Call, reply *pb.SyncResponse) *Call {
	p := d.peer(c.Address)
	buckets := len(c.Request.GetDigest())
	lacking := d.nodesMissingAt(d.byAddress[c.Address], buckets, reply)
	if len(lacking) > maxMissing && now-p.processSince < goneAfter {
		return nil
	}
	for _, id := range lacking {
		p.addMissing(id)
	}
	if c.basePosition == 0 {
		c.basePosition = reply.GetPosition()
	}
	if !reply.GetMore() {
		p.readPosition = c.basePosition
		p.sentPosition = max(p.sentPosition, c.sentPosition)
		return nil
	}
	if buckets == 1 {
		buckets = d.bucketCount()
	}
	next := d.call(now, c.Address)
	next.basePosition = c.basePosition
	next.sentPosition = c.sentPosition
	next.Request.Digest = d.digest(buckets)
	next.Request.FirstBucket = reply.GetNextBucket()
	return &next
}

// recordReceiver records that the called node is alive. If this node syncs with it as
// a parent, recordReceiver also adopts the lost data centres that it reports.
func (d *NodeTable) recordReceiver(now time.Duration, c Call, reply *pb.SyncResponse) {
	e := d.byAddress[c.Address]
	if e != nil && e.record.GetIncarnation() == reply.GetReceiverIncarnation() {
		e.recordHeard(now)
	}
	if slices.Contains(d.parentAddresses, c.Address) {
		d.lostDataCentres = reply.GetLostDataCentres()
	}
}

// HandleFailure records that a call had no reply.
func (d *NodeTable) HandleFailure(now time.Duration, c Call) {
	p := d.peer(c.Address)
	if p.failingSince < 0 {
		p.failingSince = now
	}
}

// HandleSync handles the Sync request of another node and returns the reply.
func (d *NodeTable) HandleSync(now time.Duration, request *pb.SyncRequest) *pb.SyncResponse {
	reply := &pb.SyncResponse{
		ReceiverIncarnation: d.own.GetIncarnation(),
		ConfigVersion:       d.configVersion,
		LostDataCentres:     d.lostDataCentres,
	}
	d.mergeRequest(now, request, reply)
	d.recordSender(now, request, reply)
	d.recordHeardNodes(now, request)
	reply.HeardNodes = d.heardDirectly(now, request.GetSilentNodes())
	switch {
	case request.GetProbe():
	case len(request.GetDigest()) > 0:
		reply.Position = d.log.last
		d.replyWithDifferences(request, reply)
	case request.GetReceiverIncarnation() != d.own.GetIncarnation():
		// The position refers to an earlier process; the sender calls again with a digest.
		reply.More = true
	default:
		d.replyWithChanges(now, request, reply)
	}
	return reply
}

// mergeRequest merges the records of a request. For each record that is older than
// the stored one, the reply contains the stored one.
func (d *NodeTable) mergeRequest(now time.Duration, request *pb.SyncRequest, reply *pb.SyncResponse) {
	before := d.changes
	if r := request.GetRecord(); r != nil && r.GetNodeId() == request.GetNodeId() {
		d.merge(now, r, request.GetNodeId())
	}
	for _, r := range request.GetRecords() {
		if newer := d.merge(now, r, request.GetNodeId()); newer != nil {
			reply.Records = append(reply.Records, newer)
		}
	}
	sender := d.entries[request.GetNodeId()]
	d.hasUrgentChange = d.hasUrgentChange || d.changes > before && sender != nil && d.isLocal(sender)
}

// replyWithChanges adds the changes since the sender's position to the reply, except
// those that this node has sent to it in its own calls.
func (d *NodeTable) replyWithChanges(now time.Duration, request *pb.SyncRequest, reply *pb.SyncResponse) {
	position := request.GetPosition()
	sender := d.entries[request.GetNodeId()]
	if sender == nil {
		// The reply asks for the record of the sender first, so the position does not advance.
		reply.Position = position
		return
	}
	p := d.peer(sender.record.GetControlAddress())
	if p.incarnation == request.GetIncarnation() {
		p.confirmPosition(position)
		position = p.sentPosition
	}
	records, last, more := d.log.since(position, d.entries, d.sharedWithPeer(sender))
	reply.Records = append(reply.Records, records...)
	reply.Position = last
	reply.More = more
	d.addMissingToReply(p, reply)
	p.pulledAt = now
	p.repliedPosition = reply.GetPosition()
}

// recordSender counts the request as a heartbeat of its sender. If the stored record
// of the sender is newer than the one whose incarnation and sequence the request
// states, because the sender was marked gone or replaced, the reply contains the stored
// record.
func (d *NodeTable) recordSender(now time.Duration, request *pb.SyncRequest, reply *pb.SyncResponse) {
	heartbeat := &pb.NodeRecord{Incarnation: request.GetIncarnation(), Sequence: request.GetSequence()}
	e := d.entries[request.GetNodeId()]
	if e == nil {
		reply.NeedRecord = true
		return
	}
	order := CompareRecords(heartbeat, e.record)
	reply.NeedRecord = order > 0
	if order < 0 {
		reply.Records = append(reply.Records, e.record)
	}
	if heartbeat.GetIncarnation() < e.record.GetIncarnation() {
		return
	}
	d.peer(e.record.GetControlAddress()).resetIfRestarted(now, request.GetIncarnation())
	// A node of another data centre counts as heard only if it replies to a call:
	// after a one-way cut its requests may still arrive, but work sent to it is lost.
	if d.isLocal(e) {
		e.recordHeard(now)
	}
}

func (d *NodeTable) recordHeardNodes(now time.Duration, request *pb.SyncRequest) {
	sender := d.entries[request.GetNodeId()]
	if sender == nil || !d.isLocal(sender) {
		return
	}
	for _, id := range request.GetHeardNodes() {
		if e := d.entries[id]; e != nil {
			e.heardAt = now
		}
	}
}
