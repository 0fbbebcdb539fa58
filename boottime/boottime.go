// Package boottime reads a clock that goes on while the VM is suspended. Go's own monotonic clock stops
// then, so whoever holds a permit or trusts a state for a bounded time would do so for longer than other
// nodes expect.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the system started, including the time for which the VM was suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no permit can be held safely.
		panic(err)
	}
	return time.Duration(t.Nano())
}
