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
	// state is empty before the first claim, then claiming, sent or ended.
	state string
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
	// late holds calls that may still take effect: calls reported as uncertain, and the
	// calls of owners that were restarted. Some of the latter have taken effect already
	// and may do so again.
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

func pickRandom[T any](s *simulation, list []T) (T, int) {
	i := rapid.IntRange(0, len(list)-1).Draw(s.t, "index")
	return list[i], i
}

func takeRandom[T any](s *simulation, list *[]T) (T, bool) {
	var none T
	if len(*list) == 0 {
		return none, false
	}
	v, i := pickRandom(s, *list)
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return v, true
}

func (s *simulation) chance(percent int) bool {
	return rapid.IntRange(0, 99).Draw(s.t, "percent") < percent
}

func (s *simulation) clock(rate float64) time.Duration { return time.Duration(float64(s.now) * rate) }

func (s *simulation) guardTime() time.Time { return time.Unix(0, int64(s.clock(s.guardRate))) }

func (s *simulation) newOwner() *testOwner {
	rate := rapid.Float64Range(0.95, 1.05).Draw(s.t, "rate")
	return &testOwner{Owner: NewOwner(rapid.Uint64().Draw(s.t, "incarnation"), ClaimRetention(testRetention), 50*time.Millisecond), rate: rate}
}

// stepOwner starts the next call of an owner, executes it or delivers its result.
func (s *simulation) stepOwner(o *testOwner) {
	now := s.clock(o.rate)
	switch {
	case o.op == nil:
		op, decisions, ok := o.Next(now, s.random)
		s.decisions = append(s.decisions, decisions...)
		if ok {
			o.op = &op
		}
	case o.result == nil:
		r := s.callStore(*o.op)
		o.result = &r
	default:
		if o.op.Kind == OpReadFloor && !o.result.Uncertain && o.result.Floor > o.shard.Next() && o.shard.writing != nil {
			s.counts["owner behind the raised floor"]++
		}
		s.decisions = append(s.decisions, o.HandleResult(*o.op, *o.result, now)...)
		o.op, o.result = nil, nil
	}
}

func (s *simulation) callStore(op Op) Result {
	fate := rapid.IntRange(0, 19).Draw(s.t, "fate")
	switch fate {
	case 0:
		s.store.call(op)
		return Result{Uncertain: true}
	case 1:
		s.late = append(s.late, op)
		return Result{Uncertain: true}
	case 2:
		return Result{Uncertain: true}
	}
	return s.store.call(op)
}

// claim creates an attempt for a caller's request and claims the key for it. A
// request older than ClaimWindow ends instead.
func (s *simulation) claim(c *callerRequest) {
	if s.now-c.start > ClaimWindow {
		c.state = "ended"
		return
	}
	age := time.Duration(rapid.IntRange(0, 300).Draw(s.t, "age")) * time.Second
	c.guardTime = s.guardTime().Add(-age)
	c.attempt = fmt.Sprintf("%d/%d", s.guardIncarnation, len(s.attemptsByID))
	s.attemptsByID[c.attempt] = &callerRequest{key: c.key, start: c.start, attempt: c.attempt, guardTime: c.guardTime}
	c.state = "claiming"
	s.sendRequest(c, &Request{Key: c.key, Attempt: &pb.KeyAttempt{AttemptId: c.attempt}, ReplacedAttemptID: c.replaces})
}

func (s *simulation) sendRequest(c *callerRequest, r *Request) {
	s.origin[r] = c
	s.requests = append(s.requests, r)
	if s.chance(20) {
		// The entry sends the same request to a second owner.
		duplicate := *r
		s.origin[&duplicate] = c
		s.requests = append(s.requests, &duplicate)
	}
}

func (s *simulation) handleDecision(d Decision) {
	c := s.origin[d.Request]
	if d.Request.Attempt == nil || c.state != "claiming" || d.Request.Attempt.GetAttemptId() != c.attempt {
		return
	}
	if d.Holder == nil {
		s.counts["first"]++
		c.state = "sent"
		s.attempts = append(s.attempts, s.attemptsByID[c.attempt])
		return
	}
	s.counts["seen"]++
	c.state = "ended"
	if s.resolve(d.Holder.AttemptID()) == attempt.NotRun {
		c.replaces = d.Holder.AttemptID()
		s.claim(c)
	}
}

func (s *simulation) resolve(id string) attempt.State {
	if !s.sameGuardIncarnation(id) {
		return attempt.Unknown
	}
	return s.ledger.Resolve(id, s.attemptsByID[id].guardTime, s.guardTime())
}

// sameGuardIncarnation reports whether the guard has not restarted since the attempt was created.
func (s *simulation) sameGuardIncarnation(id string) bool {
	return strings.HasPrefix(id, fmt.Sprintf("%d/", s.guardIncarnation))
}

// deliverAttempt delivers an attempt to the guard, which refuses it or dispatches it.
func (s *simulation) deliverAttempt(c *callerRequest) {
	if !s.sameGuardIncarnation(c.attempt) || s.ledger.Accept(c.attempt, c.guardTime, s.guardTime()) != attempt.Accepted {
		return
	}
	if s.chance(25) {
		s.ledger.Refuse(c.attempt, s.guardTime())
		return
	}
	if !s.ledger.Dispatch(c.attempt) {
		return
	}
	s.counts["dispatched"]++
	for _, d := range s.dispatches {
		if d.key == c.key && (d.start-c.start).Abs() < testRetention {
			s.t.Fatalf("key %x was dispatched twice within its retention, for the requests received at %s and %s", c.key[:2], d.start, c.start)
		}
	}
	s.dispatches = append(s.dispatches, dispatch{c.key, c.start})
}

func (s *simulation) stepCallerRequest(c *callerRequest) {
	switch c.state {
	case "":
		s.claim(c)
	case "sent":
		s.resolveAndSettle(c)
	}
}

// resolveAndSettle lets an entry resolve the attempt that it sent, and then settle
// the key or claim it for another attempt.
func (s *simulation) resolveAndSettle(c *callerRequest) {
	c.state = "ended"
	if s.resolve(c.attempt) != attempt.NotRun {
		s.sendRequest(c, &Request{Key: c.key, SettledAttemptID: c.attempt, Ran: true})
		return
	}
	if s.chance(50) {
		c.replaces = c.attempt
		s.claim(c)
		return
	}
	s.sendRequest(c, &Request{Key: c.key, SettledAttemptID: c.attempt})
}

func (s *simulation) step() {
	switch action := rapid.IntRange(0, 24).Draw(s.t, "action"); {
	case action < 8:
		o, _ := pickRandom(s, s.owners)
		s.runOwner(o)
	case action < 10:
		c := &callerRequest{key: Key{byte(rapid.IntRange(0, 1).Draw(s.t, "key"))}, start: s.now}
		s.callerRequests = append(s.callerRequests, c)
		if s.chance(50) {
			s.claim(c)
		}
	case action < 13:
		if r, ok := takeRandom(s, &s.requests); ok {
			o, _ := pickRandom(s, s.owners)
			o.Add(r)
		}
	case action < 15:
		if d, ok := takeRandom(s, &s.decisions); ok {
			s.handleDecision(d)
		}
	case action < 16:
		if c, ok := takeRandom(s, &s.attempts); ok {
			s.deliverAttempt(c)
		}
	case action < 17:
		if len(s.callerRequests) > 0 {
			c, _ := pickRandom(s, s.callerRequests)
			s.stepCallerRequest(c)
		}
	case action < 18:
		s.now += time.Duration(rapid.IntRange(1, 700).Draw(s.t, "seconds")) * time.Second
	case action < 19:
		if op, ok := takeRandom(s, &s.late); ok {
			s.store.call(op)
		}
	case action < 20:
		s.restart()
	default:
		s.deliverAll()
	}
}

// runOwner runs one owner for some steps while the others are paused.
func (s *simulation) runOwner(o *testOwner) {
	for range rapid.IntRange(1, 30).Draw(s.t, "steps") {
		s.stepOwner(o)
		s.now += 10 * time.Millisecond
	}
}

// deliverAll delivers all messages that are on their way. One owner gets all requests.
func (s *simulation) deliverAll() {
	o, _ := pickRandom(s, s.owners)
	for _, r := range s.requests {
		o.Add(r)
	}
	s.requests = nil
	s.runOwner(o)
	for decisions := s.decisions; len(s.decisions) > 0; decisions = s.decisions {
		s.decisions = nil
		for _, d := range decisions {
			s.handleDecision(d)
		}
	}
	attempts := s.attempts
	s.attempts = nil
	for _, c := range attempts {
		s.deliverAttempt(c)
	}
}

// restart restarts an owner or the guard, or ends a caller's request as if its entry
// had died.
func (s *simulation) restart() {
	switch rapid.IntRange(0, 3).Draw(s.t, "failure") {
	case 0, 1:
		_, i := pickRandom(s, s.owners)
		if op := s.owners[i].op; op != nil {
			s.late = append(s.late, *op)
		}
		s.owners[i] = s.newOwner()
	case 2:
		takeRandom(s, &s.callerRequests)
	case 3:
		s.guardIncarnation++
		s.ledger = attempt.NewLedger(attempt.DefaultLimits)
		s.attempts = nil
	}
}

// Guards against two dispatches of one key within its retention. Owners, entries and
// the guard pause, restart and race, the rates of their clocks differ, and calls to
// the store are lost or take effect late.
func TestKeyIsDispatchedOnce(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, random: rand.New(rand.NewPCG(1, 2)), counts: total, attemptsByID: make(map[string]*callerRequest), origin: make(map[*Request]*callerRequest)}
		s.store.segments = make(map[uint64]*pb.KeySegment)
		s.ledger = attempt.NewLedger(attempt.DefaultLimits)
		s.guardRate = rapid.Float64Range(0.95, 1.05).Draw(t, "guard rate")
		for range 3 {
			s.owners = append(s.owners, s.newOwner())
		}
		for range testActions {
			s.step()
		}
	})
	t.Log(total)
}

// Guards against granting a claim from a segment below the floor. While an owner is paused,
// others append segments, raise the floor and delete the segments below it. The owner's own
// claim is then stored under one of the freed numbers, and the owner takes it as granted
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
