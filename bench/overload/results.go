package overload

import (
	"slices"
	"time"
)

// percentile sorts ds and returns its p-quantile, with p from 0 to 1.
func percentile(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(p*float64(len(ds))))]
}

// latenciesWithRefused returns the latencies of the selected requests, including those that did
// not run. A request that did not run counts as lasting at least until its deadline.
func (s *run) latenciesWithRefused(keep func(result) bool) []time.Duration {
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

// latencies returns the latencies of those selected requests that were answered.
func (s *run) latencies(keep func(result) bool) []time.Duration {
	var ds []time.Duration
	for _, r := range s.results {
		if r.ran && keep(r) {
			ds = append(ds, r.end-r.arrived)
		}
	}
	return ds
}

// success returns the share of the selected requests that were answered before their deadline.
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

// between selects the requests that arrived in a period.
func between(from, to time.Duration) func(result) bool {
	return func(r result) bool { return r.arrived >= from && r.arrived < to }
}

func millis(d time.Duration) float64 { return float64(d) / float64(ms) }
