package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/membership"
)

// ErrSuperseded is returned if another process with the same node ID and a higher
// incarnation runs.
var ErrSuperseded = errors.New("node ID is in use by a process with a higher incarnation")

// ErrStopped is returned if Run has ended.
var ErrStopped = errors.New("syncer is stopped")

// jitterShare is the largest random deviation of the time between two rounds, as a
// share of membership.SyncInterval. It spreads the rounds of nodes that started together.
const jitterShare = 0.1

// NewestConfig is the highest configuration version that any peer reported.
type NewestConfig struct {
	Version uint64
	// Address is the control address of the last peer that reported the version.
	Address string
}

// snapshot is the published state of the node table. Other goroutines read only this.
type snapshot struct {
	changeCount     uint64
	lostDataCentres []string
	own             *pb.NodeRecord
	records         []*pb.NodeRecord
	view            *membership.View
}

// Syncer keeps the node table of this node up to date: in each round it sends Sync
// calls to other nodes. Only the goroutine of Run accesses the node table.
type Syncer struct {
	nodeTable        *membership.NodeTable
	client           *Client
	start            time.Time
	events           chan func(now time.Duration)
	done             chan struct{}
	inFlight         map[string]bool
	snapshot         atomic.Pointer[snapshot]
	newestConfig     atomic.Pointer[NewestConfig]
	ownConfigVersion atomic.Uint64
	isRelay          atomic.Bool
}

// NewSyncer returns a syncer for the node with the record own. The node joins the
// fleet through the seeds, which are control addresses of other nodes.
func NewSyncer(own *pb.NodeRecord, seeds []string, client *Client) *Syncer {
	s := &Syncer{
		nodeTable: membership.NewNodeTable(0, own, seeds),
		client:    client,
		start:     time.Now(),
		events:    make(chan func(time.Duration)),
		done:      make(chan struct{}),
		inFlight:  make(map[string]bool),
	}
	s.newestConfig.Store(&NewestConfig{})
	s.publish()
	return s
}

// Run runs rounds until ctx ends. It returns ErrSuperseded when another process takes
// over the node ID. It may be called only once.
func (s *Syncer) Run(ctx context.Context) error {
	defer close(s.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !s.nodeTable.Superseded() {
		select {
		case <-ctx.Done():
			return nil
		case event := <-s.events:
			event(s.now())
			for _, call := range s.nodeTable.UrgentCalls(s.now()) {
				s.send(ctx, call)
			}
		case <-timer.C:
			s.runRound(ctx)
			timer.Reset(jittered(membership.SyncInterval))
		}
		s.publish()
	}
	return ErrSuperseded
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}

func (s *Syncer) now() time.Duration { return time.Since(s.start) }

func (s *Syncer) runRound(ctx context.Context) {
	s.nodeTable.SetConfigVersion(s.ownConfigVersion.Load())
	for _, call := range s.nodeTable.Tick(s.now()) {
		s.send(ctx, call)
	}
	s.isRelay.Store(s.nodeTable.IsRelay(s.now()))
}

// send makes the call in a new goroutine, unless an earlier call to the same address
// is still in flight.
func (s *Syncer) send(ctx context.Context, call membership.Call) {
	if s.inFlight[call.Address] {
		return
	}
	s.inFlight[call.Address] = true
	go func() {
		reply, err := s.client.Sync(ctx, call.Address, call.Request)
		s.post(func(now time.Duration) { s.handleResult(ctx, now, call, reply, err) })
	}()
}

// handleResult applies the result of a call. It runs in the goroutine of Run.
func (s *Syncer) handleResult(ctx context.Context, now time.Duration, call membership.Call, reply *pb.SyncResponse, err error) {
	delete(s.inFlight, call.Address)
	if err != nil {
		s.nodeTable.HandleFailure(now, call)
		return
	}
	if reply.GetConfigVersion() >= s.newestConfig.Load().Version {
		s.newestConfig.Store(&NewestConfig{Version: reply.GetConfigVersion(), Address: call.Address})
	}
	if next := s.nodeTable.HandleReply(now, call, reply); next != nil {
		s.send(ctx, *next)
	}
}

// post passes an event to the goroutine of Run. It returns false if Run has ended.
func (s *Syncer) post(event func(now time.Duration)) bool {
	select {
	case s.events <- event:
		return true
	case <-s.done:
		return false
	}
}

// HandleSync returns the reply to the Sync call of another node. It returns ErrStopped
// if Run has ended.
func (s *Syncer) HandleSync(ctx context.Context, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	replies := make(chan *pb.SyncResponse, 1)
	event := func(now time.Duration) {
		// A configuration version that this node applied since its last round is reported
		// at once. Otherwise it would be delayed by up to one round on each level of the
		// tree of nodes (see package membership) that it passes on its way to other nodes.
		s.nodeTable.SetConfigVersion(s.ownConfigVersion.Load())
		replies <- s.nodeTable.HandleSync(now, r)
	}
	select {
	case s.events <- event:
		return <-replies, nil
	case <-s.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// UpdateOwn replaces the state and the backend servers in this node's record.
// The caller must not change backends afterwards. UpdateOwn waits until the goroutine
// of Run takes the update and returns ErrStopped if Run has ended.
func (s *Syncer) UpdateOwn(state pb.NodeState, backends []*pb.BackendServer) error {
	if !s.post(func(now time.Duration) { s.nodeTable.UpdateOwn(now, state, backends) }) {
		return ErrStopped
	}
	return nil
}

// SetConfigVersion sets the configuration version that this node holds and can serve to
// other nodes. The syncer reports it to them.
func (s *Syncer) SetConfigVersion(version uint64) { s.ownConfigVersion.Store(version) }

// NewestConfig returns the highest configuration version that any peer reported, and the
// address of the last peer that reported it.
func (s *Syncer) NewestConfig() NewestConfig { return *s.newestConfig.Load() }

// IsRelay reports whether this node is a relay of its data centre.
func (s *Syncer) IsRelay() bool { return s.isRelay.Load() }

// View returns the current view of the backend servers of the fleet.
func (s *Syncer) View() *membership.View { return s.snapshot.Load().view }

// LostDataCentres returns the data centres that this node's data centre has lost contact with.
func (s *Syncer) LostDataCentres() []string { return s.snapshot.Load().lostDataCentres }

// Records returns this node's record and the records of all nodes. The caller must not
// change them.
func (s *Syncer) Records() (own *pb.NodeRecord, all []*pb.NodeRecord) {
	snapshot := s.snapshot.Load()
	return snapshot.own, snapshot.records
}

// publish replaces the snapshot if the node table or the lost data centres changed.
func (s *Syncer) publish() {
	table := s.nodeTable
	old := s.snapshot.Load()
	if old != nil && old.changeCount == table.ChangeCount() && slices.Equal(old.lostDataCentres, table.LostDataCentres()) {
		return
	}
	s.snapshot.Store(&snapshot{
		changeCount:     table.ChangeCount(),
		lostDataCentres: table.LostDataCentres(),
		own:             table.Own(),
		records:         table.Records(),
		view:            table.View(),
	})
}
