package observe

import (
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/health"
)

func wireBackends(all []health.BackendCounters) []*pb.BackendCounters {
	out := make([]*pb.BackendCounters, len(all))
	for i, b := range all {
		out[i] = &pb.BackendCounters{BackendId: b.BackendID, Routes: wireRoutes(b.Routes)}
	}
	return out
}

func wireRoutes(all []health.RouteCounters) []*pb.RouteCounters {
	out := make([]*pb.RouteCounters, len(all))
	for i, c := range all {
		out[i] = &pb.RouteCounters{Route: c.Route, Requests: c.Requests, Failures: c.Failures, LatencyBuckets: c.LatencyBuckets}
	}
	return out
}

func backendsOf(all []*pb.BackendCounters) []health.BackendCounters {
	out := make([]health.BackendCounters, len(all))
	for i, b := range all {
		out[i] = health.BackendCounters{BackendID: b.GetBackendId(), Routes: routesOf(b.GetRoutes())}
	}
	return out
}

func routesOf(all []*pb.RouteCounters) []health.RouteCounters {
	out := make([]health.RouteCounters, len(all))
	for i, c := range all {
		buckets := c.GetLatencyBuckets()
		// A longer histogram comes from a version with more buckets; the excess is ignored.
		buckets = buckets[:min(len(buckets), health.BucketCount)]
		out[i] = health.RouteCounters{Route: c.GetRoute(), Requests: c.GetRequests(), Failures: c.GetFailures(), LatencyBuckets: buckets}
	}
	return out
}
