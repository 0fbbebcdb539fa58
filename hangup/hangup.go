// Package hangup receives SIGHUP, by which an operator asks a process to read its settings file
// again. A program that imports it does not end at the signal.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one signal. Further ones that arrive before the settings are read again would ask for
// the same.
var signals = make(chan os.Signal, 1)

// The default action of SIGHUP ends the process, and the packages of a node take milliseconds to
// initialise. The signal is therefore caught before main begins.
func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel that delivers SIGHUP.
func Signals() <-chan os.Signal { return signals }
