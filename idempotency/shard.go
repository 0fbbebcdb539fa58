package idempotency

import (
	"time"
	"unique"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// maxRecords bounds the records of a segment. With records of about 150 B a
	// segment stays below the limit of the store, 1 MB.
	maxRecords = 4000
	// emptySegmentInterval is the time after which a shard that holds keys gets a segment
	// without records if nothing else is written. This bounds the shard time that is
	// lost when the owner changes.
	emptySegmentInterval = time.Minute
)

// Request is a claim of a key for an attempt if Attempt is set. Otherwise it is a
// settlement, which reports whether the attempt SettledAttemptID ran, or, when it is given to
// Owner.Lookup, a lookup of the holder.
type Request struct {
	Key         Key
	Fingerprint uint64
	Attempt     *pb.KeyAttempt
	// ReplacedAttemptID is the ID of an earlier attempt that the claimant knows not to have
	// run. The claim may take the key over from it. It may be empty.
	ReplacedAttemptID string
	// SettledAttemptID is the ID of the attempt that a settlement is about.
	SettledAttemptID string
	// Ran says that the settled attempt ran; otherwise it is known not to have run.
	Ran bool
}

// guard identifies the guard of a holder. Many holders have the same one, so it is
// stored only once.
type guard struct {
	node, address string
	incarnation   uint64
}

// Holder is the attempt that holds a key.
type Holder struct {
	// Fingerprint is the fingerprint of the request that claimed the key.
	Fingerprint uint64
	// Ran is set after a settlement said that the attempt ran. Such a holder keeps the
	// key until the claim expires.
	Ran       bool
	attemptID string
	guard     unique.Handle[guard]
	// claimTime is the shard time of the claim.
	claimTime time.Duration
}

func newHolder(r *pb.KeyRecord, claimTime time.Duration) Holder {
	a := r.GetAttempt()
	g := guard{a.GetGuardNode(), a.GetControlAddress(), a.GetGuardIncarnation()}
	return Holder{Fingerprint: r.GetFingerprint(), attemptID: a.GetAttemptId(), guard: unique.Make(g), claimTime: claimTime}
}

// Attempt returns the ID of the attempt and the identity of its guard.
func (h *Holder) Attempt() *pb.KeyAttempt {
	g := h.guard.Value()
	return &pb.KeyAttempt{GuardNode: g.node, ControlAddress: g.address, GuardIncarnation: g.incarnation, AttemptId: h.attemptID}
}

// AttemptID returns the ID of the attempt that holds the key, empty when h is nil.
func (h *Holder) AttemptID() string {
	if h == nil {
		return ""
	}
	return h.attemptID
}

// Decision is the decision on a request. A nil Holder means that the attempt of a
// claim holds the key now, that a settlement is done, or that a lookup found no
// holder. Otherwise Holder holds the key.
type Decision struct {
	Request *Request
	Holder  *Holder
}

// Shard is the state of a shard as one owner has read it from the log, with the
// requests that the owner has not decided. It is not safe for concurrent use.
type Shard struct {
	incarnation uint64
	// claimRetention is the shard time for which a claim is kept.
	claimRetention time.Duration
	// next is the number of the segment to read or to create.
	next uint64
	// caughtUp is set when no segment has the number next.
	caughtUp bool
	// segmentTime is the shard time of the last segment. LearnedAt is the time on the
	// owner's clock when the owner learned that this segment exists.
	segmentTime, learnedAt time.Duration
	holders                map[Key]Holder
	// claims holds the keys in the order of their claims.
	claims queue[Key]
	// segments holds the numbers of the segments that are still needed.
	segments queue[uint64]
	pending  []*Request
	// writing is the segment that is created but not confirmed, nil when there is none.
	writing *batch
}

// batch is a segment that is being written and the requests that it decides.
type batch struct {
	segment  *pb.KeySegment
	requests []*Request
}

// NewShard returns a shard that has read nothing. It keeps claims for claimRetention.
func NewShard(incarnation uint64, claimRetention time.Duration) *Shard {
	s := &Shard{incarnation: incarnation, claimRetention: claimRetention}
	s.Restart(0)
	return s
}

// Restart drops what was read, so that the log is read again from the floor.
// Requests in a segment that was not confirmed are decided again.
func (s *Shard) Restart(floor uint64) {
	s.requeueUnconfirmed()
	s.next = floor
	s.caughtUp = false
	s.segmentTime, s.learnedAt = 0, 0
	s.holders = make(map[Key]Holder)
	s.claims = queue[Key]{}
	s.segments = queue[uint64]{}
}

// Next returns the number of the segment to read or create next.
func (s *Shard) Next() uint64 { return s.next }

// MarkCaughtUp records that no segment with the number Next exists.
func (s *Shard) MarkCaughtUp() { s.caughtUp = true }

// Ready reports whether requests can be decided.
func (s *Shard) Ready() bool { return s.caughtUp && s.writing == nil }

// HandleSegment applies the segment that was read under the number Next. When this owner
// wrote that segment, HandleSegment does not apply it but returns true: the caller must
// check the floor and call Confirm.
func (s *Shard) HandleSegment(segment *pb.KeySegment, now time.Duration) bool {
	if s.writing != nil && s.wrote(segment) {
		return true
	}
	s.requeueUnconfirmed()
	s.caughtUp = false
	s.apply(segment, now)
	return false
}

// wrote reports whether segment is the one that this owner is writing.
func (s *Shard) wrote(segment *pb.KeySegment) bool {
	w := s.writing.segment
	return segment.GetIncarnation() == w.GetIncarnation() && segment.GetNonce() == w.GetNonce()
}

// requeueUnconfirmed drops the unconfirmed segment and queues its requests again,
// before the other pending requests.
func (s *Shard) requeueUnconfirmed() {
	if s.writing == nil {
		return
	}
	s.pending = append(s.writing.requests, s.pending...)
	s.writing = nil
}

// Add queues a claim or a settlement for the next segment.
func (s *Shard) Add(r *Request) { s.pending = append(s.pending, r) }

// Drain removes the queued requests and returns them, undecided.
func (s *Shard) Drain() []*Request {
	drained := s.pending
	s.pending = nil
	return drained
}

// Begin decides the queued requests. It returns the decisions that depend only on
// confirmed segments, and a segment with the records for the other requests, nil
// when there is nothing to write. The caller must create the segment under the
// number Next; Confirm then returns the decisions that depend on it.
func (s *Shard) Begin(now time.Duration, nonce uint64) (*pb.KeySegment, []Decision) {
	if !s.Ready() {
		return nil, nil
	}
	shardTime := s.shardTime(now)
	s.expire(shardTime)
	segment := &pb.KeySegment{Incarnation: s.incarnation, Nonce: nonce, CountMs: uint64(shardTime / time.Millisecond)}
	b := &batch{segment: segment}
	decisions := s.decideAll(b)
	writeEmpty := len(s.holders) > 0 && now-s.learnedAt >= emptySegmentInterval
	if len(segment.Records) == 0 && !writeEmpty {
		return nil, decisions
	}
	s.writing = b
	return segment, decisions
}

// DecideWithoutWrite decides the queued requests that need no write and returns
// the decisions. The other requests stay queued.
func (s *Shard) DecideWithoutWrite(now time.Duration) []Decision {
	if !s.Ready() {
		return nil
	}
	s.expire(s.shardTime(now))
	var decisions []Decision
	var rest []*Request
	for _, r := range s.pending {
		record, decision := s.decide(r)
		if record != nil {
			rest = append(rest, r)
			continue
		}
		decisions = append(decisions, decision)
	}
	s.pending = rest
	return decisions
}

// decideAll adds the records that must be written to b and returns the decisions
// that need no write. A request on a key that the segment already changes stays
// queued, because its decision depends on that change.
func (s *Shard) decideAll(b *batch) []Decision {
	var decisions []Decision
	var rest []*Request
	changed := make(map[Key]bool)
	for _, r := range s.pending {
		if changed[r.Key] || len(b.requests) == maxRecords {
			rest = append(rest, r)
			continue
		}
		record, decision := s.decide(r)
		if record == nil {
			decisions = append(decisions, decision)
			continue
		}
		changed[r.Key] = true
		b.segment.Records = append(b.segment.Records, record)
		b.requests = append(b.requests, r)
	}
	s.pending = rest
	return decisions
}

// decide returns the record to write for the request. When nothing has to be
// written, it returns nil and the decision.
func (s *Shard) decide(r *Request) (*pb.KeyRecord, Decision) {
	h, held := s.holders[r.Key]
	if r.Attempt == nil {
		if !held || h.Ran || h.attemptID != r.SettledAttemptID {
			return nil, Decision{Request: r}
		}
		return &pb.KeyRecord{Key: r.Key[:], Ran: r.Ran}, Decision{}
	}
	// A repeated claim by the attempt that already holds the key is written again. The
	// segments that this owner has read may have been deleted since; only a new segment
	// that is confirmed shows that they are still part of the log.
	sameAttempt := h.attemptID == r.Attempt.GetAttemptId()
	if held && !sameAttempt && (h.Ran || h.attemptID != r.ReplacedAttemptID) {
		return nil, Decision{Request: r, Holder: &h}
	}
	return &pb.KeyRecord{Key: r.Key[:], Fingerprint: r.Fingerprint, Attempt: r.Attempt}, Decision{}
}

// Confirm applies the segment that was being written and returns the decisions that
// depend on it. After the caller learned that the segment exists, it must have read
// the floor and found it not above Next.
func (s *Shard) Confirm(now time.Duration) []Decision {
	b := s.writing
	s.writing = nil
	s.apply(b.segment, now)
	var decisions []Decision
	for _, r := range b.requests {
		decisions = append(decisions, Decision{Request: r})
	}
	return decisions
}

// Holder returns the holder of a key in the segments read so far, nil when there is none.
func (s *Shard) Holder(k Key) *Holder {
	h, ok := s.holders[k]
	if !ok {
		return nil
	}
	return &h
}

// Keys returns the number of keys held.
func (s *Shard) Keys() int { return len(s.holders) }

// Compact drops claims and segments that are older than the retention of claims. It
// returns the number below which segments are no longer needed. The last segment
// is always needed, because it holds the shard time.
func (s *Shard) Compact(now time.Duration) uint64 {
	shardTime := s.shardTime(now)
	s.expire(shardTime)
	for len(s.segments.items) > 1 && s.segments.due(shardTime-s.claimRetention) {
		s.segments.pop()
	}
	if len(s.segments.items) == 0 {
		return s.next
	}
	return s.segments.items[0].value
}

// shardTime returns the shard time at the time now of the owner's clock.
func (s *Shard) shardTime(now time.Duration) time.Duration { return s.segmentTime + now - s.learnedAt }

// apply applies the segment with the number next to the state of the shard.
func (s *Shard) apply(segment *pb.KeySegment, now time.Duration) {
	s.segmentTime = time.Duration(segment.GetCountMs()) * time.Millisecond
	s.learnedAt = now
	for _, r := range segment.GetRecords() {
		s.applyRecord(r)
	}
	s.segments.push(s.next, s.segmentTime)
	s.next++
}

func (s *Shard) applyRecord(r *pb.KeyRecord) {
	k := Key(r.GetKey())
	h, held := s.holders[k]
	switch {
	case r.GetAttempt() != nil:
		s.holders[k] = newHolder(r, s.segmentTime)
		s.claims.push(k, s.segmentTime)
	case held && r.GetRan():
		h.Ran = true
		s.holders[k] = h
	case held:
		delete(s.holders, k)
	}
}

// expire drops the claims whose retention ends at shardTime or before.
func (s *Shard) expire(shardTime time.Duration) {
	for s.claims.due(shardTime - s.claimRetention) {
		k := s.claims.pop()
		// A later claim may have taken the key over; that one expires later.
		if h, ok := s.holders[k]; ok && h.claimTime <= shardTime-s.claimRetention {
			delete(s.holders, k)
		}
	}
}
