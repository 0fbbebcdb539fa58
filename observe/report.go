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
	// callTimeout leaves time to ask the next aggregator within one turn.
	callTimeout = 400 * time.Millisecond
	// maxAggregators bounds the nodes that are tried for one report.
	maxAggregators = 3
	// avoidTime is how long a node that did not answer is passed over.
	avoidTime = 10 * time.Second
)

// errFewReports says that an aggregator has heard too few guards for a baseline.
var errFewReports = errors.New("too few guards have reported")

// errStopped says that the observer does not run.
var errStopped = errors.New("observer is stopped")

// guards returns the guards of a service in the order in which they are asked to aggregate.
func (o *Monitor) guards(name string) []membership.Guard {
	seen := map[string]bool{o.config.NodeID: true}
	all := []membership.Guard{{NodeID: o.config.NodeID}}
	for _, b := range o.config.View().Backends(name) {
		if !seen[b.Guard.NodeID] {
			seen[b.Guard.NodeID] = true
			all = append(all, b.Guard)
		}
	}
	slices.SortFunc(all, func(a, b membership.Guard) int {
		return cmp.Or(cmp.Compare(weight(name, b), weight(name, a)), cmp.Compare(a.NodeID, b.NodeID))
	})
	return all
}

func weight(name string, g membership.Guard) uint64 {
	return xxhash.Sum64String(name + "/" + g.NodeID)
}

// report sends the counters of a service to its aggregator when that is due:
// each second for a service under evidence, otherwise at the report interval.
func (o *Monitor) report(ctx context.Context, now time.Duration, s *service) {
	counters := o.judge.Counters(s.name)
	due := now-s.reported >= health.ReportInterval-turnInterval/2 || o.judge.NeedsBaseline(s.name)
	if len(counters) == 0 || s.reporting || !due {
		return
	}
	guards := o.guards(s.name)
	if len(guards) == 1 {
		o.judge.MergeBaseline(now, s.name, nil)
		return
	}
	request := &pb.ReportServiceRequest{
		Service: s.name, NodeId: o.config.NodeID, Incarnation: o.config.Incarnation, Backends: wireBackends(counters),
	}
	guards = slices.DeleteFunc(guards, func(g membership.Guard) bool { return now < o.avoided[g.NodeID] })
	s.reported, s.reporting = now, true
	go o.send(ctx, s, guards[:min(len(guards), maxAggregators)], request)
}

// send asks the guards in turn until one answers.
func (o *Monitor) send(ctx context.Context, s *service, guards []membership.Guard, r *pb.ReportServiceRequest) {
	var silent []string
	var reply *pb.ReportServiceResponse
	for _, g := range guards {
		answer, err := o.ask(ctx, g, r)
		if err == nil {
			reply = answer
			break
		}
		if connect.CodeOf(err) == connect.CodeFailedPrecondition {
			break
		}
		silent = append(silent, g.NodeID)
	}
	o.post(func(now time.Duration) {
		s.reporting = false
		for _, id := range silent {
			o.avoided[id] = now + avoidTime
			o.config.Metrics.Add("observe.reports_failed", 1)
		}
		if reply != nil {
			o.judge.MergeBaseline(now, s.name, routesOf(reply.GetBaseline()))
		}
	})
}

func (o *Monitor) ask(ctx context.Context, g membership.Guard, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error) {
	if g.NodeID == o.config.NodeID {
		return o.ReportService(ctx, r)
	}
	o.config.Metrics.Add("observe.reports_sent", 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.config.SendReport(ctx, g.ControlAddress, r)
}

// ReportService implements control.Reports.
func (o *Monitor) ReportService(_ context.Context, r *pb.ReportServiceRequest) (*pb.ReportServiceResponse, error) {
	backends := backendsOf(r.GetBackends())
	type result struct {
		baseline []health.RouteCounters
		err      error
	}
	results := make(chan result, 1)
	posted := o.post(func(now time.Duration) {
		baseline, err := o.aggregate(now, r, backends)
		results <- result{baseline, err}
	})
	if !posted {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	one := <-results
	if one.err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, one.err)
	}
	return &pb.ReportServiceResponse{Baseline: wireRoutes(one.baseline)}, nil
}

// aggregate pools a report. Without reports from half of the other guards, an
// empty baseline would make a fault of the whole service look like that of one
// backend server, so there is no answer.
func (o *Monitor) aggregate(now time.Duration, r *pb.ReportServiceRequest, backends []health.BackendCounters) ([]health.RouteCounters, error) {
	a := o.service(now, r.GetService()).aggregator
	baseline := a.Report(now, r.GetNodeId(), r.GetIncarnation(), backends)
	others := len(o.guards(r.GetService())) - 1
	if 2*a.ReportingGuards(now, r.GetNodeId()) < others {
		return nil, errFewReports
	}
	return baseline, nil
}
