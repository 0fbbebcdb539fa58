// Command jackdawlaned runs one node of the fleet.
package main

import (
	"os"

	"github.com/jackdawlane/jackdawlane/hangup"
	"github.com/jackdawlane/jackdawlane/node"
	"github.com/jackdawlane/jackdawlane/platform"
)

func main() {
	reload := hangup.Signals()
	os.Exit(node.Main(os.Args[1:], os.Stderr, reload, platform.NewCommand(reload)))
}
