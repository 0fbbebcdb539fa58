package cmd

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/standin/link"
)

func newLinkCommand() *cobra.Command {
	var address, target, admin string
	c := &cobra.Command{
		Use:   "link",
		Short: "Relay TCP connections, cut or delay each direction, and reset connections, as set at run time",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return runLink(c.Context(), address, target, admin) },
	}
	f := c.Flags()
	f.StringVar(&address, "address", "127.0.0.1:0", "IP address and port to listen on")
	f.StringVar(&target, "target", "", "IP address and port to relay to")
	f.StringVar(&admin, "admin", "127.0.0.1:0", "IP address and port of the HTTP interface that controls the faults")
	c.MarkFlagRequired("target")
	return c
}

func runLink(ctx context.Context, address, target, admin string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", admin)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	relay := link.New(target)
	failed := make(chan error, 2)
	go func() { failed <- relay.Serve(listener) }()
	go func() { failed <- http.Serve(adminListener, relay) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}
