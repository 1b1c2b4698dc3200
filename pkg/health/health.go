// Package health judges a server by the requests that its agent sees: it counts those
// that the server resets, leaves unanswered or answers far later than the other servers
// of its service. It handles servers that fail a share of their requests while they look
// well to themselves and to the platform. Contents are not read, so errors and responses
// that shed a request count as answers.
package health

import "dogwoodlanding.example/dogwood/pkg/clock"

//go:generate go tool stringer -type=Kind

// Kind is the sign by which a request counts as failed.
type Kind uint8

// Kinds of failures.
const (
	Reset     Kind = iota // the server reset the flow while it ran the request
	Late                  // no byte of the answer within the limit
	Abandoned             // the caller gave up after more than the goal, without a byte
	Repeated              // the caller repeated it, without a byte after lateFactor times the typical time
	Unopened              // the server left the SYN of a flow unanswered
	Crashed               // nothing listened at the server's address any more
	kindCount
)

// Kinds is the number of kinds.
const Kinds = int(kindCount)

// The verdict. docs/design/17-unequal-servers.md calculates the numbers.
const (
	// windowSize is the number of last requests that the verdict depends on, and
	// badFailures how many of them must have failed. A sound server fails 3 to 5 %, since
	// some requests take seven times as long as others: at 5 % there is a false verdict
	// in 120 million requests. The faults looked for fail 40 % or more.
	windowSize  = 32
	badFailures = 12
	// hardWindow and hardFailures are the same for resets, unanswered SYNs and crashes, of
	// which a sound server causes hardly any: at 0.5 % there is a false verdict in 10
	// billion requests. They find a server that fails a smaller share, or every other
	// second.
	hardWindow   = 128
	hardFailures = 10
	// crashWeight is the number of hard failures that a crash counts as: the third one in
	// the window makes the verdict bad, a single one does not.
	crashWeight = 4
	// windowAge is the age from which a request no longer counts, so that a server with
	// one request a second can still be judged.
	windowAge = 30 * clock.Second
	// A server is sound again once its score is returnScore. A sound request adds 1 to
	// the score, a failed one subtracts failureWeight, between 0 and windowSize. So the
	// score rises below a share of 1/6 failed, and a server that fails 40 % reaches it
	// once in some hundred requests.
	returnScore   = 8
	failureWeight = 5
	// minSoundTime is how long the score must have stayed above 0, so that a server which
	// works for a second and fails for another does not return. It doubles with each
	// verdict within relapseTime of a return, up to maxSoundTime: a server that has
	// recovered must be in use again within 15 s.
	minSoundTime = 3 * clock.Second
	maxSoundTime = 12 * clock.Second
	relapseTime  = clock.Minute
)

// Time limits of a request.
const (
	// lateFactor is the multiple of the typical time within which an answer must begin:
	// half of what a server takes that is eight times slower, and more than twice what a
	// cold one takes, which is 1.6 times slower.
	lateFactor = 4
	// minLimit is the lowest limit: the typical time has a resolution of 4 ms, and a host
	// with a fraction of a core is late by some milliseconds itself.
	minLimit = 20 * clock.Millis(1)
	// noTypicalFactor is the multiple of the goal that replaces it if the typical time is
	// not known.
	noTypicalFactor = 2
	// noGoalLimit is the limit if the goal is not known either: answers that have not
	// begun by then are not expected.
	noGoalLimit = 8 * clock.Second
	// silenceFactor is the multiple of a request's limit after which a server counts as
	// silent if nothing was answered: all its slots are rarely busy with requests that
	// take so long.
	silenceFactor = 3
	// coldFactor is the multiple of a limit that applies while the server is cold: it is
	// 1.6 times slower then.
	coldFactor = 2
	// quickDivisor is the fraction of the typical time within which an answer counts as
	// quick: less than a request needs that is run.
	quickDivisor = 8
)

// Times of the timer and of trials.
const (
	// TickInterval is the interval at which Tick is to be called while a request is in
	// progress.
	TickInterval = 100 * clock.Millis(1)
	// maxTickDelay is the time between two calls of Tick from which on the process counts
	// as paused. Answers may then wait in its sockets, so requests in progress are not
	// judged.
	maxTickDelay = 250 * clock.Millis(1)
	// A new flow is let through to a bad server if no request of an open flow has shown for
	// a time how it does. The time is minTrialTime to maxTrialTime. A sound request halves
	// it and a failed one makes it four times as long, so it rises above a share of 1/3
	// failed. A server that has recovered gets returnScore trials in 4.8 s at most, a third of
	// the 15 s within which it must be in use again.
	minTrialTime   = 400 * clock.Millis(1)
	firstTrialTime = 800 * clock.Millis(1)
	maxTrialTime   = 1600 * clock.Millis(1)
)

// Request is the record of one flow's request. Its owner embeds it, so that the Detector
// allocates nothing. The zero value has no request in progress.
type Request struct {
	previous, next *Request
	begun          clock.Millis
	since          clock.Millis // when its turn came
	goal           clock.Millis
	state          requestState
}

// requestState tells whether a request is in progress.
type requestState uint8

const (
	idle    requestState = iota // not in progress, or already judged
	waiting                     // earlier requests occupy all slots
	running
	// overdue requests have been judged and may still occupy a slot.
	overdue
)

// result is the result of one request in the window.
type result struct {
	at     clock.Millis
	failed bool
	kind   Kind // if failed
}

// Status is the present state of a Detector, and its counters since the start.
type Status struct {
	Bad     bool
	Sound   uint64 // requests answered within the limit
	Failed  [Kinds]uint64
	Ignored uint64 // requests that ended without saying anything of the server
	Quick   uint64 // sound ones answered in less than an eighth of the typical time
	Trials  uint64 // new flows let through to the bad server
}

// Change is a change of the verdict, with what it was based on.
type Change struct {
	Bad       bool
	Requests  int // in the window; for a return, since the verdict
	Failed    int // of them
	ByKind    [Kinds]int
	Window    clock.Millis // time that they cover
	Typical   clock.Millis // time to the first byte of the service, 0 if not known
	SoundTime clock.Millis // how long the server must be sound to return
}

// Detector judges one server. It takes the requests in progress for a queue that the
// server works off in order of arrival, with as many at once as it has slots: a request's
// time counts from its turn, so an overloaded server is not judged by its queue. Set
// Changed before the first call, and Slots, Typical and Cold whenever they are known. Call Tick
// each TickInterval while InProgress. A Detector is not safe for concurrent use.
type Detector struct {
	Slots   int          // requests that the server runs at once; 0 means not known, then nothing is judged
	Typical clock.Millis // median time to the first byte of the service's servers, 0 if not known
	Cold    bool         // the server has started recently
	Changed func(Change) // called on each change of the verdict, if set

	first, last  *Request // requests in progress in order of arrival: running ones, then waiting ones
	firstWaiting *Request
	occupied     int          // requests that are running or overdue
	busySince    clock.Millis // since when requests have been in progress
	lastAnswer   clock.Millis // that was not quick
	lastTick     clock.Millis
	paused       bool // the process was paused before the last Tick

	results     [hardWindow]result // ring of the last requests
	resultCount int                // ever written since the last change of the verdict
	lastResult  clock.Millis

	status     Status
	score      int
	soundSince clock.Millis // since when the score has been above 0
	soundTime  clock.Millis // how long it must have been
	returned   clock.Millis // time of the last return, 0 if none
	badSince   clock.Millis
	badResults Change // results since the verdict
	lastTrial  clock.Millis
	trialTime  clock.Millis // until the next trial
}

// Status returns the present state.
func (d *Detector) Status() Status { return d.status }

// InProgress reports whether requests are in progress.
func (d *Detector) InProgress() bool { return d.first != nil }

// Bad reports whether the server fails too many requests to receive new flows.
func (d *Detector) Bad() bool { return d.status.Bad }

// Begin records that the server received a request. If the flow's request is in progress
// already, this is more of it, and its time starts anew.
func (d *Detector) Begin(now clock.Millis, r *Request, goal clock.Millis) {
	switch r.state {
	case waiting, running:
		r.begun, r.since, r.goal = now, now, goal
		return
	case overdue:
		d.remove(now, r)
	}
	*r = Request{previous: d.last, begun: now, goal: goal, state: waiting}
	if d.last != nil {
		d.last.next = r
	} else {
		d.first, d.busySince = r, now
	}
	d.last = r
	if d.firstWaiting == nil {
		d.firstWaiting = r
	}
	d.promote(now)
}

// promote starts the time of waiting requests while slots are free.
func (d *Detector) promote(now clock.Millis) {
	for d.firstWaiting != nil && (d.occupied < d.Slots || d.Slots == 0) {
		r := d.firstWaiting
		r.state, r.since = running, now
		d.occupied++
		d.firstWaiting = r.next
	}
}

// remove takes a request from the queue.
func (d *Detector) remove(now clock.Millis, r *Request) {
	if r.state != waiting {
		d.occupied--
	}
	if d.firstWaiting == r {
		d.firstWaiting = r.next
	}
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		d.first = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	} else {
		d.last = r.previous
	}
	*r = Request{}
	d.promote(now)
}

// Answered records the first byte of the answer to a request. One that comes before its
// turn says nothing of the request: the server may have shed it. If it is not quick, it
// shows that an overdue request does not occupy its slot.
func (d *Detector) Answered(now clock.Millis, r *Request) {
	if r.state == idle {
		return
	}
	quick := (now-r.begun)*quickDivisor < d.Typical
	if !quick {
		d.lastAnswer = now
	}
	switch {
	case r.state == waiting || d.Slots == 0:
		d.Discard(now, r)
		if !quick {
			d.release(now)
		}
		return
	case r.state == overdue:
		d.remove(now, r)
		return
	case now-r.since > d.limit(r.goal):
		d.fail(now, r, Late)
		return
	case quick:
		d.status.Quick++
	}
	d.remove(now, r)
	d.status.Sound++
	d.record(now, result{at: now})
}

// release frees the slot of the oldest overdue request.
func (d *Detector) release(now clock.Millis) {
	for r := d.first; r != nil && r.state != waiting; r = r.next {
		if r.state == overdue {
			d.remove(now, r)
			return
		}
	}
}

// WasReset records that the server reset a flow. It is no failure without a request in
// progress.
func (d *Detector) WasReset(now clock.Millis, r *Request) {
	switch r.state {
	case overdue:
		d.remove(now, r)
	case waiting, running:
		d.fail(now, r, Reset)
	}
}

// GivenUp records that the caller ended the flow. It is a failure if the request ran for
// longer than its goal, or the server has answered nothing since it began, and otherwise
// says nothing of the server.
func (d *Detector) GivenUp(now clock.Millis, r *Request) {
	ranLong := r.state == running && now-r.since > r.goal
	silent := d.lastAnswer < r.begun && now-r.begun > r.goal
	if r.state != overdue && r.goal > 0 && (ranLong || silent) {
		d.fail(now, r, Abandoned)
		return
	}
	d.Discard(now, r)
}

// WasRepeated records that the caller has retransmitted a request. It is a failure if
// the request runs for long compared with others of the service. Otherwise the packet or
// the answer may be late or lost on the way.
func (d *Detector) WasRepeated(now clock.Millis, r *Request) {
	if r.state == running && d.Typical > 0 && now-r.since > max(lateFactor*d.Typical, minLimit) {
		d.judge(now, r, Repeated)
	}
}

// NotOpened records that the server reset the SYN of a flow or left it unanswered. It
// returns false if the process was paused a moment ago, so that the answer may not have
// been read.
func (d *Detector) NotOpened(now clock.Millis, kind Kind) bool {
	if d.Slots == 0 || d.paused {
		return false
	}
	d.status.Failed[kind]++
	d.record(now, result{at: now, failed: true, kind: kind})
	return true
}

// ServerGone records that nothing listens at the server's address any more. Its requests
// are lost and not judged one by one.
func (d *Detector) ServerGone(now clock.Millis) {
	d.Forget(now)
	if d.Slots == 0 {
		return
	}
	d.status.Failed[Crashed]++
	for range crashWeight {
		d.record(now, result{at: now, failed: true, kind: Crashed})
	}
}

// Discard ends a request that says nothing of the server: the server does not hold the
// flow, closed it, or drains; or the caller has aborted.
func (d *Detector) Discard(now clock.Millis, r *Request) {
	switch r.state {
	case waiting, running:
		d.status.Ignored++
		d.remove(now, r)
	case overdue:
		d.remove(now, r)
	}
}

// Forget discards all requests in progress. Call it after the process was suspended.
func (d *Detector) Forget(now clock.Millis) {
	for d.first != nil {
		d.Discard(now, d.first)
	}
}

// Tick judges the requests that have run for too long.
func (d *Detector) Tick(now clock.Millis) {
	d.paused = now-d.lastTick > maxTickDelay
	d.lastTick = now
	if d.paused {
		d.Forget(now)
		return
	}
	// Removing a request starts the time of a waiting one, which is not late then.
	for r := d.first; r != nil && r.state != waiting; {
		next, limit := r.next, d.limit(r.goal)
		switch {
		case r.state == running && now-r.since >= limit:
			d.judge(now, r, Late)
		case r.state == overdue && now-max(d.lastAnswer, d.busySince) > silenceFactor*limit:
			d.remove(now, r)
		}
		r = next
	}
	d.checkReturn(now)
}

// judge records that a running request has failed. It keeps its slot: the server may
// still run it.
func (d *Detector) judge(now clock.Millis, r *Request, kind Kind) {
	if d.Slots == 0 {
		d.Discard(now, r)
		return
	}
	r.state = overdue
	d.status.Failed[kind]++
	d.record(now, result{at: now, failed: true, kind: kind})
}

// limit returns the time within which the answer to a request with a goal must begin.
// Half of a goal is never late: callers do not notice.
func (d *Detector) limit(goal clock.Millis) clock.Millis {
	limit := noGoalLimit
	switch {
	case d.Typical > 0:
		limit = max(lateFactor*d.Typical, goal/2, minLimit)
	case goal > 0:
		limit = noTypicalFactor * goal
	}
	if d.Cold {
		limit *= coldFactor
	}
	return limit
}

// fail records that a request has failed.
func (d *Detector) fail(now clock.Millis, r *Request, kind Kind) {
	if d.Slots == 0 {
		d.Discard(now, r)
		return
	}
	d.remove(now, r)
	d.status.Failed[kind]++
	d.record(now, result{at: now, failed: true, kind: kind})
}

// record adds a result and updates the verdict.
func (d *Detector) record(now clock.Millis, r result) {
	d.lastResult = now
	if d.status.Bad {
		d.badResults.Requests++
		if r.failed {
			d.badResults.Failed++
			d.badResults.ByKind[r.kind]++
			d.score = max(0, d.score-failureWeight)
			d.trialTime = min(4*d.trialTime, maxTrialTime)
		} else {
			if d.score == 0 {
				d.soundSince = now
			}
			d.score = min(windowSize, d.score+1)
			d.trialTime = max(d.trialTime/2, minTrialTime)
		}
		d.checkReturn(now)
		return
	}
	d.results[d.resultCount%hardWindow] = r
	d.resultCount++
	if !r.failed {
		return
	}
	if c := d.window(now, windowSize); c.Failed >= badFailures {
		d.eject(now, c)
	} else if c := d.window(now, hardWindow); c.ByKind[Reset]+c.ByKind[Unopened]+c.ByKind[Crashed] >= hardFailures {
		d.eject(now, c)
	}
}

// window counts the last results.
func (d *Detector) window(now clock.Millis, size int) Change {
	var c Change
	for i := d.resultCount - 1; i >= max(0, d.resultCount-size); i-- {
		r := d.results[i%hardWindow]
		if now-r.at > windowAge {
			break
		}
		c.Requests++
		c.Window = max(c.Window, now-r.at)
		if r.failed {
			c.Failed++
			c.ByKind[r.kind]++
		}
	}
	return c
}

// eject sets the verdict to bad.
func (d *Detector) eject(now clock.Millis, c Change) {
	if d.returned != 0 && now-d.returned < relapseTime {
		d.soundTime = min(2*d.soundTime, maxSoundTime)
	} else {
		d.soundTime = minSoundTime
	}
	d.status.Bad, d.badSince, d.score, d.badResults, d.trialTime = true, now, 0, Change{}, firstTrialTime
	c.Bad = true
	d.notify(c)
}

// checkReturn sets the verdict to good once the server has been sound for long enough.
func (d *Detector) checkReturn(now clock.Millis) {
	if !d.status.Bad || d.score < returnScore || now-d.soundSince < d.soundTime {
		return
	}
	d.status.Bad, d.returned, d.resultCount = false, now, 0
	d.badResults.Window = now - d.badSince
	d.notify(d.badResults)
}

func (d *Detector) notify(c Change) {
	c.Typical, c.SoundTime = d.Typical, d.soundTime
	if d.Changed != nil {
		d.Changed(c)
	}
}

// LetThrough reports whether a new flow may go to a bad server as a trial, and counts it
// if so.
func (d *Detector) LetThrough(now clock.Millis) bool {
	if now-max(d.lastTrial, d.lastResult) < d.trialTime {
		return false
	}
	d.lastTrial = now
	d.status.Trials++
	return true
}
