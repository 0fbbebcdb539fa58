// Command jackdawlaned runs one node of the fleet.
package main

import (
	"os"

	"github.com/jackdawlane/jackdawlane/node"
	"github.com/jackdawlane/jackdawlane/platform"
)

func main() {
	os.Exit(node.Main(os.Args[1:], os.Stderr, platform.NewCommand()))
}
