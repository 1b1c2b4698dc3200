package path

import "time"

// earlyTimer makes runEvery run before its interval has passed. It fires once for all calls
// of set since it last fired: datagrams come more often than the timers run under load, and
// if each of them postponed the timer, it would never fire.
type earlyTimer struct {
	*time.Timer
	pending bool // it has been set and has not fired
}

// newEarlyTimer returns a timer that fires after d.
func newEarlyTimer(d time.Duration) earlyTimer {
	return earlyTimer{Timer: time.NewTimer(d), pending: true}
}

// set makes the timer fire after d, unless it is pending.
func (t *earlyTimer) set(d time.Duration) {
	if !t.pending {
		t.Reset(d)
		t.pending = true
	}
}

// fired records that the timers run, so that the next call of set takes effect.
func (t *earlyTimer) fired() { t.pending = false }
