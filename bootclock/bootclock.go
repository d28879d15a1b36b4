// Package bootclock reads the clock that all processes of an instance share.
//
// The clock counts from the boot of the instance, continues while the instance is
// suspended, and cannot be set by operators or time services. An agent and the
// worker on its instance therefore agree on a deadline even when one of them
// was frozen between computing and using it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance was booted.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error()) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}
