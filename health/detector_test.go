package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bench is one guard with a backend server "x" and a baseline that follows shared work.
type bench struct {
	judge    *Detector
	now      time.Duration
	interval RouteCounters
}

func newBench() *bench { return &bench{judge: NewDetector(), interval: RouteCounters{Route: "r"}} }

// second gives the judge n results of x, while the rest of the service does 10 times as much.
func (b *bench) second(n int, own, others func(i int) (Result, time.Duration)) {
	for i := range n {
		b.now += time.Second / time.Duration(n)
		b.judge.Observe(b.now, "x", "s", "r", firstOf(own(i)), secondOf(own(i)))
		for k := range 10 {
			o, l := others(i*10 + k)
			b.interval.count(o, l)
		}
	}
	b.judge.MergeBaseline(b.now, "s", []RouteCounters{b.interval})
	b.interval = RouteCounters{Route: "r"}
	b.judge.Advance(b.now)
}

func firstOf(o Result, _ time.Duration) Result         { return o }
func secondOf(_ Result, l time.Duration) time.Duration { return l }

func good(int) (Result, time.Duration)    { return OK, 20 * time.Millisecond }
func slow(int) (Result, time.Duration)    { return OK, 100 * time.Millisecond }
func failing(int) (Result, time.Duration) { return Failed, time.Millisecond }
func shed(int) (Result, time.Duration)    { return Shed, time.Millisecond }

func straggling(i int) (Result, time.Duration) {
	if i%30 == 7 {
		return OK, 400 * time.Millisecond
	}
	return good(i)
}

func (b *bench) verdict() Assessment { return b.judge.Assess(b.now, "x") }

func (b *bench) seconds(n int, own, others func(int) (Result, time.Duration)) (suspected bool) {
	for range n {
		b.second(8, own, others)
		suspected = suspected || b.verdict().Suspect
	}
	return suspected
}

// Guards against missing a bad backend server, and against a suspicion that stays after recovery.
func TestBadBackendServerIsSuspectedAndRecovers(t *testing.T) {
	for name, bad := range map[string]func(int) (Result, time.Duration){"failing": failing, "slow": slow} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			assert.Assert(t, !b.seconds(10, good, good))
			b.second(8, bad, good)
			assert.Assert(t, b.verdict().Suspect)
			assert.Assert(t, !b.verdict().EjectionCandidate, "ejection needs sustained evidence")
			b.seconds(20, bad, good)
			assert.Assert(t, b.verdict().EjectionCandidate)
			b.seconds(5, good, good)
			assert.Assert(t, !b.verdict().Suspect)
			assert.Assert(t, !b.verdict().EjectionCandidate)
		})
	}
}

// Guards against blaming a backend server for a fault of the requests or of the whole service.
func TestSharedFaultIsNoEvidence(t *testing.T) {
	for name, fault := range map[string]func(int) (Result, time.Duration){"failing": failing, "slow": slow} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			b.seconds(10, good, good)
			b.second(8, fault, fault)
			for range 60 {
				b.second(8, fault, fault)
				assert.Assert(t, !b.verdict().Suspect)
				assert.Assert(t, !b.verdict().EjectionCandidate)
			}
		})
	}
}

// Guards against taking shed work or a few stragglers for failure or slowness.
func TestSheddingAndStragglersAreNotFaults(t *testing.T) {
	b := newBench()
	assert.Assert(t, !b.seconds(30, shed, good))
	assert.Assert(t, !b.seconds(60, straggling, straggling))
	assert.Assert(t, !b.verdict().EjectionCandidate)
}

// Guards against ejection without a baseline, and against losing steering with it.
func TestMissingBaseline(t *testing.T) {
	j := NewDetector()
	now := time.Duration(0)
	for i := range 400 {
		now += 125 * time.Millisecond
		j.Observe(now, "x", "s", "r", Failed, time.Millisecond)
		if i%8 == 0 {
			j.Advance(now)
		}
	}
	assert.Assert(t, j.Assess(now, "x").Suspect)
	assert.Assert(t, !j.Assess(now, "x").EjectionCandidate)
}

// Guards against a backend server that serves as its own baseline.
func TestBaselineExcludesBackendServerItself(t *testing.T) {
	j := NewDetector()
	now := time.Duration(0)
	for i := range 160 {
		now += 125 * time.Millisecond
		j.Observe(now, "x", "s", "r", Failed, time.Millisecond)
		j.Observe(now, "y", "s", "r", OK, time.Millisecond)
		if i%8 == 0 {
			j.MergeBaseline(now, "s", nil)
			j.Advance(now)
		}
	}
	assert.Assert(t, j.Assess(now, "x").Suspect)
	assert.Assert(t, j.Assess(now, "x").EjectionCandidate)
	assert.Assert(t, !j.Assess(now, "y").Suspect)
}

// Guards against a suspected backend server without idempotent work that is never tried again.
func TestSuspicionFadesWithoutWork(t *testing.T) {
	b := newBench()
	b.seconds(10, good, good)
	b.seconds(3, failing, good)
	for range 60 {
		b.now += time.Second
		b.judge.MergeBaseline(b.now, "s", nil)
		b.judge.Advance(b.now)
	}
	assert.Assert(t, !b.verdict().Suspect)
}

// Guards against re-tests with work that must not repeat, and against a rate that grows with demand.
func TestRetestRate(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, gap := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond} {
		last, admitted := time.Duration(0), 0
		for now := time.Duration(0); now < time.Minute; now += gap {
			assert.Assert(t, !AdmitRetest(now-last, false, r))
			if AdmitRetest(now-last, true, r) {
				last = now
				admitted++
			}
		}
		assert.Assert(t, admitted >= 60 && admitted <= 600, "%v: %d in a minute", gap, admitted)
	}
}

// Guards against counting work twice or from before a restart of the guard, and
// against returning a guard's own work as its baseline.
func TestAggregatorPoolsOthersRecentWork(t *testing.T) {
	report := func(n uint64) []BackendCounters {
		c := RouteCounters{Route: "r", Requests: n, Failures: n / 10, LatencyBuckets: []uint32{0, uint32(n - n/10)}}
		return []BackendCounters{{BackendID: "x", Routes: []RouteCounters{c}}}
	}
	a := NewAggregator()
	a.Report(0, "n1", 1, report(1000))
	assert.DeepEqual(t, a.Report(0, "n2", 1, nil), []RouteCounters{})
	assert.DeepEqual(t, a.Report(time.Second, "n1", 1, report(1100)), []RouteCounters{})
	want := []RouteCounters{{Route: "r", Requests: 100, Failures: 10, LatencyBuckets: []uint32{0, 90}}}
	assert.DeepEqual(t, a.Report(time.Second, "n2", 1, nil), want)
	a.Report(2*time.Second, "n1", 2, report(50))
	assert.DeepEqual(t, a.Report(2*time.Second, "n2", 1, nil), []RouteCounters{})
	assert.DeepEqual(t, a.Report(10*time.Second, "n2", 1, nil), []RouteCounters{})
}

// Guards against a histogram whose buckets are out of order or out of range.
func TestBucketBounds(t *testing.T) {
	last := 0
	for l := time.Microsecond; l < time.Hour; l += l/10 + 1 {
		i := Bucket(l)
		assert.Assert(t, i >= last && i < BucketCount, fmt.Sprint(l))
		last = i
	}
	assert.Equal(t, last, BucketCount-1)
}
