package steer

import (
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
)

// Limits of the queue of SYNs.
const (
	// maxQueueWait is how long a SYN may wait for a free slot: less than half of the
	// 1.4 s for which a caller tries to open a flow, so that a refused caller still has
	// time for another attempt.
	maxQueueWait = 600 * clock.Millis(1)
	// minExtraFlows and extraFlowsDivisor set how many flows are opened beyond the
	// server's slots: slots/extraFlowsDivisor, but at least minExtraFlows. Without
	// them a slot would idle while the SYN-ACK travels to the caller and the request
	// back.
	minExtraFlows     = 2
	extraFlowsDivisor = 4
)

// queue holds SYNs that wait for a free slot. Those whose answer can still be in time
// are served first, the others follow; among each, the more urgent go first, and of
// equal priority the newest. After an outage, when all callers return at once, first
// come, first served would make every answer late until the backlog is gone.
type queue struct {
	packets  []queuedPacket
	disabled MechanismSet // as Agent.Disabled
}

// queuedPacket is a SYN in the queue.
type queuedPacket struct {
	from       netip.AddrPort
	message    Message
	packet     Packet
	raw        []byte
	enqueuedAt clock.Millis
}

// Release is a SYN that leaves the queue, and the decision on it.
type Release struct {
	Outcome Outcome
	Message *Message
	Packet  Packet
	Raw     []byte // as given to KeepRaw
	Waited  clock.Millis
	// Priority is that of the request in the queue for all work.
	Priority int
}

func (q *queue) length() int { return len(q.packets) }

func (q *queue) has(key flow.Key) bool {
	return slices.ContainsFunc(q.packets, func(w queuedPacket) bool { return w.packet.Key == key })
}

// nextIndex returns the index of the packet to serve next. work is the expected service
// time of a request.
func (q *queue) nextIndex(now clock.Millis, work clock.Millis) int {
	best := 0
	for i := 1; i < len(q.packets); i++ {
		if q.before(q.packets[i], q.packets[best], now, work) {
			best = i
		}
	}
	return best
}

// lastIndex returns the index of the packet that would be served last.
func (q *queue) lastIndex(now clock.Millis, work clock.Millis) int {
	worst := 0
	for i := 1; i < len(q.packets); i++ {
		if !q.before(q.packets[i], q.packets[worst], now, work) {
			worst = i
		}
	}
	return worst
}

// before reports whether p is served before other, which arrived earlier.
func (q *queue) before(p, other queuedPacket, now, work clock.Millis) bool {
	if late := q.missesGoal(p, now, work); late != q.missesGoal(other, now, work) && !q.disabled.Has(InTimeFirst) {
		return !late
	}
	if p.message.Priority != other.message.Priority && !q.disabled.Has(UrgentFirst) {
		return p.message.Priority < other.message.Priority
	}
	if q.disabled.Has(NewestFirst) {
		return false
	}
	return p.enqueuedAt >= other.enqueuedAt
}

// missesGoal reports whether an answer would miss the response-time goal, which counts
// from the original SYN.
func (q *queue) missesGoal(p queuedPacket, now, work clock.Millis) bool {
	age := now - p.enqueuedAt
	if !q.disabled.Has(CopyAge) {
		age += p.packet.Age
	}
	return p.message.Goal > 0 && age+work > p.message.Goal
}

func (q *queue) take(i int) queuedPacket {
	p := q.packets[i]
	q.packets = slices.Delete(q.packets, i, i+1)
	return p
}

// hasCapacity reports whether the server may receive one more flow now.
func (a *Agent) hasCapacity() bool {
	extra := max(minExtraFlows, a.Slots/extraFlowsDivisor)
	if a.Disabled.Has(ExtraFlows) {
		extra = 0
	}
	if a.held.queue.Pinned() > 0 {
		extra = extraWithHeld
	}
	return a.Slots == 0 || a.load-a.overdue < a.Slots+extra
}

// enqueue holds a SYN until a slot is free.
func (a *Agent) enqueue(now clock.Millis, from netip.AddrPort, m *Message, p Packet) Outcome {
	if a.AllWork {
		a.hold(now, from, m, p)
		return Outcome{Verdict: Wait, Reason: Queued, ReportTo: from}
	}
	a.queue.disabled = a.Disabled
	a.queue.packets = append(a.queue.packets, queuedPacket{from: from, message: *m, packet: p, enqueuedAt: now})
	return Outcome{Verdict: Wait, Reason: Queued, ReportTo: from}
}

// drainTime returns how long the queue is expected to take to drain.
func (a *Agent) drainTime() clock.Millis {
	return clock.Millis(a.meanServiceTime * float64(a.queue.length()) / float64(max(1, a.Slots)))
}

// KeepRaw stores a copy of the bytes of the packet that was enqueued last.
func (a *Agent) KeepRaw(raw []byte) {
	a.held.keepRaw(raw)
	if n := len(a.queue.packets); n > 0 {
		a.queue.packets[n-1].raw = slices.Clone(raw)
	}
}

// QueueLength returns the number of SYNs and requests in the queue.
func (a *Agent) QueueLength() int { return a.queue.length() + a.held.queue.Len() }

// Release removes and returns the next SYN of the queue that can be decided on. It is
// delivered if a slot is free. It is denied if it has waited for maxQueueWait, is the last
// of a queue that takes longer than that to drain, its server was just judged bad, or the
// agent shuts down. Release returns false if there is none. Call it until then. With
// AllWork it also returns requests of open flows, which are always delivered unless the
// server is gone.
func (a *Agent) Release(now clock.Millis) (Release, bool) {
	a.observeLoad(now)
	if a.AllWork {
		return a.releaseHeld(now)
	}
	if a.shuttingDown && a.queue.length() > 0 {
		p := a.queue.take(0)
		p.message.LastOffer, p.message.LeastBusy, p.message.VisitedCount = false, 0, 0 // the others may have a free slot by now
		return a.release(now, p, Draining), true
	}
	if a.evictions > 0 && a.queue.length() > 0 {
		return a.evict(now), true
	}
	for i, p := range a.queue.packets {
		if now-p.enqueuedAt >= maxQueueWait {
			return a.denyOverloaded(now, i), true
		}
	}
	if a.drainTime() > maxQueueWait && !a.Disabled.Has(CutQueue) {
		return a.denyOverloaded(now, a.queue.lastIndex(now, clock.Millis(a.meanServiceTime))), true
	}
	if a.queue.length() == 0 || !a.hasCapacity() {
		return Release{}, false
	}
	p := a.queue.take(a.queue.nextIndex(now, clock.Millis(a.meanServiceTime)))
	p.message.LastOffer = true
	return a.release(now, p, a.denialReason(now, &p.message)), true
}

// denyOverloaded denies the queued SYN at index i as Overloaded.
func (a *Agent) denyOverloaded(now clock.Millis, i int) Release {
	a.counts.Overloaded++
	return a.release(now, a.queue.take(i), Overloaded)
}

// release decides on a SYN that has left the queue: it is denied with reason, or opens
// its flow if that is NoReason.
func (a *Agent) release(now clock.Millis, p queuedPacket, reason Reason) Release {
	r := Release{Message: &p.message, Packet: p.packet, Raw: p.raw, Waited: now - p.enqueuedAt}
	if reason != NoReason {
		r.Outcome = a.deny(p.from, r.Message, reason)
	} else {
		r.Outcome = a.open(now, p.from, r.Message, p.packet)
	}
	return r
}
