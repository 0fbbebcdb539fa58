package overload

import (
	"time"

	"github.com/jackdawlane/jackdawlane/balance"
)

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// capacity returns how many short requests per second all backend servers together can serve.
func capacity(slots int) float64 { return float64(serverCount*slots) / shortMean.Seconds() }

// The demand swing rises from 5 s to 7 s, stays at its peak until 17 s and falls until 19 s.
const (
	swingStart = 5 * time.Second
	swingFull  = 7 * time.Second
	swingFall  = 17 * time.Second
	swingEnd   = 19 * time.Second
)

// swingDemand returns the ratio of demand to capacity at time t: 0.6 at first, 3 for 10 s, then 0.6 again.
func swingDemand(t time.Duration) float64 {
	const low, high = 0.6, 3
	switch {
	case t < swingStart || t >= swingEnd:
		return low
	case t < swingFull:
		return low + (high-low)*(t-swingStart).Seconds()/(swingFull-swingStart).Seconds()
	case t < swingFall:
		return high
	}
	return high - (high-low)*(t-swingFall).Seconds()/(swingEnd-swingFall).Seconds()
}

// swingWorkload runs the demand swing and returns the measured values by column name.
func swingWorkload(p policy, d distribution, slots int, seed uint64) map[string]float64 {
	c := capacity(slots)
	s := &run{policy: p, dist: d, slots: slots, seed: seed, until: 25 * time.Second, sources: []source{
		{org: "a", rate: func(t time.Duration) float64 { return c * swingDemand(t) }, maxRate: 3 * c},
	}}
	s.simulate()
	useful, refusals := 0, []time.Duration{}
	for _, r := range s.results {
		if r.ok && r.end >= swingFull && r.end < swingFall {
			useful++
		}
		if !r.ran {
			refusals = append(refusals, r.end-r.arrived)
		}
	}
	seconds := (swingFall - swingFull).Seconds()
	before := percentile(s.latenciesWithRefused(between(time.Second, swingStart)), 0.99)
	after := percentile(s.latenciesWithRefused(between(swingEnd+time.Second, 25*time.Second)), 0.99)
	return map[string]float64{
		"useful % of capacity":        100 * float64(useful) / (c * seconds),
		"slowest refusal ms":          millis(percentile(refusals, 1)),
		"p99 before ms":               millis(before),
		"p99 after ms":                millis(after),
		"p99 after/before":            float64(after) / float64(max(1, before)),
		"success 1 s after, %":        100 * s.success(between(swingEnd+time.Second, 25*time.Second)),
		"p99 answered in the peak ms": millis(percentile(s.latencies(between(swingFull, swingFall)), 0.99)),
	}
}

// mixedWorkload runs a load of 80 % of capacity in which 5 % of the requests are long, and
// for comparison the same short requests alone.
func mixedWorkload(p policy, d distribution, slots int, seed uint64, until time.Duration) map[string]float64 {
	n := 0.8 * capacity(slots) / (0.95 + 0.05*longRatio)
	short := source{org: "a", rate: constant(0.95 * n), maxRate: 0.95 * n}
	long := source{org: "a", long: true, rate: constant(0.05 * n), maxRate: 0.05 * n}
	const warm = 5 * time.Second
	isShort := func(r result) bool { return !r.long && r.arrived >= warm }
	isLong := func(r result) bool { return r.long && r.arrived >= warm }
	alone := &run{policy: p, dist: d, slots: slots, seed: seed, until: until, sources: []source{short}}
	alone.simulate()
	both := &run{policy: p, dist: d, slots: slots, seed: seed, until: until, sources: []source{short, long}}
	both.simulate()
	a, b := percentile(alone.latenciesWithRefused(isShort), 0.99), percentile(both.latenciesWithRefused(isShort), 0.99)
	return map[string]float64{
		"short p99 alone ms": millis(a),
		"short p99 mixed ms": millis(b),
		"short p99 ratio":    float64(b) / float64(a),
		"short success %":    100 * both.success(isShort),
		"long success %":     100 * both.success(isLong),
	}
}

// burstWorkload runs five organisations that demand 12 % of capacity each. At 5 s, the
// demand of one of them rises tenfold.
func burstWorkload(p policy, d distribution, slots int, seed uint64) map[string]float64 {
	c := capacity(slots) * 0.12
	const from, until = 5 * time.Second, 15 * time.Second
	sources := []source{{org: "burst", maxRate: 10 * c, rate: func(t time.Duration) float64 {
		if t < from {
			return c
		}
		return 10 * c
	}}}
	for _, org := range []string{"a", "b", "c", "d"} {
		sources = append(sources, source{org: org, rate: constant(c), maxRate: c})
	}
	s := &run{policy: p, dist: d, slots: slots, seed: seed, until: until, sources: sources}
	s.simulate()
	others := func(r result) bool { return r.org != "burst" && r.arrived >= from+time.Second }
	beforeBurst := func(r result) bool { return r.org != "burst" && r.arrived < from && r.arrived >= time.Second }
	refusals := []time.Duration{}
	for _, r := range s.results {
		if !r.ran {
			refusals = append(refusals, r.end-r.arrived)
		}
	}
	bursting := func(r result) bool { return r.org == "burst" && r.arrived >= from+time.Second }
	return map[string]float64{
		"others' success %":     100 * s.success(others),
		"others' p99 ms":        millis(percentile(s.latenciesWithRefused(others), 0.99)),
		"others' p99 before ms": millis(percentile(s.latenciesWithRefused(beforeBurst), 0.99)),
		"slowest refusal ms":    millis(percentile(refusals, 1)),
		"burst's own success %": 100 * s.success(bursting),
	}
}

// herdWorkload runs a load of 60 % of capacity. The load reports arrive after reportDelay, and
// falseReport, if set, replaces the reports of server 0.
func herdWorkload(p policy, slots int, seed uint64, reportDelay time.Duration, falseReport *balance.Feedback) map[string]float64 {
	c := 0.6 * capacity(slots)
	s := &run{policy: p, dist: exponential, slots: slots, seed: seed, until: 15 * time.Second,
		reportDelay: reportDelay, falseReport: falseReport, sources: []source{{org: "a", rate: constant(c), maxRate: c}}}
	s.simulate()
	most, total, peak, mean := 0, 0, 0.0, 0.0
	samples := len(s.servers[0].loads)
	for _, g := range s.servers {
		most, total = max(most, g.served), total+g.served
	}
	for i := range samples {
		top := 0.0
		for _, g := range s.servers {
			top = max(top, g.loads[i])
			mean += g.loads[i] / float64(serverCount*samples)
		}
		peak += top / float64(samples)
	}
	all := func(result) bool { return true }
	return map[string]float64{
		"max/mean served": float64(most*serverCount) / float64(total),
		"max/mean load":   peak / mean,
		"p99 ms":          millis(percentile(s.latenciesWithRefused(all), 0.99)),
		"success %":       100 * s.success(all),
	}
}
