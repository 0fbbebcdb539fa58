package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/settings"
)

func (a *app) nodeStatus(ctx context.Context) (*pb.StatusResponse, error) {
	client, address, err := a.nodeClient()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	status, err := client.NodeClient(address).Status(ctx, &pb.StatusRequest{})
	return status, errors.Mark(err, ErrNode)
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status [nodes|backends]",
		Short: "Show the nodes, with the version that each has in force, or the backend servers that one node knows",
		Args:  statusArguments,
		RunE: func(c *cobra.Command, args []string) error {
			status, err := a.nodeStatus(c.Context())
			if err != nil {
				return err
			}
			if len(args) == 1 && args[0] == "backends" {
				return a.printBackends(status)
			}
			return a.printNodes(fetchVersions(c.Context(), status.GetDirectory()))
		},
	}
}

// statusArguments checks the arguments of the command status.
func statusArguments(_ *cobra.Command, args []string) error {
	if len(args) > 1 || len(args) == 1 && args[0] != "nodes" && args[0] != "backends" {
		return errors.Wrapf(ErrUsage, "status %s: must be nodes or backends", strings.Join(args, " "))
	}
	return nil
}

func (a *app) printBackends(status *pb.StatusResponse) error {
	var rows [][]string
	var all []*pb.BackendServer
	for _, n := range status.GetDirectory() {
		for _, b := range n.GetBackendServers() {
			all = append(all, b)
			rows = append(rows, []string{b.GetId(), n.GetNodeId(), n.GetRegion(), stateName(b.GetState().String()), healthName(b)})
		}
	}
	return a.print(all, []string{"BACKEND SERVER", "GUARD", "REGION", "STATE", "HEALTH"}, rows)
}

func stateName(enum string) string {
	return strings.ToLower(enum[strings.LastIndexByte(enum, '_')+1:])
}

func healthName(b *pb.BackendServer) string {
	switch {
	case b.GetEjected():
		return "ejected"
	case b.GetSuspect():
		return "suspect"
	}
	return "healthy"
}

// explanation is the JSON output of the command explain.
type explanation struct {
	Version    uint64              `json:"version"`
	Route      string              `json:"route"`
	Pool       string              `json:"pool"`
	Service    string              `json:"service"`
	Idempotent bool                `json:"idempotent"`
	Backends   []*pb.BackendServer `json:"backend_servers"`
}

func (a *app) explainCommand() *cobra.Command {
	var name, host, method string
	c := &cobra.Command{
		Use:   "explain PATH",
		Short: "Show which route and pool a request would match, which backend servers could serve it, and why",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			status, err := a.nodeStatus(c.Context())
			if err != nil {
				return err
			}
			return a.explain(c.Context(), status, name, host, method, args[0])
		},
	}
	c.Flags().StringVar(&name, "organisation", "", "organisation that sends the request")
	c.Flags().StringVar(&host, "host", "", "host of the request")
	c.Flags().StringVar(&method, "method", "GET", "method of the request")
	return c
}

func (a *app) explain(ctx context.Context, status *pb.StatusResponse, name, host, method, path string) error {
	v, err := a.reader(ctx)
	if err != nil {
		return err
	}
	routes, err := v.OrganisationRoutes(ctx, name)
	if err != nil {
		return err
	}
	r, ok := route.NewMatcher(routes).Match(name, host, method, path)
	if !ok {
		return errors.Wrapf(ErrNotFound, "version %d has no route of organisation %q for %s %s%s", v.Version(), name, method, host, path)
	}
	p, ok, err := v.Pool(ctx, r.Pool)
	if err != nil {
		return err
	}
	if !ok {
		return errors.Wrapf(ErrNotFound, "route %s refers to pool %s, which does not exist", r.Key(), r.Pool)
	}
	e := explanation{Version: v.Version(), Route: r.Key(), Pool: p.Name, Service: p.Service, Idempotent: r.Idempotent}
	rows := [][]string{
		{"version", fmt.Sprint(v.Version()), ""},
		{"route", r.Key(), fmt.Sprintf("host %s, prefix %s, methods %s", orAny(r.Host), r.PathPrefix, orAny(strings.Join(r.Methods, ",")))},
		{"pool", p.Name, fmt.Sprintf("service %s, regions %s, floor %d", p.Service, orAny(strings.Join(p.Regions, ",")), p.Floor)},
		{"idempotent", fmt.Sprint(r.Idempotent), ""},
	}
	for _, n := range status.GetDirectory() {
		for _, b := range n.GetBackendServers() {
			if b.GetService() != p.Service {
				continue
			}
			e.Backends = append(e.Backends, b)
			rows = append(rows, []string{"backend server", b.GetId(), eligibility(n, b, p.AllowsRegion(n.GetRegion()))})
		}
	}
	return a.print(e, []string{"WHAT", "NAME", "WHY"}, rows)
}

// eligibility says whether a backend server can receive the request and, if not, why.
func eligibility(n *pb.NodeRecord, b *pb.BackendServer, allowed bool) string {
	where := fmt.Sprintf("guard %s in %s, %s: ", n.GetNodeId(), n.GetDataCentre(), n.GetRegion())
	switch {
	case !allowed:
		return where + "no, the pool does not allow this region"
	case n.GetState() != pb.NodeState_NODE_STATE_SERVING:
		return where + "no, its guard is " + stateName(n.GetState().String())
	case b.GetState() != pb.BackendState_BACKEND_STATE_READY:
		return where + "no, the backend server is " + stateName(b.GetState().String())
	case b.GetEjected() || b.GetSuspect():
		return where + "only if no other backend server can take the request, because this one is " + healthName(b)
	}
	return where + "yes"
}

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check whether the settings file of a node is valid",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(a.out, "%s is valid\n", args[0])
			return err
		},
	}
}

// maxSecretBytes bounds the bytes of standard input that are read as the secret.
const maxSecretBytes = 4096

func (a *app) hashCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Read a secret from standard input and print its SHA-256",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			secret, err := io.ReadAll(io.LimitReader(c.InOrStdin(), maxSecretBytes))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(a.out, organisation.HashSecret(strings.TrimRight(string(secret), "\r\n")))
			return err
		},
	}
}

func (a *app) versionCommand(build string) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(a.out, build)
			return err
		},
	}
}
