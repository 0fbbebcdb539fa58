// Package cli implements the command jackdawlane, with which operators edit and inspect a fleet.
package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/control"
	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/settings"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitUnknown     = 5
)

// Environment variables that give the defaults of the flags --store and --node.
const (
	storeVariable = "JACKDAWLANE_STORE"
	nodeVariable  = "JACKDAWLANE_NODE"
)

// Errors of the command line.
var (
	// ErrUsage marks invalid arguments or flags, and files that cannot be read or parsed.
	ErrUsage = errors.New("invalid arguments")
	// ErrNotFound marks a row that does not exist, or a request that no route matches.
	ErrNotFound = errors.New("not found")
	// ErrNode marks a failed call to a node.
	ErrNode = errors.New("call to the node failed")
)

const longHelp = `jackdawlane edits the routes, pools and organisations of a fleet and shows its state.

Exit codes: 0 the command succeeded; 1 it failed for a reason not listed here;
2 arguments, settings or rows are invalid or do not exist, nothing was changed;
3 the change conflicts with another operator's change, nothing was changed;
4 the object store or the node could not be reached, nothing was changed;
5 the outcome of the change is unknown: run the same command again with the same
--change-id to find out.`

// app holds the flags shared by all commands, the writer for their output, and an editor that is created
// on first use.
type app struct {
	store        string
	node         string
	output       string
	operator     string
	changeID     string
	note         string
	timeout      time.Duration
	out          io.Writer
	cachedEditor *config.Editor
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer, build string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := newRoot(&app{out: stdout}, build)
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = io.WriteString(stderr, "jackdawlane: "+err.Error()+"\n")
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, config.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.IsAny(err, ErrUsage, ErrNotFound, config.ErrInvalidChange, config.ErrNoVersion, config.ErrChangeIDReused, config.ErrTooLarge, settings.ErrInvalid):
		return ExitInvalid
	case errors.Is(err, config.ErrConflict):
		return ExitConflict
	case errors.IsAny(err, config.ErrUnavailable, ErrNode):
		return ExitUnavailable
	}
	return ExitFailed
}

func newRoot(a *app, build string) *cobra.Command {
	root := &cobra.Command{
		Use:           "jackdawlane",
		Short:         "Edit and inspect a jackdawlane fleet",
		Long:          longHelp,
		Version:       build,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	acceptOnlySubcommands(root)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, ErrUsage) })
	f := root.PersistentFlags()
	f.StringVar(&a.store, "store", os.Getenv(storeVariable), "IP address and port of the object store; default $"+storeVariable)
	f.StringVar(&a.node, "node", os.Getenv(nodeVariable), "IP address and port of the control service of any node; default $"+nodeVariable)
	f.StringVar(&a.output, "output", "text", "output format, text or json")
	f.DurationVar(&a.timeout, "timeout", 10*time.Second, "time limit of the command")
	f.StringVar(&a.operator, "operator", defaultOperator(), "operator name recorded with a change")
	f.StringVar(&a.changeID, "change-id", "", "ID of the change; repeat a command with the same ID if its outcome was unknown")
	f.StringVar(&a.note, "note", "", "note recorded with a change")
	root.PersistentPreRunE = func(c *cobra.Command, _ []string) error {
		if a.output != "text" && a.output != "json" {
			return errors.Wrapf(ErrUsage, "--output %s: must be text or json", a.output)
		}
		ctx, cancel := context.WithTimeout(c.Context(), a.timeout)
		c.SetContext(ctx)
		cobra.OnFinalize(cancel)
		return nil
	}
	root.AddCommand(
		a.routeCommand(), a.poolCommand(), a.organisationCommand(),
		a.applyCommand(), a.diffCommand(), a.historyCommand(), a.revertCommand(), a.gcCommand(),
		a.explainCommand(), a.statusCommand(), a.checkCommand(), a.hashCommand(), a.versionCommand(build),
		a.traceCommand(),
	)
	return root
}

// maxTypos is the number of characters in which a suggested command may differ from an unknown one.
const maxTypos = 2

// acceptOnlySubcommands makes a command that does nothing by itself refuse arguments that name none of its
// subcommands. Otherwise cobra prints its help, as if the command had succeeded.
func acceptOnlySubcommands(c *cobra.Command) {
	c.Args = cobra.ArbitraryArgs
	c.SuggestionsMinimumDistance = maxTypos
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return c.Help()
		}
		message := fmt.Sprintf("unknown command %q for %q", args[0], c.CommandPath())
		if similar := c.SuggestionsFor(args[0]); len(similar) > 0 {
			message += fmt.Sprintf(", did you mean %q?", similar[0])
		}
		return errors.Wrap(ErrUsage, message)
	}
}

func (a *app) storeClient() (*objectstore.Client, error) {
	address, err := netip.ParseAddrPort(a.store)
	if err != nil {
		return nil, errors.Wrapf(ErrUsage, "--store %q: must be an IP address and port", a.store)
	}
	return objectstore.New(address), nil
}

// editor returns the configuration editor. All calls of one command share it,
// because it keeps the pages that it has read.
func (a *app) editor() (*config.Editor, error) {
	if a.cachedEditor != nil {
		return a.cachedEditor, nil
	}
	store, err := a.storeClient()
	if err != nil {
		return nil, err
	}
	a.cachedEditor = config.NewEditor(store, time.Now)
	return a.cachedEditor, nil
}

// reader returns a reader of single rows of the version in force.
func (a *app) reader(ctx context.Context) (*config.VersionReader, error) {
	editor, err := a.editor()
	if err != nil {
		return nil, err
	}
	return editor.Reader(ctx)
}

// snapshot reads all pages of the configuration in force. The snapshot is empty if there is no configuration.
func (a *app) snapshot(ctx context.Context) (*config.Snapshot, error) {
	store, err := a.storeClient()
	if err != nil {
		return nil, err
	}
	f := config.NewFollower()
	_, err = config.NewLoader(store).Load(ctx, f)
	if err != nil && !errors.Is(err, config.ErrNoVersion) {
		return nil, err
	}
	return f.Snapshot(), nil
}

func (a *app) nodeClient() (*control.Client, string, error) {
	address, err := netip.ParseAddrPort(a.node)
	if err != nil {
		return nil, "", errors.Wrapf(ErrUsage, "--node %q: must be an IP address and port", a.node)
	}
	return control.NewClient(), address.String(), nil
}

// defaultOperator returns the user name from the environment.
func defaultOperator() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}
