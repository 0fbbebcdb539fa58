// Command jackdawbench measures load balancing, admission and failure detection in virtual
// time, and writes the reports in docs/measurements.
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
