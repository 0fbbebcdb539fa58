// Package observe judges the backend servers of a guard while the node runs: it
// feeds the judge, exchanges baselines with the other guards of each service,
// and asks for ejections.
package observe

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/ejection"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/health"
	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/telemetry"
)

const (
	// queuedDispatches covers some seconds of a busy guard.
	queuedDispatches = 4096
	turnInterval     = time.Second
	// replyWait lets the baselines of this turn arrive before the judge advances.
	replyWait = 200 * time.Millisecond
)

// Config of a monitor.
type Config struct {
	NodeID      string
	Incarnation uint64
	// View returns the current directory.
	View func() *membership.View
	// Floor returns the floor of a service, in backend servers.
	Floor func(service string) int
	// Backends returns the backend servers that announce to this node.
	Backends func() []membership.Backend
	// SendReport sends a report to the node at a control address.
	SendReport func(ctx context.Context, address string, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error)
	// Store holds the permits.
	Store ejection.Store
	Times ejection.Times
	Clock ejection.Clock

	Metrics *telemetry.Metrics
	Logger  *log.Logger
}

// Monitor implements guard.HealthMonitor and control.Reports.
type Monitor struct {
	config     Config
	dispatches chan dispatch
	events     chan func(now time.Duration)
	done       chan struct{}
	states     atomic.Pointer[states]

	// The fields below belong to the goroutine of Run.
	judge    *health.Detector
	backends map[string]*backend
	services map[string]*service
	// avoided has the time until which a node is passed over as aggregator.
	avoided  map[string]time.Duration
	stopping bool
}

type dispatch struct {
	guard.DispatchReport
	at time.Duration
}

// New returns a monitor; it judges nothing before Run.
func New(c Config) *Monitor {
	o := &Monitor{
		config:     c,
		dispatches: make(chan dispatch, queuedDispatches),
		events:     make(chan func(time.Duration)),
		done:       make(chan struct{}),
		judge:      health.NewDetector(),
		backends:   make(map[string]*backend),
		services:   make(map[string]*service),
		avoided:    make(map[string]time.Duration),
	}
	o.states.Store(&states{})
	c.Metrics.Publish("health", func() any { return o.unhealthy() })
	return o
}

// Observe implements guard.HealthMonitor. A dispatch that finds the queue full is
// dropped and counted.
func (o *Monitor) Observe(d guard.DispatchReport) {
	select {
	case o.dispatches <- dispatch{d, o.config.Clock()}:
	default:
		o.config.Metrics.Add("observe.dropped", 1)
	}
}

// Run judges until ctx ends. It may be called once.
func (o *Monitor) Run(ctx context.Context) {
	defer close(o.done)
	ticker := time.NewTicker(turnInterval)
	defer ticker.Stop()
	var replies <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-o.dispatches:
			o.take(d)
		case event := <-o.events:
			event(o.config.Clock())
		case <-ticker.C:
			o.beginTurn(ctx, o.config.Clock())
			replies = time.After(replyWait)
		case <-replies:
			o.endTurn(ctx, o.config.Clock())
		}
	}
}

// post hands an event to the goroutine of Run. It returns false when that has ended.
func (o *Monitor) post(event func(now time.Duration)) bool {
	select {
	case o.events <- event:
		return true
	case <-o.done:
		return false
	}
}

// beginTurn brings the backend servers up to date and sends the reports that are due.
func (o *Monitor) beginTurn(ctx context.Context, now time.Duration) {
	o.follow(now)
	for _, s := range o.services {
		o.report(ctx, now, s)
	}
}

// endTurn judges with the baselines that have arrived.
func (o *Monitor) endTurn(ctx context.Context, now time.Duration) {
	o.judge.Advance(now)
	for _, s := range o.services {
		o.updatePermits(ctx, now, s)
	}
	o.publish(now)
}
