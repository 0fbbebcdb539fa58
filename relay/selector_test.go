package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testMaxAge = 3 * time.Second

// childOf returns a selector of a node that is not a reader, and its sources.
func childOf(count int) (*Selector, []Node) {
	nodes := testNodes(count)
	for _, n := range nodes {
		s := NewSelector(n, testMaxAge, func() float64 { return 1 })
		s.SetNodes(0, nodes)
		if !s.Reader() {
			return s, s.place.sources
		}
	}
	panic("all nodes are readers")
}

// simulation lets a selector act on sources and a store that fail or not.
type simulation struct {
	*Selector
	now time.Duration
	// alive and age tell whether a source replies, and the age of what it knows.
	alive func(n Node) bool
	age   time.Duration
	// storeDown makes reads of the store fail, after storeTime.
	storeDown bool
	storeTime time.Duration
	reads     []time.Duration
	lists     int
	fresh     []time.Duration
}

func (s *simulation) step() {
	a := s.Next(s.now)
	switch {
	case a.Source.ID == "":
	case s.alive(a.Source):
		s.now += max(a.Wait, time.Millisecond)
		if s.age < testMaxAge/4 {
			s.fresh = append(s.fresh, s.now)
		}
		s.Replied(a.Source, s.age, true)
	default:
		s.now += a.Timeout
		s.Failed(s.now, a.Source)
	}
	if a.ReadStore {
		s.reads = append(s.reads, s.now)
		s.now += s.storeTime
		if a.List {
			s.lists++
		}
		s.StoreRead(s.now, !s.storeDown, a.List)
	}
	s.now += a.Pause
}

func (s *simulation) runUntil(end time.Duration) {
	for s.now < end {
		s.step()
	}
}

// Guards against a node that learns of a change too late because the node that it asks is silent.
func TestSilentSourcesAreReplacedInTime(t *testing.T) {
	for silent := 1; silent <= groupSize; silent++ {
		s, sources := childOf(50)
		sim := simulation{Selector: s, alive: func(n Node) bool {
			for _, lost := range sources[:silent] {
				if n.ID == lost.ID {
					return false
				}
			}
			return true
		}}
		sim.now = time.Second
		for len(sim.fresh) == 0 && len(sim.reads) == 0 {
			sim.step()
		}
		assert.Assert(t, sim.now-time.Second < testMaxAge*3/4, "%d silent sources: after %s", silent, sim.now-time.Second)
	}
}

// Guards against a region that goes on without readers after its readers are lost for good.
func TestLostReadersAreReplaced(t *testing.T) {
	nodes := testNodes(50)
	lost := make(map[string]bool)
	for _, n := range nodes {
		if placeOf(n, nodes).reader {
			lost[n.ID] = true
		}
	}
	promoted := 0
	for _, n := range nodes {
		if lost[n.ID] {
			continue
		}
		sim := simulation{Selector: NewSelector(n, testMaxAge, nil), alive: func(n Node) bool { return !lost[n.ID] }}
		sim.SetNodes(0, nodes)
		sim.runUntil(4 * testMaxAge)
		if sim.Reader() {
			promoted++
		}
	}
	assert.Equal(t, promoted, groupSize)
}

// Guards against reads of a store that is silent or overloaded at an undiminished rate, and against the
// whole configuration being read again and again.
func TestReadsOfFailingStoreBecomeRare(t *testing.T) {
	s, _ := childOf(50)
	sim := simulation{Selector: s, alive: func(Node) bool { return true }, age: time.Minute, storeDown: true, storeTime: testMaxAge / 10}
	const outage = 20 * testMaxAge
	sim.runUntil(outage)
	assert.Assert(t, len(sim.reads) <= 20, "%d reads", len(sim.reads))
	assert.Assert(t, sim.lists <= 6, "%d reads of all of the configuration", sim.lists)

	// Once its source knows the newest version again, the node reads nothing itself.
	sim.age, sim.storeDown = 0, false
	sim.runUntil(outage + testMaxAge)
	read := len(sim.reads)
	sim.runUntil(outage + 10*testMaxAge)
	assert.Equal(t, len(sim.reads), read)
}

// Guards against a hint of a newer version that is not followed because the node's source does not have it.
func TestHintLeadsToOtherSourcesAndTheStore(t *testing.T) {
	s, sources := childOf(50)
	assert.Equal(t, s.Next(0).Source, sources[0])
	s.Replied(sources[0], 0, true)
	s.Behind()
	for i := range groupSize {
		a := s.Next(0)
		assert.Equal(t, a.Source, sources[(i+1)%groupSize])
		assert.Equal(t, a.Wait, time.Duration(0))
		s.Replied(a.Source, 0, true)
	}
	assert.Assert(t, s.Next(0).ReadStore)
	s.StoreRead(0, true, false)
	assert.Assert(t, s.Next(0).Wait > 0)
}

// Guards against a long pause of a node without a configuration whose sources have just started too.
func TestNodeWithoutConfigurationAsksAgainSoon(t *testing.T) {
	s, sources := childOf(50)
	for range sources {
		s.Failed(0, s.Next(0).Source)
	}
	assert.Assert(t, s.Next(0).ReadStore)
	s.ReadStarted()
	for range sources {
		s.Failed(0, s.Next(0).Source)
	}
	assert.Assert(t, s.Next(0).Pause < testMaxAge/10)
	s.Configured()
	for range sources {
		s.Failed(0, s.Next(0).Source)
	}
	assert.Assert(t, s.Next(0).Pause >= testMaxAge/10)
}
