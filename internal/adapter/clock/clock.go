// Package clock waits, and reads the machine's clock that goes on during suspend. Leases
// are measured on that one: a holder that was suspended must find its lease expired.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is CLOCK_BOOTTIME. It implements port.Clock.
type Boot struct{}

// Now returns the time since the machine was booted. Every kernel that Go
// supports has this clock, so a failure is a fault of the platform.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for a duration or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
