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

// ErrSuperseded says that another process with the same node ID and a higher incarnation runs.
var ErrSuperseded = errors.New("node ID is in use by a later process")

// ErrStopped says that the syncer does not run.
var ErrStopped = errors.New("syncer is stopped")

// jitterShare spreads the rounds of nodes that started together, as a share of the interval.
const jitterShare = 0.1

// NewestConfig is the highest configuration version that a peer reported.
type NewestConfig struct {
	Version uint64
	// Address is the control address of the peer that reported it last.
	Address string
}

// snapshot is what other goroutines read.
type snapshot struct {
	changed uint64
	lost    []string
	own     *pb.NodeRecord
	records []*pb.NodeRecord
	view    *membership.View
}

// Syncer runs the rounds of Sync. Only the goroutine in Run touches the directory.
type Syncer struct {
	directory *membership.NodeTable
	client    *Client
	start     time.Time
	events    chan func(now time.Duration)
	done      chan struct{}
	inFlight  map[string]bool
	snapshot  atomic.Pointer[snapshot]
	newest    atomic.Pointer[NewestConfig]
	held      atomic.Uint64
	relay     atomic.Bool
}

// NewSyncer returns a syncer for the node with the own record, which joins through seeds.
func NewSyncer(own *pb.NodeRecord, seeds []string, client *Client) *Syncer {
	s := &Syncer{
		directory: membership.NewNodeTable(0, own, seeds),
		client:    client,
		start:     time.Now(),
		events:    make(chan func(time.Duration)),
		done:      make(chan struct{}),
		inFlight:  make(map[string]bool),
	}
	s.newest.Store(&NewestConfig{})
	s.publish()
	return s
}

// Run runs rounds until ctx ends or another process takes over the node ID.
// It returns ErrSuperseded in the latter case. It may be called once.
func (s *Syncer) Run(ctx context.Context) error {
	defer close(s.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !s.directory.Superseded() {
		select {
		case <-ctx.Done():
			return nil
		case event := <-s.events:
			event(s.now())
			for _, call := range s.directory.UrgentCalls(s.now()) {
				s.send(ctx, call)
			}
		case <-timer.C:
			s.round(ctx)
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

func (s *Syncer) round(ctx context.Context) {
	s.directory.SetConfigVersion(s.held.Load())
	for _, call := range s.directory.Tick(s.now()) {
		s.send(ctx, call)
	}
	s.relay.Store(s.directory.IsRelay(s.now()))
}

// send makes the call unless an earlier one to the address is still open.
func (s *Syncer) send(ctx context.Context, call membership.Call) {
	if s.inFlight[call.Address] {
		return
	}
	s.inFlight[call.Address] = true
	go func() {
		reply, err := s.client.Sync(ctx, call.Address, call.Request)
		s.post(func(now time.Duration) { s.report(ctx, now, call, reply, err) })
	}()
}

// report takes the result of a call, in the control goroutine.
func (s *Syncer) report(ctx context.Context, now time.Duration, call membership.Call, reply *pb.SyncResponse, err error) {
	delete(s.inFlight, call.Address)
	if err != nil {
		s.directory.HandleFailure(now, call)
		return
	}
	if reply.GetConfigVersion() >= s.newest.Load().Version {
		s.newest.Store(&NewestConfig{Version: reply.GetConfigVersion(), Address: call.Address})
	}
	if next := s.directory.HandleReply(now, call, reply); next != nil {
		s.send(ctx, *next)
	}
}

// post hands an event to the control goroutine. It returns false when that has ended.
func (s *Syncer) post(event func(now time.Duration)) bool {
	select {
	case s.events <- event:
		return true
	case <-s.done:
		return false
	}
}

// HandleSync answers the Sync of another node. It returns ErrStopped when Run has ended.
func (s *Syncer) HandleSync(ctx context.Context, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	replies := make(chan *pb.SyncResponse, 1)
	event := func(now time.Duration) {
		// A version taken since the last round must not wait for the next one on each level.
		s.directory.SetConfigVersion(s.held.Load())
		replies <- s.directory.HandleSync(now, r)
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

// UpdateOwn replaces state and backend servers of the own record.
// The caller must not change backends afterwards. It waits for the control
// goroutine and returns ErrStopped when Run has ended.
func (s *Syncer) UpdateOwn(state pb.NodeState, backends []*pb.BackendServer) error {
	if !s.post(func(now time.Duration) { s.directory.UpdateOwn(now, state, backends) }) {
		return ErrStopped
	}
	return nil
}

// SetConfigVersion says which version this node holds and can pass on.
func (s *Syncer) SetConfigVersion(version uint64) { s.held.Store(version) }

// Newest returns the highest configuration version that a peer reported.
func (s *Syncer) Newest() NewestConfig { return *s.newest.Load() }

// IsRelay reports whether this node is a relay of its data centre.
func (s *Syncer) IsRelay() bool { return s.relay.Load() }

// View returns the current view of the backend servers.
func (s *Syncer) View() *membership.View { return s.snapshot.Load().view }

// LostDataCentres returns the data centres that this node's data centre has lost contact with.
func (s *Syncer) LostDataCentres() []string { return s.snapshot.Load().lost }

// Records returns the own record and those of all nodes. The caller must not change them.
func (s *Syncer) Records() (own *pb.NodeRecord, all []*pb.NodeRecord) {
	snapshot := s.snapshot.Load()
	return snapshot.own, snapshot.records
}

// publish replaces the snapshot if the directory changed.
func (s *Syncer) publish() {
	d := s.directory
	old := s.snapshot.Load()
	if old != nil && old.changed == d.ChangeCount() && slices.Equal(old.lost, d.LostDataCentres()) {
		return
	}
	s.snapshot.Store(&snapshot{
		changed: d.ChangeCount(),
		lost:    d.LostDataCentres(),
		own:     d.Own(),
		records: d.Records(),
		view:    d.View(),
	})
}
