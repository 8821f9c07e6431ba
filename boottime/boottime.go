// Package boottime reads the clock that counts the time in which the machine was
// suspended. The clock of package time does not.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included. It returns 0
// where the system has no such clock.
func Now() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Suspended returns for how long the machine has been suspended so far, up to a few
// microseconds.
func Suspended() time.Duration { return max(Now()-read(unix.CLOCK_MONOTONIC), 0) }

func read(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
