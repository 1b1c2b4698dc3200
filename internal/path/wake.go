package path

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"golang.org/x/sys/unix"
)

// sleptFor is the gap between two looks at the clock that means the process has
// slept: the longest tick with half a second for a busy host.
const sleptFor = 1500 * clock.Millis(1)

// wake notices that the process has been stopped or its host suspended. The
// steady clock does not count a suspension; the boot clock does.
type wake struct {
	last clock.Millis
}

// slept looks at the boot clock and returns how long the process has not run,
// or 0.
func (w *wake) slept() clock.Millis {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0
	}
	now := clock.Millis(at.Nano() / 1e6)
	gap := now - w.last
	first := w.last == 0
	w.last = now
	if first || gap < sleptFor {
		return 0
	}
	return gap
}
