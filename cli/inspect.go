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
