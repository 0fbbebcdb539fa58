package idempotency

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// parallelReads is the number of segments that an owner reads in parallel until it
	// has read the log to its end.
	parallelReads = 32
	// floorRaiseInterval is the least time between two raises of the floor, so that each
	// raise allows many deletions.
	floorRaiseInterval = time.Minute
	// maxWait bounds the result of Owner.Wait.
	maxWait = time.Second
)

// OpKind is a kind of call to the object store.
type OpKind int

// Kinds of calls to the object store.
const (
	// OpReadFloor reads the floor, which is 0 when the store holds none.
	OpReadFloor OpKind = iota
	// OpRead reads up to Count segments, starting with Number.
	OpRead
	// OpCreate creates Segment under Number, if no segment has that number.
	OpCreate
	// OpList lists the numbers of all segments.
	OpList
	// OpRaiseFloor sets the floor to Number, if its version is still Tag. An empty
	// Tag means that the store must hold no floor yet.
	OpRaiseFloor
	// OpDelete deletes segment Number.
	OpDelete
)

// Op is one call to the store.
type Op struct {
	Kind    OpKind
	Number  uint64
	Count   int
	Segment *pb.KeySegment
	Tag     string
}

// Result is the result of a call to the store. The zero Result means that a write
// took effect.
type Result struct {
	// Uncertain says that the call failed. A write may have taken effect, may take
	// effect later, or may never take effect.
	Uncertain bool
	// Conflict says that a write took no effect because its condition did not hold.
	Conflict bool
	// Floor and Tag are the value and the version of the floor. OpReadFloor sets
	// both, OpRaiseFloor only Tag.
	Floor uint64
	Tag   string
	// Segments are the segments that OpRead found before the first missing number.
	Segments []*pb.KeySegment
	// Numbers are the segment numbers that OpList found, in any order.
	Numbers []uint64
}

// phase says which call to the store an owner makes next.
type phase int

const (
	// starting owners read the floor, and then the log from there.
	starting phase = iota
	// reading owners read segments up to the end of the log.
	reading
	// creating owners create the segment that they are writing.
	creating
	// verifying owners read the floor, to be sure that the next number was never
	// deleted.
	verifying
	// idle owners list or delete segments, or wait for requests.
	idle
	// raising owners raise the floor.
	raising
)

// Owner is a state machine that decides the requests on one shard. It makes no
// calls itself: Next returns the next call to the store and HandleResult takes its
// result, one call at a time. It is not safe for concurrent use.
type Owner struct {
	shard    *Shard
	interval time.Duration
	phase    phase
	// lookups holds the lookups that wait until the log is next read to its end, and
	// activeLookups those that will be decided when the read in progress reaches the end.
	lookups, activeLookups []*Request
	floor                  uint64
	floorTag               string
	// newFloor is the value to which the floor is raised in phase raising.
	newFloor uint64
	// listed is set once OpList has returned the numbers below the floor.
	listed bool
	// toDelete are numbers below the floor that are still to be deleted.
	toDelete []uint64
	// nextWrite, nextDelete and nextRaise are the earliest times of the next segment,
	// deletion and raise of the floor. They bound the rates of these calls.
	nextWrite, nextDelete, nextRaise time.Duration
}

// NewOwner returns an owner that has read nothing. It keeps claims for
// claimRetention and writes at most one segment per interval.
func NewOwner(incarnation uint64, claimRetention, interval time.Duration) *Owner {
	return &Owner{shard: NewShard(incarnation, claimRetention), interval: interval}
}

// Add queues a claim or a settlement.
func (o *Owner) Add(r *Request) { o.shard.Add(r) }

// Lookup queues a lookup of the holder of a key. The decision follows only when the
// log has been read to its end after the call of Lookup.
func (o *Owner) Lookup(r *Request) { o.lookups = append(o.lookups, r) }

// Drain removes the queued requests and lookups and returns them, undecided.
// Requests in a segment that is being written stay.
func (o *Owner) Drain() []*Request {
	drained := slices.Concat(o.shard.Drain(), o.lookups, o.activeLookups)
	o.lookups, o.activeLookups = nil, nil
	return drained
}

// Holder returns the holder of a key in the segments read so far, nil when there
// is none.
func (o *Owner) Holder(k Key) *Holder { return o.shard.Holder(k) }

// Keys returns the number of keys held in memory.
func (o *Owner) Keys() int { return o.shard.Keys() }

// Next returns the next call to the store and the decisions that need no call. It
// returns false when no call is due now.
func (o *Owner) Next(now time.Duration, random *rand.Rand) (Op, []Decision, bool) {
	var decisions []Decision
	if o.phase == idle {
		decisions = o.plan(now, random)
	}
	switch o.phase {
	case starting, verifying:
		return Op{Kind: OpReadFloor}, decisions, true
	case reading:
		return Op{Kind: OpRead, Number: o.shard.Next(), Count: o.readCount()}, decisions, true
	case creating:
		return Op{Kind: OpCreate, Number: o.shard.Next(), Segment: o.shard.writing.segment}, decisions, true
	case raising:
		return Op{Kind: OpRaiseFloor, Number: o.newFloor, Tag: o.floorTag}, decisions, true
	}
	if !o.listed {
		return Op{Kind: OpList}, decisions, true
	}
	if len(o.toDelete) > 0 && now >= o.nextDelete {
		return Op{Kind: OpDelete, Number: o.toDelete[0]}, decisions, true
	}
	return Op{}, decisions, false
}

// plan chooses what an idle owner does next. It leaves phase idle when a segment
// must be written, lookups wait or the floor must be raised, and returns the
// decisions that need no call.
func (o *Owner) plan(now time.Duration, random *rand.Rand) []Decision {
	if now >= o.nextWrite {
		segment, decisions := o.shard.Begin(now, random.Uint64())
		if segment != nil {
			o.phase = creating
			o.nextWrite = now + o.interval
		}
		if segment != nil || len(decisions) > 0 {
			return decisions
		}
	}
	decisions := o.shard.DecideWithoutWrite(now)
	if len(o.lookups) > 0 {
		o.activeLookups, o.lookups = o.lookups, nil
		o.phase = reading
		return decisions
	}
	o.newFloor = o.shard.Compact(now)
	if o.listed && len(o.toDelete) == 0 && o.newFloor > o.floor && now >= o.nextRaise {
		o.phase = raising
		o.nextRaise = now + floorRaiseInterval
	}
	return decisions
}

// Wait returns how long after Next returned false it should be called again,
// unless a request or a lookup is added before.
func (o *Owner) Wait(now time.Duration) time.Duration {
	wait := maxWait
	if len(o.shard.pending) > 0 {
		wait = min(wait, o.nextWrite-now)
	}
	if len(o.toDelete) > 0 {
		wait = min(wait, o.nextDelete-now)
	}
	return max(wait, 0)
}

// readCount returns how many segments to read at once.
func (o *Owner) readCount() int {
	if o.shard.caughtUp {
		return 1
	}
	return parallelReads
}

// HandleResult takes the result of the call that Next returned. Now is the time at
// which the result was known. It returns the decisions that follow.
func (o *Owner) HandleResult(op Op, r Result, now time.Duration) []Decision {
	switch op.Kind {
	case OpReadFloor:
		return o.floorRead(r, now)
	case OpRead:
		o.segmentsRead(op, r, now)
	case OpCreate:
		// When the result is uncertain or the number is taken, reading the number
		// shows whose segment it holds.
		o.phase = reading
		if !r.Uncertain && !r.Conflict {
			o.phase = verifying
		}
	case OpRaiseFloor:
		o.floorRaised(op, r)
	case OpList:
		o.numbersListed(r)
	case OpDelete:
		o.nextDelete = now + o.interval/2
		if !r.Uncertain {
			o.toDelete = o.toDelete[1:]
		}
	}
	return nil
}

func (o *Owner) floorRead(r Result, now time.Duration) []Decision {
	if r.Uncertain {
		return nil
	}
	o.floor, o.floorTag = r.Floor, r.Tag
	if o.phase == starting || r.Floor > o.shard.Next() {
		o.shard.Restart(r.Floor)
		o.listed, o.toDelete = false, nil
		o.phase = reading
		return nil
	}
	o.phase = idle
	var decisions []Decision
	if o.shard.writing != nil {
		decisions = o.shard.Confirm(now)
	}
	for _, r := range o.activeLookups {
		decisions = append(decisions, Decision{Request: r, Holder: o.shard.Holder(r.Key)})
	}
	o.activeLookups = nil
	return decisions
}

func (o *Owner) floorRaised(op Op, r Result) {
	if r.Uncertain || r.Conflict {
		// Another owner may have raised the floor. The owner reads the current floor
		// and lists the numbers below it, which nobody else may be deleting.
		o.phase = verifying
		o.listed = false
		return
	}
	for n := o.floor; n < op.Number; n++ {
		o.toDelete = append(o.toDelete, n)
	}
	o.floor, o.floorTag = op.Number, r.Tag
	o.phase = idle
}

func (o *Owner) segmentsRead(op Op, r Result, now time.Duration) {
	if r.Uncertain {
		return
	}
	for _, segment := range r.Segments {
		if o.shard.HandleSegment(segment, now) {
			o.phase = verifying
			return
		}
	}
	if len(r.Segments) == op.Count {
		return
	}
	o.shard.MarkCaughtUp()
	switch {
	case o.shard.writing != nil:
		o.phase = creating
	case len(o.activeLookups) > 0:
		o.phase = verifying
	default:
		o.phase = idle
	}
}

func (o *Owner) numbersListed(r Result) {
	if r.Uncertain {
		return
	}
	o.listed = true
	o.toDelete = nil
	for _, n := range r.Numbers {
		if n < o.floor {
			o.toDelete = append(o.toDelete, n)
		}
	}
}
