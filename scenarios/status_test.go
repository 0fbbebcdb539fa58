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

// status asks a node for its status; it is nil while the node does not answer.
func (f *fleet) status(p *process) *pb.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := f.client.Node(p.address["control"]).Status(ctx, &pb.StatusRequest{})
	if err != nil {
		return nil
	}
	return status
}

// await waits for a condition:
//
//	await version NODE N              the node has at least version N in force
//	await nodes NODE N                the node knows N nodes
//	await backends NODE SERVICE N     the node knows N ready backend servers
//	await health NODE BACKEND STATE   the node knows it as healthy, suspect or ejected
//	await state NODE OTHER STATE      the node knows the other as serving, leaving or gone
//	await relay NODE true|false       the node is a relay, or not
//	await lost NODE DATA-CENTRE|none  the data centres that the node has lost contact with
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
			return stateOf(status, args[2]) == args[3]
		case "backends":
			return fmt.Sprint(countReady(status, args[2])) == args[3]
		case "health":
			return healthOf(status, f.process(ts, args[2]).address["backend"]) == args[3]
		}
		ts.Fatalf("unknown condition %s", args[0])
		return false
	})
}

// metrics are those of a node that scenarios read.
type metrics struct {
	Version uint64   `json:"config_version"`
	Relay   bool     `json:"relay"`
	Lost    []string `json:"lost_data_centres"`
	// Health holds the unhealthy backend servers of the node.
	Health    map[string]string `json:"health"`
	Ejected   int               `json:"observe.ejected"`
	Suspected int               `json:"observe.suspected"`
	// answered is false while the node does not answer.
	answered bool
}

// metrics returns the metrics of a node, empty while it does not answer.
func (f *fleet) metrics(p *process) metrics {
	var all struct{ Jackdawlane metrics }
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.address["metrics"])
	if err != nil {
		return metrics{}
	}
	defer res.Body.Close()
	all.Jackdawlane.answered = json.NewDecoder(res.Body).Decode(&all) == nil
	return all.Jackdawlane
}

// stateOf returns the state of a node in the directory of another one.
func stateOf(status *pb.StatusResponse, node string) string {
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

func healthOf(status *pb.StatusResponse, address string) string {
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
