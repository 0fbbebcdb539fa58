package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/config"
)

// commit makes a change under the flags' ID, operator and note, or shows it on a dry run.
func (a *app) commit(ctx context.Context, c config.Change, dryRun bool) error {
	editor, err := a.editor()
	if err != nil {
		return err
	}
	c.ID = a.newChangeID()
	c.Operator = a.operator
	c.Note = a.note
	if dryRun {
		plan, err := editor.DryRun(ctx, c)
		if err != nil {
			return err
		}
		return a.printDiff(plan.Diff)
	}
	version, err := editor.Commit(ctx, c)
	if err != nil {
		return a.explainUnknown(err, c.ID)
	}
	return a.printVersion(version)
}

// repeated reports whether the change of the flag --change-id is in force already, and prints its version.
// An edit or removal makes other rows when it is repeated, so it is looked up before they are made.
func (a *app) repeated(ctx context.Context) (bool, error) {
	if a.changeID == "" {
		return false, nil
	}
	editor, err := a.editor()
	if err != nil {
		return false, err
	}
	version, found, err := editor.Find(ctx, a.changeID, 0)
	if err != nil || !found {
		return false, err
	}
	return true, a.printVersion(version)
}

func (a *app) newChangeID() string {
	if a.changeID != "" {
		return a.changeID
	}
	return strings.ToLower(rand.Text())
}

// explainUnknown adds the ID with which the same command finds out what became of the change.
func (a *app) explainUnknown(err error, id string) error {
	if errors.Is(err, config.ErrOutcomeUnknown) {
		return errors.Wrapf(err, "run again with --change-id %s", id)
	}
	return err
}

// change is the form of the files of apply and diff.
type change struct {
	Upsert config.Upserts `json:"upsert"`
	Delete config.Deletes `json:"delete"`
}

func readChange(path string) (config.Change, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config.Change{}, errors.Mark(err, ErrUsage)
	}
	decoder := json.NewDecoder(bytes.NewReader(bytes.TrimPrefix(data, []byte("\ufeff"))))
	decoder.DisallowUnknownFields()
	var c change
	if err := decoder.Decode(&c); err != nil {
		return config.Change{}, errors.Mark(errors.Wrapf(err, "%s", path), ErrUsage)
	}
	return config.Change{Upsert: c.Upsert, Delete: c.Delete}, nil
}

func (a *app) applyCommand() *cobra.Command {
	var dryRun bool
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a JSON file of rows as one change",
		Long:  "Apply a JSON file as one change. The file has the fields upsert and delete, each with routes, pools and organisations.",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			change, err := readChange(args[0])
			if err != nil {
				return err
			}
			return a.commit(c.Context(), change, dryRun)
		},
	}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "show what would change, and change nothing")
	return c
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE | diff FROM TO",
		Short: "Show what a file would change, or the changes between two versions",
		Args:  cobra.MatchAll(cobra.MinimumNArgs(1), cobra.MaximumNArgs(2)),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 2 {
				return a.diffVersions(c.Context(), args[0], args[1])
			}
			change, err := readChange(args[0])
			if err != nil {
				return err
			}
			return a.commit(c.Context(), change, true)
		},
	}
}

func (a *app) diffVersions(ctx context.Context, from, to string) error {
	fromVersion, err := parseVersion(from)
	if err != nil {
		return err
	}
	toVersion, err := parseVersion(to)
	if err != nil {
		return err
	}
	editor, err := a.editor()
	if err != nil {
		return err
	}
	diff, err := editor.Diff(ctx, fromVersion, toVersion)
	if err != nil {
		return err
	}
	return a.printDiff(diff)
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrUsage, "version %q is not a whole number", text)
	}
	return version, nil
}

func (a *app) revertCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "revert VERSION",
		Short: "Take back what one version changed, as a new change",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			version, err := parseVersion(args[0])
			if err != nil {
				return err
			}
			editor, err := a.editor()
			if err != nil {
				return err
			}
			id := a.newChangeID()
			made, err := editor.Revert(c.Context(), id, a.operator, version)
			if err != nil {
				return a.explainUnknown(err, id)
			}
			return a.printVersion(made)
		},
	}
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the version in force and the changes before it",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := a.view(c.Context())
			if err != nil || v.Version() == 0 {
				return err
			}
			head := v.Head()
			rows := [][]string{{fmt.Sprint(head.Version), head.Change.ID, head.Change.Operator, head.Change.Note}}
			for i, ancestor := range head.Ancestors {
				rows = append(rows, []string{fmt.Sprint(head.Version - uint64(i) - 1), ancestor.ChangeID, "", ""})
			}
			return a.print(head, []string{"VERSION", "CHANGE", "OPERATOR", "NOTE"}, rows)
		},
	}
}

// keptVersions is about a day of changes at the target size of 1,900 a day.
const keptVersions = 2000

func (a *app) gcCommand() *cobra.Command {
	var kept uint64
	var dryRun bool
	c := &cobra.Command{
		Use:   "gc",
		Short: "Delete pages and heads that no kept version has",
		Long:  "Delete pages and heads that no kept version has. It is safe while other operators make changes.",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := a.storeClient()
			if err != nil {
				return err
			}
			done, err := config.NewGarbageCollector(store).Collect(c.Context(), kept, dryRun)
			if err != nil {
				return err
			}
			row := []string{fmt.Sprint(done.Oldest), fmt.Sprint(done.Version), fmt.Sprint(done.Objects), fmt.Sprint(done.Unused), fmt.Sprint(done.Deleted)}
			return a.print(done, []string{"OLDEST KEPT", "IN FORCE", "OBJECTS", "UNUSED", "DELETED"}, [][]string{row})
		},
	}
	c.Flags().Uint64Var(&kept, "keep", keptVersions, fmt.Sprintf("versions to keep, at least %d", config.MinKept))
	c.Flags().BoolVar(&dryRun, "dry-run", false, "count what would be deleted, and delete nothing")
	return c
}

func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		return errors.Mark(cobra.ExactArgs(n)(c, args), ErrUsage)
	}
}
