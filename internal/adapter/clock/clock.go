// Package clock provides a clock that advances while the machine is suspended, and a
// sleep that a context can interrupt. Leases are measured on this clock, so that a lease
// expires even if its holder is suspended.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is CLOCK_BOOTTIME. It implements port.Clock.
type Boot struct{}

// Now returns the time since the machine was booted. Every Linux kernel that Go
// supports has this clock, so a failure to read it is a fault of the platform and Now panics.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits until d has passed or ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
