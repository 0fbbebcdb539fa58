package observe

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/health"
	"github.com/jackdawlane/jackdawlane/membership"
)

const (
	// callTimeout leaves time to ask the next aggregator within one cycle.
	callTimeout = 400 * time.Millisecond
	// maxAggregatorsTried bounds the nodes that are tried for one report.
	maxAggregatorsTried = 3
	// avoidTime is how long a node that did not answer is not used as aggregator.
	avoidTime = 10 * time.Second
)

// errFewReports means that too few guards have reported to an aggregator for a baseline.
var errFewReports = errors.New("too few guards have reported")

// errStopped means that Run has ended.
var errStopped = errors.New("observer is stopped")

// rankedGuards returns the guards of a service, this node included, in the order in which
// they are asked to aggregate.
func (m *Monitor) rankedGuards(name string) []membership.Guard {
	seen := map[string]bool{m.config.NodeID: true}
	all := []membership.Guard{{NodeID: m.config.NodeID}}
	for _, b := range m.config.View().Backends(name) {
		if !seen[b.Guard.NodeID] {
			seen[b.Guard.NodeID] = true
			all = append(all, b.Guard)
		}
	}
	slices.SortFunc(all, func(a, b membership.Guard) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(name, b), rendezvousWeight(name, a)), cmp.Compare(a.NodeID, b.NodeID))
	})
	return all
}

func rendezvousWeight(name string, g membership.Guard) uint64 {
	return xxhash.Sum64String(name + "/" + g.NodeID)
}

// report sends the counters of a service to its aggregator when a report is due: every
// second while the detector needs a baseline to assess a backend server, otherwise every
// health.ReportInterval.
func (m *Monitor) report(ctx context.Context, now time.Duration, s *service) {
	counters := m.detector.Counters(s.name)
	due := now-s.lastReport >= health.ReportInterval-cycleInterval/2 || m.detector.NeedsBaseline(s.name)
	if len(counters) == 0 || s.reportInFlight || !due {
		return
	}
	guards := m.rankedGuards(s.name)
	if len(guards) == 1 {
		m.detector.MergeBaseline(now, s.name, nil)
		return
	}
	request := &pb.ReportServiceRequest{
		Service: s.name, NodeId: m.config.NodeID, Incarnation: m.config.Incarnation, Backends: wireBackends(counters),
	}
	guards = slices.DeleteFunc(guards, func(g membership.Guard) bool { return now < m.avoidUntil[g.NodeID] })
	s.lastReport, s.reportInFlight = now, true
	go m.send(ctx, s, guards[:min(len(guards), maxAggregatorsTried)], request)
}

// send sends a report to the guards in order until one answers with a baseline, or with
// the error that too few guards have reported.
func (m *Monitor) send(ctx context.Context, s *service, guards []membership.Guard, r *pb.ReportServiceRequest) {
	var failedNodes []string
	var response *pb.ReportServiceResponse
	for _, g := range guards {
		answer, err := m.requestBaseline(ctx, g, r)
		if err == nil {
			response = answer
			break
		}
		if connect.CodeOf(err) == connect.CodeFailedPrecondition {
			break
		}
		failedNodes = append(failedNodes, g.NodeID)
	}
	m.post(func(now time.Duration) {
		s.reportInFlight = false
		for _, id := range failedNodes {
			m.avoidUntil[id] = now + avoidTime
			m.config.Metrics.Add("observe.reports_failed", 1)
		}
		if response != nil {
			m.detector.MergeBaseline(now, s.name, routesOf(response.GetBaseline()))
		}
	})
}

func (m *Monitor) requestBaseline(ctx context.Context, g membership.Guard, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error) {
	if g.NodeID == m.config.NodeID {
		return m.ReportService(ctx, r)
	}
	m.config.Metrics.Add("observe.reports_sent", 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.config.SendReport(ctx, g.ControlAddress, r)
}

// ReportService implements control.Reports.
func (m *Monitor) ReportService(_ context.Context, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error) {
	backends := backendsOf(r.GetBackends())
	type result struct {
		baseline []health.RouteCounters
		err      error
	}
	results := make(chan result, 1)
	posted := m.post(func(now time.Duration) {
		baseline, err := m.aggregate(now, r, backends)
		results <- result{baseline, err}
	})
	if !posted {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	aggregated := <-results
	if aggregated.err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, aggregated.err)
	}
	return &pb.ReportServiceResponse{Baseline: wireRoutes(aggregated.baseline)}, nil
}

// aggregate adds a report to the aggregator of its service and returns the baseline.
// Without reports from half of the other guards it returns an error, because an empty
// baseline would make a fault of the whole service look like a fault of one backend
// server.
func (m *Monitor) aggregate(now time.Duration, r *pb.ReportServiceRequest, backends []health.BackendCounters) ([]health.RouteCounters, error) {
	a := m.service(now, r.GetService()).aggregator
	baseline := a.Report(now, r.GetNodeId(), r.GetIncarnation(), backends)
	others := len(m.rankedGuards(r.GetService())) - 1
	if 2*a.ReportingGuards(now, r.GetNodeId()) < others {
		return nil, errFewReports
	}
	return baseline, nil
}
