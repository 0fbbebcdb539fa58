package attempt

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model drives a ledger with random actions. For each attempt it tracks the guard
// time, the dispatches, whether the attempt did not run, and the bytes reserved and
// retained, to check the results of the ledger against them.
type model struct {
	ledger     *Ledger
	limits     Limits
	now        time.Time
	guardTimes map[string]time.Time
	dispatched map[string]int
	notRun     map[string]bool
	reserved   map[string]int
	bodies     map[string]int
}

var ids = rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})

// Guards against two faults: an attempt is dispatched twice, or the ledger reports
// an attempt as not run that was dispatched before or is dispatched later. Copies
// of an attempt and resolutions come at any time after the guard time that the
// attempt carries, also after the record of the attempt has expired.
func TestAttemptIsNotDispatchedTwiceOrAfterNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Records: rapid.IntRange(2, 8).Draw(t, "records"), AnswerBytes: 10, TotalBytes: 25}
		m := &model{
			ledger: NewLedger(limits), limits: limits, now: start,
			guardTimes: map[string]time.Time{}, dispatched: map[string]int{}, notRun: map[string]bool{},
			reserved: map[string]int{}, bodies: map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"arrive":   m.arrive,
			"dispatch": m.dispatch,
			"refuse":   m.refuse,
			"reserve":  m.reserve,
			"finish":   m.finish,
			"resolve":  m.resolve,
			"fetch":    m.fetch,
			"advance":  m.advance,
		})
	})
}

func (m *model) advance(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{time.Second, AnswerRetention, MaxAge - time.Second, MaxAge, Retention - time.Second, Retention})
	m.now = m.now.Add(step.Draw(t, "step"))
}

// setGuardTime sets the guard time that all copies of the attempt carry. It is a
// reading of the guard's clock from before the attempt was sent.
func (m *model) setGuardTime(t *rapid.T, id string) {
	if _, ok := m.guardTimes[id]; ok {
		return
	}
	age := rapid.Int64Range(0, int64(2*Retention/time.Second)).Draw(t, "age of the guard time")
	m.guardTimes[id] = m.now.Add(-time.Duration(age) * time.Second)
}

// arrive delivers the attempt, or another copy of it with the same guard time.
func (m *model) arrive(t *rapid.T) {
	id := ids.Draw(t, "id")
	m.setGuardTime(t, id)
	switch m.ledger.Accept(id, m.guardTimes[id], m.now) {
	case Accepted:
		assert.Assert(t, !m.notRun[id], "the ledger accepted an attempt that it had reported as not run")
	case RefusedNotRun:
		assert.Equal(t, m.dispatched[id], 0)
		m.notRun[id] = true
	}
}

func (m *model) dispatch(t *rapid.T) {
	id := ids.Draw(t, "id")
	if !m.ledger.Dispatch(id) {
		return
	}
	m.dispatched[id]++
	assert.Equal(t, m.dispatched[id], 1)
	assert.Assert(t, !m.notRun[id], "the ledger dispatched an attempt that it had reported as not run")
}

// refuse refuses an attempt that is queued.
func (m *model) refuse(t *rapid.T) {
	id := ids.Draw(t, "id")
	r, ok := m.ledger.records[id]
	if !ok || r.state != Queued {
		return
	}
	m.ledger.Refuse(id, m.now)
	m.notRun[id] = true
}

func (m *model) reserve(t *rapid.T) {
	id := ids.Draw(t, "id")
	n := rapid.IntRange(1, 6).Draw(t, "bytes")
	if m.ledger.Reserve(id, n, m.now) {
		m.reserved[id] += n
		return
	}
	m.reserved[id] = 0
}

func (m *model) finish(t *rapid.T) {
	id := ids.Draw(t, "id")
	if r, ok := m.ledger.records[id]; !ok || r.state != Dispatched {
		return
	}
	m.bodies[id] = m.reserved[id]
	m.ledger.Finish(id, &Answer{Status: http.StatusOK, Body: make([]byte, m.bodies[id])}, m.now)
}

func (m *model) resolve(t *rapid.T) {
	id := ids.Draw(t, "id")
	m.setGuardTime(t, id)
	state := m.ledger.Resolve(id, m.guardTimes[id], m.now)
	if state == NotRun {
		assert.Equal(t, m.dispatched[id], 0)
		m.notRun[id] = true
	}
	assert.Assert(t, state != Unseen && state != Queued)
}

func (m *model) fetch(t *rapid.T) {
	id := ids.Draw(t, "id")
	a, ok := m.ledger.Answer(id, m.now)
	if ok {
		assert.Equal(t, len(a.Body), m.bodies[id])
		assert.Equal(t, m.dispatched[id], 1)
	}
}

func (m *model) check(t *rapid.T) {
	total := 0
	for _, r := range m.ledger.records {
		total += r.reservedBytes
		assert.Assert(t, r.reservedBytes <= m.limits.AnswerBytes)
		assert.Equal(t, r.answer != nil, r.state == Answered)
	}
	assert.Equal(t, total, m.ledger.retainedBytes)
	assert.Assert(t, total <= m.limits.TotalBytes)
	assert.Assert(t, len(m.ledger.records) <= m.limits.Records)
}

// Guards against answers and records that stay in memory after their retention
// has ended, and against a copy that is accepted after the record has expired.
func TestAnswersAndRecordsExpire(t *testing.T) {
	l := NewLedger(DefaultLimits)
	assert.Equal(t, l.Accept("a", start, start), Accepted)
	assert.Assert(t, l.Dispatch("a"))
	assert.Assert(t, l.Reserve("a", 2, start))
	l.Finish("a", &Answer{Body: []byte("ok")}, start)
	assert.Equal(t, l.Resolve("a", start, start.Add(AnswerRetention-1)), Answered)
	assert.Equal(t, l.Resolve("a", start, start.Add(AnswerRetention)), Unknown)
	assert.Equal(t, l.retainedBytes, 0)
	_, ok := l.Answer("a", start.Add(AnswerRetention))
	assert.Assert(t, !ok)
	assert.Equal(t, l.Accept("a", start, start.Add(Retention)), RefusedTooOld)
}

// Guards against an attempt that runs after its entry was told that it did not
// run: the entry resolves the attempt before it arrives, or while it is queued.
func TestTombstoneRefusesLateArrival(t *testing.T) {
	l := NewLedger(DefaultLimits)
	assert.Equal(t, l.Resolve("unseen", start, start), NotRun)
	assert.Equal(t, l.Accept("unseen", start, start), RefusedNotRun)
	assert.Equal(t, l.Accept("queued", start, start), Accepted)
	assert.Equal(t, l.Resolve("queued", start, start), NotRun)
	assert.Assert(t, !l.Dispatch("queued"))
	assert.Equal(t, l.Accept("queued", start, start), RefusedNotRun)
}
