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
	// get is called after the object was read. If it returns an error, the read fails.
	get func() error
	// put replaces the call of apply, which does the write.
	put func(apply func() error) error
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

func newPermitIDs() func() string {
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

func newFixture() *fixture { return &fixture{store: &fakeStore{}, newID: newPermitIDs()} }

func (f *fixture) coordinator(holder string) *Coordinator {
	return NewCoordinator("slot", holder, f.store, func() time.Duration { return f.now }, f.newID, DefaultTimes)
}

var (
	bg    = context.Background()
	ready = []string{"a", "b", "c", "d"}
)

// Guards against an ejection that outlasts its permit while the store is unavailable.
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

// Guards against losing a permit that was stored although the response to the write was
// lost, and against counting its lifetime from a time after the start of that write.
func TestWriteWithLostResponseIsConfirmed(t *testing.T) {
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
	assert.Assert(t, !c.Ejected("a", ready, 2), "the lifetime does not count from the start of the write whose response was lost")
}

// Guards against counting the lifetime from the start of a failed renewal. The write of the
// first renewal takes effect only during the second one, and the second and third renewals
// fail, so the lifetime must count from the start of the first renewal.
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

// Guards against using a released permit again because the write that removes it has an
// unknown result and the permit is still stored.
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

// Guards against a permit that blocks further ejections for ever after its holder has
// failed, and against removing a permit that its holder still renews.
func TestOtherNodeRemovesLapsedPermit(t *testing.T) {
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

// Guards against enforcing an ejection after so many other backend servers have left that
// the rest is below the floor.
func TestEnforcementChecksFloorAgain(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	assert.NilError(t, c.Eject(bg, "a", ready, 3))
	assert.Assert(t, c.Ejected("a", ready, 3))
	assert.Assert(t, !c.Ejected("a", ready[:3], 3))
}

// Guards against ejecting the last backend server of a service whose configured floor is 0,
// and against ejecting one that is not known to be ready.
func TestLastBackendServerStays(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	assert.ErrorIs(t, c.Eject(bg, "a", []string{"a"}, 0), ErrFloor)
	assert.ErrorIs(t, c.Eject(bg, "z", ready, 0), ErrNotReady)
}

// Guards against a flapping backend server whose later ejections are as short as its first.
func TestHoldTimeDoublesAndIsBounded(t *testing.T) {
	f := newFixture()
	c := f.coordinator("n1")
	hold := func() time.Duration {
		assert.NilError(t, c.Eject(bg, "a", ready, 2))
		start := f.now
		for range answersToRecover {
			c.Observe("a", true)
		}
		for len(c.RecoveredBackendIDs()) == 0 {
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

// Guards against ending an ejection because of good answers that have bad ones among them.
func TestRecoveryNeedsGoodAnswersInARow(t *testing.T) {
	r := NewRecovery(0, minHold)
	for range answersToRecover - 1 {
		r.Observe(true)
	}
	r.Observe(false)
	r.Observe(true)
	assert.Assert(t, !r.Done(minHold))
}

// Guards against an ejection that never ends because the service has no requests that may
// be used for a re-test.
func TestRecoveryWithoutAnswersEndsWithHold(t *testing.T) {
	r := NewRecovery(0, minHold)
	assert.Assert(t, !r.Done(minHold-1))
	assert.Assert(t, r.Done(minHold))
}

// Guards against accepting a malformed object or that of another service, and against a
// change of the stored format.
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

// simulation interleaves the actions of several holders: an action of one holder may run
// inside a store call of another, during which time passes and earlier writes take effect.
type simulation struct {
	t       *rapid.T
	now     time.Duration
	store   *fakeStore
	holders []*Coordinator
	// busy holds the indices of the holders that are inside a call.
	busy map[int]bool
	// lateWrites holds writes that returned ErrUncertain and may take effect later.
	lateWrites []func() error
	ready      []string
	// floor is the floor for granting permits, enforcedFloor the one that Ejected checks. With
	// an enforcedFloor of 1, the permits alone must keep the service at its floor.
	floor         int
	enforcedFloor int
	// depth is the number of nested steps.
	depth int
	// maxEjected is the largest number of backend servers that were ejected at once.
	maxEjected int
}

func (s *simulation) check() {
	remaining := 0
	ejected := 0
	for _, id := range s.ready {
		if s.enforced(id) {
			ejected++
			continue
		}
		remaining++
	}
	if ejected > 0 && remaining < s.floor {
		s.t.Fatalf("%d ready backend servers left, %d ejected, floor %d", remaining, ejected, s.floor)
	}
	s.maxEjected = max(s.maxEjected, ejected)
}

func (s *simulation) enforced(id string) bool {
	for _, c := range s.holders {
		if c.Ejected(id, s.ready, s.enforcedFloor) {
			return true
		}
	}
	return false
}

func (s *simulation) step() {
	if s.depth > 3 {
		return
	}
	s.depth++
	defer func() { s.depth-- }()
	switch action := rapid.IntRange(0, 11).Draw(s.t, "action"); {
	case action < 3:
		s.sleep()
	case action < 4:
		s.deliverLate()
	case action < 5 && s.enforcedFloor == s.floor:
		s.ready = rapid.SliceOfNDistinct(rapid.SampledFrom(backendIDs), 3, len(backendIDs), rapid.ID).Draw(s.t, "ready")
	case action < 8:
		s.act(func(c *Coordinator, id string) { _ = c.Eject(bg, id, s.ready, s.floor) })
	case action < 9:
		s.act(func(c *Coordinator, id string) { _ = c.Release(bg, id) })
	default:
		s.act(func(c *Coordinator, _ string) { _ = c.Refresh(bg) })
	}
	s.check()
}

func (s *simulation) sleep() {
	for range rapid.IntRange(1, 12).Draw(s.t, "seconds") {
		s.now += time.Second
		s.check()
	}
}

func (s *simulation) act(do func(*Coordinator, string)) {
	i := rapid.IntRange(0, len(s.holders)-1).Draw(s.t, "holder")
	if s.busy[i] {
		return
	}
	s.busy[i] = true
	defer delete(s.busy, i)
	do(s.holders[i], rapid.SampledFrom(backendIDs).Draw(s.t, "backend"))
}

func (s *simulation) deliverLate() {
	if len(s.lateWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.lateWrites)-1).Draw(s.t, "late write")
	_ = s.lateWrites[i]()
}

func (s *simulation) get() error {
	if rapid.IntRange(0, 9).Draw(s.t, "get") == 0 {
		return ErrUnavailable
	}
	s.interleave()
	return nil
}

func (s *simulation) interleave() {
	for range rapid.IntRange(0, 2).Draw(s.t, "interleaved") {
		s.step()
	}
}

func (s *simulation) put(apply func() error) error {
	s.interleave()
	switch rapid.IntRange(0, 6).Draw(s.t, "put") {
	case 0:
		return ErrUnavailable
	case 1:
		s.lateWrites = append(s.lateWrites, apply)
		return ErrUncertain
	case 2:
		_ = apply()
		return ErrUncertain
	default:
		err := apply()
		s.interleave()
		return err
	}
}

var backendIDs = []string{"a", "b", "c", "d", "e", "f"}

// Guards against holders that together take a service below its floor, in any interleaving
// of their calls, with lost and late writes, with holders paused for any time, and with
// clocks of different origin and rate. The check in Ejected uses a floor of 1, so that it
// cannot hide a fault of the permits.
func TestPropertyPermitsHoldFloor(t *testing.T) {
	checkSimulations(t, func(s *simulation) { s.enforcedFloor = 1 })
}

// Guards against going below the floor when, in addition, ready backend servers leave and return.
func TestPropertyEnforcementHoldsFloor(t *testing.T) {
	checkSimulations(t, func(s *simulation) { s.enforcedFloor = s.floor })
}

func checkSimulations(t *testing.T, prepare func(*simulation)) {
	maxEjected := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		prepare(s)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			s.step()
		}
		maxEjected = max(maxEjected, s.maxEjected)
	})
	assert.Assert(t, maxEjected >= 2, "no simulation had two ejections at once; the maximum was %d", maxEjected)
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, store: &fakeStore{}, busy: make(map[int]bool), ready: backendIDs}
	s.floor = rapid.IntRange(2, 5).Draw(t, "floor")
	newID := newPermitIDs()
	for i := range 3 {
		rate := rapid.Float64Range(0.97, 1.03).Draw(t, "clock rate")
		origin := time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock origin")) * time.Second
		clock := func() time.Duration { return origin + time.Duration(float64(s.now)*rate) }
		s.holders = append(s.holders, NewCoordinator("slot", fmt.Sprintf("n%d", i), s.store, clock, newID, DefaultTimes))
	}
	s.store.get, s.store.put = s.get, s.put
	return s
}

// Guards against a node with a fast clock that removes a permit which its holder, whose
// clock is slow, still uses.
func TestExpiryAllowsForClockRates(t *testing.T) {
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
