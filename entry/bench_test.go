package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/exchange"
)

const (
	manyCallers = 16
	replyBytes  = 1 << 10
)

func writeFixedReply(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	w.Write(make([]byte, replyBytes))
}

// measure sends b.N requests, spread over the given number of parallel callers, and reports
// the median and the 99th percentile of their latencies.
func measure(b *testing.B, callers int, t http.RoundTripper, request func() *http.Request) {
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		wg.Go(func() {
			var own []time.Duration
			for n := i; n < b.N; n += callers {
				start := time.Now()
				res, err := t.RoundTrip(request())
				if err != nil || res.StatusCode != http.StatusOK {
					b.Error(res, err)
					return
				}
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
				own = append(own, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}

// benchmarkCallers runs measure with one caller and with manyCallers.
func benchmarkCallers(b *testing.B, name, url string, t http.RoundTripper) {
	for _, callers := range []int{1, manyCallers} {
		b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) {
			measure(b, callers, t, func() *http.Request {
				r, err := http.NewRequest("GET", url, nil)
				assert.NilError(b, err)
				authorise(r)
				return r
			})
		})
	}
}

// BenchmarkHop compares the protocols that the hop between entry and guard could use.
func BenchmarkHop(b *testing.B) {
	h1, h2 := new(http.Protocols), new(http.Protocols)
	h1.SetHTTP1(true)
	h2.SetUnencryptedHTTP2(true)
	for _, protocols := range []*http.Protocols{h1, h2} {
		l := listen(b)
		serve(b, &http.Server{Handler: http.HandlerFunc(writeFixedReply), Protocols: protocols}, l)
		t := exchange.NewTransport(exchange.DialTimeout, 0, manyCallers)
		t.Protocols = protocols
		benchmarkCallers(b, protocols.String(), "http://"+l.Addr().String()+"/", t)
	}
}

// BenchmarkPath compares direct requests to the backend server with requests through entry,
// guard and a TCP relay between them.
func BenchmarkPath(b *testing.B) {
	n := newNode(b)
	address := n.addBackend(b, &http.Server{Handler: http.HandlerFunc(writeFixedReply)})
	f := newFleet(b, n)
	t := exchange.NewTransport(exchange.DialTimeout, 0, manyCallers)
	benchmarkCallers(b, "direct", "http://"+address+"/read", t)
	benchmarkCallers(b, "fleet", f.url+"/read", t)
}
