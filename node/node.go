// Package node assembles a node of the fleet: its entry and its guard, the background
// goroutines that keep its state up to date, and its servers.
package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/attempt"
	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/control"
	"github.com/jackdawlane/jackdawlane/entry"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/hedge"
	"github.com/jackdawlane/jackdawlane/linger"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/observe"
	"github.com/jackdawlane/jackdawlane/register"
	"github.com/jackdawlane/jackdawlane/retry"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/settings"
	"github.com/jackdawlane/jackdawlane/telemetry"
)

// ErrListen marks the error of an address in the settings on which the node cannot listen.
var ErrListen = errors.New("cannot listen")

// recordInterval is the time between two updates of this node's record from the
// announced backend servers.
const recordInterval = 200 * time.Millisecond

// Node is one process of the fleet.
type Node struct {
	settings    settings.Settings
	logger      *log.Logger
	metrics     *telemetry.Metrics
	tracing     *telemetry.Tracing
	client      *control.Client
	syncer      *control.Syncer
	config      *configUpdater
	monitor     *observe.Monitor
	guard       *guard.Guard
	entry       *entry.Entry
	keyRegister *register.Register
	stopping    atomic.Bool
}

// New returns a node that is not yet running. build is the version of the program.
// It returns an error when the trace exporter cannot be set up.
func New(ctx context.Context, s settings.Settings, logger *log.Logger, build string) (*Node, error) {
	tracing, err := telemetry.NewTracing(ctx, s.Trace, s.Node.ID)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s,
		logger:   logger,
		metrics:  telemetry.NewMetrics(),
		tracing:  tracing,
		client:   control.NewClient(),
	}
	incarnation := uint64(time.Now().UnixNano())
	n.syncer = control.NewSyncer(ownRecord(s, incarnation), seedAddresses(s.Peers), n.client)
	store := objectstore.New(s.Store.Address)
	peers := &configPeers{
		ownAddress: s.Node.ControlAdvertise.String(),
		seeds:      seedAddresses(s.Peers),
		timeout:    s.Store.Timeout,
		client:     n.client,
		records:    func() []*pb.NodeRecord { _, all := n.syncer.Records(); return all },
	}
	n.config = newConfigUpdater(store, s.Store.Timeout, n.syncer, peers, logger)
	n.monitor = n.newMonitor(store, incarnation)
	n.guard = guard.New(guard.Config{
		Self:          ownGuard(s, incarnation),
		MayAnnounce:   n.mayAnnounce,
		HealthMonitor: n.monitor,
		Limits:        attemptLimits(s.Limits),
		HedgeLimit:    guard.HedgeLimit{Share: n.hedgeShare, Window: s.Hedging.Window},
	})
	n.keyRegister = newKeyRegister(s, store, incarnation, logger)
	n.entry = entry.New(entry.Config{
		Region:              s.Node.Region,
		DataCentre:          s.Node.DataCentre,
		Snapshot:            n.config.Snapshot,
		View:                n.syncer.View,
		Resolver:            entry.NewControlResolver(n.client.HTTPClient()),
		Limits:              s.Limits,
		Hedging:             s.Hedging,
		RetryShare:          retry.DefaultShare,
		MinRetriesPerSecond: retry.DefaultMinimum,
		Keys:                n.keyClient(),
	})
	n.publishMetrics(build)
	return n, nil
}

func attemptLimits(s settings.Limits) attempt.Limits {
	limits := attempt.DefaultLimits
	limits.AnswerBytes = s.AnswerBytes
	return limits
}

func (n *Node) mayAnnounce(service, credential string) bool {
	return n.config.Snapshot().MayAnnounce(service, credential)
}

// hedgeShare returns the allowed share of hedges of a route.
func (n *Node) hedgeShare(organisation, name string) hedge.Share {
	return hedgeShareIn(n.config.Snapshot(), organisation, name, n.settings.Hedging.Share)
}

// hedgeShareIn returns the allowed share of hedges of a route in a version of the configuration.
func hedgeShareIn(s *config.Snapshot, organisation, name string, byDefault *float64) hedge.Share {
	r, _ := s.Route(route.Route{Organisation: organisation, Name: name}.Key())
	return hedge.ShareOf(r.HedgeShare, byDefault)
}

func (n *Node) publishMetrics(build string) {
	n.metrics.Publish("hedges", func() any { return n.entry.HedgeCounts() })
	n.metrics.Publish("guard_hedges", func() any { return n.guard.HedgeCounts() })
	n.metrics.Publish("build", func() any { return build })
	n.metrics.Publish("config_version", func() any { return n.config.Snapshot().Version() })
	n.metrics.Publish("backend_servers", func() any { return len(n.guard.Backends(time.Now())) })
	n.metrics.Publish("admission", func() any { return n.guard.CountsByPriority() })
	n.metrics.Publish("idempotency_keys", func() any { return n.keyRegister.Keys() })
	n.metrics.Publish("relay", func() any { return n.syncer.IsRelay() })
	n.metrics.Publish("lost_data_centres", func() any { return n.syncer.LostDataCentres() })
}

// Run serves until ctx ends or a part of the node fails, then stops within the stop
// timeout of the settings. It returns ErrListen, control.ErrSuperseded, or a context
// error if the stop took longer than the timeout.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers)+1)
	for _, s := range servers {
		go func() { failed <- s.serve() }()
	}
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	go func() { failed <- n.syncer.Run(controlCtx) }()
	go n.config.run(controlCtx)
	go n.monitor.Run(controlCtx)
	go n.updateRecord(controlCtx)
	n.logger.Info("serving", "traffic", n.settings.Node.TrafficAddress)
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	return errors.CombineErrors(err, n.stop(servers))
}

// updateRecord keeps the state and the backend servers in this node's record up to date
// until ctx ends or the syncer has stopped.
func (n *Node) updateRecord(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		state := pb.NodeState_NODE_STATE_SERVING
		if n.stopping.Load() {
			state = pb.NodeState_NODE_STATE_LEAVING
		}
		if err := n.syncer.UpdateOwn(state, control.EncodeBackends(n.guard.Backends(time.Now()))); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// server is one HTTP server and its listener.
type server struct {
	*linger.Server
	listener net.Listener
}

func (s server) serve() error {
	if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func ownGuard(s settings.Settings, incarnation uint64) membership.Guard {
	return membership.Guard{
		NodeID:         s.Node.ID,
		Incarnation:    incarnation,
		Region:         s.Node.Region,
		DataCentre:     s.Node.DataCentre,
		HopAddress:     s.Node.HopAdvertise.String(),
		ControlAddress: s.Node.ControlAdvertise.String(),
	}
}
