package membership

import (
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// evidenceAge bounds the age of evidence passed on to other nodes.
	evidenceAge = 3 * time.Second
	// staleExchange is how long after the last call digests are compared again:
	// they cost less than all changes of a longer time.
	staleExchange = 30 * time.Second
	// urgentInterval bounds the calls outside of rounds.
	urgentInterval = 200 * time.Millisecond
	// maxOwed bounds the records sent to a peer that lacks them. One that lacks
	// more has just started and reads them from its own parent.
	maxOwed = 64
)

// Call is one Sync to be sent.
type Call struct {
	// Address is the control address of the receiver.
	Address string
	Request *pb.SyncRequest
	// sent is the place in the own log that the receiver holds after the call.
	sent uint64
	// base is the receiver's position at the first part of an answer in parts.
	base uint64
}

// Tick expires what is old and returns the calls of this round. It is meant to
// be called every SyncInterval.
func (d *NodeTable) Tick(now time.Duration) []Call {
	d.expire(now)
	d.updateTree()
	d.prunePeers(now)
	questions := d.suspects(now)
	var calls []Call
	for _, address := range d.exchanges(now) {
		c := d.call(now, address)
		c.Request.SilentNodes = questions[address]
		delete(questions, address)
		calls = append(calls, c)
	}
	for address, silent := range questions {
		calls = append(calls, d.probe(now, address, silent))
	}
	d.urgent = false
	return calls
}

// UrgentCalls returns the calls that send a change from below up the tree at once, so
// that it waits for rounds on its way down only. It is meant to be called after
// each other call of the directory.
func (d *NodeTable) UrgentCalls(now time.Duration) []Call {
	if !d.urgent || now-d.lastUrgent < urgentInterval {
		return nil
	}
	d.urgent = false
	d.lastUrgent = now
	addresses := d.upstream
	if d.firstSince >= 0 {
		addresses = addressesOf(d.remoteTargets(now))
	}
	var calls []Call
	for _, address := range addresses {
		calls = append(calls, d.call(now, address))
	}
	return calls
}

func addressesOf(es []*entry) []string {
	var addresses []string
	for _, e := range es {
		addresses = append(addresses, e.record.GetControlAddress())
	}
	return addresses
}

// exchanges returns the control addresses to sync with in this round, each once.
func (d *NodeTable) exchanges(now time.Duration) []string {
	targets := d.syncTargets(now)
	d.compare(now, targets)
	addresses := addressesOf(append(targets, d.retryTargets(now)...))
	if seed := d.seedTarget(now); seed != "" && !slices.Contains(addresses, seed) {
		// A seed is called rarely, so positions would cost more than digests.
		d.peer(seed).position = 0
		addresses = append(addresses, seed)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool {
		return a == "" || a == d.own.GetControlAddress()
	})
}

// heartbeat returns a request without records of other nodes.
func (d *NodeTable) heartbeat(p *peer) *pb.SyncRequest {
	request := &pb.SyncRequest{
		NodeId:        d.own.GetNodeId(),
		Incarnation:   d.own.GetIncarnation(),
		Sequence:      d.own.GetSequence(),
		ConfigVersion: d.configVersion,
	}
	if p.acknowledged != d.own.GetSequence() {
		request.Record = d.own
	}
	return request
}

// probe returns a call that asks about silent nodes.
func (d *NodeTable) probe(now time.Duration, address string, silent []string) Call {
	p := d.peer(address)
	p.called = now
	request := d.heartbeat(p)
	request.Probe = true
	request.SilentNodes = silent
	return Call{Address: address, Request: request}
}

// call returns an exchange of records. It compares digests when the position in
// the receiver's log is not known, or too old.
func (d *NodeTable) call(now time.Duration, address string) Call {
	p := d.peer(address)
	request := d.heartbeat(p)
	request.ReceiverIncarnation = p.incarnation
	request.HeardNodes = d.evidence(now, address)
	c := Call{Address: address, Request: request, sent: d.log.last}
	if now-p.called > staleExchange {
		p.position = 0
	}
	p.called = now
	if p.position == 0 {
		buckets := d.bucketCount()
		if p.incarnation != 0 {
			// A peer met before mostly holds the same records: one sum tells.
			buckets = 1
		}
		request.Digest = d.digest(buckets)
		return c
	}
	request.Position = p.position
	if to := d.byAddress[address]; to != nil {
		request.Records, c.sent = d.outgoing(now, p, to)
	}
	return c
}

// evidence names the relays of other data centres that a relay of the own data
// centre should know to be alive.
func (d *NodeTable) evidence(now time.Duration, receiver string) []string {
	to := d.byAddress[receiver]
	if d.relaySince < 0 || to == nil || !d.local(to) {
		return nil
	}
	var ids []string
	for _, e := range d.entries {
		if now-e.direct <= evidenceAge && !d.local(e) {
			ids = append(ids, e.record.GetNodeId())
		}
	}
	slices.Sort(ids)
	return ids
}

// HandleReply takes the reply to a call. It returns a further call if the reply was cut.
func (d *NodeTable) HandleReply(now time.Duration, c Call, reply *pb.SyncResponse) *Call {
	d.lastReply = now
	p := d.peer(c.Address)
	p.renew(now, reply.GetReceiverIncarnation())
	p.failingSince = -1
	p.acknowledged = c.Request.GetSequence()
	if reply.GetNeedRecord() {
		p.acknowledged = 0
	}
	from := d.byAddress[c.Address]
	for _, r := range reply.GetRecords() {
		if newer := d.merge(now, r, senderID(from)); newer != nil {
			p.owe(newer.GetNodeId())
		}
	}
	d.heardFrom(now, c, reply)
	d.takeAnswers(now, c.Request.GetSilentNodes(), reply.GetHeardNodes())
	if c.Request.GetProbe() {
		return nil
	}
	if len(c.Request.GetDigest()) > 0 {
		return d.takeComparison(now, c, reply)
	}
	d.takeChanges(p, c, reply)
	if !reply.GetMore() {
		return nil
	}
	next := d.call(now, c.Address)
	return &next
}

func senderID(e *entry) string {
	if e == nil {
		return ""
	}
	return e.record.GetNodeId()
}

// takeChanges notes what both sides have after an exchange by positions.
func (d *NodeTable) takeChanges(p *peer, c Call, reply *pb.SyncResponse) {
	if c.Request.GetReceiverIncarnation() != reply.GetReceiverIncarnation() || p.position == 0 {
		return
	}
	p.position = max(p.position, reply.GetPosition())
	p.sent = max(p.sent, c.sent)
	for _, r := range c.Request.GetRecords() {
		delete(p.owed, r.GetNodeId())
	}
}

// takeComparison notes what the peer lacks after a comparison of digests, and
// asks for the rest of a cut reply.
func (d *NodeTable) takeComparison(now time.Duration, c Call, reply *pb.SyncResponse) *Call {
	p := d.peer(c.Address)
	buckets := len(c.Request.GetDigest())
	lacking := d.lacking(d.byAddress[c.Address], buckets, reply)
	if len(lacking) > maxOwed && now-p.renewed < goneAfter {
		return nil
	}
	for _, id := range lacking {
		p.owe(id)
	}
	if c.base == 0 {
		c.base = reply.GetPosition()
	}
	if !reply.GetMore() {
		p.position = c.base
		p.sent = max(p.sent, c.sent)
		return nil
	}
	if buckets == 1 {
		buckets = d.bucketCount()
	}
	next := d.call(now, c.Address)
	next.base = c.base
	next.sent = c.sent
	next.Request.Digest = d.digest(buckets)
	next.Request.FirstBucket = reply.GetNextBucket()
	return &next
}

// heardFrom notes that the node that was called lives, and takes over what it
// reports as lost if this node follows it.
func (d *NodeTable) heardFrom(now time.Duration, c Call, reply *pb.SyncResponse) {
	e := d.byAddress[c.Address]
	if e != nil && e.record.GetIncarnation() == reply.GetReceiverIncarnation() {
		e.hear(now)
	}
	if slices.Contains(d.upstream, c.Address) {
		d.lost = reply.GetLostDataCentres()
	}
}

// HandleFailure notes that a call had no reply.
func (d *NodeTable) HandleFailure(now time.Duration, c Call) {
	p := d.peer(c.Address)
	if p.failingSince < 0 {
		p.failingSince = now
	}
}

// HandleSync answers the Sync of another node.
func (d *NodeTable) HandleSync(now time.Duration, request *pb.SyncRequest) *pb.SyncResponse {
	reply := &pb.SyncResponse{
		ReceiverIncarnation: d.own.GetIncarnation(),
		ConfigVersion:       d.configVersion,
		LostDataCentres:     d.lost,
	}
	d.takeRecords(now, request, reply)
	d.hearSender(now, request, reply)
	d.hearOthers(now, request)
	reply.HeardNodes = d.heardAtFirstHand(now, request.GetSilentNodes())
	switch {
	case request.GetProbe():
	case len(request.GetDigest()) > 0:
		reply.Position = d.log.last
		d.answerDigest(request, reply)
	case request.GetReceiverIncarnation() != d.own.GetIncarnation():
		// The sender knew an earlier process; it asks again with a digest.
		reply.More = true
	default:
		d.answerChanges(now, request, reply)
	}
	return reply
}

// takeRecords merges the records of a request. The sender of one that is out of
// date gets the newer one.
func (d *NodeTable) takeRecords(now time.Duration, request *pb.SyncRequest, reply *pb.SyncResponse) {
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
	d.urgent = d.urgent || d.changes > before && sender != nil && d.local(sender)
}

// answerChanges adds the changes since the sender's position, without those that
// this node sent it in own calls.
func (d *NodeTable) answerChanges(now time.Duration, request *pb.SyncRequest, reply *pb.SyncResponse) {
	position := request.GetPosition()
	sender := d.entries[request.GetNodeId()]
	if sender == nil {
		// Its record is asked for first; the position stays.
		reply.Position = position
		return
	}
	p := d.peer(sender.record.GetControlAddress())
	if p.incarnation == request.GetIncarnation() {
		p.confirm(position)
		position = p.sent
	}
	records, last, more := d.log.since(position, d.entries, d.sharedWith(sender))
	reply.Records = append(reply.Records, records...)
	reply.Position = last
	reply.More = more
	d.payInReply(p, reply)
	p.pulled = now
	p.replied = reply.GetPosition()
}

// hearSender counts the request as a heartbeat. A sender whose record here is
// newer than its own, because it was marked gone or replaced, gets that record.
func (d *NodeTable) hearSender(now time.Duration, request *pb.SyncRequest, reply *pb.SyncResponse) {
	heartbeat := &pb.NodeRecord{Incarnation: request.GetIncarnation(), Sequence: request.GetSequence()}
	e := d.entries[request.GetNodeId()]
	if e == nil {
		reply.NeedRecord = true
		return
	}
	order := Compare(heartbeat, e.record)
	reply.NeedRecord = order > 0
	if order < 0 {
		reply.Records = append(reply.Records, e.record)
	}
	if heartbeat.GetIncarnation() < e.record.GetIncarnation() {
		return
	}
	d.peer(e.record.GetControlAddress()).renew(now, request.GetIncarnation())
	// Contact with another data centre counts only if it answers: after a
	// one-way cut its requests may still arrive, but work sent to it is lost.
	if d.local(e) {
		e.hear(now)
	}
}

func (d *NodeTable) hearOthers(now time.Duration, request *pb.SyncRequest) {
	sender := d.entries[request.GetNodeId()]
	if sender == nil || !d.local(sender) {
		return
	}
	for _, id := range request.GetHeardNodes() {
		if e := d.entries[id]; e != nil {
			e.heard = now
		}
	}
}
