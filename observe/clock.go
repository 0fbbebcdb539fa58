package observe

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the system started, including the time for which the VM
// was suspended. Go's own monotonic clock stops during a suspension, so the holder of a
// permit would use it for longer than other nodes expect.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no permit can be held safely.
		panic(err)
	}
	return time.Duration(t.Nano())
}
