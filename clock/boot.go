package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns a reading that, unlike the steady clock, also moves while
// the VM is suspended, as a time that is of use for differences only. It falls
// back on the steady clock where the kernel does not tell.
func SinceBoot(c Clock) time.Time {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return c.Now()
	}
	return time.Unix(0, reading.Nano())
}
