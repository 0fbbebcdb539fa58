// Package cmd implements the command jackdawstub, which runs the stand-ins.
package cmd

import "github.com/spf13/cobra"

// NewRootCommand returns the command with one subcommand for each stand-in.
func NewRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "jackdawstub",
		Short:        "Run stand-ins for backend servers, network links and the object store, for tests and trials",
		SilenceUsage: true,
	}
	root.AddCommand(newObjectStoreCommand(), newBackendCommand(), newLinkCommand())
	return root
}
