// Package clock reads the clock that counts the time in which the machine is
// suspended. Leases are timed by it: the steady clock of package time stands
// still meanwhile.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a Time. Only differences
// between such times mean something.
func Boottime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
