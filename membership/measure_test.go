package membership

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// Size and churn of the target, and the limits for all control traffic of a node.
const (
	targetNodes        = 3700
	targetBackends     = 39000
	targetServices     = 1900
	targetDataCentres  = 7
	targetReplacements = 4100.0 / 86400 // node replacements a second
	budgetBytes        = 9000
	budgetCore         = 0.029
	budgetMemory       = 256 << 20
	budgetConfig       = 7 * time.Second
)

const (
	// callOverhead is the estimated number of bytes of one call that are not payload:
	// 51 of HTTP/2 frames and headers (TestOverheadOfOneSync in package control) and
	// about 200 of the TCP and IP headers of four packets.
	callOverhead = 250
	// httpCPU is the processor time in seconds that HTTP and encoding take at one end
	// of a call: 136 µs by BenchmarkSyncCall in package control (190 µs before
	// clients were kept between calls), rounded up, on a machine under load.
	httpCPU = 150e-6
	// fetchTime is the time from when a node learns of a configuration version until
	// it passes the version on: up to 200 ms until the periodic check in package node
	// finds it, and 300 ms to fetch a page.
	fetchTime = 500 * time.Millisecond
	// compressedFrom is the size in bytes from which the server compresses replies.
	compressedFrom = 4 << 10
)

// roles are the positions in the tree, by the rank of a node in its data centre.
var roles = []string{"first relay", "second relay", "level 1", "level 2", "level 3"}

func (n *simNode) role() string {
	// Level 1 ends before rank 14 and level 2 before rank 110 (see parentRanks).
	switch rank := n.table.entries[n.id].rank; {
	case n.table.firstRelaySince >= 0:
		return roles[0]
	case n.table.relaySince >= 0:
		return roles[1]
	case rank < 14:
		return roles[2]
	case rank < 110:
		return roles[3]
	}
	return roles[4]
}

// load is the load on the nodes of one role: the means, and the worst value of a
// single node. busy is processor time.
type load struct {
	nodes                                      int
	bytes, calls, busy, worstBytes, worstCalls float64
}

// measurement is the result for one fleet size. Loads are per second. Loads and bytes
// of events are those beyond the steady load over the same time.
type measurement struct {
	nodes                                 int
	steadyLoads, replacementLoads         map[string]load
	joinBytes                             float64
	changeTimes, goneTimes, configTimes   []time.Duration
	relayGoneTime                         time.Duration
	lossBytes, returnBytes                map[string]load
	lossTime, returnTime                  time.Duration
	partitionBytes, reconnectBytes        map[string]load
	partitionSeconds, replacedInPartition int
	reconnectTime                         time.Duration
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

// countExchange encodes and decodes the messages of a call at both ends, as they are
// sent over the network, and adds their size to the load of both nodes.
func (s *simulation) countExchange(from, to *simNode, request *pb.SyncRequest, reply *pb.SyncResponse) {
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

// loads returns the load of each role since reset, per second.
func (s *simulation) loads(seconds float64) map[string]load {
	all := make(map[string]load)
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		l := all[n.role()]
		l.nodes++
		l.bytes += float64(n.bytes) / seconds
		l.calls += float64(n.calls) / seconds
		l.busy += n.busy.Seconds() / seconds
		l.worstBytes = max(l.worstBytes, float64(n.bytes)/seconds)
		l.worstCalls = max(l.worstCalls, float64(n.calls)/seconds)
		all[n.role()] = l
	}
	for role, l := range all {
		l.bytes /= float64(l.nodes)
		l.calls /= float64(l.nodes)
		l.busy /= float64(l.nodes)
		all[role] = l
	}
	return all
}

// addedLoads returns the bytes of each role since reset beyond the steady load.
func (m *measurement) addedLoads(s *simulation, seconds float64) map[string]load {
	all := s.loads(1)
	for role, l := range all {
		l.bytes -= seconds * m.steadyLoads[role].bytes
		l.worstBytes -= seconds * m.steadyLoads[role].worstBytes
		all[role] = l
	}
	return all
}

func (s *simulation) run(steps int) {
	for range steps {
		s.step()
	}
}

// measure runs a fleet through a quiet phase, a phase of replacements, and single
// events.
func measure(t *testing.T, nodes, seconds, events int) measurement {
	t.Helper()
	s := newSimulation(uint64(nodes), targetDataCentres, (nodes+targetDataCentres-1)/targetDataCentres)
	assert.Assert(t, s.converge(healTime) >= 0, s.difference())
	s.run(15)
	s.measured = true
	s.onExchange = s.countExchange
	s.reset()
	s.run(seconds)
	m := measurement{nodes: len(s.nodes), steadyLoads: s.loads(float64(seconds)), replacementLoads: make(map[string]load)}
	m.measureReplacements(s, events)
	m.measureEvents(t, s, events)
	return m
}

// replacementSeconds is the time from when a node starts to leave until its
// replacement has all its backend servers.
const replacementSeconds = 16

// measureReplacements determines the bytes that one replacement adds to each node.
func (m *measurement) measureReplacements(s *simulation, events int) {
	for i := range events {
		s.reset()
		joined := s.replace(i)
		m.joinBytes += (float64(joined.bytes) - replacementSeconds*m.steadyLoads[joined.role()].bytes) / float64(events)
		for role, l := range m.addedLoads(s, replacementSeconds) {
			sum := m.replacementLoads[role]
			sum.bytes += l.bytes / float64(events)
			m.replacementLoads[role] = sum
		}
	}
}

// replace makes a node leave and a new one join, which gets its backend servers in
// two steps.
func (s *simulation) replace(i int) *simNode {
	old := s.ordinaryNode()
	old.table.UpdateOwn(s.now, pb.NodeState_NODE_STATE_LEAVING, old.table.own.BackendServers)
	s.run(2)
	old.alive = false
	n := &simNode{id: fmt.Sprintf("new-%06d", i), dc: old.dc}
	s.add(n)
	s.start(n)
	for _, count := range []int{0, 5, 10 + i%2} {
		n.table.UpdateOwn(s.now, pb.NodeState_NODE_STATE_SERVING, simBackends(n.id, count))
		s.run(2)
	}
	s.run(replacementSeconds - 8)
	return n
}

// measureEvents measures the time until a change, the death of a node and a
// configuration version are known to all nodes.
func (m *measurement) measureEvents(t *testing.T, s *simulation, events int) {
	for i := range events {
		n := s.ordinaryNode()
		n.table.UpdateOwn(s.now, pb.NodeState_NODE_STATE_SERVING, simBackends(n.id, 9+len(n.table.own.BackendServers)%2))
		s.sendUrgent(n)
		m.changeTimes = append(m.changeTimes, s.timeUntilAll(t, func(n2 *simNode) bool {
			e := n2.table.entries[n.id]
			return e != nil && CompareRecords(e.record, n.table.own) == 0
		}))
		m.goneTimes = append(m.goneTimes, s.kill(t, s.ordinaryNode()))
		version := uint64(i + 1)
		for _, n := range s.nodes {
			if n.alive && n.table.relaySince >= 0 {
				n.table.SetConfigVersion(version)
			}
		}
		m.configTimes = append(m.configTimes, s.timeUntilAll(t, func(n *simNode) bool { return n.table.configVersion >= version }))
	}
	for _, n := range s.nodes {
		if n.alive && n.table.firstRelaySince >= 0 {
			m.relayGoneTime = s.kill(t, n)
			break
		}
	}
	slices.Sort(m.changeTimes)
	slices.Sort(m.goneTimes)
	slices.Sort(m.configTimes)
}

// kill ends a node and returns the time until all other nodes know that it is gone.
func (s *simulation) kill(t *testing.T, dead *simNode) time.Duration {
	dead.alive = false
	return s.timeUntilAll(t, func(n *simNode) bool {
		e := n.table.entries[dead.id]
		return e == nil || !e.live()
	})
}

// outageSeconds is how long a data centre is cut off, and how long two regions are
// separated.
const outageSeconds = 120

// measureOutages cuts a data centre off, and then separates two regions while nodes
// are replaced in both.
func (m *measurement) measureOutages(t *testing.T, s *simulation) {
	s.setCut(func(dc string) bool { return dc == "region-dc-0" })
	s.reset()
	m.lossTime = s.timeUntilAll(t, func(n *simNode) bool {
		return n.dc == "region-dc-0" || slices.Contains(n.table.lostDataCentres, "region-dc-0")
	})
	s.run(outageSeconds - int(m.lossTime/SyncInterval))
	m.lossBytes = m.addedLoads(s, outageSeconds)
	m.returnBytes, m.returnTime = m.reconnect(t, s)
	s.setCut(func(dc string) bool { return dc < "region-dc-4" })
	s.reset()
	start := s.now
	for i := 0; s.now-start < outageSeconds*SyncInterval; i++ {
		s.replace(1000 + i)
		m.replacedInPartition++
	}
	m.partitionSeconds = int((s.now - start) / SyncInterval)
	m.partitionBytes = m.addedLoads(s, float64(m.partitionSeconds))
	m.reconnectBytes, m.reconnectTime = m.reconnect(t, s)
}

// setCut cuts the data centres for which side is true from the others.
func (s *simulation) setCut(side func(dc string) bool) {
	for a := range targetDataCentres {
		for b := range targetDataCentres {
			from, to := fmt.Sprintf("region-dc-%d", a), fmt.Sprintf("region-dc-%d", b)
			s.cut[[2]string{from, to}] = side(from) != side(to)
		}
	}
}

// reconnect ends all network faults and returns the added load and the time until all
// nodes agree.
func (m *measurement) reconnect(t *testing.T, s *simulation) (map[string]load, time.Duration) {
	s.heal()
	s.reset()
	took := s.converge(healTime)
	assert.Assert(t, took >= 0, s.difference())
	s.run(15)
	return m.addedLoads(s, (took + 15*SyncInterval).Seconds()), took
}

func median(ds []time.Duration) time.Duration { return ds[len(ds)/2] }
func worst(ds []time.Duration) time.Duration  { return ds[len(ds)-1] }

// timeUntilAll returns the time until the condition holds for all living nodes,
// checked for each node after its own round.
func (s *simulation) timeUntilAll(t *testing.T, condition func(*simNode) bool) time.Duration {
	t.Helper()
	start, last := s.now, s.now
	pending := make(map[*simNode]bool)
	for _, n := range s.nodes {
		pending[n] = n.alive
	}
	s.afterRound = func(n *simNode) {
		if pending[n] && condition(n) {
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
	t.Fatal("the condition does not hold for all living nodes within healTime")
	return 0
}

// targetNodeTable returns a node table of the target size, read from encoded records,
// and the bytes of memory that it and its view take.
func targetNodeTable() (*NodeTable, uint64) {
	before := heapInUse()
	d := NewNodeTable(0, &pb.NodeRecord{NodeId: "own", DataCentre: "region-dc-0", ControlAddress: "own"}, nil)
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
		for j, b := range record.BackendServers {
			b.Service = fmt.Sprintf("service-%04d", (i*11+j)%targetServices)
			b.Id = BackendID(b.Service, b.Address)
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

// ordinaryBytes returns the mean bytes per second of all nodes except relays, at the
// churn of the target.
func (m measurement) ordinaryBytes() float64 {
	sum, nodes := 0.0, 0
	for _, role := range roles[2:] {
		l := m.steadyLoads[role]
		sum += float64(l.nodes) * (l.bytes + targetReplacements*m.replacementLoads[role].bytes)
		nodes += l.nodes
	}
	return sum / float64(nodes)
}

// extrapolate fits y = a + b x by least squares and returns its value at x, but at
// least the value of the largest size: a falling line comes from noise, or from a
// fixed cost that small fleets spread over fewer nodes.
func extrapolate(ms []measurement, at float64, y func(measurement) float64) float64 {
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

// Guards against loads per node above their limits, and against changes, deaths of nodes or
// configuration versions that reach all nodes later than allowed, in small fleets. For the
// target size, only the mean bytes of nodes other than relays are extrapolated, and the
// memory of one node table is measured.
func TestMeasureSmall(t *testing.T) {
	var ms []measurement
	for _, nodes := range []int{28, 56, 112, 196} {
		m := measure(t, nodes, 10, 3)
		ms = append(ms, m)
		for role, l := range m.steadyLoads {
			total := l.bytes + m.replacementLoads[role].bytes*targetReplacements
			assert.Assert(t, total <= budgetBytes, "%d nodes, %s: %.0f B/s, and %.0f bytes per replacement", nodes, role, l.bytes, m.replacementLoads[role].bytes)
			assert.Assert(t, l.worstCalls*httpCPU <= budgetCore, "%s: %.0f calls/s", role, l.worstCalls)
		}
		assert.Assert(t, worst(m.goneTimes) <= 2*goneAfter, m.goneTimes)
		assert.Assert(t, worst(m.changeTimes) <= goneAfter, m.changeTimes)
		assert.Assert(t, worst(m.configTimes) <= budgetConfig, m.configTimes)
	}
	total := extrapolate(ms, targetNodes, measurement.ordinaryBytes)
	assert.Assert(t, total <= budgetBytes, "ordinary nodes would send and receive %.0f B/s at the target size", total)
	_, memory := targetNodeTable()
	assert.Assert(t, memory <= budgetMemory, memory)
}
