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
	// parallelNodes bounds the calls in flight of status.
	parallelNodes = 64
	// versionTimeout bounds the call to one node, so that nodes that are cut off delay
	// the status of the others little.
	versionTimeout = time.Second
)

// nodeVersion is a node and the version that it has in force itself. The directory
// does not hold it, because records are not sent again at each change.
type nodeVersion struct {
	Node *pb.NodeRecord `json:"node"`
	// Version is nil when the node did not answer.
	Version *uint64 `json:"version"`
	// Behind is the number of versions that the node lags behind the highest in the list.
	Behind uint64 `json:"behind"`
}

// withVersions asks all nodes that are not gone for their version.
func withVersions(ctx context.Context, nodes []*pb.NodeRecord) []nodeVersion {
	client := control.NewClient()
	defer client.Close()
	all := make([]nodeVersion, len(nodes))
	var group errgroup.Group
	group.SetLimit(parallelNodes)
	for i, n := range nodes {
		all[i].Node = n
		if n.GetState() == pb.NodeState_NODE_STATE_GONE {
			continue
		}
		group.Go(func() error {
			all[i].Version = askVersion(ctx, client, n.GetControlAddress())
			return nil
		})
	}
	_ = group.Wait()
	setBehind(all)
	return all
}

func askVersion(ctx context.Context, client *control.Client, address string) *uint64 {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	status, err := client.Node(address).Status(ctx, &pb.StatusRequest{NodeOnly: true})
	if err != nil {
		return nil
	}
	version := status.GetNode().GetConfigVersion()
	return &version
}

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
