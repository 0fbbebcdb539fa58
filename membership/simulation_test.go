package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// simNode is one process of the simulated fleet.
type simNode struct {
	id, dc string
	// phase is when the node runs its round within a second.
	phase     time.Duration
	directory *NodeTable
	alive     bool
	seen      map[string]*pb.NodeRecord
	// version is a configuration version on its way, in force from versionAt.
	version   uint64
	versionAt time.Duration
	// busy, bytes and calls are what measured runs count.
	busy  time.Duration
	bytes int
	calls int
}

// simulation drives directories through an in-memory network in virtual time.
type simulation struct {
	now         time.Duration
	nodes       []*simNode
	byAddress   map[string]*simNode
	seeds       []string
	random      *rand.Rand
	incarnation uint64
	// cut holds the directions, from and to node ID or data centre, that lose everything.
	cut map[[2]string]bool
	// loss and delay are the shares of messages lost, and delivered once more later.
	loss, delay float64
	late        []func()
	// observe, when set, sees each delivered request and reply.
	observe func(from, to *simNode, request *pb.SyncRequest, reply *pb.SyncResponse)
	// afterRound, when set, sees each node after its round.
	afterRound func(n *simNode)
	// measured, when set, counts the processor time of each node.
	measured bool
	// away is time spent in other nodes or in the simulation during timed work.
	away time.Duration
}

// timed adds the time of work to the node, without the time of timed work within it.
func (s *simulation) timed(n *simNode, work func()) {
	if !s.measured {
		work()
		return
	}
	outer := s.away
	s.away = 0
	start := time.Now()
	work()
	total := time.Since(start)
	n.busy += total - s.away
	s.away = outer + total
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

// add puts a node in the order of phases.
func (s *simulation) add(n *simNode) {
	n.phase = time.Duration(s.random.Int64N(int64(SyncInterval)))
	s.nodes = append(s.nodes, n)
	slices.SortStableFunc(s.nodes, func(a, b *simNode) int { return cmp.Compare(a.phase, b.phase) })
}

func simAddress(n *simNode) string { return "10.0.0.1:" + n.id }

// start starts or restarts a node with the same node ID and a new incarnation.
func (s *simulation) start(n *simNode) {
	s.incarnation += 1e9
	own := &pb.NodeRecord{
		NodeId: n.id, Incarnation: s.incarnation, State: pb.NodeState_NODE_STATE_SERVING,
		Region: "region", DataCentre: n.dc, ControlAddress: simAddress(n),
		HopAddress: "10.100.200.17:7002", TrafficAddress: "10.100.200.17:7001", AnnounceAddress: "10.100.200.17:7004",
		BackendServers: simBackends(n.id, 10),
	}
	n.directory = NewNodeTable(s.now, own, s.seeds)
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

func (s *simulation) lost(from, to *simNode) bool {
	return s.cut[[2]string{from.id, to.id}] || s.cut[[2]string{from.dc, to.dc}] || s.random.Float64() < s.loss
}

// step runs one second of the fleet.
func (s *simulation) step() {
	start := s.now
	defer func() { s.now = start + SyncInterval }()
	late := s.late
	s.late = nil
	for _, deliver := range late {
		deliver()
	}
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		s.now = start + n.phase
		n.takeVersion(s.now)
		s.timed(n, func() {
			for _, c := range n.directory.Tick(s.now) {
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
	directory := from.directory
	for next := &c; next != nil; {
		call := *next
		to := s.byAddress[call.Address]
		if to == nil || !to.alive || s.lost(from, to) {
			directory.HandleFailure(s.now, call)
			return
		}
		receiver := to.directory
		if s.random.Float64() < s.delay {
			s.late = append(s.late, func() { receiver.HandleSync(s.now, call.Request) })
		}
		to.takeVersion(s.now)
		var reply *pb.SyncResponse
		s.timed(to, func() { reply = receiver.HandleSync(s.now, call.Request) })
		if s.random.Float64() < s.delay {
			s.late = append(s.late, func() { directory.HandleReply(s.now, call, reply) })
		}
		if s.lost(to, from) {
			directory.HandleFailure(s.now, call)
			return
		}
		if s.observe != nil {
			s.observe(from, to, call.Request, reply)
		}
		if v := reply.GetConfigVersion(); v > from.version {
			from.version, from.versionAt = v, s.now+fetchTime
		}
		next = directory.HandleReply(s.now, call, reply)
		s.urge(to)
	}
}

// urge sends the calls that a node makes outside of its rounds.
func (s *simulation) urge(n *simNode) {
	s.timed(n, func() {
		for _, c := range n.directory.UrgentCalls(s.now) {
			s.send(n, c)
		}
	})
}

// takeVersion puts a configuration version in force once its pages are there.
func (n *simNode) takeVersion(now time.Duration) {
	if n.version > 0 && now >= n.versionAt {
		n.directory.SetConfigVersion(n.version)
	}
}

// heal ends all faults of the network.
func (s *simulation) heal() {
	s.cut = make(map[[2]string]bool)
	s.loss = 0
	s.delay = 0
}

// steppedBack returns a description of the first record that went back since the last check.
func (s *simulation) steppedBack() string {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		for _, r := range n.directory.Records() {
			if old := n.seen[r.NodeId]; old != nil && Compare(r, old) < 0 {
				return fmt.Sprintf("%s holds %v after %v", n.id, r, old)
			}
			n.seen[r.NodeId] = r
		}
	}
	return ""
}

// difference returns a description of the first difference between what a node
// knows and the fleet as it is, empty when all have converged.
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
	if n.directory.Superseded() {
		return "superseded by an earlier process"
	}
	for _, other := range s.nodes {
		lost := slices.Contains(n.directory.lost, other.dc)
		e := n.directory.entries[other.id]
		if !other.alive {
			if e != nil && serving(e.record) && !lost {
				return other.id + " is dead but serving"
			}
			continue
		}
		if lost {
			return other.dc + " is lost but alive"
		}
		if e == nil || Compare(e.record, other.directory.own) != 0 {
			return fmt.Sprintf("%s: holds %v instead of %v", other.id, e, other.directory.own.GetSequence())
		}
	}
	return ""
}

// converge steps until all agree and returns the time it took, or -1 after limit.
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
