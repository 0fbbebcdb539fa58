// Package cmd holds the command line of the stand-ins.
package cmd

import "github.com/spf13/cobra"

// NewRootCommand returns the command with one subcommand for each stand-in.
func NewRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "jackdawstub",
		Short:        "Stand-ins of the platform for tests and trials",
		SilenceUsage: true,
	}
	root.AddCommand(newObjectStoreCommand(), newBackendCommand(), newLinkCommand())
	return root
}
