package admission_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/balance"
)

// reportVariable names the file that the full measurement writes.
const reportVariable = "OVERLOAD_REPORT"

// parallel is the number of seeds that run at once.
const parallel = 5

// full reports whether the full version was asked for.
func full() bool { return os.Getenv(reportVariable) != "" }

// slotCounts returns the slots of the servers measured.
func slotCounts() []int {
	if full() {
		return []int{7, 4}
	}
	return []int{4}
}

// seeds returns the seeds of the short or the full version.
func seeds() []uint64 {
	n := 2
	if full() {
		n = 10
	}
	all := make([]uint64, n)
	for i := range all {
		all[i] = uint64(i + 1)
	}
	return all
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// capacity is the short requests per second that all servers can serve.
func capacity(slots int) float64 { return float64(servers*slots) / shortMean.Seconds() }

func percentile(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(p*float64(len(ds))))]
}

// waits is like latencies, and counts a request without an answer as one at its deadline.
func (s *run) waits(keep func(result) bool) []time.Duration {
	var ds []time.Duration
	for _, r := range s.results {
		if !keep(r) {
			continue
		}
		if !r.ran {
			r.end = max(r.end, r.deadline)
		}
		ds = append(ds, r.end-r.arrived)
	}
	return ds
}

// latencies selects the latencies of answered requests.
func (s *run) latencies(keep func(result) bool) []time.Duration {
	var ds []time.Duration
	for _, r := range s.results {
		if r.ran && keep(r) {
			ds = append(ds, r.end-r.arrived)
		}
	}
	return ds
}

// success is the share of the selected requests that were answered in time.
func (s *run) success(keep func(result) bool) float64 {
	n, ok := 0, 0
	for _, r := range s.results {
		if keep(r) {
			n++
			if r.ok {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(1, n))
}

func between(from, to time.Duration) func(result) bool {
	return func(r result) bool { return r.arrived >= from && r.arrived < to }
}

func millis(d time.Duration) float64 { return float64(d) / float64(ms) }

// Times of the swing: it rises from 5 s to 7 s, stays until 17 s and falls until 19 s.
const (
	swingStart = 5 * time.Second
	swingFull  = 7 * time.Second
	swingFall  = 17 * time.Second
	swingEnd   = 19 * time.Second
)

// swing is demand over capacity: 0.6, 3 for 10 s, and back.
func swing(t time.Duration) float64 {
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

func overload(p policy, d distribution, slots int, seed uint64) map[string]float64 {
	c := capacity(slots)
	s := &run{policy: p, dist: d, slots: slots, seed: seed, until: 25 * time.Second, sources: []source{
		{org: "a", rate: func(t time.Duration) float64 { return c * swing(t) }, maxRate: 3 * c},
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
	before := percentile(s.waits(between(time.Second, swingStart)), 0.99)
	after := percentile(s.waits(between(swingEnd+time.Second, 25*time.Second)), 0.99)
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

// mixed runs 80 % load of which 5 % of requests are long, and the same short
// requests alone.
func mixed(p policy, d distribution, slots int, seed uint64) map[string]float64 {
	n := 0.8 * capacity(slots) / (0.95 + 0.05*longRatio)
	short := source{org: "a", rate: constant(0.95 * n), maxRate: 0.95 * n}
	long := source{org: "a", long: true, rate: constant(0.05 * n), maxRate: 0.05 * n}
	const warm = 5 * time.Second
	until := 20 * time.Second
	if full() {
		until = 65 * time.Second
	}
	isShort := func(r result) bool { return !r.long && r.arrived >= warm }
	isLong := func(r result) bool { return r.long && r.arrived >= warm }
	alone := &run{policy: p, dist: d, slots: slots, seed: seed, until: until, sources: []source{short}}
	alone.simulate()
	both := &run{policy: p, dist: d, slots: slots, seed: seed, until: until, sources: []source{short, long}}
	both.simulate()
	a, b := percentile(alone.waits(isShort), 0.99), percentile(both.waits(isShort), 0.99)
	return map[string]float64{
		"short p99 alone ms": millis(a),
		"short p99 mixed ms": millis(b),
		"short p99 ratio":    float64(b) / float64(a),
		"short success %":    100 * both.success(isShort),
		"long success %":     100 * both.success(isLong),
	}
}

// burst has five organisations at 12 % of capacity each; one rises tenfold at 5 s.
func burst(p policy, d distribution, slots int, seed uint64) map[string]float64 {
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
	calm := func(r result) bool { return r.org != "burst" && r.arrived < from && r.arrived >= time.Second }
	refusals := []time.Duration{}
	for _, r := range s.results {
		if !r.ran {
			refusals = append(refusals, r.end-r.arrived)
		}
	}
	bursting := func(r result) bool { return r.org == "burst" && r.arrived >= from+time.Second }
	return map[string]float64{
		"others' success %":     100 * s.success(others),
		"others' p99 ms":        millis(percentile(s.waits(others), 0.99)),
		"others' p99 before ms": millis(percentile(s.waits(calm), 0.99)),
		"slowest refusal ms":    millis(percentile(refusals, 1)),
		"burst's own success %": 100 * s.success(bursting),
	}
}

// herd has 60 % load with the given reports.
func herd(p policy, slots int, seed uint64, late time.Duration, fake *balance.Reply) map[string]float64 {
	c := 0.6 * capacity(slots)
	s := &run{policy: p, dist: exponential, slots: slots, seed: seed, until: 15 * time.Second,
		lateReport: late, falseReport: fake, sources: []source{{org: "a", rate: constant(c), maxRate: c}}}
	s.simulate()
	most, total, peak, mean := 0, 0, 0.0, 0.0
	samples := len(s.guards[0].loads)
	for _, g := range s.guards {
		most, total = max(most, g.served), total+g.served
	}
	for i := range samples {
		top := 0.0
		for _, g := range s.guards {
			top = max(top, g.loads[i])
			mean += g.loads[i] / float64(servers*samples)
		}
		peak += top / float64(samples)
	}
	all := func(result) bool { return true }
	return map[string]float64{
		"max/mean served": float64(most*servers) / float64(total),
		"max/mean load":   peak / mean,
		"p99 ms":          millis(percentile(s.waits(all), 0.99)),
		"success %":       100 * s.success(all),
	}
}

// figure is a set of values over the seeds.
type figure map[string][]float64

func over(f func(seed uint64) map[string]float64) figure {
	out := figure{}
	var wg sync.WaitGroup
	results := make([]map[string]float64, len(seeds()))
	for i, seed := range seeds() {
		wg.Go(func() { results[i] = f(seed) })
		if i%parallel == parallel-1 {
			wg.Wait()
		}
	}
	wg.Wait()
	for _, r := range results {
		for k, v := range r {
			out[k] = append(out[k], v)
		}
	}
	for _, vs := range out {
		slices.Sort(vs)
	}
	return out
}

func (f figure) min(k string) float64 { return f[k][0] }
func (f figure) max(k string) float64 { return f[k][len(f[k])-1] }

// cell shows the median with the spread.
func (f figure) cell(k string) string {
	vs := f[k]
	return fmt.Sprintf("%.4g (%.4g-%.4g)", vs[len(vs)/2], vs[0], vs[len(vs)-1])
}

// table collects rows of the report.
type table struct{ b strings.Builder }

func (t *table) section(title string, columns ...string) {
	fmt.Fprintf(&t.b, "\n## %s\n\n| %s |\n|%s\n", title, strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
}

func (t *table) row(name string, f figure, columns []string) {
	cells := []string{name}
	for _, c := range columns {
		cells = append(cells, f.cell(c))
	}
	fmt.Fprintf(&t.b, "| %s |\n", strings.Join(cells, " | "))
}

// Guards against overload that wastes capacity or lasts after demand has fallen,
// against short work blocked by long work, against a burst at the cost of other
// organisations, and against herding.
func TestOverload(t *testing.T) {
	var doc table
	t.Logf("seeds %v", seeds())
	t.Run("swing", func(t *testing.T) { measureSwing(t, &doc) })
	t.Run("mixed", func(t *testing.T) { measureMixed(t, &doc) })
	t.Run("burst", func(t *testing.T) { measureBurst(t, &doc) })
	t.Run("herd", func(t *testing.T) { measureHerd(t, &doc) })
	t.Log(doc.b.String())
	if path := os.Getenv(reportVariable); path != "" {
		assert.NilError(t, os.WriteFile(path, []byte(preface()+doc.b.String()), 0o644))
	}
}

func preface() string {
	return fmt.Sprintf(`# Overload, fairness and load balancing

Written by `+"`"+`OVERLOAD_REPORT="$PWD/docs/measurements/overload.md" go test -count=1 -run TestOverload -timeout 20m ./admission`+"`"+`.

Virtual time, %d backend servers, %d entries, one-way hop delay %v, mean service
time of short work %v, of long work %d times that; deadline %v (long %v).
Seeds %v: median (lowest-highest). "random, FIFO" and "least loaded, FIFO" are the
baselines with one unbounded first-in-first-out queue for each backend server; the
load reports of the second are refreshed each %v.
An entry makes up to %d attempts, and tries short work again only within %v of its arrival.
A 99th percentile counts a request without an answer as one at its deadline, except "answered
in the peak", which counts answers only. The slowest refusal includes work dropped from a queue.
`, servers, entries, hopDelay, shortMean, longRatio, shortTimeout, longTimeout, seeds(), staleReports, attempts, retryWithin)
}

// each calls f for every policy, number of slots and, where asked for, distribution.
func each(dists []distribution, f func(name string, p policy, d distribution, slots int)) {
	compared := policies
	if !full() {
		dists, compared = dists[:1], policies[:1]
	}
	for _, slots := range slotCounts() {
		for _, d := range dists {
			for _, p := range compared {
				f(fmt.Sprintf("%d slots, %s, %s", slots, d, p), p, d, slots)
			}
		}
	}
}

var bothDistributions = []distribution{exponential, lognormal}

func measureSwing(t *testing.T, doc *table) {
	columns := []string{"useful % of capacity", "slowest refusal ms", "p99 before ms", "p99 after ms", "p99 after/before", "success 1 s after, %", "p99 answered in the peak ms"}
	doc.section("Demand to 3 times capacity within 2 s, held 10 s, and back", append([]string{"case"}, columns...)...)
	each(bothDistributions, func(name string, p policy, d distribution, slots int) {
		f := over(func(seed uint64) map[string]float64 { return overload(p, d, slots, seed) })
		doc.row(name, f, columns)
		if p == ours {
			assert.Check(t, f.min("useful % of capacity") >= 95, "%s: %v", name, f)
			assert.Check(t, f.max("slowest refusal ms") <= 50, "%s: %v", name, f)
			assert.Check(t, f.max("p99 after/before") <= 1.1 || f.max("p99 after ms") <= 1000, "%s: %v", name, f)
		}
	})
}

func measureMixed(t *testing.T, doc *table) {
	columns := []string{"short p99 alone ms", "short p99 mixed ms", "short p99 ratio", "short success %", "long success %"}
	doc.section("5 % of work 50 times as long at 80 % load", append([]string{"case"}, columns...)...)
	each(bothDistributions, func(name string, p policy, d distribution, slots int) {
		f := over(func(seed uint64) map[string]float64 { return mixed(p, d, slots, seed) })
		doc.row(name, f, columns)
		if p == ours {
			assert.Check(t, f.max("short p99 ratio") <= 2, "%s: %v", name, f)
		}
	})
}

func measureBurst(t *testing.T, doc *table) {
	columns := []string{"others' success %", "others' p99 ms", "others' p99 before ms", "burst's own success %", "slowest refusal ms"}
	doc.section("One of five organisations bursts from 12 % to 120 % of capacity", append([]string{"case"}, columns...)...)
	each([]distribution{exponential}, func(name string, p policy, d distribution, slots int) {
		f := over(func(seed uint64) map[string]float64 { return burst(p, d, slots, seed) })
		doc.row(name, f, columns)
		if p == ours {
			assert.Check(t, f.min("others' success %") >= 98, "%s: %v", name, f)
		}
	})
}

func measureHerd(t *testing.T, doc *table) {
	columns := []string{"max/mean served", "max/mean load", "p99 ms", "success %"}
	doc.section("Stale and false reports at 60 % load", append([]string{"case"}, columns...)...)
	cases := []struct {
		name string
		late time.Duration
		fake *balance.Reply
	}{
		{"good reports", 0, nil},
		{"reports 200 ms late", 200 * ms, nil},
		{"reports 2 s late", 2 * time.Second, nil},
		{"server 0 always reports 0", 0, &balance.Reply{HasLoad: true}},
		{"server 0 never reports", 0, &balance.Reply{}},
	}
	for _, slots := range slotCounts() {
		for _, c := range cases {
			f := over(func(seed uint64) map[string]float64 { return herd(ours, slots, seed, c.late, c.fake) })
			doc.row(fmt.Sprintf("%d slots, %s, %s", slots, ours, c.name), f, columns)
			assert.Check(t, f.max("max/mean served") <= 2, "%s: %v", c.name, f)
		}
		if !full() {
			continue
		}
		for _, p := range policies[1:] {
			f := over(func(seed uint64) map[string]float64 { return herd(p, slots, seed, 0, nil) })
			doc.row(fmt.Sprintf("%d slots, %s", slots, p), f, columns)
		}
	}
}
