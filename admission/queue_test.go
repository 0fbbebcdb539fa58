package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/membership"
)

const ms = time.Millisecond

// model tracks where each offered ID ended.
type model struct {
	q       *Queue
	slots   int
	running []string
	queued  map[string]bool
	ended   map[string]string
	offered int
}

func (m *model) apply(t *rapid.T, ch Actions) {
	for _, id := range ch.Dispatch {
		m.leave(t, id, "dispatched")
		m.running = append(m.running, id)
	}
	for _, d := range ch.Drop {
		assert.Assert(t, d.Reason != "")
		m.leave(t, d.ID, "dropped")
	}
}

func (m *model) leave(t *rapid.T, id, how string) {
	assert.Assert(t, m.queued[id], "%s was %s but not queued", id, how)
	delete(m.queued, id)
	m.end(t, id, how)
}

func (m *model) end(t *rapid.T, id, how string) {
	assert.Equal(t, m.ended[id], "", "%s ended twice", id)
	m.ended[id] = how
}

func (m *model) offer(t *rapid.T, now time.Duration, r Request) {
	m.offered++
	before := len(m.running)
	v, ch := m.q.Offer(now, r)
	m.apply(t, ch)
	switch v.Decision {
	case Dispatched:
		m.end(t, r.ID, "dispatched")
		m.running = append(m.running, r.ID)
	case Queued:
		m.queued[r.ID] = true
	case Refused:
		assert.Assert(t, v.Reason != "")
		m.end(t, r.ID, "refused")
	}
	if len(m.running) > before {
		l := m.q.Load(now)
		assert.Assert(t, l.Running <= l.Limit, "started work beyond the limit: %v", l)
	}
}

func (m *model) check(t *rapid.T, now time.Duration) {
	l := m.q.Load(now)
	assert.Equal(t, l.Running, len(m.running))
	assert.Equal(t, l.Queued, len(m.queued))
	assert.Assert(t, l.Limit >= 1 && l.Limit <= m.slots)
	assert.Equal(t, len(m.ended)+len(m.queued), m.offered)
	assert.Equal(t, l.Running+l.Queued, len(m.q.items))
}

// Guards against more work than the limit or the slots, and against requests
// that are lost or that end twice.
func TestEachOfferEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		state := rapid.SampledFrom([]membership.State{membership.StateStarting, membership.StateReady}).Draw(t, "state")
		m := &model{q: NewQueue(0, slots, state), slots: slots, queued: map[string]bool{}, ended: map[string]string{}}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * ms
			m.step(t, now, i)
			m.check(t, now)
		}
		m.apply(t, m.q.Announce(now, slots, membership.StateLeaving))
		assert.Equal(t, len(m.queued), 0)
		m.check(t, now)
	})
}

func (m *model) step(t *rapid.T, now time.Duration, i int) {
	id := fmt.Sprint(i)
	switch k := rapid.IntRange(0, 9).Draw(t, "kind"); {
	case k < 5:
		m.offer(t, now, Request{
			ID:           id,
			Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
			Route:        rapid.SampledFrom([]string{"x", "y"}).Draw(t, "route"),
			Deadline:     now + time.Duration(rapid.IntRange(-5, 300).Draw(t, "timeout"))*ms,
		})
	case k < 8 && len(m.running) > 0:
		j := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
		id, m.running = m.running[j], append(m.running[:j:j], m.running[j+1:]...)
		res := Result(rapid.IntRange(0, 3).Draw(t, "result"))
		m.apply(t, m.q.Done(now, id, time.Duration(rapid.IntRange(0, 2000).Draw(t, "latency"))*ms, res))
	case k == 8:
		m.cancel(t, now, fmt.Sprint(rapid.IntRange(0, i).Draw(t, "cancel")))
	default:
		m.apply(t, m.q.Announce(now, m.slots, membership.StateReady))
	}
}

func (m *model) cancel(t *rapid.T, now time.Duration, id string) {
	found, ch := m.q.Cancel(now, id)
	if found {
		assert.Assert(t, m.queued[id])
		delete(m.queued, id)
		m.end(t, id, "cancelled")
	}
	m.apply(t, ch)
}

// Guards against an organisation that is never served beside bursting ones,
// including when work takes longer than expected.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 7).Draw(t, "slots")
		heavy := rapid.IntRange(1, 5).Draw(t, "bursting organisations")
		service := time.Duration(rapid.IntRange(1, 100).Draw(t, "service")) * ms
		q := NewQueue(0, slots, membership.StateReady)
		var b bench
		served := 0
		start := func(now time.Duration, id string) {
			b.start(id, now+service)
			if id[0] == 'v' {
				served++
			}
		}
		for i := 0; i < 3000; i += 2 {
			now := time.Duration(i) * ms
			b.finish(q, now, start)
			for o := range heavy {
				offer(q, now, fmt.Sprintf("b%d-%d", o, i), start)
			}
			if i%100 == 0 {
				offer(q, now, fmt.Sprintf("v-%d", i), start)
			}
		}
		fair := int(3*time.Second/service) * slots / (heavy + 1)
		assert.Assert(t, served >= min(30, fair)/3, "served %d of 30, fair share %d", served, fair)
	})
}

// Guards against a stream of new organisations, each with one request, that
// starves one that is always busy.
func TestNewOrganisationsDoNotStarveBusyOne(t *testing.T) {
	q := NewQueue(0, 1, membership.StateReady)
	var b bench
	served, last, gap := 0, time.Duration(0), time.Duration(0)
	start := func(now time.Duration, id string) {
		b.start(id, now+10*ms)
		if id[0] == 'v' {
			served++
			gap, last = max(gap, now-last), now
		}
	}
	for i := range 3000 {
		now := time.Duration(i) * ms
		b.finish(q, now, start)
		offer(q, now, fmt.Sprintf("v-%d", i), start)
		offer(q, now, fmt.Sprintf("%c%c%d", 'A'+i%26, 'A'+i/26%26, i), start)
	}
	gap = max(gap, 3*time.Second-last)
	t.Logf("served %d of 300, longest gap %v", served, gap)
	assert.Assert(t, gap <= time.Second)
}

// bench holds the running work of a test in order of its end.
type bench []struct {
	id  string
	end time.Duration
}

func (b *bench) start(id string, end time.Duration) {
	i := len(*b)
	for i > 0 && (*b)[i-1].end > end {
		i--
	}
	*b = slices.Insert(*b, i, struct {
		id  string
		end time.Duration
	}{id, end})
}

// finish ends the work that is due and starts what the queue dispatches.
func (b *bench) finish(q *Queue, now time.Duration, start func(time.Duration, string)) {
	for len(*b) > 0 && (*b)[0].end <= now {
		r := (*b)[0]
		*b = slices.Delete(*b, 0, 1)
		for _, id := range q.Done(now, r.id, r.end-q.items[r.id].started, Answered).Dispatch {
			start(now, id)
		}
	}
}

func offer(q *Queue, now time.Duration, id string, start func(time.Duration, string)) {
	v, ch := q.Offer(now, Request{ID: id, Organisation: id[:2], Route: "x", Deadline: now + time.Second})
	for _, id := range ch.Dispatch {
		start(now, id)
	}
	if v.Decision == Dispatched {
		start(now, id)
	}
}

func ask(q *Queue, now time.Duration, id, route string) OfferResult {
	v, _ := q.Offer(now, Request{ID: id, Organisation: "a", Route: route, Deadline: now + 10*time.Second})
	return v
}

// learned returns a queue that has seen a short and a long route.
func learned(slots int) *Queue {
	q := NewQueue(0, slots, membership.StateReady)
	for i := range 200 {
		route, latency := "short", 20*ms
		if i%20 == 0 {
			route, latency = "long", time.Second
		}
		ask(q, 0, "w", route)
		q.Done(0, "w", latency, Answered)
	}
	return q
}

// Guards against long work that holds every slot.
func TestLongWorkLeavesSlot(t *testing.T) {
	for _, slots := range []int{2, 4, 7} {
		q := learned(slots)
		for i := range 20 {
			ask(q, time.Minute, fmt.Sprint(i), "long")
		}
		assert.Equal(t, q.Load(time.Minute).Running, slots-1)
		assert.Equal(t, ask(q, time.Minute, "s", "short").Decision, Dispatched)
	}
}

// Guards against a limit that ignores shed work or that never rises again.
func TestLimitFollowsShedding(t *testing.T) {
	q := NewQueue(0, 7, membership.StateReady)
	now := time.Duration(0)
	for i := range 10 {
		now += 100 * ms
		ask(q, now, fmt.Sprint(i), "x")
		q.Done(now, fmt.Sprint(i), ms, Shed)
	}
	assert.Assert(t, q.Load(now).Limit <= 2)
	for i := range 3000 {
		now += ms
		ask(q, now, fmt.Sprint("r", i), "x")
		q.Done(now, fmt.Sprint("r", i-10), 10*ms, Answered)
	}
	assert.Equal(t, q.Load(now).Limit, 7)
}

// Guards against a limit that stays at the slots while load makes work slower,
// and against one that falls when latency does not depend on the limit.
func TestLimitFollowsLatency(t *testing.T) {
	for _, dependent := range []bool{true, false} {
		q := NewQueue(0, 8, membership.StateReady)
		low, last, sum := 8, 0, 0
		var b bench
		for i := range 20000 {
			now := time.Duration(i) * ms
			start := func(now time.Duration, id string) {
				b.start(id, now+latencyAt(len(b)+1, i > 5000, dependent))
			}
			b.finish(q, now, start)
			offer(q, now, fmt.Sprint("a-", i), start)
			last = q.Load(now).Limit
			low = min(low, last)
			if i >= 10000 {
				sum += last
			}
		}
		mean := float64(sum) / 10000
		t.Logf("dependent %v: lowest limit %d, mean of the last 10 s %.1f", dependent, low, mean)
		if dependent {
			assert.Assert(t, mean <= 6)
		} else {
			assert.Assert(t, mean == 8)
		}
	}
}

// latencyAt is the latency with n running requests, once slow: either grown by
// load beyond four requests, or the same at any load.
func latencyAt(n int, slow, dependent bool) time.Duration {
	switch {
	case !slow || dependent && n <= 4:
		return 10 * ms
	case dependent:
		return 10 * ms * time.Duration(n*n) / 16
	}
	return 40 * ms
}

// Guards against full load on a backend server in its cold start.
func TestColdStart(t *testing.T) {
	q := NewQueue(0, 7, membership.StateStarting)
	assert.Equal(t, q.Load(0).Limit, 1)
	q.Announce(0, 7, membership.StateReady)
	last := 0
	for now := time.Duration(0); now <= rampTime; now += 100 * ms {
		l := q.Load(now).Limit
		assert.Assert(t, l >= last)
		last = l
	}
	assert.Equal(t, last, 7)
	assert.Equal(t, NewQueue(0, 7, membership.StateReady).Load(0).Limit, 7, "a guard that restarts")
}

// Guards against queued work that is kept after it can no longer be in time.
func TestExpiry(t *testing.T) {
	q := NewQueue(0, 1, membership.StateReady)
	ask(q, 0, "1", "x")
	assert.Equal(t, ask(q, 0, "2", "x").Decision, Queued)
	next, ok := q.Next()
	assert.Assert(t, ok && next <= 50*ms)
	assert.DeepEqual(t, q.Advance(next).Drop, []Drop{{ID: "2", Reason: hop.ReasonFull}})
	_, ok = q.Next()
	assert.Assert(t, !ok)
}

// Guards against a load header that does not survive the way to the entry.
func TestLoadHeader(t *testing.T) {
	ratio, wait, err := ParseLoad(Load{Running: 7, Queued: 7, Limit: 7, Wait: 12 * ms}.String())
	assert.NilError(t, err)
	assert.Equal(t, ratio, 2.0)
	assert.Equal(t, wait, 12*ms)
	for _, s := range []string{"", "1", "1/0;wait-ms=1", "-1/2;wait-ms=1", "1/2;wait-ms=-1"} {
		_, _, err := ParseLoad(s)
		assert.Assert(t, err != nil, s)
	}
}

// Guards against a limit that falls, and so refuses work, because a backend server that
// runs nothing else sheds work while its slots are free.
func TestTrustedSlotsIgnoreIdleShedding(t *testing.T) {
	q := NewQueue(0, 7, membership.StateReady)
	q.SetExclusive()
	now := time.Duration(0)
	for i := range 50 {
		now += 100 * ms
		ask(q, now, fmt.Sprint(i), "x")
		q.Done(now, fmt.Sprint(i), ms, Shed)
	}
	assert.Equal(t, q.Load(now).Limit, 7)
	for i := range 7 {
		ask(q, now, fmt.Sprint("busy", i), "x")
	}
	q.Done(now+time.Second, "busy6", ms, Shed)
	assert.Assert(t, q.Load(now+time.Second).Limit < 7)
	for i := range 6 {
		q.Done(now+time.Second, fmt.Sprint("busy", i), ms, Answered)
	}
	lowered := q.Load(now + time.Second).Limit
	for i := range 50 {
		now += 100 * ms
		ask(q, now+time.Second, fmt.Sprint("again", i), "x")
		ask(q, now+time.Second, fmt.Sprint("beside", i), "x")
		q.Done(now+time.Second, fmt.Sprint("again", i), ms, Shed)
		q.Done(now+time.Second, fmt.Sprint("beside", i), ms, Answered)
	}
	assert.Assert(t, q.Load(now+time.Second).Limit >= lowered, "a lowered limit justifies no further reduction")
}
