package idempotency

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawlane/jackdawlane/attempt"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	testRetention = 10 * time.Minute
	testActions   = 300
)

// store is the part of the object store that a shard uses.
type store struct {
	segments map[uint64]*pb.KeySegment
	floor    uint64
	tag      int
}

func (s *store) call(op Op) Result {
	switch op.Kind {
	case OpReadFloor:
		return Result{Floor: s.floor, Tag: s.tagText()}
	case OpRead:
		var r Result
		for n := op.Number; s.segments[n] != nil && len(r.Segments) < op.Count; n++ {
			r.Segments = append(r.Segments, s.segments[n])
		}
		return r
	case OpList:
		var r Result
		for n := range s.segments {
			r.Numbers = append(r.Numbers, n)
		}
		return r
	case OpCreate:
		if s.segments[op.Number] != nil {
			return Result{Conflict: true}
		}
		s.segments[op.Number] = op.Segment
	case OpRaiseFloor:
		if op.Tag != s.tagText() {
			return Result{Conflict: true}
		}
		s.floor = op.Number
		s.tag++
		return Result{Tag: s.tagText()}
	case OpDelete:
		delete(s.segments, op.Number)
	}
	return Result{}
}

func (s *store) tagText() string {
	if s.tag == 0 {
		return ""
	}
	return strconv.Itoa(s.tag)
}

// testOwner runs an owner with one call in progress, which may be paused before
// and after the store takes it.
type testOwner struct {
	*Owner
	rate   float64
	op     *Op
	result *Result
}

// sending is one request of a caller at its entry.
type sending struct {
	key      Key
	start    time.Duration
	attempt  string
	known    time.Time
	replaces string
	// step is empty, claiming, sent or ended.
	step string
}

type dispatch struct {
	key   Key
	start time.Duration
}

// world is a shard with its store, owners, entries and one guard.
type world struct {
	t      *rapid.T
	now    time.Duration
	random *rand.Rand
	store  store
	// late writes were reported as failed and may still take effect.
	late       []Op
	owners     []*testOwner
	claims     []*Request // on their way to an owner
	origin     map[*Request]*sending
	answers    []Decision // on their way to an entry
	attempts   []*sending // on their way to the guard
	copies     map[string]*sending
	sendings   []*sending
	ledger     *attempt.Ledger
	guardRate  float64
	generation int
	dispatches []dispatch
	counts     map[string]int
}

func pick[T any](w *world, list []T) (T, int) {
	i := rapid.IntRange(0, len(list)-1).Draw(w.t, "index")
	return list[i], i
}

func take[T any](w *world, list *[]T) (T, bool) {
	var none T
	if len(*list) == 0 {
		return none, false
	}
	v, i := pick(w, *list)
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return v, true
}

func (w *world) chance(percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.t, "percent") < percent
}

func (w *world) clock(rate float64) time.Duration { return time.Duration(float64(w.now) * rate) }

func (w *world) guardTime() time.Time { return time.Unix(0, int64(w.clock(w.guardRate))) }

func (w *world) newOwner() *testOwner {
	rate := rapid.Float64Range(0.95, 1.05).Draw(w.t, "rate")
	return &testOwner{Owner: NewOwner(rapid.Uint64().Draw(w.t, "incarnation"), ClaimRetention(testRetention), 50*time.Millisecond), rate: rate}
}

// stepOwner moves the call of an owner by one step.
func (w *world) stepOwner(o *testOwner) {
	now := w.clock(o.rate)
	switch {
	case o.op == nil:
		op, answers, ok := o.Next(now, w.random)
		w.answers = append(w.answers, answers...)
		if ok {
			o.op = &op
		}
	case o.result == nil:
		r := w.callStore(*o.op)
		o.result = &r
	default:
		if o.op.Kind == OpReadFloor && !o.result.Uncertain && o.result.Floor > o.shard.Next() && o.shard.writing != nil {
			w.counts["fenced by the floor"]++
		}
		w.answers = append(w.answers, o.Done(*o.op, *o.result, now)...)
		o.op, o.result = nil, nil
	}
}

func (w *world) callStore(op Op) Result {
	fate := rapid.IntRange(0, 19).Draw(w.t, "fate")
	switch fate {
	case 0:
		w.store.call(op)
		return Result{Uncertain: true}
	case 1:
		w.late = append(w.late, op)
		return Result{Uncertain: true}
	case 2:
		return Result{Uncertain: true}
	}
	return w.store.call(op)
}

// claim makes an attempt of a sending and sends its claim.
func (w *world) claim(s *sending) {
	if w.now-s.start > ClaimWindow {
		s.step = "ended"
		return
	}
	age := time.Duration(rapid.IntRange(0, 300).Draw(w.t, "age")) * time.Second
	s.known = w.guardTime().Add(-age)
	s.attempt = fmt.Sprintf("%d/%d", w.generation, len(w.copies))
	w.copies[s.attempt] = &sending{key: s.key, start: s.start, attempt: s.attempt, known: s.known}
	s.step = "claiming"
	w.post(s, &Request{Key: s.key, Attempt: &pb.KeyAttempt{AttemptId: s.attempt}, Replaces: s.replaces})
}

func (w *world) post(s *sending, r *Request) {
	w.origin[r] = s
	w.claims = append(w.claims, r)
	if w.chance(20) {
		// The entry asks a second owner about the same claim.
		again := *r
		w.origin[&again] = s
		w.claims = append(w.claims, &again)
	}
}

func (w *world) takeAnswer(a Decision) {
	s := w.origin[a.Request]
	if a.Request.Attempt == nil || s.step != "claiming" || a.Request.Attempt.GetAttemptId() != s.attempt {
		return
	}
	if a.Holder == nil {
		w.counts["first"]++
		s.step = "sent"
		w.attempts = append(w.attempts, w.copies[s.attempt])
		return
	}
	w.counts["seen"]++
	s.step = "ended"
	if w.resolve(a.Holder.ID()) == attempt.NotRun {
		s.replaces = a.Holder.ID()
		w.claim(s)
	}
}

func (w *world) resolve(id string) attempt.State {
	if !w.current(id) {
		return attempt.Unknown
	}
	return w.ledger.Resolve(id, w.copies[id].known, w.guardTime())
}

// current reports whether the guard's clock gave the reading in the attempt ID.
func (w *world) current(id string) bool {
	return strings.HasPrefix(id, fmt.Sprintf("%d/", w.generation))
}

// arrive lets the guard take an attempt, which it dispatches or refuses.
func (w *world) arrive(c *sending) {
	if !w.current(c.attempt) || w.ledger.Accept(c.attempt, c.known, w.guardTime()) != attempt.Accepted {
		return
	}
	if w.chance(25) {
		w.ledger.Refuse(c.attempt, w.guardTime())
		return
	}
	if !w.ledger.Dispatch(c.attempt) {
		return
	}
	w.counts["dispatched"]++
	for _, d := range w.dispatches {
		if d.key == c.key && (d.start-c.start).Abs() < testRetention {
			w.t.Fatalf("key %x was dispatched for the requests received at %s and %s", c.key[:2], d.start, c.start)
		}
	}
	w.dispatches = append(w.dispatches, dispatch{c.key, c.start})
}

func (w *world) stepSending(s *sending) {
	switch s.step {
	case "":
		w.claim(s)
	case "sent":
		w.conclude(s)
	}
}

// conclude lets an entry find out about the attempt it sent.
func (w *world) conclude(s *sending) {
	s.step = "ended"
	if w.resolve(s.attempt) != attempt.NotRun {
		w.post(s, &Request{Key: s.key, Settles: s.attempt, Ran: true})
		return
	}
	if w.chance(50) {
		s.replaces = s.attempt
		w.claim(s)
		return
	}
	w.post(s, &Request{Key: s.key, Settles: s.attempt})
}

func (w *world) act() {
	switch action := rapid.IntRange(0, 24).Draw(w.t, "action"); {
	case action < 8:
		o, _ := pick(w, w.owners)
		w.runOwner(o)
	case action < 10:
		s := &sending{key: Key{byte(rapid.IntRange(0, 1).Draw(w.t, "key"))}, start: w.now}
		w.sendings = append(w.sendings, s)
		if w.chance(50) {
			w.claim(s)
		}
	case action < 13:
		if r, ok := take(w, &w.claims); ok {
			o, _ := pick(w, w.owners)
			o.Add(r)
		}
	case action < 15:
		if a, ok := take(w, &w.answers); ok {
			w.takeAnswer(a)
		}
	case action < 16:
		if c, ok := take(w, &w.attempts); ok {
			w.arrive(c)
		}
	case action < 17:
		if len(w.sendings) > 0 {
			s, _ := pick(w, w.sendings)
			w.stepSending(s)
		}
	case action < 18:
		w.now += time.Duration(rapid.IntRange(1, 700).Draw(w.t, "seconds")) * time.Second
	case action < 19:
		if op, ok := take(w, &w.late); ok {
			w.store.call(op)
		}
	case action < 20:
		w.fail()
	default:
		w.flow()
	}
}

// runOwner moves one owner by some steps; the others stand still meanwhile.
func (w *world) runOwner(o *testOwner) {
	for range rapid.IntRange(1, 30).Draw(w.t, "steps") {
		w.stepOwner(o)
		w.now += 10 * time.Millisecond
	}
}

// flow lets all messages that are on their way arrive, by way of one owner.
func (w *world) flow() {
	o, _ := pick(w, w.owners)
	for _, r := range w.claims {
		o.Add(r)
	}
	w.claims = nil
	w.runOwner(o)
	for answers := w.answers; len(w.answers) > 0; answers = w.answers {
		w.answers = nil
		for _, a := range answers {
			w.takeAnswer(a)
		}
	}
	attempts := w.attempts
	w.attempts = nil
	for _, c := range attempts {
		w.arrive(c)
	}
}

// fail restarts an owner, an entry or the guard.
func (w *world) fail() {
	switch rapid.IntRange(0, 3).Draw(w.t, "failure") {
	case 0, 1:
		_, i := pick(w, w.owners)
		if op := w.owners[i].op; op != nil {
			w.late = append(w.late, *op)
		}
		w.owners[i] = w.newOwner()
	case 2:
		take(w, &w.sendings)
	case 3:
		w.generation++
		w.ledger = attempt.NewLedger(attempt.DefaultLimits)
		w.attempts = nil
	}
}

// Guards against two dispatches of one key when owners, entries or the guard
// pause, die or race, and when calls of the store are lost or take effect late.
func TestKeyIsDispatchedOnce(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, random: rand.New(rand.NewPCG(1, 2)), counts: total, copies: make(map[string]*sending), origin: make(map[*Request]*sending)}
		w.store.segments = make(map[uint64]*pb.KeySegment)
		w.ledger = attempt.NewLedger(attempt.DefaultLimits)
		w.guardRate = rapid.Float64Range(0.95, 1.05).Draw(t, "guard rate")
		for range 3 {
			w.owners = append(w.owners, w.newOwner())
		}
		for range testActions {
			w.act()
		}
	})
	t.Log(total)
}

// Guards against a grant from a segment that a paused owner wrote under a
// deleted number: the attempt seems to hold its key, and another one does.
func TestDeletedNumberGrantsNothing(t *testing.T) {
	k := Key{1}
	claim := func(id string) *pb.KeySegment {
		return &pb.KeySegment{Records: []*pb.KeyRecord{{Key: k[:], Attempt: &pb.KeyAttempt{AttemptId: id}}}}
	}
	s := store{segments: make(map[uint64]*pb.KeySegment)}
	o := NewOwner(1, ClaimRetention(testRetention), time.Millisecond)
	random := rand.New(rand.NewPCG(1, 2))
	op, _, _ := o.Next(0, random)
	o.Done(op, s.call(op), 0)
	// The owner has read floor 0 and is paused until the log has moved on.
	s.floor, s.tag = 10, 1
	s.segments[0] = claim("stale")
	s.segments[10] = claim("holder")
	o.Add(&Request{Key: k, Attempt: &pb.KeyAttempt{AttemptId: "stale"}})
	var answers []Decision
	for range 20 {
		op, more, ok := o.Next(0, random)
		answers = append(answers, more...)
		if ok {
			answers = append(answers, o.Done(op, s.call(op), 0)...)
		}
	}
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Holder.ID(), "holder")
}
