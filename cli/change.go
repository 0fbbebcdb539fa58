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

// commit commits a change with the change ID, operator and note of the flags, and prints the new
// version. On a dry run it commits nothing and prints what the change would alter.
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
		return a.addRetryHint(err, c.ID)
	}
	return a.printVersion(version)
}

// alreadyApplied reports whether the change with the ID in --change-id is in force already, and if so
// prints its version. Commands that derive their change from the rows in force call this first:
// when such a command is repeated, those rows may have changed, so it would derive a different change.
func (a *app) alreadyApplied(ctx context.Context) (bool, error) {
	if a.changeID == "" {
		return false, nil
	}
	editor, err := a.editor()
	if err != nil {
		return false, err
	}
	version, found, err := editor.FindChange(ctx, a.changeID, 0)
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

// addRetryHint adds the change ID to an error with an unknown outcome, so that the operator can repeat the
// command with this ID to learn the outcome.
func (a *app) addRetryHint(err error, id string) error {
	if errors.Is(err, config.ErrOutcomeUnknown) {
		return errors.Wrapf(err, "the change may be in force; run the command again with --change-id %s to find out", id)
	}
	return err
}

// changeFile is the JSON format of the files that the commands apply and diff read.
type changeFile struct {
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
	var c changeFile
	if err := decoder.Decode(&c); err != nil {
		return config.Change{}, errors.Mark(errors.Wrapf(err, "%s", path), ErrUsage)
	}
	return config.Change{Upsert: c.Upsert, Delete: c.Delete}, nil
}

func (a *app) applyCommand() *cobra.Command {
	var dryRun bool
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Write and delete the rows listed in a JSON file, as one change",
		Long:  "Write and delete the rows listed in a JSON file, as one change. The file has the fields upsert, with the rows to write, and delete, with the keys of the rows to delete; each has the fields routes, pools and organisations.",
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
		Short: "Show what a change file would alter, or the differences between two versions",
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
		return 0, errors.Wrapf(ErrUsage, "version %q is not a non-negative whole number", text)
	}
	return version, nil
}

func (a *app) revertCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "revert VERSION",
		Short: "Commit a new change that undoes the change of one version",
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
			newVersion, err := editor.Revert(c.Context(), id, a.operator, version)
			if err != nil {
				return a.addRetryHint(err, id)
			}
			return a.printVersion(newVersion)
		},
	}
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the version in force and the recent changes before it",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := a.reader(c.Context())
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

// defaultKeptVersions holds about a day of changes: a fleet of the target size makes 1,900 a day.
const defaultKeptVersions = 2000

func (a *app) gcCommand() *cobra.Command {
	var kept uint64
	var dryRun bool
	c := &cobra.Command{
		Use:   "gc",
		Short: "Delete stored configuration that only old versions use",
		Long:  "Delete the heads and pages in the object store that belong to none of the kept versions. Other operators can safely make changes meanwhile.",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := a.storeClient()
			if err != nil {
				return err
			}
			result, err := config.NewGarbageCollector(store).Collect(c.Context(), kept, dryRun)
			if err != nil {
				return err
			}
			row := []string{fmt.Sprint(result.OldestKept), fmt.Sprint(result.Version), fmt.Sprint(result.Objects), fmt.Sprint(result.Unused), fmt.Sprint(result.Deleted)}
			return a.print(result, []string{"OLDEST KEPT", "IN FORCE", "OBJECTS", "UNUSED", "DELETED"}, [][]string{row})
		},
	}
	c.Flags().Uint64Var(&kept, "keep", defaultKeptVersions, fmt.Sprintf("number of versions to keep, at least %d", config.MinKeptVersions))
	c.Flags().BoolVar(&dryRun, "dry-run", false, "count the unused objects, and delete nothing")
	return c
}

func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		return errors.Mark(cobra.ExactArgs(n)(c, args), ErrUsage)
	}
}
