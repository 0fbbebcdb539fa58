// Command jackdawstub runs stand-ins for the services of the platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackdawlane/jackdawlane/standin/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.NewRootCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}
