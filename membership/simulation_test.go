package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// simNode is one node of the simulated fleet, which may be restarted.
type simNode struct {
	id, dc string
	// phase is the time within each second at which the node runs its round.
	phase time.Duration
	table *NodeTable
	alive bool
	seen  map[string]*pb.NodeRecord
	// version is a configuration version that the node is fetching and puts in force
	// at versionAt.
	version   uint64
	versionAt time.Duration
	// busy, bytes and calls are the load of the node in measured runs.
	busy  time.Duration
	bytes int
	calls int
}

// simulation connects node tables through an in-memory network in virtual time.
type simulation struct {
	now         time.Duration
	nodes       []*simNode
	byAddress   map[string]*simNode
	seeds       []string
	random      *rand.Rand
	incarnation uint64
	// cut holds the directions (from and to, node IDs or data centres) in which all
	// messages are lost.
	cut map[[2]string]bool
	// loss is the share of messages that are lost. duplicated is the share of requests
	// and replies that are delivered again at the start of the next step; for a lost
	// reply this is a late delivery.
	loss, duplicated float64
	// duplicates deliver messages again in the next step.
	duplicates []func()
	// onExchange, if set, is called with each request and reply that were delivered.
	onExchange func(from, to *simNode, request *pb.SyncRequest, reply *pb.SyncResponse)
	// afterRound, if set, is called with each node after its round.
	afterRound func(n *simNode)
	// measured is true if the processor time of each node is counted.
	measured bool
	// excludedTime is time within timed work that was spent in other nodes or in the
	// simulation.
	excludedTime time.Duration
}

// timed runs work and adds its time to that of the node, without the time of timed
// work within it.
func (s *simulation) timed(n *simNode, work func()) {
	if !s.measured {
		work()
		return
	}
	outer := s.excludedTime
	s.excludedTime = 0
	start := time.Now()
	work()
	total := time.Since(start)
	n.busy += total - s.excludedTime
	s.excludedTime = outer + total
}

func newSimulation(seed uint64, dataCentres, perDataCentre int) *simulation {
	s := &simulation{
		byAddress:   make(map[string]*simNode),
		random:      rand.New(rand.NewPCG(seed, 1)),
		incarnation: 1700000000000000000,
		cut:         make(map[[2]string]bool),
	}
	for i := range dataCentres * perDataCentre {
		n := &simNode{id: fmt.Sprintf("node-%05d", i), dc: fmt.Sprintf("region-dc-%d", i%dataCentres)}
		if i < 2*dataCentres {
			s.seeds = append(s.seeds, simAddress(n))
		}
		s.add(n)
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

// add inserts a node in the order of phases.
func (s *simulation) add(n *simNode) {
	n.phase = time.Duration(s.random.Int64N(int64(SyncInterval)))
	s.nodes = append(s.nodes, n)
	slices.SortStableFunc(s.nodes, func(a, b *simNode) int { return cmp.Compare(a.phase, b.phase) })
}

func simAddress(n *simNode) string { return "10.0.0.1:" + n.id }

// start starts a node, or restarts it with the same node ID and a new incarnation.
func (s *simulation) start(n *simNode) {
	s.incarnation += 1e9
	own := &pb.NodeRecord{
		NodeId: n.id, Incarnation: s.incarnation, State: pb.NodeState_NODE_STATE_SERVING,
		Region: "region", DataCentre: n.dc, ControlAddress: simAddress(n),
		HopAddress: "10.100.200.17:7002", TrafficAddress: "10.100.200.17:7001", AnnounceAddress: "10.100.200.17:7004",
		BackendServers: simBackends(n.id, 10),
	}
	n.table = NewNodeTable(s.now, own, s.seeds)
	n.alive = true
	n.seen = make(map[string]*pb.NodeRecord)
	s.byAddress[simAddress(n)] = n
}

func simBackends(nodeID string, count int) []*pb.BackendServer {
	var backends []*pb.BackendServer
	for i := range count {
		service := fmt.Sprintf("service-%04d", i*100)
		address := "10.100.200.117:80" + nodeID[len(nodeID)-2:]
		backends = append(backends, &pb.BackendServer{
			Id: BackendID(service, address), Service: service, Address: address,
			Slots: 7, Connections: 330, State: pb.BackendState_BACKEND_STATE_READY,
		})
	}
	return backends
}

func (s *simulation) isDropped(from, to *simNode) bool {
	return s.cut[[2]string{from.id, to.id}] || s.cut[[2]string{from.dc, to.dc}] || s.random.Float64() < s.loss
}

// step runs one second of the fleet.
func (s *simulation) step() {
	start := s.now
	defer func() { s.now = start + SyncInterval }()
	late := s.duplicates
	s.duplicates = nil
	for _, deliver := range late {
		deliver()
	}
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		s.now = start + n.phase
		n.applyVersion(s.now)
		s.timed(n, func() {
			for _, c := range n.table.Tick(s.now) {
				s.send(n, c)
			}
		})
		if s.afterRound != nil {
			s.afterRound(n)
		}
	}
}

// send delivers a call and its reply, or reports the failure to the caller.
func (s *simulation) send(from *simNode, c Call) {
	table := from.table
	for next := &c; next != nil; {
		call := *next
		to := s.byAddress[call.Address]
		if to == nil || !to.alive || s.isDropped(from, to) {
			table.HandleFailure(s.now, call)
			return
		}
		receiver := to.table
		if s.random.Float64() < s.duplicated {
			s.duplicates = append(s.duplicates, func() { receiver.HandleSync(s.now, call.Request) })
		}
		to.applyVersion(s.now)
		var reply *pb.SyncResponse
		s.timed(to, func() { reply = receiver.HandleSync(s.now, call.Request) })
		if s.random.Float64() < s.duplicated {
			s.duplicates = append(s.duplicates, func() { table.HandleReply(s.now, call, reply) })
		}
		if s.isDropped(to, from) {
			table.HandleFailure(s.now, call)
			return
		}
		if s.onExchange != nil {
			s.onExchange(from, to, call.Request, reply)
		}
		if v := reply.GetConfigVersion(); v > from.version {
			from.version, from.versionAt = v, s.now+fetchTime
		}
		next = table.HandleReply(s.now, call, reply)
		s.sendUrgent(to)
	}
}

// sendUrgent sends the calls that a node makes outside of its rounds.
func (s *simulation) sendUrgent(n *simNode) {
	s.timed(n, func() {
		for _, c := range n.table.UrgentCalls(s.now) {
			s.send(n, c)
		}
	})
}

// applyVersion puts a configuration version in force once its pages have been
// fetched.
func (n *simNode) applyVersion(now time.Duration) {
	if n.version > 0 && now >= n.versionAt {
		n.table.SetConfigVersion(n.version)
	}
}

// heal ends all faults of the network.
func (s *simulation) heal() {
	s.cut = make(map[[2]string]bool)
	s.loss = 0
	s.duplicated = 0
}

// regressedRecord describes the first record that was replaced by an older one since
// the last check, or returns an empty string.
func (s *simulation) regressedRecord() string {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		for _, r := range n.table.Records() {
			if old := n.seen[r.NodeId]; old != nil && CompareRecords(r, old) < 0 {
				return fmt.Sprintf("%s replaced a record by an older one: holds %v after %v", n.id, r, old)
			}
			n.seen[r.NodeId] = r
		}
	}
	return ""
}

// difference describes the first difference between what a node knows and the actual
// state of the fleet. It returns an empty string when all nodes have converged.
func (s *simulation) difference() string {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		if text := s.differenceOf(n); text != "" {
			return n.id + ": " + text
		}
	}
	return ""
}

func (s *simulation) differenceOf(n *simNode) string {
	if n.table.Superseded() {
		return "counts itself as superseded by a later process with the same node ID"
	}
	for _, other := range s.nodes {
		lost := slices.Contains(n.table.lostDataCentres, other.dc)
		e := n.table.entries[other.id]
		if !other.alive {
			if e != nil && serving(e.record) && !lost {
				return other.id + " is dead but recorded as serving"
			}
			continue
		}
		if lost {
			return other.dc + " is recorded as lost but has a living node"
		}
		if e == nil || CompareRecords(e.record, other.table.own) != 0 {
			return fmt.Sprintf("record of %s: holds %v instead of sequence %v", other.id, e, other.table.own.GetSequence())
		}
	}
	return ""
}

// converge runs steps until all nodes agree and returns the time this took, or -1
// after limit.
func (s *simulation) converge(limit time.Duration) time.Duration {
	start := s.now
	for s.now-start <= limit {
		if s.difference() == "" {
			return s.now - start
		}
		s.step()
	}
	return -1
}
