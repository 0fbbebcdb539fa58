// Command jackdawbench measures how the fleet decides, in virtual time, and writes the
// tables in docs/measurements.
package main

import (
	"os"

	"github.com/jackdawlane/jackdawlane/bench/cmd"
)

func main() {
	if cmd.NewRootCommand().Execute() != nil {
		os.Exit(1)
	}
}
