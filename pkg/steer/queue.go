package steer

import (
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
)

// Limits of the queue of first packets.
const (
	// longestWait is how long a first packet may wait for a free slot: less than
	// half of the 1.4 s that a caller tries to open, so that one which is refused
	// still has time for another attempt.
	longestWait = 600 * clock.Millis(1)
	// leastAhead and slotsAhead say how many flows more than a server has slots
	// are opened, a number and a divisor of the slots: a slot is idle while a
	// caller learns that its flow is open and sends its request.
	leastAhead = 2
	slotsAhead = 4
)

// queue holds first packets that wait for a free slot. Those whose answer can
// still be in time come first, by priority and arrival; the others follow. This
// answers the load after an outage, when everybody comes back at once: first
// come, first served would make every answer late until the backlog is gone.
type queue struct {
	waiting []waiter
}

// waiter is one first packet.
type waiter struct {
	from    netip.AddrPort
	message Message
	packet  Packet
	raw     []byte
	since   clock.Millis
}

// Release is a first packet that leaves the queue.
type Release struct {
	Outcome Outcome
	Message *Message
	Packet  Packet
	Raw     []byte // as it was kept
	Waited  clock.Millis
}

func (q *queue) length() int { return len(q.waiting) }

func (q *queue) has(key flow.Key) bool {
	return slices.ContainsFunc(q.waiting, func(w waiter) bool { return w.packet.Key == key })
}

// next is the index of the waiter to serve next. Work is the expected time of
// an answer.
func (q *queue) next(now clock.Millis, work clock.Millis) int {
	best := 0
	for i := 1; i < len(q.waiting); i++ {
		if q.waiting[i].before(q.waiting[best], now, work) {
			best = i
		}
	}
	return best
}

// last is the index of the waiter that would be served last.
func (q *queue) last(now clock.Millis, work clock.Millis) int {
	worst := 0
	for i := 1; i < len(q.waiting); i++ {
		if !q.waiting[i].before(q.waiting[worst], now, work) {
			worst = i
		}
	}
	return worst
}

// before orders two waiters. They are kept in the order of arrival.
func (w waiter) before(other waiter, now, work clock.Millis) bool {
	if late := w.late(now, work); late != other.late(now, work) {
		return !late
	}
	if w.message.Priority != other.message.Priority {
		return w.message.Priority < other.message.Priority
	}
	return w.since >= other.since
}

// late reports whether an answer would miss the response-time goal.
func (w waiter) late(now, work clock.Millis) bool {
	return w.message.Goal > 0 && now-w.since+work > w.message.Goal
}

func (q *queue) take(i int) waiter {
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return w
}

// free reports whether the server may get one more flow now.
func (a *Agent) free() bool {
	return a.Slots == 0 || a.load < a.Slots+max(leastAhead, a.Slots/slotsAhead)
}

// enqueue keeps a first packet until a slot is free.
func (a *Agent) enqueue(now clock.Millis, from netip.AddrPort, m *Message, p Packet) Outcome {
	a.queue.waiting = append(a.queue.waiting, waiter{from: from, message: *m, packet: p, since: now})
	return Outcome{Verdict: Wait, Reason: Queued, Hold: from}
}

// expectedWait is how long the queue takes to drain.
func (a *Agent) expectedWait() clock.Millis {
	return clock.Millis(a.work * float64(a.queue.length()) / float64(max(1, a.Slots)))
}

// Keep stores the bytes of the first packet that was enqueued last.
func (a *Agent) Keep(raw []byte) {
	if n := len(a.queue.waiting); n > 0 {
		a.queue.waiting[n-1].raw = slices.Clone(raw)
	}
}

// Waiting is the number of first packets in the queue.
func (a *Agent) Waiting() int { return a.queue.length() }

// Release takes the next first packet from the queue that can be decided on: it
// is delivered if a slot is free. It is denied if it has waited for too long, or
// is the last one of a queue that cannot drain before its callers give up.
func (a *Agent) Release(now clock.Millis) (Release, bool) {
	for i, w := range a.queue.waiting {
		if now-w.since >= longestWait {
			return a.overload(now, i), true
		}
	}
	if a.expectedWait() > longestWait {
		return a.overload(now, a.queue.last(now, clock.Millis(a.work))), true
	}
	if a.queue.length() == 0 || !a.free() {
		return Release{}, false
	}
	w := a.queue.take(a.queue.next(now, clock.Millis(a.work)))
	w.message.Final = true
	return a.release(now, w, a.mayOpen(now, &w.message)), true
}

// overload denies a waiter that cannot be served.
func (a *Agent) overload(now clock.Millis, i int) Release {
	a.counts.Overloaded++
	return a.release(now, a.queue.take(i), Overloaded)
}

func (a *Agent) release(now clock.Millis, w waiter, reason Reason) Release {
	r := Release{Message: &w.message, Packet: w.packet, Raw: w.raw, Waited: now - w.since}
	if reason != None {
		r.Outcome = a.deny(w.from, r.Message, reason)
	} else {
		r.Outcome = a.open(now, w.from, r.Message, w.packet)
	}
	return r
}
