package path

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"golang.org/x/sys/unix"
)

// sleptFor is the gap between two looks at the clock that means the process has
// slept: the longest tick with half a second for a busy host.
const sleptFor = 1500 * clock.Millis(1)

// pausedFor is the gap that means a balancer has not run for a while: a tick, and
// less than the 200 ms after which callers repeat a first packet.
const pausedFor = 250 * clock.Millis(1)

// wake notices that the process has been stopped or its host suspended. The
// steady clock does not count a suspension; the boot clock does.
type wake struct {
	last clock.Millis
}

// gap looks at the boot clock and returns the time since the last look, 0 at the
// first.
func (w *wake) gap() clock.Millis {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0 // a kernel without this clock; the watch on the store bounds the view's age
	}
	now := clock.Millis(at.Nano() / 1e6)
	last := w.last
	w.last = now
	if last == 0 {
		return 0
	}
	return now - last
}
