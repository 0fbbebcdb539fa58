package cli

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jackdawlane/jackdawlane/control"
	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

const (
	// maxParallelCalls bounds the calls to nodes that the command status has in flight.
	maxParallelCalls = 64
	// versionTimeout bounds the call to one node, so that up to maxParallelCalls
	// unreachable nodes delay the output for the others by this time at most.
	versionTimeout = time.Second
)

// nodeVersion is a node record together with the configuration version that the node itself reports.
// The version in the record can be old, because a node does not send its record again at each
// change of the configuration.
type nodeVersion struct {
	Node *pb.NodeRecord `json:"node"`
	// Version is nil if the node is gone or did not answer.
	Version *uint64 `json:"version"`
	// Behind is the number of versions by which the node lags behind the highest version in the list.
	Behind uint64 `json:"behind"`
}

// fetchVersions asks each node that is not gone for the version that it has in force.
func fetchVersions(ctx context.Context, nodes []*pb.NodeRecord) []nodeVersion {
	client := control.NewClient()
	defer client.Close()
	all := make([]nodeVersion, len(nodes))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, n := range nodes {
		all[i].Node = n
		if n.GetState() == pb.NodeState_NODE_STATE_GONE {
			continue
		}
		group.Go(func() error {
			all[i].Version = fetchVersion(ctx, client, n.GetControlAddress())
			return nil
		})
	}
	_ = group.Wait()
	setBehind(all)
	return all
}

func fetchVersion(ctx context.Context, client *control.Client, address string) *uint64 {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	status, err := client.NodeClient(address).Status(ctx, &pb.StatusRequest{NodeOnly: true})
	if err != nil {
		return nil
	}
	version := status.GetNode().GetConfigVersion()
	return &version
}

// setBehind sets the lag of each node with a known version.
func setBehind(all []nodeVersion) {
	newest := uint64(0)
	for _, n := range all {
		if n.Version != nil {
			newest = max(newest, *n.Version)
		}
	}
	for i, n := range all {
		if n.Version != nil {
			all[i].Behind = newest - *n.Version
		}
	}
}

func (a *app) printNodes(nodes []nodeVersion) error {
	var rows [][]string
	for _, n := range nodes {
		version, behind := "unknown", "unknown"
		if n.Version != nil {
			version, behind = fmt.Sprint(*n.Version), fmt.Sprint(n.Behind)
		}
		rows = append(rows, []string{
			n.Node.GetNodeId(), n.Node.GetRegion(), n.Node.GetDataCentre(), stateName(n.Node.GetState().String()),
			version, behind, fmt.Sprint(len(n.Node.GetBackendServers())), n.Node.GetTrafficAddress(),
		})
	}
	return a.print(nodes, []string{"NODE", "REGION", "DATA CENTRE", "STATE", "VERSION", "BEHIND", "BACKEND SERVERS", "TRAFFIC"}, rows)
}
