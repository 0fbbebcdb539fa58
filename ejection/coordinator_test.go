package ejection

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fakeStore is a linearisable store whose hooks inject faults and interleavings.
type fakeStore struct {
	data    []byte
	version int
	get     func() error
	put     func(apply func() error) error
}

func (s *fakeStore) Get(context.Context, string) ([]byte, string, error) {
	data, version := s.data, s.current()
	if s.get != nil {
		if err := s.get(); err != nil {
			return nil, "", err
		}
	}
	return data, version, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, data []byte, version string) error {
	apply := func() error {
		if version != s.current() {
			return ErrConflict
		}
		s.data = data
		s.version++
		return nil
	}
	if s.put == nil {
		return apply()
	}
	return s.put(apply)
}

func (s *fakeStore) current() string {
	if s.version == 0 {
		return ""
	}
	return strconv.Itoa(s.version)
}

func counter() func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprintf("permit-%d", n)
	}
}

type fixture struct {
	store *fakeStore
	now   time.Duration
	newID func() string
}

func newFixture() *fixture { return &fixture{store: &fakeStore{}, newID: counter()} }

func (f *fixture) coordinator(holder string) *Coordinator {
	return NewCoordinator("slot", holder, f.store, func() time.Duration { return f.now }, f.newID, DefaultTimes)
}

var (
	bg    = context.Background()
	ready = []string{"a", "b", "c", "d"}
)

// Guards against an ejection that outlives its permit while the store is away.
func TestEjectionLapsesWithoutStore(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	assert.NilError(t, c.Eject(bg, "a", ready, 2))
	assert.Assert(t, c.Ejected("a", ready, 2))
	f.store.get = func() error { return ErrUnavailable }
	assert.ErrorIs(t, c.Eject(bg, "b", ready, 2), ErrUnavailable)
	f.now = PermitLifetime - 1
	assert.ErrorIs(t, c.Refresh(bg), ErrUnavailable)
	assert.Assert(t, c.Ejected("a", ready, 2))
	f.now = PermitLifetime
	assert.Assert(t, !c.Ejected("a", ready, 2))
	assert.Assert(t, !c.Ejected("b", ready, 2))
}

// Guards against losing, or counting twice, a permit whose write answer was lost.
func TestLostAnswerIsRecognised(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	f.store.put = func(apply func() error) error {
		assert.NilError(t, apply())
		return ErrUncertain
	}
	assert.ErrorIs(t, c.Eject(bg, "a", ready, 2), ErrUncertain)
	assert.Assert(t, !c.Ejected("a", ready, 2))
	f.now = time.Second
	assert.NilError(t, c.Refresh(bg))
	assert.Assert(t, c.Ejected("a", ready, 2))
	f.now = PermitLifetime
	assert.Assert(t, !c.Ejected("a", ready, 2), "lifetime must count from the start of the lost write")
}

// Guards against a renewal lifetime counted from a later attempt than the one that took effect.
func TestLateRenewalDoesNotExtendFromLaterAttempt(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	assert.NilError(t, c.Eject(bg, "a", ready, 2))
	f.now = RenewAfter
	var late func() error
	f.store.put = func(apply func() error) error {
		late = apply
		return ErrUncertain
	}
	assert.ErrorIs(t, c.Refresh(bg), ErrUncertain)
	f.store.get = func() error {
		f.store.get = nil
		assert.NilError(t, late())
		f.now = PermitLifetime - 1
		return nil
	}
	f.store.put = func(apply func() error) error { return apply() }
	assert.ErrorIs(t, c.Refresh(bg), ErrConflict)
	f.store.put = func(func() error) error { return ErrUnavailable }
	assert.ErrorIs(t, c.Refresh(bg), ErrUnavailable)
	f.now = RenewAfter + PermitLifetime
	assert.Assert(t, !c.Ejected("a", ready, 2))
}

// Guards against a released permit coming back into use while its removal is still under way.
func TestReleasedPermitIsNotUsedAgain(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	assert.NilError(t, c.Eject(bg, "a", ready, 2))
	f.store.put = func(func() error) error { return ErrUncertain }
	assert.ErrorIs(t, c.Release(bg, "a"), ErrUncertain)
	f.store.put = nil
	assert.NilError(t, c.Refresh(bg))
	assert.Assert(t, !c.Ejected("a", ready, 2))
	p, err := Decode("slot", f.store.data)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Permits), 0)
}

// Guards against a permit of a vanished holder that blocks ejection for ever,
// and against removing one that is still renewed.
func TestObserverRemovesLapsedPermit(t *testing.T) {
	f := newFixture()
	gone, other := f.coordinator("gone"), f.coordinator("other")
	assert.NilError(t, gone.Eject(bg, "a", ready, 3))
	assert.ErrorIs(t, other.Eject(bg, "b", ready, 3), ErrFloor)
	for range 4 {
		assert.NilError(t, other.Refresh(bg))
		f.now += RenewAfter
		assert.NilError(t, gone.Refresh(bg))
	}
	assert.NilError(t, other.Refresh(bg))
	f.now += LapseWait(PermitLifetime)
	assert.NilError(t, other.Refresh(bg))
	assert.ErrorIs(t, other.Eject(bg, "b", ready, 3), ErrFloor)
	f.now++
	assert.NilError(t, other.Refresh(bg))
	assert.NilError(t, other.Eject(bg, "b", ready, 3))
}

// Guards against enforcing an ejection after other backend servers have left.
func TestEnforcementChecksFloorAgain(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	assert.NilError(t, c.Eject(bg, "a", ready, 3))
	assert.Assert(t, c.Ejected("a", ready, 3))
	assert.Assert(t, !c.Ejected("a", ready[:3], 3))
}

// Guards against emptying a service that has no floor of its own.
func TestLastBackendServerStays(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	assert.ErrorIs(t, c.Eject(bg, "a", []string{"a"}, 0), ErrFloor)
	assert.ErrorIs(t, c.Eject(bg, "z", ready, 0), ErrNotReady)
}

// Guards against a flapping backend server returning as fast as the first time.
func TestHoldTimeDoublesAndIsBounded(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	hold := func() time.Duration {
		assert.NilError(t, c.Eject(bg, "a", ready, 2))
		start := f.now
		for range goodAnswers {
			c.Observe("a", true)
		}
		for len(c.Recovered()) == 0 {
			f.now += time.Second
		}
		assert.NilError(t, c.Release(bg, "a"))
		return f.now - start
	}
	assert.Equal(t, hold(), minHold)
	assert.Equal(t, hold(), 2*minHold)
	assert.Equal(t, hold(), 4*minHold)
	assert.Equal(t, DefaultTimes.HoldTime(1000), maxHold)
}

// Guards against ending an ejection while answers are still bad.
func TestRecoveryNeedsGoodAnswersInARow(t *testing.T) {
	r := NewRecovery(0, minHold)
	for range goodAnswers - 1 {
		r.Observe(true)
	}
	r.Observe(false)
	r.Observe(true)
	assert.Assert(t, !r.Done(minHold))
}

// Guards against an ejection without end where no work may be used for a re-test.
func TestRecoveryWithoutAnswersEndsWithHold(t *testing.T) {
	r := NewRecovery(0, minHold)
	assert.Assert(t, !r.Done(minHold-1))
	assert.Assert(t, r.Done(minHold))
}

// Guards against accepting a damaged object, and against a change of the stored form.
func TestPermitsJSON(t *testing.T) {
	p, err := PermitSet{Service: "slot"}.Grant(Permit{ID: "p", BackendID: "a", Holder: "n", Lifetime: time.Second}, ready, 2)
	assert.NilError(t, err)
	data, err := p.Encode()
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"service":"slot","permits":[{"id":"p","backend_id":"a","holder":"n","renewal":0,"lifetime_ns":1000000000}],"ejections":{"a":1}}`)
	back, err := Decode("slot", data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, p)
	_, err = Decode("booking", data)
	assert.ErrorIs(t, err, ErrInvalid)
	_, err = Decode("slot", []byte("{"))
	assert.ErrorIs(t, err, ErrInvalid)
}

// world interleaves several holders: an action of one may run inside a store
// call of another, during which time passes and earlier writes take effect.
type world struct {
	t       *rapid.T
	now     time.Duration
	store   *fakeStore
	holders []*Coordinator
	busy    map[int]bool
	late    []func() error
	ready   []string
	floor   int
	// enforcedFloor is the floor of the second check. With 1 the permits alone must hold the floor.
	enforcedFloor int
	depth         int
	granted       int
}

func (w *world) check() {
	remaining := 0
	ejected := 0
	for _, id := range w.ready {
		if w.enforced(id) {
			ejected++
			continue
		}
		remaining++
	}
	if ejected > 0 && remaining < w.floor {
		w.t.Fatalf("%d ready backend servers left, %d ejected, floor %d", remaining, ejected, w.floor)
	}
	w.granted = max(w.granted, ejected)
}

func (w *world) enforced(id string) bool {
	for _, c := range w.holders {
		if c.Ejected(id, w.ready, w.enforcedFloor) {
			return true
		}
	}
	return false
}

func (w *world) step() {
	if w.depth > 3 {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	switch action := rapid.IntRange(0, 11).Draw(w.t, "action"); {
	case action < 3:
		w.sleep()
	case action < 4:
		w.deliverLate()
	case action < 5 && w.enforcedFloor == w.floor:
		w.ready = rapid.SliceOfNDistinct(rapid.SampledFrom(backendIDs), 3, len(backendIDs), rapid.ID).Draw(w.t, "ready")
	case action < 8:
		w.act(func(c *Coordinator, id string) { _ = c.Eject(bg, id, w.ready, w.floor) })
	case action < 9:
		w.act(func(c *Coordinator, id string) { _ = c.Release(bg, id) })
	default:
		w.act(func(c *Coordinator, _ string) { _ = c.Refresh(bg) })
	}
	w.check()
}

func (w *world) sleep() {
	for range rapid.IntRange(1, 12).Draw(w.t, "seconds") {
		w.now += time.Second
		w.check()
	}
}

func (w *world) act(do func(*Coordinator, string)) {
	i := rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "holder")
	if w.busy[i] {
		return
	}
	w.busy[i] = true
	defer delete(w.busy, i)
	do(w.holders[i], rapid.SampledFrom(backendIDs).Draw(w.t, "backend"))
}

func (w *world) deliverLate() {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late write")
	_ = w.late[i]()
}

func (w *world) get() error {
	if rapid.IntRange(0, 9).Draw(w.t, "get") == 0 {
		return ErrUnavailable
	}
	w.interleave()
	return nil
}

func (w *world) interleave() {
	for range rapid.IntRange(0, 2).Draw(w.t, "interleaved") {
		w.step()
	}
}

func (w *world) put(apply func() error) error {
	w.interleave()
	switch rapid.IntRange(0, 6).Draw(w.t, "put") {
	case 0:
		return ErrUnavailable
	case 1:
		w.late = append(w.late, apply)
		return ErrUncertain
	case 2:
		_ = apply()
		return ErrUncertain
	default:
		err := apply()
		w.interleave()
		return err
	}
}

var backendIDs = []string{"a", "b", "c", "d", "e", "f"}

// Guards against holders that together take a service below its floor, whatever
// writes are interleaved, lost or late, however long holders are paused, and
// with clocks of different origin and rate. The second check is out of action,
// so that it cannot hide a fault of the permits.
func TestPropertyPermitsHoldFloor(t *testing.T) {
	checkWorlds(t, func(w *world) { w.enforcedFloor = 1 })
}

// Guards against going below the floor when ready backend servers leave and return as well.
func TestPropertyEnforcementHoldsFloor(t *testing.T) {
	checkWorlds(t, func(w *world) { w.enforcedFloor = w.floor })
}

func checkWorlds(t *testing.T, prepare func(*world)) {
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		prepare(w)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			w.step()
		}
		most = max(most, w.granted)
	})
	assert.Assert(t, most >= 2, "the property must be exercised with several ejections at once, saw %d", most)
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, store: &fakeStore{}, busy: make(map[int]bool), ready: backendIDs}
	w.floor = rapid.IntRange(2, 5).Draw(t, "floor")
	newID := counter()
	for i := range 3 {
		rate := rapid.Float64Range(0.97, 1.03).Draw(t, "clock rate")
		origin := time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock origin")) * time.Second
		clock := func() time.Duration { return origin + time.Duration(float64(w.now)*rate) }
		w.holders = append(w.holders, NewCoordinator("slot", fmt.Sprintf("n%d", i), w.store, clock, newID, DefaultTimes))
	}
	w.store.get, w.store.put = w.get, w.put
	return w
}

// Guards against an observer whose clock is fast removing a permit that its
// holder, whose clock is slow, still uses.
func TestObserverAllowsForClockRates(t *testing.T) {
	f := newFixture()
	clock := func(rate float64) Clock {
		return func() time.Duration { return time.Duration(float64(f.now) * rate) }
	}
	holder := NewCoordinator("slot", "slow", f.store, clock(0.97), f.newID, DefaultTimes)
	observer := NewCoordinator("slot", "fast", f.store, clock(1.03), f.newID, DefaultTimes)
	assert.NilError(t, holder.Eject(bg, "a", ready, 3))
	granted := false
	for f.now < 2*PermitLifetime {
		assert.NilError(t, observer.Refresh(bg))
		granted = granted || observer.Eject(bg, "b", ready, 3) == nil
		assert.Assert(t, !granted || !holder.Ejected("a", ready, 1), "both ejected at %v", f.now)
		f.now += 10 * time.Millisecond
	}
	assert.Assert(t, granted)
}
