// Command review-2 plays the cases of the second review. Each case starts nodes of the project as processes
// of their own; clients, backends and the platform's store are stand-ins in this process.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time that a test takes.
const limit = 110 * time.Second

var cases = map[string]func(){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	log = newRecorder(os.Args[2])
	executable, err := os.Executable()
	if err != nil {
		cannotRun(err)
	}
	// The program lies in review/bin-2.
	root = filepath.Dir(filepath.Dir(filepath.Dir(executable)))
	if folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		cannotRun(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		cannotRun(errors.New("the test was ended, or took too long"))
	}()
	if !trouble {
		log.note("TROUBLE=0: without the disruption")
	}
	cases[os.Args[1]]()
}
