package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// env is the detector of a guard with a backend server "x", whose baseline comes from
// the requests of other guards.
type env struct {
	detector *Detector
	now      time.Duration
	// interval counts the requests of the other guards since the last MergeBaseline.
	interval RouteCounters
}

func newEnv() *env { return &env{detector: NewDetector(), interval: RouteCounters{Route: "r"}} }

// runSecond simulates one second: x serves n requests, and the other guards of the service
// serve 10 times as many.
func (e *env) runSecond(n int, own, others func(i int) (Result, time.Duration)) {
	for i := range n {
		e.now += time.Second / time.Duration(n)
		e.detector.Observe(e.now, "x", "s", "r", resultOf(own(i)), latencyOf(own(i)))
		for k := range 10 {
			o, l := others(i*10 + k)
			e.interval.count(o, l)
		}
	}
	e.detector.MergeBaseline(e.now, "s", []RouteCounters{e.interval})
	e.interval = RouteCounters{Route: "r"}
	e.detector.Advance(e.now)
}

func resultOf(o Result, _ time.Duration) Result         { return o }
func latencyOf(_ Result, l time.Duration) time.Duration { return l }

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

func (e *env) assessment() Assessment { return e.detector.Assess(e.now, "x") }

func (e *env) runSeconds(n int, own, others func(int) (Result, time.Duration)) (suspected bool) {
	for range n {
		e.runSecond(8, own, others)
		suspected = suspected || e.assessment().Suspect
	}
	return suspected
}

// Guards against not detecting a failing or slow backend server, and against a suspicion
// that stays after recovery.
func TestBadBackendServerIsSuspectedAndRecovers(t *testing.T) {
	for name, bad := range map[string]func(int) (Result, time.Duration){"failing": failing, "slow": slow} {
		t.Run(name, func(t *testing.T) {
			e := newEnv()
			assert.Assert(t, !e.runSeconds(10, good, good))
			e.runSecond(8, bad, good)
			assert.Assert(t, e.assessment().Suspect)
			assert.Assert(t, !e.assessment().EjectionCandidate, "ejected after one second of evidence")
			e.runSeconds(20, bad, good)
			assert.Assert(t, e.assessment().EjectionCandidate)
			e.runSeconds(5, good, good)
			assert.Assert(t, !e.assessment().Suspect)
			assert.Assert(t, !e.assessment().EjectionCandidate)
		})
	}
}

// Guards against suspecting a backend server because of a fault of the requests or of the
// whole service, which fails or slows the other backend servers alike.
func TestSharedFaultIsNoEvidence(t *testing.T) {
	for name, fault := range map[string]func(int) (Result, time.Duration){"failing": failing, "slow": slow} {
		t.Run(name, func(t *testing.T) {
			e := newEnv()
			e.runSeconds(10, good, good)
			e.runSecond(8, fault, fault)
			for range 60 {
				e.runSecond(8, fault, fault)
				assert.Assert(t, !e.assessment().Suspect)
				assert.Assert(t, !e.assessment().EjectionCandidate)
			}
		})
	}
}

// Guards against counting shed requests as failures, and against taking a few slow
// requests, which the baseline has too, for slowness.
func TestSheddingAndStragglersAreNotFaults(t *testing.T) {
	e := newEnv()
	assert.Assert(t, !e.runSeconds(30, shed, good))
	assert.Assert(t, !e.runSeconds(60, straggling, straggling))
	assert.Assert(t, !e.assessment().EjectionCandidate)
}

// Guards against ejection without a baseline, and against a detector that does not even
// suspect a failing backend server while the baseline is missing.
func TestMissingBaseline(t *testing.T) {
	d := NewDetector()
	now := time.Duration(0)
	for i := range 400 {
		now += 125 * time.Millisecond
		d.Observe(now, "x", "s", "r", Failed, time.Millisecond)
		if i%8 == 0 {
			d.Advance(now)
		}
	}
	assert.Assert(t, d.Assess(now, "x").Suspect)
	assert.Assert(t, !d.Assess(now, "x").EjectionCandidate)
}

// Guards against a baseline that includes the backend server's own requests, so that its
// failures look normal.
func TestBaselineExcludesBackendServerItself(t *testing.T) {
	d := NewDetector()
	now := time.Duration(0)
	for i := range 160 {
		now += 125 * time.Millisecond
		d.Observe(now, "x", "s", "r", Failed, time.Millisecond)
		d.Observe(now, "y", "s", "r", OK, time.Millisecond)
		if i%8 == 0 {
			d.MergeBaseline(now, "s", nil)
			d.Advance(now)
		}
	}
	assert.Assert(t, d.Assess(now, "x").Suspect)
	assert.Assert(t, d.Assess(now, "x").EjectionCandidate)
	assert.Assert(t, !d.Assess(now, "y").Suspect)
}

// Guards against a backend server that stays suspect for ever because the service has no
// idempotent requests to re-test it with.
func TestSuspicionDecaysWithoutRequests(t *testing.T) {
	e := newEnv()
	e.runSeconds(10, good, good)
	e.runSeconds(3, failing, good)
	for range 60 {
		e.now += time.Second
		e.detector.MergeBaseline(e.now, "s", nil)
		e.detector.Advance(e.now)
	}
	assert.Assert(t, !e.assessment().Suspect)
}

// Guards against re-tests with requests that must not be repeated, and against a re-test
// rate that grows with demand.
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
		assert.Assert(t, admitted >= 60 && admitted <= 600, "requests every %v: %d re-tests in a minute", gap, admitted)
	}
}

// Guards against counting requests twice or counting those from before a restart of the
// guard, and against returning a guard's own requests as its baseline.
func TestReportReturnsNewRequestsOfOtherGuards(t *testing.T) {
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

// Guards against bucket numbers that fall with rising latency or are out of range.
func TestBucketBounds(t *testing.T) {
	last := 0
	for l := time.Microsecond; l < time.Hour; l += l/10 + 1 {
		i := Bucket(l)
		assert.Assert(t, i >= last && i < BucketCount, fmt.Sprint(l))
		last = i
	}
	assert.Equal(t, last, BucketCount-1)
}
