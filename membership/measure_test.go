package membership

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// Size and churn of the target, and the budget of all control for a node.
const (
	targetNodes        = 3700
	targetBackends     = 39000
	targetDataCentres  = 7
	targetReplacements = 4100.0 / 86400 // node replacements a second
	budgetBytes        = 9000
	budgetCore         = 0.029
	budgetMemory       = 256 << 20
)

const (
	// callOverhead is the estimate of bytes of one call that are no payload:
	// 51 of HTTP/2 frames and headers (TestOverheadOfOneSync in package control)
	// and about 200 of TCP and IP headers of four packets.
	callOverhead = 250
	// httpCPU is the processor time in seconds of HTTP and encoding at one end of
	// a call: 7.4 s of user and system time for 20,000 calls of BenchmarkSyncCall
	// in package control, both ends, on a machine under load.
	httpCPU = 190e-6
	// compressedFrom is the size from which the server compresses replies.
	compressedFrom = 4 << 10
)

// measurement is the result for one size. Values per second are of one node.
type measurement struct {
	nodes                                                      int
	ordinaryBytes, relayBytes, ordinaryCPU, relayCPU           float64
	ordinaryCalls, relayCalls                                  float64
	ordinaryReplace, relayReplace, joinBytes                   float64
	changeKnownMedian, changeKnownWorst, goneMedian, goneWorst time.Duration
}

// wireSize returns the encoded size of a reply, compressed as the server does it.
func wireSize(m proto.Message) int {
	data, _ := proto.Marshal(m)
	if len(data) < compressedFrom {
		return len(data)
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Len()
}

// count encodes and decodes the messages of a call at both ends, as the wire does.
func (s *simulation) count(from, to *simNode, request *pb.SyncRequest, reply *pb.SyncResponse) {
	var size int
	s.timed(to, func() {
		data, _ := proto.Marshal(request)
		_ = proto.Unmarshal(data, new(pb.SyncRequest))
		size = len(data) + wireSize(reply) + callOverhead
	})
	s.timed(from, func() {
		data, _ := proto.Marshal(reply)
		_ = proto.Unmarshal(data, new(pb.SyncResponse))
	})
	for _, n := range []*simNode{from, to} {
		n.bytes += size
		n.calls++
	}
}

func (s *simulation) reset() {
	for _, n := range s.nodes {
		n.busy, n.bytes, n.calls = 0, 0, 0
	}
}

// usage returns the means over ordinary nodes and over first relays since reset.
func (s *simulation) usage(of func(*simNode) float64) (ordinary, relay float64) {
	var ordinaries, relays float64
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		if n.directory.firstSince >= 0 {
			relay += of(n)
			relays++
			continue
		}
		if n.directory.relaySince < 0 {
			ordinary += of(n)
			ordinaries++
		}
	}
	return ordinary / ordinaries, relay / relays
}

func busy(n *simNode) float64       { return n.busy.Seconds() }
func byteCount(n *simNode) float64  { return float64(n.bytes) }
func callCount(n *simNode) float64  { return float64(n.calls) }
func (s *simulation) run(steps int) { repeat(steps, s.step) }

func repeat(times int, f func()) {
	for range times {
		f()
	}
}

// measure runs a fleet in a quiet phase, a phase of replacements, and single events.
func measure(t *testing.T, nodes, seconds, events int) measurement {
	t.Helper()
	s := newSimulation(uint64(nodes), targetDataCentres, (nodes+targetDataCentres-1)/targetDataCentres)
	assert.Assert(t, s.converge(healTime) >= 0, s.difference())
	s.run(15)
	s.measured = true
	s.observe = s.count
	s.reset()
	s.run(seconds)
	m := measurement{nodes: len(s.nodes)}
	per := float64(seconds)
	m.ordinaryBytes, m.relayBytes = s.usage(byteCount)
	m.ordinaryCPU, m.relayCPU = s.usage(busy)
	m.ordinaryCalls, m.relayCalls = s.usage(callCount)
	for _, v := range []*float64{&m.ordinaryBytes, &m.relayBytes, &m.ordinaryCPU, &m.relayCPU, &m.ordinaryCalls, &m.relayCalls} {
		*v /= per
	}
	m.measureReplacements(s, events)
	m.measureEvents(t, s, events)
	return m
}

// replacementSeconds is the time from the notice of leaving until the new node is complete.
const replacementSeconds = 16

// measureReplacements finds the bytes that one replacement adds to each node.
func (m *measurement) measureReplacements(s *simulation, events int) {
	for i := range events {
		s.reset()
		joined := s.replace(i)
		ordinary, relay := s.usage(byteCount)
		m.joinBytes += (float64(joined.bytes) - replacementSeconds*m.ordinaryBytes) / float64(events)
		m.ordinaryReplace += (ordinary - replacementSeconds*m.ordinaryBytes) / float64(events)
		m.relayReplace += (relay - replacementSeconds*m.relayBytes) / float64(events)
	}
}

// replace lets a node leave and a new one join, which gets its backend servers in two steps.
func (s *simulation) replace(i int) *simNode {
	old := s.ordinaryNode()
	old.directory.UpdateOwn(s.now, pb.NodeState_NODE_STATE_LEAVING, old.directory.own.BackendServers)
	s.run(2)
	old.alive = false
	n := &simNode{id: fmt.Sprintf("new-%06d", i), dc: old.dc}
	s.add(n)
	s.start(n)
	for _, count := range []int{0, 5, 10 + i%2} {
		n.directory.UpdateOwn(s.now, pb.NodeState_NODE_STATE_SERVING, simBackends(n.id, count))
		s.run(2)
	}
	s.run(replacementSeconds - 8)
	return n
}

// measureEvents finds the time until a change and a death are known everywhere.
func (m *measurement) measureEvents(t *testing.T, s *simulation, events int) {
	var known, gone []time.Duration
	for range events {
		n := s.ordinaryNode()
		n.directory.UpdateOwn(s.now, pb.NodeState_NODE_STATE_SERVING, simBackends(n.id, 9+n.directory.countBackends()%2))
		known = append(known, s.spread(t, func(d *Directory) bool {
			e := d.entries[n.id]
			return e != nil && Compare(e.record, n.directory.own) == 0
		}))
		n = s.ordinaryNode()
		n.alive = false
		gone = append(gone, s.spread(t, func(d *Directory) bool {
			e := d.entries[n.id]
			return e == nil || !e.live()
		}))
	}
	m.changeKnownMedian, m.changeKnownWorst = spreadOf(known)
	m.goneMedian, m.goneWorst = spreadOf(gone)
}

func (d *Directory) countBackends() int { return len(d.own.BackendServers) }

func spreadOf(ds []time.Duration) (median, worst time.Duration) {
	slices.Sort(ds)
	return ds[len(ds)/2], ds[len(ds)-1]
}

// spread returns the time until all living nodes fulfil the condition, as each
// of them finds after its own round.
func (s *simulation) spread(t *testing.T, condition func(*Directory) bool) time.Duration {
	t.Helper()
	start, last := s.now, s.now
	pending := make(map[*simNode]bool)
	for _, n := range s.nodes {
		pending[n] = n.alive
	}
	s.afterRound = func(n *simNode) {
		if pending[n] && condition(n.directory) {
			pending[n] = false
			last = s.now
		}
	}
	defer func() { s.afterRound = nil }()
	for s.now-start < healTime {
		s.step()
		if !slices.ContainsFunc(s.nodes, func(n *simNode) bool { return pending[n] }) {
			return last - start
		}
	}
	t.Fatal("event is not known everywhere")
	return 0
}

// targetDirectory returns a directory of the target's size, read from wire messages,
// and the bytes of memory that it and its view take.
func targetDirectory() (*Directory, uint64) {
	before := heapInUse()
	d := NewDirectory(0, &pb.NodeRecord{NodeId: "own", DataCentre: "region-dc-0", ControlAddress: "own"}, nil)
	backends := 0
	for i := range targetNodes {
		count := targetBackends*(i+1)/targetNodes - backends
		backends += count
		id := fmt.Sprintf("node-%05d", i)
		record := &pb.NodeRecord{
			NodeId: id, Incarnation: 1700000000000000000, Sequence: 1, State: pb.NodeState_NODE_STATE_SERVING,
			Region: "region", DataCentre: fmt.Sprintf("region-dc-%d", i%targetDataCentres), ControlAddress: "10.100.200.17:" + id,
			HopAddress: "10.100.200.17:7002", TrafficAddress: "10.100.200.17:7001", AnnounceAddress: "10.100.200.17:7004",
			BackendServers: simBackends(id, count),
		}
		data, _ := proto.Marshal(record)
		received := new(pb.NodeRecord)
		_ = proto.Unmarshal(data, received)
		d.merge(0, received, "")
	}
	view := d.View()
	used := heapInUse() - before
	runtime.KeepAlive(view)
	return d, used
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// line fits y = a + b x by least squares and returns its value at x, but at
// least the value of the largest size: a falling line is noise or a fixed cost
// that small fleets spread over fewer nodes.
func line(ms []measurement, at float64, y func(measurement) float64) float64 {
	var sx, sy, sxx, sxy float64
	n := float64(len(ms))
	for _, m := range ms {
		x := float64(m.nodes)
		sx += x
		sy += y(m)
		sxx += x * x
		sxy += x * y(m)
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return max((sy-slope*sx)/n+slope*at, y(ms[len(ms)-1]))
}

// Guards against a cost per node that grows beyond the budget of the target.
func TestMeasureSmall(t *testing.T) {
	var ms []measurement
	for _, nodes := range []int{28, 56, 112} {
		ms = append(ms, measure(t, nodes, 10, 3))
	}
	bytes := line(ms, targetNodes, func(m measurement) float64 { return m.ordinaryBytes })
	replace := line(ms, targetNodes, func(m measurement) float64 { return m.ordinaryReplace })
	assert.Assert(t, bytes+replace*targetReplacements <= budgetBytes, "%.0f + %.0f", bytes, replace)
	for _, m := range ms {
		assert.Assert(t, m.goneWorst <= 2*goneAfter, m.goneWorst)
		assert.Assert(t, m.changeKnownWorst <= goneAfter, m.changeKnownWorst)
	}
	_, memory := targetDirectory()
	assert.Assert(t, memory <= budgetMemory, memory)
}

// TestMeasureFull writes docs/measurements/membership.md when MEASURE is set.
func TestMeasureFull(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to write docs/measurements/membership.md")
	}
	var ms []measurement
	for _, nodes := range []int{203, 399, 798} {
		ms = append(ms, measure(t, nodes, 15, 4))
		t.Logf("%+v", ms[len(ms)-1])
	}
	directory, memory := targetDirectory()
	ticks := 20
	start := time.Now()
	for i := range ticks {
		directory.Tick(time.Duration(i) * time.Millisecond)
	}
	tick := time.Since(start) / time.Duration(ticks)
	start = time.Now()
	directory.View()
	text := report(ms, memory, tick, time.Since(start))
	assert.NilError(t, os.MkdirAll("../docs/measurements", 0o755))
	assert.NilError(t, os.WriteFile("../docs/measurements/membership.md", []byte(text), 0o644))
}

// row is one line of the table: a value for each size and its extrapolation.
type row struct {
	name   string
	format string
	value  func(measurement) float64
}

func rows() []row {
	return []row{
		{"ordinary node, steady, B/s", "%.0f", func(m measurement) float64 { return m.ordinaryBytes }},
		{"first relay, steady, B/s", "%.0f", func(m measurement) float64 { return m.relayBytes }},
		{"ordinary node, calls/s (both directions)", "%.2f", func(m measurement) float64 { return m.ordinaryCalls }},
		{"first relay, calls/s (both directions)", "%.2f", func(m measurement) float64 { return m.relayCalls }},
		{"ordinary node, % of a core without HTTP", "%.4f", func(m measurement) float64 { return 100 * m.ordinaryCPU }},
		{"first relay, % of a core without HTTP", "%.4f", func(m measurement) float64 { return 100 * m.relayCPU }},
		{"bytes of one replacement at an ordinary node", "%.0f", func(m measurement) float64 { return m.ordinaryReplace }},
		{"bytes of one replacement at a first relay, mean", "%.0f", func(m measurement) float64 { return m.relayReplace }},
		{"bytes of joining at the new node", "%.0f", func(m measurement) float64 { return m.joinBytes }},
		{"change known everywhere, s, median", "%.2f", func(m measurement) float64 { return m.changeKnownMedian.Seconds() }},
		{"change known everywhere, s, worst", "%.2f", func(m measurement) float64 { return m.changeKnownWorst.Seconds() }},
		{"dead node gone everywhere, s, median", "%.2f", func(m measurement) float64 { return m.goneMedian.Seconds() }},
		{"dead node gone everywhere, s, worst", "%.2f", func(m measurement) float64 { return m.goneWorst.Seconds() }},
	}
}

func report(ms []measurement, memory uint64, tick, view time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Cost of membership\n\nWritten by `MEASURE=1 go test ./membership -run TestMeasureFull -timeout 20m -v`.\n\n")
	fmt.Fprintf(&b, "In-memory directories in %d data centres exchange encoded messages in virtual time, with no latency. ", targetDataCentres)
	fmt.Fprintf(&b, "Each node has 10 backend servers, each new one 10 or 11. Bytes are those sent and received by a node; ")
	fmt.Fprintf(&b, "they include gzip from %d B and an estimate of %d B for HTTP/2, TCP and IP headers of a call. ", compressedFrom, callOverhead)
	fmt.Fprintf(&b, "The records compress better than real ones, because their services and addresses repeat. "+
		"The last column is a straight line through the sizes, or the value of the largest size if that is higher.\n\n| |")
	for _, m := range ms {
		fmt.Fprintf(&b, " %d nodes |", m.nodes)
	}
	fmt.Fprintf(&b, " line at %d |\n|---|%s\n", targetNodes, strings.Repeat("---|", len(ms)+1))
	for _, r := range rows() {
		fmt.Fprintf(&b, "| %s |", r.name)
		for _, m := range ms {
			fmt.Fprintf(&b, " "+r.format+" |", r.value(m))
		}
		fmt.Fprintf(&b, " "+r.format+" |\n", line(ms, targetNodes, r.value))
	}
	at := func(y func(measurement) float64) float64 { return line(ms, targetNodes, y) }
	ordinary := at(rows()[0].value) + targetReplacements*at(rows()[6].value) + at(rows()[8].value)*targetReplacements/targetNodes
	relay := at(rows()[1].value) + targetReplacements*at(rows()[7].value)
	fmt.Fprintf(&b, "\nAt the target, with %.4f replacements a second:\n\n| | ordinary node | first relay | budget |\n|---|---|---|---|\n", targetReplacements)
	fmt.Fprintf(&b, "| bytes/s, churn and own join included | %.0f (%s) | %.0f (%s) | %d |\n",
		ordinary, verdict(ordinary, budgetBytes), relay, verdict(relay, budgetBytes), budgetBytes)
	ordinaryCPU := at(rows()[4].value) + 100*httpCPU*at(rows()[2].value)
	relayCPU := at(rows()[5].value) + 100*httpCPU*at(rows()[3].value)
	fmt.Fprintf(&b, "| %% of a core, with an estimated %.0f µs of HTTP at each end of a call | %.3f (%s) | %.3f (%s) | %.1f |\n",
		1e6*httpCPU, ordinaryCPU, verdict(ordinaryCPU, 100*budgetCore), relayCPU, verdict(relayCPU, 100*budgetCore), 100*budgetCore)
	fmt.Fprintf(&b, "| memory of directory and view, MB, measured at this size | %.1f | the same | %d |\n", float64(memory)/math.Pow(2, 20), budgetMemory>>20)
	fmt.Fprintf(&b, "\nOne round without calls takes %s, and building a view takes %s (measured at %d nodes and %d backend servers).\n",
		tick.Round(time.Microsecond), view.Round(time.Microsecond), targetNodes, targetBackends)
	return b.String()
}

func verdict(value, budget float64) string {
	if value > budget {
		return "**missed**"
	}
	return "met"
}
