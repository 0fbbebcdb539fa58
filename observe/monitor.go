// Package observe monitors the health of the backend servers of a guard while the node
// runs: it passes results to the detector, exchanges baselines with the other guards of
// each service, and requests ejections.
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
	// queuedDispatches is the capacity of the queue of finished dispatches. It covers some
	// seconds of a busy guard.
	queuedDispatches = 4096
	cycleInterval    = time.Second
	// baselineWait lets the baselines of this cycle arrive before the detector advances.
	baselineWait = 200 * time.Millisecond
)

// Config configures a Monitor.
type Config struct {
	NodeID      string
	Incarnation uint64
	// View returns the current view of the nodes and their backend servers.
	View func() *membership.View
	// Floor returns the floor of a service: the number of ready, unejected backend servers
	// below which ejections are ignored.
	Floor func(service string) int
	// Backends returns the backend servers that announce themselves to this node.
	Backends func() []membership.Backend
	// SendReport sends a report to the node at a control address.
	SendReport func(ctx context.Context, address string, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error)
	// Store stores the ejection permits.
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
	detector *health.Detector
	backends map[string]*backend
	services map[string]*service
	// avoidUntil holds the time until which a node, by ID, is not used as aggregator.
	avoidUntil map[string]time.Duration
	stopping   bool
}

type dispatch struct {
	guard.DispatchReport
	at time.Duration
}

// New returns a monitor. It assesses no backend server before Run is called.
func New(c Config) *Monitor {
	m := &Monitor{
		config:     c,
		dispatches: make(chan dispatch, queuedDispatches),
		events:     make(chan func(time.Duration)),
		done:       make(chan struct{}),
		detector:   health.NewDetector(),
		backends:   make(map[string]*backend),
		services:   make(map[string]*service),
		avoidUntil: make(map[string]time.Duration),
	}
	m.states.Store(&states{})
	c.Metrics.Publish("health", func() any { return m.unhealthy() })
	return m
}

// Started implements guard.HealthMonitor. The detector uses finished dispatches only.
func (m *Monitor) Started(guard.DispatchStart) func(health.RunEnd) { return func(health.RunEnd) {} }

// Observe implements guard.HealthMonitor. A dispatch that finds the queue full is
// dropped and counted.
func (m *Monitor) Observe(d guard.DispatchReport) {
	select {
	case m.dispatches <- dispatch{d, m.config.Clock()}:
	default:
		m.config.Metrics.Add("observe.dropped", 1)
	}
}

// Run assesses the backend servers until ctx ends. It may be called once.
func (m *Monitor) Run(ctx context.Context) {
	defer close(m.done)
	ticker := time.NewTicker(cycleInterval)
	defer ticker.Stop()
	var cycleEnd <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-m.dispatches:
			m.handleDispatch(d)
		case event := <-m.events:
			event(m.config.Clock())
		case <-ticker.C:
			m.beginCycle(ctx, m.config.Clock())
			cycleEnd = time.After(baselineWait)
		case <-cycleEnd:
			m.endCycle(ctx, m.config.Clock())
		}
	}
}

// post passes an event to the goroutine of Run. It returns false when Run has ended.
func (m *Monitor) post(event func(now time.Duration)) bool {
	select {
	case m.events <- event:
		return true
	case <-m.done:
		return false
	}
}

// beginCycle updates the set of backend servers and sends the reports that are due.
func (m *Monitor) beginCycle(ctx context.Context, now time.Duration) {
	m.syncBackends(now)
	for _, s := range m.services {
		m.report(ctx, now, s)
	}
}

// endCycle assesses the backend servers with the baselines that have arrived.
func (m *Monitor) endCycle(ctx context.Context, now time.Duration) {
	m.detector.Advance(now)
	for _, s := range m.services {
		m.updatePermits(ctx, now, s)
	}
	m.publish(now)
}
