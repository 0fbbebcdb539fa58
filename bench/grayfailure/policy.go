package grayfailure

import (
	"time"

	"github.com/jackdawlane/jackdawlane/health"
)

// judgePolicy runs one Detector per guard and one aggregator per service.
type judgePolicy struct {
	judges      [guardCount]*health.Detector
	aggregators [serviceCount]*health.Aggregator
	reported    [guardCount][serviceCount]time.Duration
	// reports counts the reports sent, turns the seconds in which one might have been.
	reports, turns int
}

func newJudgePolicy() policy {
	p := &judgePolicy{}
	for i := range p.judges {
		p.judges[i] = health.NewDetector()
	}
	for i := range p.aggregators {
		p.aggregators[i] = health.NewAggregator()
	}
	return p
}

func (p *judgePolicy) observe(now time.Duration, backend, service int, route string, o health.Result, latency time.Duration) bool {
	return p.judges[guardOf(backend)].Observe(now, names[backend], serviceName(service), route, o, latency)
}

func (p *judgePolicy) exchange(now time.Duration, guard int, sent, received bool) {
	j := p.judges[guard]
	for s, a := range p.aggregators {
		name := serviceName(s)
		counters := j.Counters(name)
		due := now-p.reported[guard][s] >= health.ReportInterval || j.NeedsBaseline(name)
		if len(counters) == 0 || !sent {
			continue
		}
		p.turns++
		if !due {
			continue
		}
		p.reports++
		p.reported[guard][s] = now
		baseline := a.Report(now, backendName(guard), 1, counters)
		if received {
			j.MergeBaseline(now, name, baseline)
		}
	}
	j.Advance(now)
}

func (p *judgePolicy) suspect(now time.Duration, backend int) bool {
	return p.judges[guardOf(backend)].Assess(now, names[backend]).Suspect
}

func (p *judgePolicy) candidate(now time.Duration, backend int) bool {
	return p.judges[guardOf(backend)].Assess(now, names[backend]).EjectionCandidate
}

// The two measured baselines set a backend server aside for flagTime at once, and
// ask for its ejection at the same moment.
const flagTime = 30 * time.Second

type consecutivePolicy struct {
	failures [backendCount]int
	until    [backendCount]time.Duration
}

func newConsecutivePolicy() policy { return &consecutivePolicy{} }

func (p *consecutivePolicy) observe(now time.Duration, b, _ int, _ string, o health.Result, _ time.Duration) bool {
	if o == health.Shed {
		return false
	}
	if o == health.OK {
		p.failures[b] = 0
		return true
	}
	p.failures[b]++
	if p.failures[b] >= 5 {
		p.failures[b] = 0
		p.until[b] = now + flagTime
	}
	return false
}

func (p *consecutivePolicy) exchange(time.Duration, int, bool, bool) {}
func (p *consecutivePolicy) suspect(now time.Duration, b int) bool   { return now < p.until[b] }
func (p *consecutivePolicy) candidate(now time.Duration, b int) bool { return now < p.until[b] }

// ratePolicy flags over 30 % failures in 10 s, from 10 requests.
type ratePolicy struct {
	recent [backendCount][]rateSample
	bad    [backendCount]int
	until  [backendCount]time.Duration
}

type rateSample struct {
	at     time.Duration
	failed bool
}

func newRatePolicy() policy { return &ratePolicy{} }

func (p *ratePolicy) observe(now time.Duration, b, _ int, _ string, o health.Result, _ time.Duration) bool {
	if o == health.Shed {
		return false
	}
	p.recent[b] = append(p.recent[b], rateSample{now, o == health.Failed})
	if o == health.Failed {
		p.bad[b]++
	}
	for now-p.recent[b][0].at > 10*time.Second {
		if p.recent[b][0].failed {
			p.bad[b]--
		}
		p.recent[b] = p.recent[b][1:]
	}
	if n := len(p.recent[b]); n >= 10 && float64(p.bad[b]) > 0.3*float64(n) {
		p.until[b] = now + flagTime
		p.recent[b], p.bad[b] = nil, 0
	}
	return o == health.OK
}

func (p *ratePolicy) exchange(time.Duration, int, bool, bool) {}
func (p *ratePolicy) suspect(now time.Duration, b int) bool   { return now < p.until[b] }
func (p *ratePolicy) candidate(now time.Duration, b int) bool { return now < p.until[b] }
