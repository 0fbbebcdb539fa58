package idempotency

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// readWindow is the number of segments read in parallel while catching up.
	readWindow = 32
	// raiseInterval spreads the cost of raising the floor over many deletions.
	raiseInterval = time.Minute
	// maxWait bounds the time between two looks for what is due.
	maxWait = time.Second
)

// OpKind is a call to the store.
type OpKind int

// Calls to the store.
const (
	// OpReadFloor reads the floor, which is 0 when there is none.
	OpReadFloor OpKind = iota
	// OpRead reads Count segments from Number on.
	OpRead
	// OpCreate creates Segment as Number, if there is no such object.
	OpCreate
	// OpList lists the numbers of all segments.
	OpList
	// OpRaiseFloor replaces the floor of version Tag by Number. An empty Tag means that there is none yet.
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

// Result of a call. A zero Result is that of a write that took effect.
type Result struct {
	// Uncertain says that the call may have taken effect, now or later, or not.
	Uncertain bool
	// Conflict says that the condition of a write did not hold.
	Conflict bool
	// Floor and Tag are the value and the version of the floor. OpReadFloor
	// gives both, OpRaiseFloor the version.
	Floor uint64
	Tag   string
	// Segments are those found without a gap from Number on.
	Segments []*pb.KeySegment
	// Numbers are what OpList found.
	Numbers []uint64
}

// phase is what an owner does next.
type phase int

const (
	// starting owners read the floor, and the log from there.
	starting phase = iota
	reading
	creating
	// verifying owners read the floor, to be sure that Next was never deleted.
	verifying
	idle
	// raising owners have a floor to raise.
	raising
)

// Owner works on one shard: it tells which call to the store is next and takes
// its result, one at a time. It is not safe for concurrent use.
type Owner struct {
	shard    *Shard
	interval time.Duration
	phase    phase
	// looks wait for a reading of the log, looking for the one in progress.
	looks, looking []*Request
	floor          uint64
	floorTag       string
	goal           uint64
	listed         bool
	// doomed are numbers below the floor that are to be deleted.
	doomed []uint64
	// These bound the rates of segments, deletions and raises of the floor.
	nextWrite, nextDelete, nextRaise time.Duration
}

// NewOwner returns an owner that has read nothing. Keep is the time a claim is
// kept. It writes at most one segment in interval.
func NewOwner(incarnation uint64, keep, interval time.Duration) *Owner {
	return &Owner{shard: NewShard(incarnation, keep), interval: interval}
}

// Add queues a claim or a settlement.
func (o *Owner) Add(r *Request) { o.shard.Add(r) }

// Look queues a question for the holder of a key. It is answered only from a
// log that was read to its end after the question.
func (o *Owner) Look(r *Request) { o.looks = append(o.looks, r) }

// Drain returns the queued requests and questions without a decision. Requests in
// a segment that is being written stay.
func (o *Owner) Drain() []*Request {
	dropped := slices.Concat(o.shard.Drain(), o.looks, o.looking)
	o.looks, o.looking = nil, nil
	return dropped
}

// Holder returns the holder of a key as far as the log was read.
func (o *Owner) Holder(k Key) *Holder { return o.shard.Holder(k) }

// Keys returns the number of keys held in memory.
func (o *Owner) Keys() int { return o.shard.Keys() }

// Next returns the next call to the store, false when there is none now, and
// answers that need no call.
func (o *Owner) Next(now time.Duration, random *rand.Rand) (Op, []Decision, bool) {
	var answers []Decision
	if o.phase == idle {
		answers = o.plan(now, random)
	}
	switch o.phase {
	case starting, verifying:
		return Op{Kind: OpReadFloor}, answers, true
	case reading:
		return Op{Kind: OpRead, Number: o.shard.Next(), Count: o.window()}, answers, true
	case creating:
		return Op{Kind: OpCreate, Number: o.shard.Next(), Segment: o.shard.writing.segment}, answers, true
	case raising:
		return Op{Kind: OpRaiseFloor, Number: o.goal, Tag: o.floorTag}, answers, true
	}
	if !o.listed {
		return Op{Kind: OpList}, answers, true
	}
	if len(o.doomed) > 0 && now >= o.nextDelete {
		return Op{Kind: OpDelete, Number: o.doomed[0]}, answers, true
	}
	return Op{}, answers, false
}

// plan leaves the idle phase when there is something to do.
func (o *Owner) plan(now time.Duration, random *rand.Rand) []Decision {
	if now >= o.nextWrite {
		segment, answers := o.shard.Begin(now, random.Uint64())
		if segment != nil {
			o.phase = creating
			o.nextWrite = now + o.interval
		}
		if segment != nil || len(answers) > 0 {
			return answers
		}
	}
	answers := o.shard.Answers(now)
	if len(o.looks) > 0 {
		o.looking, o.looks = o.looks, nil
		o.phase = reading
		return answers
	}
	o.goal = o.shard.Compact(now)
	if o.listed && len(o.doomed) == 0 && o.goal > o.floor && now >= o.nextRaise {
		o.phase = raising
		o.nextRaise = now + raiseInterval
	}
	return answers
}

// Wait returns how long nothing is due after Next returned false, unless
// something is added.
func (o *Owner) Wait(now time.Duration) time.Duration {
	wait := maxWait
	if len(o.shard.pending) > 0 {
		wait = min(wait, o.nextWrite-now)
	}
	if len(o.doomed) > 0 {
		wait = min(wait, o.nextDelete-now)
	}
	return max(wait, 0)
}

func (o *Owner) window() int {
	if o.shard.caughtUp {
		return 1
	}
	return readWindow
}

// Done takes the result of the call that Next returned, and the time at which
// it was known.
func (o *Owner) Done(op Op, r Result, now time.Duration) []Decision {
	switch op.Kind {
	case OpReadFloor:
		return o.floorRead(r, now)
	case OpRead:
		o.segmentsRead(op, r, now)
	case OpCreate:
		// A lost answer and a taken number are resolved by reading the number.
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
			o.doomed = o.doomed[1:]
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
		o.listed, o.doomed = false, nil
		o.phase = reading
		return nil
	}
	o.phase = idle
	var answers []Decision
	if o.shard.writing != nil {
		answers = o.shard.Confirm(now)
	}
	for _, r := range o.looking {
		answers = append(answers, Decision{Request: r, Holder: o.shard.Holder(r.Key)})
	}
	o.looking = nil
	return answers
}

func (o *Owner) floorRaised(op Op, r Result) {
	if r.Uncertain || r.Conflict {
		// Another owner may have raised it: reads which floor is in force, and
		// looks for numbers below it that nobody deletes.
		o.phase = verifying
		o.listed = false
		return
	}
	for n := o.floor; n < op.Number; n++ {
		o.doomed = append(o.doomed, n)
	}
	o.floor, o.floorTag = op.Number, r.Tag
	o.phase = idle
}

func (o *Owner) segmentsRead(op Op, r Result, now time.Duration) {
	if r.Uncertain {
		return
	}
	for _, segment := range r.Segments {
		if o.shard.Read(segment, now) {
			o.phase = verifying
			return
		}
	}
	if len(r.Segments) == op.Count {
		return
	}
	o.shard.CaughtUp()
	switch {
	case o.shard.writing != nil:
		o.phase = creating
	case len(o.looking) > 0:
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
	o.doomed = nil
	for _, n := range r.Numbers {
		if n < o.floor {
			o.doomed = append(o.doomed, n)
		}
	}
}
