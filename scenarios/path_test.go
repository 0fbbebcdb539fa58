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
	pathTarget = 2100 * time.Microsecond
	// Short rounds in turn spread disturbances of the machine over all rates.
	pathRounds  = 4
	roundLength = 5 * time.Second
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
)

// TestMeasurePath writes docs/measurements/path.md; PATH_REPORT names the file.
func TestMeasurePath(t *testing.T) {
	if os.Getenv("PATH_REPORT") == "" {
		t.Skip("PATH_REPORT is not set")
	}
	run(t, "measure")
}

// stream sends requests at an even rate and records the time from when each was due.
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
	res, err := callers.Do(r)
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

// runStreams alternates the streams, each at rate requests a second.
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

// add takes over the results of another stream.
func (s *stream) add(o *stream) {
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

func (s *stream) at(percentile float64) time.Duration {
	return time.Duration(s.hist.ValueAtPercentile(percentile)) * time.Microsecond
}

// processorTime returns the processor time that a process has used.
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

// level is the measurement at one rate.
type level struct {
	rate         int
	direct, path *stream
	// added holds the latency added at the 99th percentile of each round.
	added []time.Duration
	// used is the processor time of entry and guard.
	used [2]time.Duration
}

func (l *level) round(ts *testscript.TestScript, nodes [2]*process) {
	var before [2]time.Duration
	for i, n := range nodes {
		before[i] = n.processorTime(ts)
	}
	direct, path := newStream(l.direct.url), newStream(l.path.url)
	runStreams(l.rate, roundLength, direct, path)
	l.direct.add(direct)
	l.path.add(path)
	l.added = append(l.added, path.at(99)-direct.at(99))
	for i, n := range nodes {
		l.used[i] += n.processorTime(ts) - before[i]
	}
}

func (l *level) row() string {
	n := float64(l.path.hist.TotalCount())
	added := func(percentile float64) time.Duration { return l.path.at(percentile) - l.direct.at(percentile) }
	slices.Sort(l.added)
	return fmt.Sprintf("| %d | %s | %s | %s | %s | %s | %s | %s (%s-%s) | %s | %d | %.0f | %.0f |\n", l.rate,
		ms(l.direct.at(50)), ms(l.direct.at(99)), ms(l.path.at(50)), ms(l.path.at(99)), ms(added(50)), ms(added(99)),
		ms(l.added[(len(l.added)-1)/2]), ms(l.added[0]), ms(l.added[len(l.added)-1]),
		l.path.failures(), l.path.hist.TotalCount(),
		n/l.used[0].Seconds(), n/l.used[1].Seconds())
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d.Microseconds())/1000) }

// measure: measure ENTRY GUARD BACKEND RATE[,RATE ...]
func (f *fleet) measure(ts *testscript.TestScript, args []string) {
	nodes := [2]*process{f.process(ts, args[0]), f.process(ts, args[1])}
	path := "http://" + nodes[0].address["traffic"] + "/slot/a"
	direct := "http://" + f.process(ts, args[2]).address["backend"] + "/slot/a"
	var levels []*level
	for text := range strings.SplitSeq(args[3], ",") {
		rate, err := strconv.Atoi(text)
		check(ts, err)
		levels = append(levels, &level{rate: rate, direct: newStream(direct), path: newStream(path)})
		runStreams(rate, roundLength/5, newStream(direct), newStream(path))
	}
	before := loadAverage(ts)
	for range pathRounds {
		for _, l := range levels {
			l.round(ts, nodes)
		}
	}
	check(ts, os.WriteFile(os.Getenv("PATH_REPORT"), []byte(pathReport(levels, before, loadAverage(ts))), 0o600))
}

// loadAverage returns the load of the machine over the last minute.
func loadAverage(ts *testscript.TestScript) string {
	text, err := os.ReadFile("/proc/loadavg")
	check(ts, err)
	return strings.Fields(string(text))[0]
}

func pathReport(levels []*level, loadBefore, loadAfter string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Latency of the path\n\nWritten by `PATH_REPORT=\"$PWD/docs/measurements/path.md\" go test -count=1 -run TestMeasurePath ./scenarios`.\n\n")
	fmt.Fprintf(&b, "A caller asks a stand-in backend server directly and over entry and guard, in turn, in one run.\n")
	fmt.Fprintf(&b, "Caller, entry, guard and stand-in are four processes on loopback addresses of a machine with %d cores\n", runtime.NumCPU())
	fmt.Fprintf(&b, "that also runs other work. Each stream sends at the rate given, without waiting for answers; latency\ncounts from the time at which a request was due. ")
	fmt.Fprintf(&b, "%d rounds of %s for each rate. Times in ms.\nThe load average of the machine was %s before and %s after. Requests per core are those of a second of processor time of the process.\n\n", pathRounds, roundLength, loadBefore, loadAfter)
	fmt.Fprintf(&b, "| rate/s | direct p50 | direct p99 | path p50 | path p99 | added p50 | added p99 | added p99, median round (lowest-highest) | not answered | requests | entry, requests/core | guard, requests/core |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	worst := time.Duration(0)
	for _, l := range levels {
		b.WriteString(l.row())
		worst = max(worst, l.path.at(99)-l.direct.at(99))
	}
	verdict := "met"
	if worst > pathTarget {
		verdict = "missed"
	}
	fmt.Fprintf(&b, "\nThe target of %s ms added for 99 in 100 requests is %s: the highest value over all rounds is %s ms.\n", ms(pathTarget), verdict, ms(worst))
	return b.String()
}
