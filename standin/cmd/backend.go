package cmd

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/standin/backend"
)

// drainTimeout bounds how long the stand-in waits, after a stop signal, for running work and open
// connections to finish.
const drainTimeout = 20 * time.Second

type backendOptions struct {
	address  string
	service  string
	secret   string
	guards   []string
	settings string
	seed     uint64
}

func newBackendCommand() *cobra.Command {
	o := backendOptions{}
	c := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in backend server that announces itself to a guard",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return o.run(c.Context()) },
	}
	f := c.Flags()
	f.StringVar(&o.address, "address", "127.0.0.1:0", "IP address and port to listen on")
	f.StringVar(&o.service, "service", "", "service name to announce")
	f.StringVar(&o.secret, "secret", "", "secret sent as the credential of the announcement")
	f.StringSliceVar(&o.guards, "guard", nil, "announce addresses of guards, tried in order")
	f.StringVar(&o.settings, "settings", "{}", "JSON object with the settings that differ from the defaults")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random choices")
	c.MarkFlagRequired("service")
	c.MarkFlagRequired("guard")
	return c
}

func (o backendOptions) run(ctx context.Context) error {
	settings := backend.DefaultSettings
	if err := json.Unmarshal([]byte(o.settings), &settings); err != nil {
		return errors.Wrap(err, "--settings is not a valid JSON object of settings")
	}
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := backend.New(settings, o.seed)
	server := s.HTTPServer()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	a := &backend.Announcer{
		Server:     s,
		Service:    o.service,
		Address:    listener.Addr().String(),
		Credential: o.secret,
		Guards:     o.guards,
	}
	go a.Run(ctx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := a.Drain(drainCtx); err != nil {
		return err
	}
	return server.Shutdown(drainCtx)
}
