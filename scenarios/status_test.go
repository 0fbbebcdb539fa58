package scenarios

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
)

// status returns the status of a node, or nil if the node does not answer within a second.
func (f *fleet) status(p *process) *pb.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := f.client.NodeClient(p.addresses["control"]).Status(ctx, &pb.StatusRequest{})
	if err != nil {
		return nil
	}
	return status
}

// await waits until a condition holds:
//
//	await version NODE N              the node has at least version N in force
//	await nodes NODE N                N nodes are in the directory of the node
//	await backends NODE SERVICE N     N ready backend servers of the service, at serving nodes, are
//	                                  in the directory of the node
//	await health NODE BACKEND STATE   the backend server is healthy, suspect or ejected in the
//	                                  directory of the node
//	await state NODE OTHER STATE      the other node is serving, leaving or gone in the directory of
//	                                  the node
//	await relay NODE true|false       the node is a relay, or is not
//	await lost NODE DATA-CENTRE|none  the node has lost contact with exactly these data centres,
//	                                  separated by commas
func (f *fleet) await(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[1])
	waitFor(ts, strings.Join(args, " "), func() bool {
		status := f.status(p)
		if status == nil {
			return false
		}
		switch args[0] {
		case "version":
			want, err := strconv.ParseUint(args[2], 10, 64)
			check(ts, err)
			return f.metrics(p).Version >= want
		case "nodes":
			return fmt.Sprint(len(status.GetDirectory())) == args[2]
		case "relay":
			return fmt.Sprint(f.metrics(p).Relay) == args[2]
		case "lost":
			return cmp.Or(strings.Join(f.metrics(p).Lost, ","), "none") == args[2]
		case "state":
			return nodeState(status, args[2]) == args[3]
		case "backends":
			return fmt.Sprint(countReady(status, args[2])) == args[3]
		case "health":
			return backendHealth(status, f.process(ts, args[2]).addresses["backend"]) == args[3]
		}
		ts.Fatalf("await does not know the condition %s", args[0])
		return false
	})
}

// metrics are the metrics of a node that scenarios read.
type metrics struct {
	Version uint64   `json:"config_version"`
	Relay   bool     `json:"relay"`
	Lost    []string `json:"lost_data_centres"`
	// Health maps the IDs of the unhealthy backend servers of this guard to their states.
	Health    map[string]string `json:"health"`
	Ejected   int               `json:"observe.ejected"`
	Suspected int               `json:"observe.suspected"`
	// answered tells whether the node returned its metrics.
	answered bool
}

// metrics returns the metrics of a node, or the zero value if it does not answer within a second.
func (f *fleet) metrics(p *process) metrics {
	var all struct{ Jackdawlane metrics }
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.addresses["metrics"])
	if err != nil {
		return metrics{}
	}
	defer res.Body.Close()
	all.Jackdawlane.answered = json.NewDecoder(res.Body).Decode(&all) == nil
	return all.Jackdawlane
}

// nodeState returns the state of a node in the directory of the node that sent the status.
func nodeState(status *pb.StatusResponse, node string) string {
	for _, r := range status.GetDirectory() {
		if r.GetNodeId() == node {
			return strings.ToLower(strings.TrimPrefix(r.GetState().String(), "NODE_STATE_"))
		}
	}
	return "unknown"
}

func countReady(status *pb.StatusResponse, service string) int {
	n := 0
	for _, node := range status.GetDirectory() {
		for _, b := range node.GetBackendServers() {
			if node.GetState() == pb.NodeState_NODE_STATE_SERVING && b.GetService() == service &&
				b.GetState() == pb.BackendState_BACKEND_STATE_READY {
				n++
			}
		}
	}
	return n
}

func backendHealth(status *pb.StatusResponse, address string) string {
	for _, node := range status.GetDirectory() {
		for _, b := range node.GetBackendServers() {
			switch {
			case b.GetAddress() != address:
			case b.GetEjected():
				return "ejected"
			case b.GetSuspect():
				return "suspect"
			default:
				return "healthy"
			}
		}
	}
	return ""
}
