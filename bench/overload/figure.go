package overload

import (
	"fmt"
	"slices"
	"sync"
)

// parallel is the number of seeds that run concurrently.
const parallel = 5

// seedValues holds, for each column name, the values of all seeds in ascending order.
type seedValues map[string][]float64

// overSeeds calls f for each seed and collects the results.
func overSeeds(seeds []uint64, f func(seed uint64) map[string]float64) seedValues {
	out := seedValues{}
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

func (f seedValues) min(k string) float64 { return f[k][0] }
func (f seedValues) max(k string) float64 { return f[k][len(f[k])-1] }

// cell returns the text of a table cell: the median, the lowest and the highest value of a column.
func (f seedValues) cell(k string) string {
	vs := f[k]
	return fmt.Sprintf("%.4g (%.4g-%.4g)", vs[len(vs)/2], vs[0], vs[len(vs)-1])
}
