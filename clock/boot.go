package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SuspendAwareNow returns a reading of CLOCK_BOOTTIME, which, unlike the monotonic clock,
// also advances while the VM is suspended. Only differences of two readings are
// meaningful. Where the kernel does not provide this clock, it returns the reading
// of c.
func SuspendAwareNow(c Clock) time.Time {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return c.Now()
	}
	return time.Unix(0, reading.Nano())
}
