package membership

import (
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// secondInterval is how often a node also syncs with its second relay. Two
	// such calls fit into goneAfter, so the second relay keeps hearing through
	// the nodes that the first one lives.
	secondInterval = 2 * time.Second
	// retryInterval is how often a relay that did not answer is tried again.
	retryInterval = 10 * time.Second
	// seedInterval is how often a relay syncs with a seed, to join parts of a
	// fleet that know nothing of each other.
	seedInterval = 10 * time.Second
	// evidenceAge bounds the age of evidence passed on to other nodes.
	evidenceAge = 3 * time.Second
)

// Call is one Sync to be sent.
type Call struct {
	// Address is the control address of the receiver.
	Address string
	Request *pb.SyncRequest
	// marks is the log position up to which the request holds the marks made here.
	marks uint64
}

// peer is what the directory knows of the exchange with one control address.
type peer struct {
	incarnation, position uint64
	// acknowledged is the own sequence that the peer is known to hold.
	acknowledged uint64
	// marks is the log position up to which the peer has the marks made here.
	marks  uint64
	called time.Duration
	// failingSince is the first failure after the last reply, -1 when there is none.
	failingSince time.Duration
}

func (d *Directory) peer(address string) *peer {
	p := d.peers[address]
	if p == nil {
		p = &peer{failingSince: -1, called: -retryInterval}
		d.peers[address] = p
	}
	return p
}

// unreachable reports whether the node failed to answer for goneAfter.
func (d *Directory) unreachable(now time.Duration, e *entry) bool {
	p := d.peers[e.record.GetControlAddress()]
	return p != nil && p.failingSince >= 0 && now-p.failingSince > goneAfter
}

// Tick expires what is old and returns the calls of this round. It is meant to
// be called every SyncInterval.
func (d *Directory) Tick(now time.Duration) []Call {
	d.expire(now)
	d.prunePeers(now)
	var calls []Call
	for _, address := range d.targets(now) {
		calls = append(calls, d.call(now, address))
	}
	return calls
}

// prunePeers forgets exchanges with addresses that were not called for long.
func (d *Directory) prunePeers(now time.Duration) {
	for address, p := range d.peers {
		if now-p.called > goneRetention {
			delete(d.peers, address)
		}
	}
}

// targets returns the control addresses to sync with in this round, each once.
func (d *Directory) targets(now time.Duration) []string {
	addresses := d.relayTargets(now)
	addresses = append(addresses, d.retryTargets(now)...)
	addresses = append(addresses, d.seedTargets(now)...)
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool {
		return a == "" || a == d.own.GetControlAddress()
	})
}

func (d *Directory) relayTargets(now time.Duration) []string {
	selected := d.relays(now, true)
	own := selected[d.own.GetDataCentre()]
	// A leaving node that was the last of its data centre has no relay left.
	if len(own) > 0 && !slices.ContainsFunc(own, d.isSelf) {
		return d.ordinaryTargets(now, own)
	}
	var addresses []string
	for _, es := range selected {
		for _, e := range es {
			if !d.isSelf(e) {
				addresses = append(addresses, e.record.GetControlAddress())
			}
		}
	}
	return addresses
}

// ordinaryTargets returns the first relay, and the second one when it is due or
// the first one fails.
func (d *Directory) ordinaryTargets(now time.Duration, relays []*entry) []string {
	var addresses []string
	for i, e := range relays {
		address := e.record.GetControlAddress()
		if i == 0 || d.firstFails(relays) || now-d.peer(address).called >= secondInterval {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (d *Directory) firstFails(relays []*entry) bool {
	return len(relays) > 0 && d.peer(relays[0].record.GetControlAddress()).failingSince >= 0
}

// retryTargets returns relays that were passed over as unreachable and are due again.
func (d *Directory) retryTargets(now time.Duration) []string {
	var addresses []string
	for dc, es := range d.relays(now, false) {
		if dc != d.own.GetDataCentre() && d.relaySince < 0 {
			continue
		}
		for _, e := range es {
			address := e.record.GetControlAddress()
			if !d.isSelf(e) && d.unreachable(now, e) && now-d.peer(address).called >= retryInterval {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// seedTargets returns the next seed while no peer answers, and from time to time
// if this node is a relay. It is one seed a round, because a joining node reads
// the whole directory from each.
func (d *Directory) seedTargets(now time.Duration) []string {
	alone := now-d.lastReply >= goneAfter
	due := d.relaySince >= 0 && now-d.lastSeed >= seedInterval
	if len(d.seeds) == 0 || !alone && !due {
		return nil
	}
	d.lastSeed = now
	d.nextSeed = (d.nextSeed + 1) % len(d.seeds)
	return d.seeds[d.nextSeed : d.nextSeed+1]
}

func (d *Directory) call(now time.Duration, address string) Call {
	p := d.peer(address)
	p.called = now
	request := &pb.SyncRequest{
		NodeId:              d.own.GetNodeId(),
		Incarnation:         d.own.GetIncarnation(),
		Sequence:            d.own.GetSequence(),
		Position:            p.position,
		ReceiverIncarnation: p.incarnation,
		ConfigVersion:       d.configVersion,
		Records:             d.marksSince(p.marks),
		HeardNodes:          d.evidence(now, address),
	}
	if p.acknowledged != d.own.GetSequence() {
		request.Record = d.own
	}
	return Call{Address: address, Request: request, marks: d.log.last}
}

// marksSince returns the gone records that this node made after a log position.
// They are sent, because nobody reads the log of a node that is no relay any more.
func (d *Directory) marksSince(position uint64) []*pb.NodeRecord {
	if position == d.log.last {
		return nil
	}
	var records []*pb.NodeRecord
	for _, e := range d.entries {
		if e.marked && e.position > position {
			records = append(records, e.record)
		}
	}
	return records
}

// evidence names the nodes that a receiver of the own data centre should know
// to be alive. An ordinary node names the relays that answer it. A relay names
// the answering relays of other data centres, and the nodes of its own that
// cannot reach the other relay.
func (d *Directory) evidence(now time.Duration, receiver string) []string {
	var ids []string
	receiverIsLocal := false
	for _, e := range d.entries {
		if e.record.GetControlAddress() == receiver {
			receiverIsLocal = receiverIsLocal || d.local(e)
			continue
		}
		if now-e.direct <= evidenceAge && d.namesAsHeard(now, e) {
			ids = append(ids, e.record.GetNodeId())
		}
	}
	if !receiverIsLocal {
		return nil
	}
	slices.Sort(ids)
	return ids
}

func (d *Directory) namesAsHeard(now time.Duration, e *entry) bool {
	if d.relaySince < 0 {
		p := d.peers[e.record.GetControlAddress()]
		return p != nil && p.failingSince < 0
	}
	return !d.local(e) || now-e.detached <= evidenceAge
}

// HandleReply takes the reply to a call. It returns a further call if the reply was cut.
func (d *Directory) HandleReply(now time.Duration, c Call, reply *pb.SyncResponse) *Call {
	d.lastReply = now
	p := d.peer(c.Address)
	p.failingSince = -1
	p.acknowledged = c.Request.GetSequence()
	if reply.GetNeedRecord() {
		p.acknowledged = 0
	}
	if p.incarnation != reply.GetReceiverIncarnation() || p.position < reply.GetPosition() {
		p.position = reply.GetPosition()
	}
	p.marks = c.marks
	if p.incarnation != reply.GetReceiverIncarnation() {
		p.incarnation = reply.GetReceiverIncarnation()
		p.marks = 0
	}
	for _, r := range reply.GetRecords() {
		d.merge(now, r)
	}
	d.heardFrom(now, c.Address, reply)
	if !reply.GetMore() {
		return nil
	}
	next := d.call(now, c.Address)
	return &next
}

// heardFrom notes that the node at address lives, and takes over what it
// reports as lost if it is the relay of this node.
func (d *Directory) heardFrom(now time.Duration, address string, reply *pb.SyncResponse) {
	for _, e := range d.entries {
		if e.record.GetControlAddress() == address && e.record.GetIncarnation() == reply.GetReceiverIncarnation() {
			e.hear(now)
			e.configVersion = reply.GetConfigVersion()
		}
	}
	relays := d.ownRelays(now)
	if d.relaySince >= 0 || len(relays) == 0 {
		return
	}
	if relays[0].record.GetControlAddress() == address || d.firstFails(relays) {
		d.lost = reply.GetLostDataCentres()
	}
}

// HandleFailure notes that a call had no reply.
func (d *Directory) HandleFailure(now time.Duration, c Call) {
	p := d.peer(c.Address)
	if p.failingSince < 0 {
		p.failingSince = now
	}
}

// HandleSync answers the Sync of another node.
func (d *Directory) HandleSync(now time.Duration, request *pb.SyncRequest) *pb.SyncResponse {
	if r := request.GetRecord(); r.GetNodeId() == request.GetNodeId() && r != nil {
		d.merge(now, r)
	}
	for _, r := range request.GetRecords() {
		d.merge(now, r)
	}
	reply := &pb.SyncResponse{
		ReceiverIncarnation: d.own.GetIncarnation(),
		ConfigVersion:       d.configVersion,
		LostDataCentres:     d.lost,
	}
	d.hearSender(now, request, reply)
	d.hearOthers(now, request)
	position := request.GetPosition()
	if request.GetReceiverIncarnation() != d.own.GetIncarnation() {
		position = 0
	}
	records, last, more := d.log.since(position, request.GetNodeId(), d.entries)
	reply.Records = append(reply.Records, records...)
	reply.Position = last
	reply.More = more
	return reply
}

// hearSender counts the request as a heartbeat. A sender whose record here is
// newer than its own, because it was marked gone or replaced, gets that record.
func (d *Directory) hearSender(now time.Duration, request *pb.SyncRequest, reply *pb.SyncResponse) {
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
	e.configVersion = request.GetConfigVersion()
	// Contact with another data centre counts only if it answers: after a
	// one-way cut its requests may still arrive, but work sent to it is lost.
	if !d.local(e) {
		return
	}
	e.hear(now)
	if !slices.Contains(request.GetHeardNodes(), d.otherRelay) {
		e.detached = now
	}
}

func (d *Directory) hearOthers(now time.Duration, request *pb.SyncRequest) {
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
