package path

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"golang.org/x/sys/unix"
)

// suspensionThreshold is the shortest time between two calls of sinceLastCall after
// which the process counts as suspended: the longest interval of the timers, plus half
// a second for a busy host.
const suspensionThreshold = 1500 * clock.Millis(1)

// pauseThreshold is the shortest time between two calls after which a balancer counts
// as paused: the interval of its timers, plus less than the 200 ms after which callers
// retransmit a SYN.
const pauseThreshold = 250 * clock.Millis(1)

// pauseDetector detects that the process was stopped or its host was suspended. It
// reads the boot clock, which also advances while the host is suspended; the monotonic
// clock does not.
type pauseDetector struct {
	last clock.Millis
}

// sinceLastCall returns the time since its last call, 0 at the first.
func (d *pauseDetector) sinceLastCall() clock.Millis {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0 // the kernel lacks this clock; the watch on the store bounds the view's age
	}
	now := clock.Millis(boot.Nano() / 1e6)
	last := d.last
	d.last = now
	if last == 0 {
		return 0
	}
	return now - last
}
