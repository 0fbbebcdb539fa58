// Package cmd holds the command line of the measurements.
package cmd

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/bench/grayfailure"
	"github.com/jackdawlane/jackdawlane/bench/overload"
)

// ErrMissed says that a measured figure misses its target.
var ErrMissed = errors.New("target missed")

// NewRootCommand returns the command with one subcommand for each measurement.
func NewRootCommand() *cobra.Command {
	var directory string
	root := &cobra.Command{
		Use:          "jackdawbench",
		Short:        "Measure the decisions in virtual time and write the tables",
		SilenceUsage: true,
	}
	root.PersistentFlags().StringVar(&directory, "out", "docs/measurements", "directory that takes the tables")
	add := func(name, short string, measure func() (string, []string)) {
		root.AddCommand(&cobra.Command{
			Use:   name,
			Short: short,
			Args:  cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				report, missed := measure()
				return write(c, filepath.Join(directory, name+".md"), report, missed)
			},
		})
	}
	add("overload", "Overload, head-of-line blocking, fairness and herding", overload.NewFull().Run)
	add("gray-failure", "Detection of gray failures and false ejections", grayfailure.Full)
	return root
}

// write prints a report and writes its file. It returns ErrMissed after it has written both.
func write(c *cobra.Command, path, report string, missed []string) error {
	fmt.Fprint(c.OutOrStdout(), report)
	if err := os.WriteFile(path, []byte(report), 0o644); err != nil {
		return err
	}
	if len(missed) > 0 {
		return errors.Wrapf(ErrMissed, "%v", missed)
	}
	return nil
}
