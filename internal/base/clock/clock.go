// Package clock reads CLOCK_BOOTTIME, a monotonic clock that continues while the
// machine is suspended. Leases are measured by it because the monotonic clock of
// package time stops during suspension.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the machine has booted as a Time. Only
// differences between such times are meaningful.
func Boottime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
