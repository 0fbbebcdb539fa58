package membership

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// healTime bounds the time to convergence after the last fault: a node that hears
// less than half of its data centre waits for isolatedGoneAfter before it marks
// others gone.
const healTime = isolatedGoneAfter + 40*time.Second

// Guards against node tables that stay different after faults of the network and of
// processes have ended, and against an older record that replaces a newer one.
func TestNodeTablesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkConvergence(t, newSimulation(rapid.Uint64().Draw(t, "seed"),
			rapid.IntRange(1, 3).Draw(t, "data centres"), rapid.IntRange(2, 5).Draw(t, "nodes")))
	})
}

// Guards against the same faults as TestNodeTablesConvergeAfterFaults in data centres
// whose tree has two levels below the relays.
func TestTreesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkConvergence(t, newSimulation(rapid.Uint64().Draw(t, "seed"),
			rapid.IntRange(1, 2).Draw(t, "data centres"), rapid.IntRange(19, 24).Draw(t, "nodes")))
	})
}

func checkConvergence(t *rapid.T, s *simulation) {
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		drawFault(t, s)
		for range rapid.IntRange(1, 25).Draw(t, "seconds") {
			s.step()
			assert.Equal(t, s.regressedRecord(), "")
			assert.Equal(t, s.viewDifference(), "")
		}
	}
	s.heal()
	if s.converge(healTime) < 0 {
		t.Fatalf("nodes did not converge after all faults ended: %s", s.difference())
	}
	assert.Equal(t, s.regressedRecord(), "")
}

// viewDifference compares the view and the list of records of one node, which its table
// updates incrementally, with ones built anew from the entries of the table. It describes
// the first difference.
func (s *simulation) viewDifference() string {
	n := s.nodes[int(s.now/SyncInterval)%len(s.nodes)]
	d := n.table
	var backends []Backend
	var ids []string
	for id, e := range d.entries {
		ids = append(ids, id)
		if serving(e.record) && !slices.Contains(d.lostDataCentres, e.record.GetDataCentre()) {
			backends = appendBackends(backends, e.record)
		}
	}
	slices.Sort(ids)
	for i, r := range d.Records() {
		if i >= len(ids) || r != d.entries[ids[i]].record {
			return n.id + ": list of records differs from its entries"
		}
	}
	if len(d.Records()) != len(ids) || !reflect.DeepEqual(d.View(), NewView(backends)) {
		return n.id + ": view differs from its entries"
	}
	return ""
}

func drawFault(t *rapid.T, s *simulation) {
	a := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "a")]
	b := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "b")]
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		s.cut[[2]string{a.id, b.id}] = true
	case 1:
		if a.dc != b.dc {
			s.cut[[2]string{a.dc, b.dc}] = true
		}
	case 2:
		s.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	case 3:
		s.duplicated = rapid.Float64Range(0, 0.5).Draw(t, "duplicated")
	case 4:
		// Seeds stay alive, because a new node can join only through them.
		if s.seedIndex(a) < 0 {
			a.alive = false
		}
	case 5, 6:
		s.start(a)
	case 7:
		s.heal()
	case 8:
		if a.alive {
			count := rapid.IntRange(0, 12).Draw(t, "backend servers")
			a.table.UpdateOwn(s.now, pb.NodeState_NODE_STATE_SERVING, simBackends(a.id, count))
		}
	}
}

func (s *simulation) seedIndex(n *simNode) int {
	for i, seed := range s.seeds {
		if seed == simAddress(n) {
			return i
		}
	}
	return -1
}

// ordinaryNode returns a living node that is neither a seed nor a relay.
func (s *simulation) ordinaryNode() *simNode {
	for {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		if n.alive && s.seedIndex(n) < 0 && n.table.relaySince < 0 {
			return n
		}
	}
}

func convergedSimulation(t *testing.T, dataCentres, perDataCentre int) *simulation {
	t.Helper()
	s := newSimulation(1, dataCentres, perDataCentre)
	assert.Assert(t, s.converge(healTime) >= 0, s.difference())
	for range 10 {
		s.step()
	}
	return s
}

// Guards against a living node that is marked gone because one relay does not hear
// it, although the other relay does.
func TestOneWayCutToRelayMarksNobodyGone(t *testing.T) {
	for _, toRelay := range []bool{true, false} {
		s := convergedSimulation(t, 1, 6)
		relays := s.nodes[0].table.ownRelays(s.now)
		first := s.byAddress[relays[0].record.ControlAddress]
		for _, n := range s.nodes {
			pair := [2]string{n.id, first.id}
			if !toRelay {
				pair = [2]string{first.id, n.id}
			}
			before := n.table.own.Sequence
			if n == first || n.table.IsRelay(s.now) {
				continue
			}
			s.cut[pair] = true
			for range 60 {
				s.step()
			}
			assert.Equal(t, n.table.own.Sequence, before, "the node raised its sequence, so it was marked gone")
			s.heal()
		}
	}
}

// Guards against a relay that is cut off for a short time and marks all other nodes
// gone, so that each of them publishes a new record.
func TestIsolatedRelayMarksNobodyGone(t *testing.T) {
	s := convergedSimulation(t, 2, 10)
	relay := s.byAddress[s.nodes[0].table.ownRelays(s.now)[0].record.ControlAddress]
	for _, n := range s.nodes {
		s.cut[[2]string{n.id, relay.id}] = true
		s.cut[[2]string{relay.id, n.id}] = true
	}
	for range 40 {
		s.step()
	}
	for _, e := range relay.table.entries {
		assert.Assert(t, e.live(), e.record.NodeId)
	}
}

// Guards against dead nodes that stay in use: an ordinary node, the first relay, or
// both relays at the same time.
func TestDeadNodesAreMarkedGone(t *testing.T) {
	for _, kill := range []string{"ordinary", "first relay", "both relays"} {
		s := convergedSimulation(t, 2, 8)
		relays := s.nodes[0].table.ownRelays(s.now)
		for _, n := range s.nodes {
			isFirst := n.id == relays[0].record.NodeId
			isSecond := n.id == relays[1].record.NodeId
			switch kill {
			case "first relay":
				n.alive = n.alive && !isFirst
			case "both relays":
				n.alive = n.alive && !isFirst && !isSecond
			}
		}
		if kill == "ordinary" {
			s.ordinaryNode().alive = false
		}
		took := s.converge(healTime)
		assert.Assert(t, took >= goneAfter && took <= 4*goneAfter, "%s: %s", kill, took)
	}
}

// Guards against work that is sent to a data centre that is out of contact, and
// against records that change during the outage although no node died.
func TestLostDataCentreLeavesTheViewAndReturns(t *testing.T) {
	s := convergedSimulation(t, 2, 4)
	s.cut[[2]string{"region-dc-0", "region-dc-1"}] = true
	for range 12 {
		s.step()
	}
	for _, n := range s.nodes {
		for _, b := range n.table.View().Backends("service-0000") {
			assert.Equal(t, b.Guard.DataCentre, n.dc)
		}
	}
	s.heal()
	took := s.converge(healTime)
	assert.Assert(t, took >= 0 && took <= 2*retryInterval, took)
	for _, n := range s.nodes {
		assert.Equal(t, n.table.own.Sequence, uint64(1))
		assert.Equal(t, len(n.table.View().Backends("service-0000")), len(s.nodes))
	}
}

// Guards against new work for the backend servers of a leaving node.
func TestLeavingNodeLeavesTheView(t *testing.T) {
	s := convergedSimulation(t, 2, 3)
	leaving := s.nodes[0]
	leaving.table.UpdateOwn(s.now, pb.NodeState_NODE_STATE_LEAVING, leaving.table.own.BackendServers)
	for range 4 {
		s.step()
	}
	for _, n := range s.nodes {
		assert.Equal(t, len(n.table.View().Backends("service-0000")), len(s.nodes)-1)
	}
}

// Guards against two processes with the same node ID that keep replacing each other's
// records.
func TestEarlierProcessIsSuperseded(t *testing.T) {
	s := convergedSimulation(t, 1, 3)
	old := s.nodes[2].table
	s.start(s.nodes[2])
	assert.Assert(t, s.converge(healTime) >= 0)
	for _, c := range old.Tick(s.now) {
		reply := s.byAddress[c.Address].table.HandleSync(s.now, c.Request)
		old.HandleReply(s.now, c, reply)
	}
	assert.Assert(t, old.Superseded())
	assert.Assert(t, !s.nodes[2].table.Superseded())
}

// Guards against memory that grows with the number of changes, or with the number of
// nodes that have gone.
func TestForgetsGoneAndStaleRecords(t *testing.T) {
	s := convergedSimulation(t, 1, 3)
	d := s.nodes[0].table
	for i := range 10000 {
		d.merge(s.now, &pb.NodeRecord{NodeId: "x", Incarnation: 1, Sequence: uint64(i), State: pb.NodeState_NODE_STATE_SERVING}, "")
	}
	assert.Assert(t, len(d.log.items) <= 2*len(d.entries)+compactionSlack)
	d.merge(s.now, goneRecord(d.entries["x"].record), "")
	d.Tick(s.now + goneRetention)
	assert.Assert(t, d.entries["x"] != nil)
	d.Tick(s.now + goneRetention + time.Second)
	assert.Assert(t, d.entries["x"] == nil)
}

// Guards against a joining node that cannot read a node table larger than one
// message.
func TestLargeNodeTableIsReadInParts(t *testing.T) {
	s := newSimulation(1, 1, 2)
	d := s.nodes[0].table
	const count = 2000
	for i := range count {
		id := s.nodes[0].id + "-" + time.Duration(i).String()
		d.merge(s.now, &pb.NodeRecord{NodeId: id, DataCentre: "other", BackendServers: simBackends(id, 10)}, "")
	}
	s.step()
	s.step()
	assert.Equal(t, len(s.nodes[1].table.entries), count+2)
}
