// Command jackdawbench measures the decisions of the fleet and writes the tables of docs/measurements.
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
