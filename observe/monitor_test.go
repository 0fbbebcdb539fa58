package observe

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/ejection"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/telemetry"
)

// memoryStore holds one object.
type memoryStore struct {
	data    []byte
	version int
}

func (s *memoryStore) Get(context.Context, string) ([]byte, string, error) {
	if s.version == 0 {
		return nil, "", nil
	}
	return s.data, fmt.Sprint(s.version), nil
}

func (s *memoryStore) Put(_ context.Context, _ string, data []byte, _ string) error {
	s.data = data
	s.version++
	return nil
}

// fixture is a monitor with a clock that tests set. Most tests call its methods directly
// instead of Run.
type fixture struct {
	*Monitor
	now     time.Duration
	store   memoryStore
	own     []membership.Backend
	view    *membership.View
	metrics *telemetry.Metrics
}

var background = context.Background()

// newFixture returns the monitor of node n1, which guards one of four backend servers.
// Each of the others has its own guard.
func newFixture() *fixture {
	f := &fixture{metrics: telemetry.NewMetrics()}
	var all []membership.Backend
	for _, n := range []string{"1", "2", "3", "4"} {
		all = append(all, membership.Backend{
			ID: "slot@" + n, Service: "slot", State: membership.StateReady, Guard: membership.Guard{NodeID: "n" + n},
		})
	}
	f.own, f.view = all[:1], membership.NewView(all)
	f.Monitor = New(Config{
		NodeID: "n1", Incarnation: 7,
		View:     func() *membership.View { return f.view },
		Floor:    func(string) int { return 2 },
		Backends: func() []membership.Backend { return f.own },
		Store:    &f.store,
		Times:    ejection.DefaultTimes,
		Clock:    func() time.Duration { return f.now },
		Metrics:  f.metrics,
		Logger:   log.New(io.Discard),
	})
	return f
}

func (f *fixture) ejectBackend(t *testing.T) *service {
	t.Helper()
	f.syncBackends(f.now)
	s := f.service(f.now, "slot")
	assert.NilError(t, s.coordinator.Eject(background, "slot@1", f.readyBackends("slot"), 2))
	f.publish(f.now)
	assert.Equal(t, f.Health("slot@1"), guard.Ejected)
	return s
}

func (f *fixture) storedPermits(t *testing.T) int {
	t.Helper()
	p, err := ejection.Decode("slot", f.store.data)
	assert.NilError(t, err)
	return len(p.Permits)
}

// Guards against requests that wait for the monitor, and against dropping dispatches
// without counting them.
func TestObserveNeverBlocksAndCountsDrops(t *testing.T) {
	f := newFixture()
	for range queuedDispatches + 3 {
		f.Observe(guard.DispatchReport{BackendID: "slot@1", Service: "slot"})
	}
	assert.Equal(t, f.metrics.Value("observe.dropped"), "3")
}

// Guards against a process that was paused and, before the goroutine of Run has run
// again, enforces an ejection whose permit has lapsed.
func TestEjectionLapsesWithoutRunGoroutine(t *testing.T) {
	f := newFixture()
	f.ejectBackend(t)
	f.now += ejection.PermitLifetime
	assert.Equal(t, f.Health("slot@1"), guard.Healthy)
	assert.Equal(t, f.AnnouncedHealth("slot@1"), guard.Healthy)
}

// Guards against enforcing an ejection when, because other backend servers have gone, fewer
// than the pool's floor (the number of ready backend servers that ejections must leave)
// would remain.
func TestEjectionIsIgnoredBelowFloor(t *testing.T) {
	f := newFixture()
	f.ejectBackend(t)
	f.view = membership.NewView(f.view.Backends("slot")[:2])
	assert.Equal(t, f.Health("slot@1"), guard.Healthy)
}

// Guards against permits that count against the floor although their backend server no
// longer announces itself.
func TestPermitIsReleasedWithItsBackend(t *testing.T) {
	f := newFixture()
	s := f.ejectBackend(t)
	f.own = nil
	f.syncBackends(f.now)
	assert.NilError(t, f.applyPermitUpdates(background, s, s.permits.pendingReleases, nil))
	assert.Equal(t, f.storedPermits(t), 0)
}

// Guards against ejection permits that remain in the store after a planned stop: until they
// lapse they would count against the floor.
func TestReleaseOnPlannedStop(t *testing.T) {
	f := newFixture()
	f.ejectBackend(t)
	ctx, cancel := context.WithCancel(background)
	defer cancel()
	go f.Run(ctx)
	f.Release(ctx)
	assert.Equal(t, f.storedPermits(t), 0)
}

// Guards against returning a baseline before half of the other guards have reported. It
// would be empty and make a fault of the whole service look like a fault of one backend
// server.
func TestAggregatorNeedsHalfOfTheGuards(t *testing.T) {
	f := newFixture()
	ctx, cancel := context.WithCancel(background)
	defer cancel()
	go f.Run(ctx)
	report := func(node string) connect.Code {
		_, err := f.ReportService(ctx, &pb.ReportServiceRequest{Service: "slot", NodeId: node, Incarnation: 1})
		return connect.CodeOf(err)
	}
	assert.Equal(t, report("n2"), connect.CodeFailedPrecondition)
	assert.Equal(t, report("n3"), connect.CodeFailedPrecondition)
	_, err := f.ReportService(ctx, &pb.ReportServiceRequest{Service: "slot", NodeId: "n4", Incarnation: 1})
	assert.NilError(t, err)
}

// Guards against announcing every short suspicion, which would change the announced
// record each time.
func TestShortSuspicionIsNotAnnounced(t *testing.T) {
	b := &backend{suspect: true, suspectSince: time.Second}
	assert.Equal(t, b.healthToAnnounce(minSuspicionTime), guard.Healthy)
	assert.Equal(t, b.healthToAnnounce(minSuspicionTime+time.Second), guard.Suspect)
}
