package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/standin/objectstore"
)

// defaultCallsPerSecond approximates the capacity of the platform's object store: 2,000 reads and
// several hundred writes a second.
const defaultCallsPerSecond = 2500

// headerTimeout bounds the time in which a connection must send the header of a request.
const headerTimeout = 10 * time.Second

func newObjectStoreCommand() *cobra.Command {
	var listen string
	var callsPerSecond int
	command := &cobra.Command{
		Use:   "objectstore",
		Short: "Serve the object store protocol from memory",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c, listen, objectstore.New(callsPerSecond))
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP address and port to listen on")
	command.Flags().IntVar(&callsPerSecond, "calls-per-second", defaultCallsPerSecond, "limit of calls in a second; 0 means no limit")
	return command
}

// serve serves a handler until the command's context ends, and prints the address that it listens on.
func serve(c *cobra.Command, listen string, handler http.Handler) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return errors.Wrap(err, "--listen must be an IP address and port")
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(c.Context(), func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
