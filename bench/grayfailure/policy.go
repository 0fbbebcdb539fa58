package grayfailure

import (
	"time"

	"github.com/jackdawlane/jackdawlane/health"
)

// detectorPolicy is the method of the fleet: a health.Detector for each guard and a
// health.Aggregator for each service.
type detectorPolicy struct {
	detectors   [guardCount]*health.Detector
	aggregators [serviceCount]*health.Aggregator
	reported    [guardCount][serviceCount]time.Duration
	// reports counts the reports that guards sent. reportTurns counts the turns in which
	// a guard could have sent one, which come once a second for each guard and service.
	reports, reportTurns int
}

func newDetectorPolicy() policy {
	p := &detectorPolicy{}
	for i := range p.detectors {
		p.detectors[i] = health.NewDetector()
	}
	for i := range p.aggregators {
		p.aggregators[i] = health.NewAggregator()
	}
	return p
}

func (p *detectorPolicy) observe(now time.Duration, backend, service int, route string, o health.Result, latency time.Duration) bool {
	return p.detectors[guardOf(backend)].Observe(now, backendNames[backend], serviceName(service), route, o, latency)
}

func (p *detectorPolicy) exchange(now time.Duration, guard int, sent, received bool) {
	detector := p.detectors[guard]
	for s, a := range p.aggregators {
		name := serviceName(s)
		counters := detector.Counters(name)
		due := now-p.reported[guard][s] >= health.ReportInterval || detector.NeedsBaseline(name)
		if len(counters) == 0 || !sent {
			continue
		}
		p.reportTurns++
		if !due {
			continue
		}
		p.reports++
		p.reported[guard][s] = now
		baseline := a.Report(now, backendName(guard), 1, counters)
		if received {
			detector.MergeBaseline(now, name, baseline)
		}
	}
	detector.Advance(now)
}

func (p *detectorPolicy) suspect(now time.Duration, backend int) bool {
	return p.detectors[guardOf(backend)].Assess(now, backendNames[backend]).Suspect
}

func (p *detectorPolicy) ejectable(now time.Duration, backend int) bool {
	return p.detectors[guardOf(backend)].Assess(now, backendNames[backend]).EjectionCandidate
}

// suspicionTime is how long the two baseline methods suspect a backend server. They ask for
// its ejection as soon as they suspect it.
const suspicionTime = 30 * time.Second

// consecutivePolicy suspects a backend server after 5 failures without a success in between.
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
		p.until[b] = now + suspicionTime
	}
	return false
}

func (p *consecutivePolicy) exchange(time.Duration, int, bool, bool) {}
func (p *consecutivePolicy) suspect(now time.Duration, b int) bool   { return now < p.until[b] }
func (p *consecutivePolicy) ejectable(now time.Duration, b int) bool { return now < p.until[b] }

// ratePolicy suspects a backend server if over 30 % of its requests in the last 10 s failed
// and there were at least 10 of them.
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
		p.until[b] = now + suspicionTime
		p.recent[b], p.bad[b] = nil, 0
	}
	return o == health.OK
}

func (p *ratePolicy) exchange(time.Duration, int, bool, bool) {}
func (p *ratePolicy) suspect(now time.Duration, b int) bool   { return now < p.until[b] }
func (p *ratePolicy) ejectable(now time.Duration, b int) bool { return now < p.until[b] }
