package steer

import (
	"math"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

// Times and limits of the utilization that an agent reports.
const (
	// utilizationTime is the time constant of the moving average: long against a request
	// of 20 to 50 ms, so that it averages over dozens of them, and short against the life
	// of long flows.
	utilizationTime = clock.Second
	// maxUtilization bounds what counts for a server that has more requests than slots, in
	// multiples of its slots. Balancers compare the queue at one server with the mean of all,
	// and agents of four slots have held up to 68 SYNs.
	maxUtilization = 16.0
)

// utilization is the moving average of the share of a server's slots that is in use. The
// average is weighted by time, so it does not depend on when packets and ticks come.
type utilization struct {
	average float64      // with a weight of missing left for the time before since
	missing float64      // weight of the time before the first observation, 1 at the start
	since   clock.Millis // of the present load, 0 if not observed
}

// observe adds the time since the last call, in which the load was the present one.
func (u *utilization) observe(now clock.Millis, load, slots int) {
	if u.since == 0 {
		*u = utilization{missing: 1, since: now}
		return
	}
	elapsed := now - u.since
	if elapsed <= 0 {
		return
	}
	u.since = now
	if slots == 0 {
		return // not known yet
	}
	keep := math.Exp(-float64(elapsed) / float64(utilizationTime))
	share := min(float64(load)/float64(slots), maxUtilization)
	u.average = u.average*keep + share*(1-keep)
	u.missing *= keep
}

// skip leaves the time until now out of the average.
func (u *utilization) skip(now clock.Millis) {
	if u.since != 0 {
		u.since = now
	}
}

// percent returns the average in percent, false if it covers less than utilizationTime.
func (u *utilization) percent() (int, bool) {
	if u.since == 0 || u.missing > 1/math.E {
		return 0, false
	}
	return int(math.Round(100 * u.average / (1 - u.missing))), true
}

// observeLoad records the load since the last call. It must be called before the load
// changes.
func (a *Agent) observeLoad(now clock.Millis) { a.utilization.observe(now, a.Load(), a.Slots) }
