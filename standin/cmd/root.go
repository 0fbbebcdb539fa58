// Package cmd holds the command line of the stand-ins.
package cmd

import "github.com/spf13/cobra"

// NewRootCommand returns the command jackdawstub with its subcommands.
func NewRootCommand() *cobra.Command {
	root := &cobra.Command{Use: "jackdawstub", Short: "Stand-ins for tests of jackdawlane", SilenceUsage: true}
	root.AddCommand(newBackendCommand(), newLinkCommand())
	return root
}
