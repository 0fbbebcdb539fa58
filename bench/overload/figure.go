package overload

import (
	"fmt"
	"slices"
	"sync"
)

// parallel is the number of seeds that run at once.
const parallel = 5

// figure is a set of values over the seeds.
type figure map[string][]float64

func over(seeds []uint64, f func(seed uint64) map[string]float64) figure {
	out := figure{}
	var wg sync.WaitGroup
	results := make([]map[string]float64, len(seeds))
	for i, seed := range seeds {
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
