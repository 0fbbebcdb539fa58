package grayfailure

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

var backendNames = func() (n [backendCount]string) {
	for i := range n {
		n[i] = backendName(i)
	}
	return n
}()

var policies = []struct {
	name string
	make func() policy
}{
	{"judge", newDetectorPolicy},
	{"5 consecutive errors", newConsecutivePolicy},
	{"over 30 % errors in 10 s", newRatePolicy},
}

// measureUndisturbed measures a run with one faulty backend server in each service, after a minute
// without faults and without disturbances.
func measureUndisturbed(seed uint64, p policy, f *fault) result {
	r := newRun(seed, p)
	r.advance(time.Minute + time.Duration(r.rng.IntN(1000))*time.Millisecond)
	var broken []int
	for s := range serviceCount {
		broken = append(broken, s*perService+r.rng.IntN(perService))
	}
	for _, i := range broken {
		r.startFault(i, f)
	}
	r.advance(r.now + time.Minute)
	for _, i := range broken {
		r.endFault(i)
	}
	return r.finish()
}

// finish returns the result, with the reports that detectorPolicy counted.
func (r *run) finish() result {
	if p, ok := r.policy.(*detectorPolicy); ok {
		r.result.reports, r.result.reportTurns = p.reports, p.reportTurns
	}
	return r.result
}

// disturbance changes the condition of a service, or cuts paths, for a part of each
// disturbance cycle. The times from and to count from the start of the cycle.
type disturbance struct {
	from, to time.Duration
	change   func(r *run, s int, until time.Duration)
}

func onService(change func(c *serviceCondition)) func(*run, int, time.Duration) {
	return func(r *run, s int, _ time.Duration) { change(&r.conditions[s]) }
}

var disturbances = []disturbance{
	// Demand rises fourfold and, 1 s later, tenfold; queues lengthen and work is shed.
	{30 * time.Second, 31 * time.Second, onService(func(c *serviceCondition) { c.demand, c.latencyFactor, c.shedShare = 4, 1.5, 0.1 })},
	{31 * time.Second, 60 * time.Second, onService(func(c *serviceCondition) { c.demand, c.latencyFactor, c.shedShare = 10, 3, 0.3 })},
	{100 * time.Second, 280 * time.Second, onService(func(c *serviceCondition) { c.latencyFactor = 3 })},
	{320 * time.Second, 350 * time.Second, onService(func(c *serviceCondition) { c.failShare = 0.4 })},
	{380 * time.Second, 440 * time.Second, onService(func(c *serviceCondition) { c.brokenShare = 0.1 })},
	{460 * time.Second, 500 * time.Second, onService(func(c *serviceCondition) { c.badOrganisationShare = 0.15 })},
	{510 * time.Second, 560 * time.Second, cutPaths},
}

// cutPaths cuts one path in one direction for each of three guards: the work sent to the first
// guard, the reports of the second, and the replies to the reports of the third.
func cutPaths(r *run, _ int, until time.Duration) {
	if r.now < r.cutUntil {
		return
	}
	r.cutUntil = until
	g := r.rng.IntN(guardCount - 2)
	for i := range backendCount {
		switch guardOf(i) {
		case g:
			r.servers[i].unreachableUntil = until
		case g + 1:
			r.servers[i].reportsLostUntil = until
		case g + 2:
			r.servers[i].repliesLostUntil = until
		}
	}
}

const disturbanceCycle = 10 * time.Minute

// measureDisturbed measures a run of some hours with disturbances. In each cycle, one backend
// server is faulty for 100 s.
func measureDisturbed(seed uint64, p policy, hours int) result {
	r := newRun(seed, p)
	for n := range hours * int(time.Hour/disturbanceCycle) {
		r.disturbedCycle(n)
	}
	return r.finish()
}

func (r *run) disturbedCycle(n int) {
	start := r.now
	s := r.rng.IntN(serviceCount)
	broken := r.rng.IntN(backendCount)
	faultAt := start + time.Duration(r.rng.IntN(480))*time.Second
	done := false
	for r.now < start+disturbanceCycle {
		r.setCondition(s, start)
		if r.now >= faultAt && r.servers[broken].fault == nil && !done {
			r.startFault(broken, &faults[n%len(faults)])
		}
		if r.now >= faultAt+100*time.Second && r.servers[broken].fault != nil {
			r.endFault(broken)
			done = true
		}
		r.advance(r.now + time.Second)
	}
}

func (r *run) setCondition(s int, start time.Duration) {
	r.conditions[s] = normalCondition
	at := r.now - start
	for _, d := range disturbances {
		if at >= d.from && at < d.to {
			d.change(r, s, start+d.to)
		}
	}
}

func (a *result) add(b result) {
	for k, v := range b.detections {
		a.detections[k] = append(a.detections[k], v...)
	}
	for k, v := range b.ejections {
		a.ejections[k] += v
	}
	for k, v := range b.missed {
		a.missed[k] += v
	}
	a.healthySuspected += b.healthySuspected
	a.healthyEjected += b.healthyEjected
	a.requests += b.requests
	a.reports += b.reports
	a.reportTurns += b.reportTurns
}

// parallelRuns is the number of seeds that run concurrently. It bounds the processor use on shared machines.
const parallelRuns = 4

// reportRate returns the reports that a guard sends about one service, per second.
func (a result) reportRate() float64 { return float64(a.reports) / float64(a.reportTurns) }

// sumOverSeeds calls measureSeed for each seed and adds up the results.
func sumOverSeeds(first, seeds int, measureSeed func(seed uint64) result) result {
	results := make([]result, seeds)
	running := make(chan struct{}, parallelRuns)
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Go(func() {
			running <- struct{}{}
			results[i] = measureSeed(uint64(first + i))
			<-running
		})
	}
	wg.Wait()
	sum := newResult()
	for _, r := range results {
		sum.add(r)
	}
	return sum
}

func (a result) median(fault string) time.Duration {
	d := slices.Sorted(slices.Values(a.detections[fault]))
	if len(d) == 0 {
		return 0
	}
	return d[len(d)/2]
}

func (a result) worst(fault string) time.Duration {
	if len(a.detections[fault]) == 0 {
		return 0
	}
	return slices.Max(a.detections[fault])
}

func (a result) row(policy, fault string) string {
	found := len(a.detections[fault])
	median, worst := "-", "-"
	if found > 0 {
		median = fmt.Sprintf("%.2f s", a.median(fault).Seconds())
		worst = fmt.Sprintf("%.2f s", a.worst(fault).Seconds())
	}
	return fmt.Sprintf("| %s | %s | %d of %d | %s | %s | %d | %d | %d |\n", policy, fault,
		found, found+a.missed[fault], median, worst, a.ejections[fault], a.healthySuspected, a.healthyEjected)
}

const tableHeader = `| method | fault | suspected | median | worst | ejected | healthy suspected | healthy ejected |
|---|---|---|---|---|---|---|---|
`

// Targets that the design of the fleet sets for the time from the start of a fault to the
// suspicion.
const (
	medianTarget = time.Second
	worstTarget  = 3 * time.Second
)

// missedTargets returns the targets that the result misses for the measured faults.
func (a result) missedTargets(where string, measured ...string) []string {
	var m []string
	for _, f := range measured {
		if a.missed[f] > 0 || a.median(f) > medianTarget || a.worst(f) > worstTarget {
			m = append(m, fmt.Sprintf("%s: %s: median %v, worst %v, never %d", where, f, a.median(f), a.worst(f), a.missed[f]))
		}
	}
	if a.healthyEjected > 0 {
		m = append(m, fmt.Sprintf("%s: %d healthy backend servers ejected", where, a.healthyEjected))
	}
	return m
}

// measure returns the tables and the targets that the method of the fleet misses.
func measure(first, seeds, hours int) (string, []string) {
	var out, reports strings.Builder
	var misses []string
	fmt.Fprintf(&out, "## One fault in each service, otherwise quiet (seeds %d to %d, 2 virtual minutes each)\n\n%s", first, first+seeds-1, tableHeader)
	var quietReports result
	for _, p := range policies {
		for i := range faults {
			f := &faults[i]
			r := sumOverSeeds(first, seeds, func(seed uint64) result { return measureUndisturbed(seed, p.make(), f) })
			out.WriteString(r.row(p.name, f.name))
			if p.name == policies[0].name {
				misses = append(misses, r.missedTargets("quiet", targetFault(f.name)...)...)
				quietReports.reports, quietReports.reportTurns = quietReports.reports+r.reports, quietReports.reportTurns+r.reportTurns
			}
		}
	}
	fmt.Fprintf(&out, "\n## Disturbed (seeds %d to %d, %d virtual hours each)\n\n%s", first, first+seeds-1, hours, tableHeader)
	for _, p := range policies {
		r := sumOverSeeds(first, seeds, func(seed uint64) result { return measureDisturbed(seed, p.make(), hours) })
		for _, f := range faults {
			out.WriteString(r.row(p.name, f.name))
		}
		if p.name == policies[0].name {
			misses = append(misses, r.missedTargets("disturbed", faults[1].name, faults[2].name)...)
			fmt.Fprintf(&reports, "\n## Reports\n\nReports of a guard on one service, which would be 1 each second: %.2f/s in the quiet runs and %.2f/s in the disturbed ones.\n",
				quietReports.reportRate(), r.reportRate())
		}
	}
	out.WriteString(reports.String())
	return out.String(), misses
}

// targetFault returns the fault in a slice if the targets apply to it, and nil otherwise.
func targetFault(fault string) []string {
	if fault == faults[1].name || fault == faults[2].name {
		return []string{fault}
	}
	return nil
}

// Short measures seeds 1 to 3 for a virtual hour each. It returns the tables in
// Markdown and the targets that were missed.
func Short() (report string, missed []string) { return measure(1, 3, 1) }

// measuredSeed is the first seed of a full measurement. No threshold was tuned on the seeds from here on.
const measuredSeed = 101

// Full measures 20 seeds for 8 virtual hours each, which takes some minutes. It returns
// the complete report in Markdown and the targets that were missed.
func Full() (report string, missed []string) {
	table, missed := measure(measuredSeed, 20, 8)
	conclusion := "All targets are met.\n"
	if len(missed) > 0 {
		conclusion = "Targets missed:\n\n- " + strings.Join(missed, "\n- ") + "\n"
	}
	return preamble + table + "\n## Targets\n\n" + conclusion, missed
}
