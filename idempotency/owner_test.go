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

// store simulates the part of the object store that a shard uses.
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

// testOwner runs an owner with at most one call to the store. The owner may be
// paused before the store executes the call and before it gets the result.
type testOwner struct {
	*Owner
	rate   float64
	op     *Op
	result *Result
}

// callerRequest is one request of a caller at its entry.
type callerRequest struct {
	key Key
	// start is the time at which the entry received the request.
	start     time.Duration
	attempt   string
	guardTime time.Time
	replaces  string
	// step is empty before the first claim, then claiming, sent or ended.
	step string
}

// dispatch records that the guard dispatched an attempt of the request that was
// received at start.
type dispatch struct {
	key   Key
	start time.Duration
}

// simulation simulates a shard with its store, owners, entries and one guard.
type simulation struct {
	t      *rapid.T
	now    time.Duration
	random *rand.Rand
	store  store
	// late calls were reported as uncertain, or their owner was restarted, and they
	// may still take effect.
	late             []Op
	owners           []*testOwner
	requests         []*Request // claims and settlements on their way to an owner
	origin           map[*Request]*callerRequest
	decisions        []Decision                // on their way to an entry
	attempts         []*callerRequest          // on their way to the guard
	attemptsByID     map[string]*callerRequest // attempts that were created, by attempt ID
	callerRequests   []*callerRequest
	ledger           *attempt.Ledger
	guardRate        float64
	guardIncarnation int
	dispatches       []dispatch
	counts           map[string]int
}

func pickRandom[T any](w *simulation, list []T) (T, int) {
	i := rapid.IntRange(0, len(list)-1).Draw(w.t, "index")
	return list[i], i
}

func takeRandom[T any](w *simulation, list *[]T) (T, bool) {
	var none T
	if len(*list) == 0 {
		return none, false
	}
	v, i := pickRandom(w, *list)
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return v, true
}

func (w *simulation) chance(percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.t, "percent") < percent
}

func (w *simulation) clock(rate float64) time.Duration { return time.Duration(float64(w.now) * rate) }

func (w *simulation) guardTime() time.Time { return time.Unix(0, int64(w.clock(w.guardRate))) }

func (w *simulation) newOwner() *testOwner {
	rate := rapid.Float64Range(0.95, 1.05).Draw(w.t, "rate")
	return &testOwner{Owner: NewOwner(rapid.Uint64().Draw(w.t, "incarnation"), ClaimRetention(testRetention), 50*time.Millisecond), rate: rate}
}

// stepOwner starts the next call of an owner, executes it or delivers its result.
func (w *simulation) stepOwner(o *testOwner) {
	now := w.clock(o.rate)
	switch {
	case o.op == nil:
		op, decisions, ok := o.Next(now, w.random)
		w.decisions = append(w.decisions, decisions...)
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
		w.decisions = append(w.decisions, o.HandleResult(*o.op, *o.result, now)...)
		o.op, o.result = nil, nil
	}
}

func (w *simulation) callStore(op Op) Result {
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

// claim creates an attempt for a caller's request and claims the key for it. A
// request older than ClaimWindow ends instead.
func (w *simulation) claim(s *callerRequest) {
	if w.now-s.start > ClaimWindow {
		s.step = "ended"
		return
	}
	age := time.Duration(rapid.IntRange(0, 300).Draw(w.t, "age")) * time.Second
	s.guardTime = w.guardTime().Add(-age)
	s.attempt = fmt.Sprintf("%d/%d", w.guardIncarnation, len(w.attemptsByID))
	w.attemptsByID[s.attempt] = &callerRequest{key: s.key, start: s.start, attempt: s.attempt, guardTime: s.guardTime}
	s.step = "claiming"
	w.sendRequest(s, &Request{Key: s.key, Attempt: &pb.KeyAttempt{AttemptId: s.attempt}, Replaces: s.replaces})
}

func (w *simulation) sendRequest(s *callerRequest, r *Request) {
	w.origin[r] = s
	w.requests = append(w.requests, r)
	if w.chance(20) {
		// The entry sends the same request to a second owner.
		duplicate := *r
		w.origin[&duplicate] = s
		w.requests = append(w.requests, &duplicate)
	}
}

func (w *simulation) handleDecision(d Decision) {
	s := w.origin[d.Request]
	if d.Request.Attempt == nil || s.step != "claiming" || d.Request.Attempt.GetAttemptId() != s.attempt {
		return
	}
	if d.Holder == nil {
		w.counts["first"]++
		s.step = "sent"
		w.attempts = append(w.attempts, w.attemptsByID[s.attempt])
		return
	}
	w.counts["seen"]++
	s.step = "ended"
	if w.resolve(d.Holder.AttemptID()) == attempt.NotRun {
		s.replaces = d.Holder.AttemptID()
		w.claim(s)
	}
}

func (w *simulation) resolve(id string) attempt.State {
	if !w.current(id) {
		return attempt.Unknown
	}
	return w.ledger.Resolve(id, w.attemptsByID[id].guardTime, w.guardTime())
}

// current reports whether the guard has not restarted since the attempt was created.
func (w *simulation) current(id string) bool {
	return strings.HasPrefix(id, fmt.Sprintf("%d/", w.guardIncarnation))
}

// arrive delivers an attempt to the guard, which refuses it or dispatches it.
func (w *simulation) arrive(c *callerRequest) {
	if !w.current(c.attempt) || w.ledger.Accept(c.attempt, c.guardTime, w.guardTime()) != attempt.Accepted {
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
			w.t.Fatalf("key %x was dispatched twice within its retention, for the requests received at %s and %s", c.key[:2], d.start, c.start)
		}
	}
	w.dispatches = append(w.dispatches, dispatch{c.key, c.start})
}

func (w *simulation) stepCallerRequest(s *callerRequest) {
	switch s.step {
	case "":
		w.claim(s)
	case "sent":
		w.resolveAndSettle(s)
	}
}

// resolveAndSettle lets an entry resolve the attempt that it sent, and then settle
// the key or claim it for another attempt.
func (w *simulation) resolveAndSettle(s *callerRequest) {
	s.step = "ended"
	if w.resolve(s.attempt) != attempt.NotRun {
		w.sendRequest(s, &Request{Key: s.key, Settles: s.attempt, Ran: true})
		return
	}
	if w.chance(50) {
		s.replaces = s.attempt
		w.claim(s)
		return
	}
	w.sendRequest(s, &Request{Key: s.key, Settles: s.attempt})
}

func (w *simulation) step() {
	switch action := rapid.IntRange(0, 24).Draw(w.t, "action"); {
	case action < 8:
		o, _ := pickRandom(w, w.owners)
		w.runOwner(o)
	case action < 10:
		s := &callerRequest{key: Key{byte(rapid.IntRange(0, 1).Draw(w.t, "key"))}, start: w.now}
		w.callerRequests = append(w.callerRequests, s)
		if w.chance(50) {
			w.claim(s)
		}
	case action < 13:
		if r, ok := takeRandom(w, &w.requests); ok {
			o, _ := pickRandom(w, w.owners)
			o.Add(r)
		}
	case action < 15:
		if a, ok := takeRandom(w, &w.decisions); ok {
			w.handleDecision(a)
		}
	case action < 16:
		if c, ok := takeRandom(w, &w.attempts); ok {
			w.arrive(c)
		}
	case action < 17:
		if len(w.callerRequests) > 0 {
			s, _ := pickRandom(w, w.callerRequests)
			w.stepCallerRequest(s)
		}
	case action < 18:
		w.now += time.Duration(rapid.IntRange(1, 700).Draw(w.t, "seconds")) * time.Second
	case action < 19:
		if op, ok := takeRandom(w, &w.late); ok {
			w.store.call(op)
		}
	case action < 20:
		w.restart()
	default:
		w.deliverAll()
	}
}

// runOwner runs one owner for some steps while the others are paused.
func (w *simulation) runOwner(o *testOwner) {
	for range rapid.IntRange(1, 30).Draw(w.t, "steps") {
		w.stepOwner(o)
		w.now += 10 * time.Millisecond
	}
}

// deliverAll delivers all messages that are on their way. One owner gets all requests.
func (w *simulation) deliverAll() {
	o, _ := pickRandom(w, w.owners)
	for _, r := range w.requests {
		o.Add(r)
	}
	w.requests = nil
	w.runOwner(o)
	for decisions := w.decisions; len(w.decisions) > 0; decisions = w.decisions {
		w.decisions = nil
		for _, a := range decisions {
			w.handleDecision(a)
		}
	}
	attempts := w.attempts
	w.attempts = nil
	for _, c := range attempts {
		w.arrive(c)
	}
}

// restart restarts an owner or the guard, or ends a caller's request as if its entry
// had died.
func (w *simulation) restart() {
	switch rapid.IntRange(0, 3).Draw(w.t, "failure") {
	case 0, 1:
		_, i := pickRandom(w, w.owners)
		if op := w.owners[i].op; op != nil {
			w.late = append(w.late, *op)
		}
		w.owners[i] = w.newOwner()
	case 2:
		takeRandom(w, &w.callerRequests)
	case 3:
		w.guardIncarnation++
		w.ledger = attempt.NewLedger(attempt.DefaultLimits)
		w.attempts = nil
	}
}

// Guards against two dispatches of one key within its retention. Owners, entries and
// the guard pause, restart and race, the rates of their clocks differ, and calls to
// the store are lost or take effect late.
func TestKeyIsDispatchedOnce(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, random: rand.New(rand.NewPCG(1, 2)), counts: total, attemptsByID: make(map[string]*callerRequest), origin: make(map[*Request]*callerRequest)}
		w.store.segments = make(map[uint64]*pb.KeySegment)
		w.ledger = attempt.NewLedger(attempt.DefaultLimits)
		w.guardRate = rapid.Float64Range(0.95, 1.05).Draw(t, "guard rate")
		for range 3 {
			w.owners = append(w.owners, w.newOwner())
		}
		for range testActions {
			w.step()
		}
	})
	t.Log(total)
}

// Guards against a claim that is granted by a segment under a deleted number. An
// owner is paused while the log moves on and its first segments are deleted. The
// owner then finds its own claim under a deleted number and takes it for granted,
// although a later segment grants the key to another attempt.
func TestSegmentBelowFloorGrantsNoClaim(t *testing.T) {
	k := Key{1}
	claim := func(id string) *pb.KeySegment {
		return &pb.KeySegment{Records: []*pb.KeyRecord{{Key: k[:], Attempt: &pb.KeyAttempt{AttemptId: id}}}}
	}
	s := store{segments: make(map[uint64]*pb.KeySegment)}
	o := NewOwner(1, ClaimRetention(testRetention), time.Millisecond)
	random := rand.New(rand.NewPCG(1, 2))
	op, _, _ := o.Next(0, random)
	o.HandleResult(op, s.call(op), 0)
	// The owner has read floor 0 and is paused. Meanwhile the floor rises to 10.
	s.floor, s.tag = 10, 1
	s.segments[0] = claim("stale")
	s.segments[10] = claim("holder")
	o.Add(&Request{Key: k, Attempt: &pb.KeyAttempt{AttemptId: "stale"}})
	var decisions []Decision
	for range 20 {
		op, more, ok := o.Next(0, random)
		decisions = append(decisions, more...)
		if ok {
			decisions = append(decisions, o.HandleResult(op, s.call(op), 0)...)
		}
	}
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Holder.AttemptID(), "holder")
}
