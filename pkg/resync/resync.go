// Package resync decides how a host catches up with the platform's store: which call
// comes next, after which pause, and how long and large its response may be. It also
// knows how old the host's view of the store is.
//
// The load it handles: hosts with slow links that were away while much was written, and
// many hosts that come back to the store at the same time.
package resync

import "dogwoodlanding.example/dogwood/pkg/clock"

//go:generate go tool stringer -type=Kind,Reason,Result,Keys -linecomment -output=resync_string.go

// Kind is a kind of call.
type Kind uint8

// Kinds of calls.
const (
	// Listing reads the whole store. It is the first call of a process.
	Listing Kind = iota
	// Watch asks for the changes after the last known revision.
	Watch
	// State reads evacuations and servers, then the configuration.
	State
)

// Reason tells why the state is read.
type Reason uint8

// Reasons to read the state.
const (
	NoReason Reason = iota
	// Outage: the store did not answer for more than half of the shortest bound.
	Outage
	// HistoryGone: the store has discarded the changes after the last known revision.
	HistoryGone
	// Restored: the store was restored from an older copy.
	Restored
	// TooLarge: the changes are larger than the state.
	TooLarge
	// Incomplete: the response to a watch ended in its middle, or did not begin although
	// the call before had failed too.
	Incomplete
	// Suspended: the process did not run for a while.
	Suspended
)

// Result is how a call ended.
type Result uint8

// Results of calls.
const (
	Complete Result = iota
	// FoundHistoryGone, FoundRestored and FoundTooLarge lead to the reason of the same
	// name.
	FoundHistoryGone
	FoundRestored
	FoundTooLarge
	// FoundSuspended: the process was suspended during the call.
	FoundSuspended
	// Failed: the store refused the call or the connection failed.
	Failed
	// Silent: the response brought no byte for too long.
	Silent
	// Slow: the response kept coming but exceeded the limit of the call.
	Slow
)

// Keys is a kind of keys of the store.
type Keys uint8

// Kinds of keys.
const (
	Evacuations Keys = iota
	Servers
	Configuration
	keysCount = iota
)

// AllKeys lists the kinds of keys.
var AllKeys = [keysCount]Keys{Evacuations, Servers, Configuration}

// Bounds are the times within which a host must act on a change, by kind of keys.
type Bounds [keysCount]clock.Millis

// shortest returns the shortest bound.
func (b Bounds) shortest() clock.Millis { return min(b[Evacuations], b[Servers], b[Configuration]) }

// Call is the next call to make.
type Call struct {
	Kind   Kind
	Reason Reason       // of a call of kind State
	Pause  clock.Millis // before the call
	// Wait is how long a watch may wait for changes.
	Wait clock.Millis
	// Limit bounds the time of one response, beyond the requested wait.
	Limit clock.Millis
	// MaxBytes bounds the response to a watch, in addition to the size of the state. 0
	// means no additional bound.
	MaxBytes int64
}

// Outcome is how a call ended.
type Outcome struct {
	Kind   Kind
	Result Result
	// Bytes is what was read: the whole reading if it is complete, otherwise the part of
	// the last response that arrived.
	Bytes int64
	Took  clock.Millis
}

// Limits and pauses.
const (
	// minLimit is the least time limit of one response: the store can be a hundred times
	// slower than its usual 4 ms, and a page has about a megabyte.
	minLimit = 2 * clock.Second
	// maxLimitDoublings bounds how often the limit doubles after slow responses, to 80 s
	// with a bound of 5 s.
	maxLimitDoublings = 4
	// minRetryWindow and maxRetryWindow bound the window of the pause after a failed
	// call.
	minRetryWindow = 100 * clock.Millis(1)
	maxRetryWindow = 800 * clock.Millis(1)
	// maxSlowWindow bounds the window of the pause after slow responses.
	maxSlowWindow = 60 * clock.Second
	// storeBytesPerMs is what the store sends, 1,000 Mbit/s, and fleetHosts the number of
	// hosts among which a host assumes that this is shared.
	storeBytesPerMs = 125_000
	fleetHosts      = 300
	// heavyWatchBytes bounds the first watch after an outage if the state is heavy: 5,400
	// hosts fetch it in 2.8 s.
	heavyWatchBytes = 64 << 10
	// minWait and maxWait bound the wait of a watch.
	minWait = clock.Second
	maxWait = 4 * clock.Second
	// regainMargin is the part of Policy.Regain that is left for a slow store: it can be a
	// hundred times slower than its usual 4 ms.
	regainMargin = 500 * clock.Millis(1)
)

// Policy decides on the calls of one host. Set the exported fields before the first
// call. A Policy is not safe for concurrent use.
type Policy struct {
	Bounds Bounds
	// Regain is the time after an outage of the store within which the view must be current.
	Regain clock.Millis
	// SilenceLimit is how long after its requested wait a watch without a response ends as
	// Silent.
	SilenceLimit clock.Millis
	// MaxRest is the longest time between two responses of a healthy store: the wait of a
	// watch and the pause between two watches.
	MaxRest clock.Millis
	// Random returns a random duration in [0, n) for n > 0.
	Random func(n clock.Millis) clock.Millis

	listed        bool
	reason        Reason // why the state must be read, NoReason if it need not be
	spread        bool   // the reading is spread, since other hosts begin theirs at the same time
	failures      int    // calls in succession that failed
	rejected      int    // watches after which the store had no history, since the last complete one
	slow          int    // responses that exceeded the limit since the last complete call
	lost          bool   // the last call failed
	lostSince     clock.Millis
	troubled      bool         // the last call did not complete, or a reading is due
	troubledSince clock.Millis // beginning of the first such call
	stateBytes    int64        // of the last complete reading
	stateDuration clock.Millis // of the last complete reading
	asOf          [keysCount]clock.Millis
}

// Next returns the call to make now.
func (p *Policy) Next(now clock.Millis) Call {
	c := Call{Kind: Watch, Limit: max(minLimit, p.Bounds.shortest()) << min(p.slow, maxLimitDoublings)}
	c.Wait = p.MaxWait()
	c.Pause = p.pause(c)
	longOutage := p.lost && now+c.Pause-p.lostSince > p.Bounds.shortest()/2
	switch {
	case !p.listed:
		c.Kind = Listing
	case p.reason != NoReason:
		c.Kind, c.Reason = State, p.reason
	case longOutage && p.heavy():
		c.MaxBytes = heavyWatchBytes
	case longOutage:
		c.Kind, c.Reason = State, Outage
	}
	if c.Kind == State {
		c.Pause = p.pause(c)
	}
	return c
}

// MaxWait returns how long a watch may wait for changes. A store that was silent when a
// watch arrived never responds to it, and the host notices that SilenceLimit after the wait.
// The reading of the state that follows must be complete within Regain.
func (p *Policy) MaxWait() clock.Millis {
	pause := minRetryWindow/2 + max(minRetryWindow, p.readingSpread())
	reading := pause + p.stateDuration + regainMargin
	return min(maxWait, max(minWait, p.Regain-p.SilenceLimit-reading))
}

// readingSpread is the time over which hosts spread readings that they begin at the same
// time: what the store needs to send the state to fleetHosts hosts, within a quarter of the
// shortest bound.
func (p *Policy) readingSpread() clock.Millis {
	return min(p.Bounds.shortest()/4, p.fleetTime())
}

// heavy reports whether the state is too large for all hosts to read it at once: 300
// hosts need more than half of the shortest bound, or this host did the last time.
func (p *Policy) heavy() bool {
	half := p.Bounds.shortest() / 2
	return p.fleetTime() > half || p.stateDuration > half
}

// fleetTime is how long the store needs to send the state to fleetHosts hosts.
func (p *Policy) fleetTime() clock.Millis {
	return clock.Millis(p.stateBytes * fleetHosts / storeBytesPerMs)
}

// pause returns the pause before a call. Readings of the state that many hosts begin at
// the same time are spread.
func (p *Policy) pause(c Call) clock.Millis {
	var spread clock.Millis
	if c.Reason == Outage || c.Kind == State && p.spread {
		spread = p.readingSpread()
	}
	failures := p.failures
	if failures == 0 {
		failures = p.rejected - 1 // readings that no watch can continue are not repeated at once
	}
	if failures <= 0 {
		return p.random(spread)
	}
	retry := min(maxRetryWindow, minRetryWindow<<min(failures-1, 8))
	window := max(retry, spread)
	if p.slow > 0 {
		window = max(window, min(maxSlowWindow, p.Bounds.shortest()/4<<min(p.slow, 16)))
	}
	return retry/2 + p.random(window)
}

func (p *Policy) random(n clock.Millis) clock.Millis {
	if n <= 0 {
		return 0
	}
	return p.Random(n)
}

// Record records how a call ended at the time now.
func (p *Policy) Record(now clock.Millis, o Outcome) {
	if !p.troubled {
		p.troubledSince = now - o.Took
	}
	p.troubled = o.Result != Complete
	switch o.Result {
	case Complete:
		if o.Kind == Watch {
			p.rejected = 0
		} else {
			p.listed, p.stateBytes, p.stateDuration = true, o.Bytes, o.Took
		}
		p.reason, p.spread, p.failures, p.slow, p.lost = NoReason, false, 0, 0, false
		return
	case FoundHistoryGone:
		p.reason = HistoryGone
	case FoundRestored:
		p.reason = Restored
	case FoundTooLarge:
		p.reason = TooLarge
	case FoundSuspended:
		p.reason = Suspended
	default:
		p.recordFailure(now, o)
		return
	}
	if o.Kind == Watch {
		// A host that has paused after failures returns at a time of its own, and one whose
		// watch was too large has used up time already.
		p.spread = p.failures == 0 && (p.reason == HistoryGone || p.reason == Restored)
		p.failures, p.lost = 0, false // the store answers
		if p.reason == HistoryGone || p.reason == Restored {
			p.rejected++
		}
		return
	}
	p.failures++ // a reading that does not complete is not repeated without a pause
}

// recordFailure records a call that got no complete response.
func (p *Policy) recordFailure(now clock.Millis, o Outcome) {
	p.failures++
	if p.lost && o.Kind == Watch && o.Result == Silent && p.reason == NoReason {
		// A store that answers again may take long to collect the history; the state is
		// at hand.
		p.reason = Incomplete
	}
	if !p.lost {
		p.lost, p.lostSince = true, now
		if o.Result == Silent {
			p.lostSince = now - o.Took // the connection may have been dead all the time
		}
	}
	if o.Result == Slow {
		p.slow++
	}
	if o.Kind == Watch && o.Bytes > 0 && p.reason == NoReason {
		p.reason = Incomplete
	}
}

// Cover records that the view has the state of some keys at the time asOf or later.
func (p *Policy) Cover(keys Keys, asOf clock.Millis) { p.asOf[keys] = max(p.asOf[keys], asOf) }

// Age returns how old the view is for some keys, 0 if they were never read.
func (p *Policy) Age(now clock.Millis, keys Keys) clock.Millis {
	if p.asOf[keys] == 0 {
		return 0
	}
	return now - p.asOf[keys]
}

// Overdue reports whether the view of some keys is older than their bound. Between two
// complete calls the view counts as current for MaxRest, since a watch reports each
// change. After a call that did not complete, its age counts from the beginning of that
// call.
func (p *Policy) Overdue(now clock.Millis, keys Keys) bool {
	switch {
	case p.asOf[keys] == 0:
		return false
	case p.troubled:
		return now-max(p.asOf[keys], p.troubledSince) > p.Bounds[keys]
	}
	return now-p.asOf[keys] > p.Bounds[keys]+p.MaxRest
}
