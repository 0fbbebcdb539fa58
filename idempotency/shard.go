package idempotency

import (
	"time"
	"unique"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// maxRecords keeps a segment of records of about 150 B below the 1 MB of the store.
	maxRecords = 4000
	// markInterval bounds the time that is lost to the count at a takeover, in a
	// shard that holds keys and takes no claims.
	markInterval = time.Minute
)

// Request is a claim, or a settlement when Attempt is nil.
type Request struct {
	Key         Key
	Fingerprint uint64
	Attempt     *pb.KeyAttempt
	// Replaces is an attempt that the claimant proved not run; it may be empty.
	Replaces string
	// Settles is the attempt that a settlement is about.
	Settles string
	// Ran says that the settled attempt ran; otherwise it is proved not run.
	Ran bool
}

// guard is what many holders have in common. It is stored once.
type guard struct {
	node, address string
	incarnation   uint64
}

// Holder is the attempt that holds a key.
type Holder struct {
	Fingerprint uint64
	Ran         bool
	id          string
	guard       unique.Handle[guard]
	count       time.Duration
}

func newHolder(r *pb.KeyRecord, count time.Duration) Holder {
	a := r.GetAttempt()
	g := guard{a.GetGuardNode(), a.GetControlAddress(), a.GetGuardIncarnation()}
	return Holder{Fingerprint: r.GetFingerprint(), id: a.GetAttemptId(), guard: unique.Make(g), count: count}
}

// Attempt returns the attempt with its guard.
func (h *Holder) Attempt() *pb.KeyAttempt {
	g := h.guard.Value()
	return &pb.KeyAttempt{GuardNode: g.node, ControlAddress: g.address, GuardIncarnation: g.incarnation, AttemptId: h.id}
}

// ID returns the attempt ID of the holder, empty when there is none.
func (h *Holder) ID() string {
	if h == nil {
		return ""
	}
	return h.id
}

// Decision is the decision on a request. A nil Holder means that a claim holds
// the key now, or that a settlement is done.
type Decision struct {
	Request *Request
	Holder  *Holder
}

// Shard is one owner's picture of a shard. It is not safe for concurrent use.
type Shard struct {
	incarnation uint64
	keep        time.Duration
	// next is the number of the segment to read or to create.
	next     uint64
	caughtUp bool
	// base is the count of the last segment, and since the owner's clock when it
	// learned that the segment exists.
	base, since time.Duration
	holders     map[Key]Holder
	claims      queue[Key]
	segments    queue[uint64]
	pending     []*Request
	writing     *batch
}

// batch is a segment that is being written and the answers that depend on it.
type batch struct {
	segment *pb.KeySegment
	waiting []*Request
}

// NewShard returns a shard that has read nothing. Keep is the time a claim is kept.
func NewShard(incarnation uint64, keep time.Duration) *Shard {
	s := &Shard{incarnation: incarnation, keep: keep}
	s.Restart(0)
	return s
}

// Restart forgets what was read, to read again from the floor. Requests of a
// segment that was not confirmed are decided again.
func (s *Shard) Restart(floor uint64) {
	s.overtaken()
	s.next = floor
	s.caughtUp = false
	s.base, s.since = 0, 0
	s.holders = make(map[Key]Holder)
	s.claims = queue[Key]{}
	s.segments = queue[uint64]{}
}

// Next returns the number of the segment to read or create next.
func (s *Shard) Next() uint64 { return s.next }

// CaughtUp says that no segment of the number Next exists.
func (s *Shard) CaughtUp() { s.caughtUp = true }

// Ready reports whether requests can be decided.
func (s *Shard) Ready() bool { return s.caughtUp && s.writing == nil }

// Read takes the segment of the number Next. It reports true, and leaves the
// segment to Confirm, when it is the one that this owner was writing.
func (s *Shard) Read(segment *pb.KeySegment, now time.Duration) bool {
	if s.writing != nil && s.own(segment) {
		return true
	}
	s.overtaken()
	s.caughtUp = false
	s.apply(segment, now)
	return false
}

func (s *Shard) own(segment *pb.KeySegment) bool {
	w := s.writing.segment
	return segment.GetIncarnation() == w.GetIncarnation() && segment.GetNonce() == w.GetNonce()
}

// overtaken puts the requests of the unconfirmed segment back, to be decided again.
func (s *Shard) overtaken() {
	if s.writing == nil {
		return
	}
	s.pending = append(s.writing.waiting, s.pending...)
	s.writing = nil
}

// Add queues a request for the next segment.
func (s *Shard) Add(r *Request) { s.pending = append(s.pending, r) }

// Drain returns the queued requests without a decision.
func (s *Shard) Drain() []*Request {
	dropped := s.pending
	s.pending = nil
	return dropped
}

// Begin decides the queued requests. Answers that rest on confirmed segments
// alone are returned at once. The others follow from Confirm, when the segment,
// which is nil if there is nothing to write, was created under the number Next.
func (s *Shard) Begin(now time.Duration, nonce uint64) (*pb.KeySegment, []Decision) {
	if !s.Ready() {
		return nil, nil
	}
	count := s.count(now)
	s.expire(count)
	segment := &pb.KeySegment{Incarnation: s.incarnation, Nonce: nonce, CountMs: uint64(count / time.Millisecond)}
	b := &batch{segment: segment}
	answers := s.decideAll(b)
	mark := len(s.holders) > 0 && now-s.since >= markInterval
	if len(segment.Records) == 0 && !mark {
		return nil, answers
	}
	s.writing = b
	return segment, answers
}

// Answers decides the queued requests that need no write. The others stay queued.
func (s *Shard) Answers(now time.Duration) []Decision {
	if !s.Ready() {
		return nil
	}
	s.expire(s.count(now))
	var answers []Decision
	var rest []*Request
	for _, r := range s.pending {
		record, answer := s.decide(r)
		if record != nil {
			rest = append(rest, r)
			continue
		}
		answers = append(answers, answer)
	}
	s.pending = rest
	return answers
}

// decideAll adds the records that must be written to b. A request on a key that
// the same segment changes stays queued, because its decision rests on that.
func (s *Shard) decideAll(b *batch) []Decision {
	var answers []Decision
	var rest []*Request
	changed := make(map[Key]bool)
	for _, r := range s.pending {
		if changed[r.Key] || len(b.waiting) == maxRecords {
			rest = append(rest, r)
			continue
		}
		record, answer := s.decide(r)
		if record == nil {
			answers = append(answers, answer)
			continue
		}
		changed[r.Key] = true
		b.segment.Records = append(b.segment.Records, record)
		b.waiting = append(b.waiting, r)
	}
	s.pending = rest
	return answers
}

// decide returns the record that grants the request, or nil and the answer when
// nothing has to be written.
func (s *Shard) decide(r *Request) (*pb.KeyRecord, Decision) {
	h, held := s.holders[r.Key]
	if r.Attempt == nil {
		if !held || h.Ran || h.id != r.Settles {
			return nil, Decision{Request: r}
		}
		return &pb.KeyRecord{Key: r.Key[:], Ran: r.Ran}, Decision{}
	}
	// A claim that was granted before is written again: only a segment that counts
	// shows that this picture of the log is not one of deleted numbers.
	again := h.id == r.Attempt.GetAttemptId()
	if held && !again && (h.Ran || h.id != r.Replaces) {
		return nil, Decision{Request: r, Holder: &h}
	}
	return &pb.KeyRecord{Key: r.Key[:], Fingerprint: r.Fingerprint, Attempt: r.Attempt}, Decision{}
}

// Confirm takes the segment that was being written as part of the log and
// returns the answers that depended on it. The caller must have read a floor not
// above Next after it learned that the segment exists.
func (s *Shard) Confirm(now time.Duration) []Decision {
	b := s.writing
	s.writing = nil
	s.apply(b.segment, now)
	var answers []Decision
	for _, r := range b.waiting {
		answers = append(answers, Decision{Request: r})
	}
	return answers
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

// Compact drops what is older than the time to keep and returns the number below
// which segments are no longer needed. The last segment always is: it holds the count.
func (s *Shard) Compact(now time.Duration) uint64 {
	count := s.count(now)
	s.expire(count)
	for len(s.segments.items) > 1 && s.segments.due(count-s.keep) {
		s.segments.pop()
	}
	if len(s.segments.items) == 0 {
		return s.next
	}
	return s.segments.items[0].value
}

// count returns the count of time of the shard.
func (s *Shard) count(now time.Duration) time.Duration { return s.base + now - s.since }

func (s *Shard) apply(segment *pb.KeySegment, now time.Duration) {
	s.base = time.Duration(segment.GetCountMs()) * time.Millisecond
	s.since = now
	for _, r := range segment.GetRecords() {
		s.applyRecord(r)
	}
	s.segments.push(s.next, s.base)
	s.next++
}

func (s *Shard) applyRecord(r *pb.KeyRecord) {
	k := Key(r.GetKey())
	h, held := s.holders[k]
	switch {
	case r.GetAttempt() != nil:
		s.holders[k] = newHolder(r, s.base)
		s.claims.push(k, s.base)
	case held && r.GetRan():
		h.Ran = true
		s.holders[k] = h
	case held:
		delete(s.holders, k)
	}
}

func (s *Shard) expire(count time.Duration) {
	for s.claims.due(count - s.keep) {
		k := s.claims.pop()
		// A later claim may hold the key by now.
		if h, ok := s.holders[k]; ok && h.count <= count-s.keep {
			delete(s.holders, k)
		}
	}
}
