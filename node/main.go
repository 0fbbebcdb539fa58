package node

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/settings"
	"github.com/jackdawlane/jackdawlane/telemetry"
)

// Exit codes of jackdawlaned.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Main runs jackdawlaned with its command-line arguments and returns the exit code.
// The node reads its settings again at each signal of reload. The subcommands are added to its
// command line.
func Main(args []string, stderr io.Writer, reload <-chan os.Signal, subcommands ...*cobra.Command) int {
	var path string
	command := &cobra.Command{
		Use:           "jackdawlaned",
		Short:         "Run one node of a jackdawlane fleet",
		Long:          "Run one node of a jackdawlane fleet.\n\nExit codes: 0 after a planned stop, 1 on failure, 2 when the settings are not valid.",
		Version:       Build(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), path, stderr, reload)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "INI file with the settings of the node")
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(subcommands...)
	command.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = io.WriteString(stderr, "jackdawlaned: "+err.Error()+"\n")
	if errors.Is(err, settings.ErrInvalid) {
		return ExitSettings
	}
	return ExitFailed
}

func run(ctx context.Context, path string, stderr io.Writer, reload <-chan os.Signal) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	logger := telemetry.NewLogger(stderr, s.Log).With("node", s.Node.ID)
	if limit := s.Limits.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	n, err := New(ctx, s, logger, Build())
	if err != nil {
		return err
	}
	go n.reloadOn(ctx, reload, path)
	return n.Run(ctx)
}

// reloadOn reads the settings file again at each signal and applies its log level. If
// the file is not valid, the running settings stay in force. All other settings take
// effect only after a restart, because some of them, such as the addresses, are part of
// the node record that peers hold.
func (n *Node) reloadOn(ctx context.Context, reload <-chan os.Signal, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		s, err := settings.Load(path)
		if err != nil {
			n.logger.Error("settings not reloaded; the running ones stay in force", "err", err)
			continue
		}
		telemetry.SetLevel(n.logger, s.Log)
		n.logger.Info("log level reloaded", "level", s.Log.Level)
	}
}

// Build returns the version of the program from its build information, or "unknown" if
// there is none.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
