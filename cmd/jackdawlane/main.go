// Command jackdawlane edits the configuration of a fleet and inspects its nodes.
package main

import (
	"os"

	"github.com/jackdawlane/jackdawlane/cli"
	"github.com/jackdawlane/jackdawlane/node"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, node.Build()))
}
