package scenarios

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawlane/jackdawlane/hop"
)

const (
	// addedLatencyTarget is the latency that the path may add at the 99th percentile.
	addedLatencyTarget = 2100 * time.Microsecond
	// The rates are measured in turn, in short rounds, so that other load on the
	// machine affects all rates alike.
	pathRounds  = 4
	roundLength = 5 * time.Second
	// ticksPerSecond converts the processor times in /proc, which are in clock ticks.
	ticksPerSecond = 100
)

// TestMeasurePath measures the latency that the path adds, and writes the report to
// the file that PATH_REPORT names, which is docs/measurements/path.md in the repository.
func TestMeasurePath(t *testing.T) {
	if os.Getenv("PATH_REPORT") == "" {
		t.Skip("PATH_REPORT is not set")
	}
	run(t, "measure")
}

// stream records the latencies of requests to one URL. A latency counts from the time at
// which the request was due, so a delayed start counts too.
type stream struct {
	url    string
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed map[string]int
	wait   sync.WaitGroup
}

func newStream(url string) *stream {
	return &stream{url: url, hist: hdrhistogram.New(1, time.Minute.Microseconds(), 3), failed: make(map[string]int)}
}

func (s *stream) send(due time.Time) {
	r, err := http.NewRequest(http.MethodGet, s.url, nil)
	if err != nil {
		panic(err)
	}
	authorise(r, "kitami")
	res, err := callerClient.Do(r)
	failed := ""
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	switch {
	case err != nil:
		failed = broken
	case res.StatusCode != http.StatusOK:
		failed = res.Header.Get(hop.HeaderOutcome) + "/" + res.Header.Get(hop.HeaderReason)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed != "" {
		s.failed[failed]++
	}
	_ = s.hist.RecordValue(time.Since(due).Microseconds())
}

// runStreams sends rate requests a second for each stream, alternating between the
// streams and without waiting for answers.
func runStreams(rate int, length time.Duration, streams ...*stream) {
	interval := time.Second / time.Duration(rate*len(streams))
	start := time.Now()
	for i := range int(length / interval) {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		s := streams[i%len(streams)]
		s.wait.Go(func() { s.send(due) })
	}
	for _, s := range streams {
		s.wait.Wait()
	}
}

// merge adds the results of another stream.
func (s *stream) merge(o *stream) {
	s.hist.Merge(o.hist)
	for reason, n := range o.failed {
		s.failed[reason] += n
	}
}

func (s *stream) failures() string {
	if len(s.failed) == 0 {
		return "0"
	}
	return strings.TrimPrefix(fmt.Sprint(s.failed), "map")
}

func (s *stream) latency(percentile float64) time.Duration {
	return time.Duration(s.hist.ValueAtPercentile(percentile)) * time.Microsecond
}

// processorTime returns the user and system time that a process has used.
func (p *process) processorTime(ts *testscript.TestScript) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	check(ts, err)
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	var ticks int
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(field)
		check(ts, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// rateResult holds the measurements at one request rate.
type rateResult struct {
	rate         int
	direct, path *stream
	// addedP99 holds the difference between path and direct at the 99th percentile, for each round.
	addedP99 []time.Duration
	// processorTimes holds the processor time that entry and guard have used.
	processorTimes [2]time.Duration
}

func (l *rateResult) round(ts *testscript.TestScript, nodes [2]*process) {
	var before [2]time.Duration
	for i, n := range nodes {
		before[i] = n.processorTime(ts)
	}
	direct, path := newStream(l.direct.url), newStream(l.path.url)
	runStreams(l.rate, roundLength, direct, path)
	l.direct.merge(direct)
	l.path.merge(path)
	l.addedP99 = append(l.addedP99, path.latency(99)-direct.latency(99))
	for i, n := range nodes {
		l.processorTimes[i] += n.processorTime(ts) - before[i]
	}
}

func (l *rateResult) row() string {
	n := float64(l.path.hist.TotalCount())
	added := func(p float64) time.Duration { return l.path.latency(p) - l.direct.latency(p) }
	slices.Sort(l.addedP99)
	return fmt.Sprintf("| %d | %s | %s | %s | %s | %s | %s | %s (%s-%s) | %s | %d | %.0f | %.0f |\n", l.rate,
		formatMS(l.direct.latency(50)), formatMS(l.direct.latency(99)), formatMS(l.path.latency(50)), formatMS(l.path.latency(99)), formatMS(added(50)), formatMS(added(99)),
		formatMS(l.addedP99[(len(l.addedP99)-1)/2]), formatMS(l.addedP99[0]), formatMS(l.addedP99[len(l.addedP99)-1]),
		l.path.failures(), l.path.hist.TotalCount(),
		n/l.processorTimes[0].Seconds(), n/l.processorTimes[1].Seconds())
}

func formatMS(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d.Microseconds())/1000) }

// measure: measure ENTRY GUARD BACKEND RATE[,RATE ...]
// measures requests to a backend server directly and through entry and guard, at each
// rate, and writes the report. A warm-up of a fifth of a round at each rate is not counted.
func (f *fleet) measure(ts *testscript.TestScript, args []string) {
	nodes := [2]*process{f.process(ts, args[0]), f.process(ts, args[1])}
	path := "http://" + nodes[0].addresses["traffic"] + "/slot/a"
	direct := "http://" + f.process(ts, args[2]).addresses["backend"] + "/slot/a"
	var results []*rateResult
	for text := range strings.SplitSeq(args[3], ",") {
		rate, err := strconv.Atoi(text)
		check(ts, err)
		results = append(results, &rateResult{rate: rate, direct: newStream(direct), path: newStream(path)})
		runStreams(rate, roundLength/5, newStream(direct), newStream(path))
	}
	before := loadAverage(ts)
	for range pathRounds {
		for _, l := range results {
			l.round(ts, nodes)
		}
	}
	check(ts, os.WriteFile(os.Getenv("PATH_REPORT"), []byte(pathReport(results, before, loadAverage(ts))), 0o600))
}

// loadAverage returns the load of the machine over the last minute.
func loadAverage(ts *testscript.TestScript) string {
	text, err := os.ReadFile("/proc/loadavg")
	check(ts, err)
	return strings.Fields(string(text))[0]
}

func pathReport(results []*rateResult, loadBefore, loadAfter string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Latency of the path\n\nWritten by `PATH_REPORT=\"$PWD/docs/measurements/path.md\" go test -count=1 -run TestMeasurePath ./scenarios`.\n\n")
	fmt.Fprintf(&b, "A caller asks a stand-in backend server directly and over entry and guard, in turn, in one run.\n")
	fmt.Fprintf(&b, "Caller, entry, guard and stand-in are four processes on loopback addresses of a machine with %d cores\n", runtime.NumCPU())
	fmt.Fprintf(&b, "that also runs other work. Each stream sends at the rate given, without waiting for answers; latency\ncounts from the time at which a request was due. ")
	fmt.Fprintf(&b, "%d rounds of %s for each rate. Times in ms.\nThe load average of the machine was %s before and %s after. Requests per core are those of a second of processor time of the process.\n\n", pathRounds, roundLength, loadBefore, loadAfter)
	fmt.Fprintf(&b, "| rate/s | direct p50 | direct p99 | path p50 | path p99 | added p50 | added p99 | added p99, median round (lowest-highest) | not answered | requests | entry, requests/core | guard, requests/core |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	worst := time.Duration(0)
	for _, l := range results {
		b.WriteString(l.row())
		worst = max(worst, l.path.latency(99)-l.direct.latency(99))
	}
	verdict := "met"
	if worst > addedLatencyTarget {
		verdict = "missed"
	}
	fmt.Fprintf(&b, "\nThe target of %s ms added for 99 in 100 requests is %s: the highest value over all rounds is %s ms.\n", formatMS(addedLatencyTarget), verdict, formatMS(worst))
	return b.String()
}
