package steer

import (
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/sched"
)

// Limits of the queue of all work.
const (
	// maxHeldBytes bounds the memory of held packets. The smallest hosts have 88 MB for the
	// server and its agent.
	maxHeldBytes = 2 << 20
	// heldOverhead is what a held packet takes beside its data: the header, the message of
	// a SYN, and records.
	heldOverhead = 1 << 10
	// extraWithHeld is how many flows are opened beyond the server's slots while requests of
	// open flows are held, which fill a slot that would idle at once. What is delivered
	// early queues in the server, where the order has no effect: with 2 instead of 1 the
	// simulation served 0.4 % less value.
	extraWithHeld = 1
	// minOverdueTime and overdueFactor set how long a request counts as being at the server:
	// a multiple of the expected time to an answer. 3 in 100 take seven times the usual time.
	// A lost request would otherwise block a slot for maxServiceTime.
	minOverdueTime = 500 * clock.Millis(1)
	overdueFactor  = 10
	// stallTime is how long a server with requests may give no answer before requests of
	// open flows are delivered whatever its load, as without the queue: it may have lost
	// the requests that count as in progress. A server that is 8 times slower than usual
	// answers several times in that time.
	stallTime = clock.Second
	// maxVisitedUntried is how many agents may have denied a SYN for it to be sent on to
	// others without a reset: the first candidates. With one more, callers that returned
	// after a loss of power waited longer for visits than other servers saved them.
	maxVisitedUntried = maxCandidates
)

// heldWork is the queue for all work of the server: SYNs and requests of open flows.
type heldWork struct {
	queue sched.Queue
	flows map[flow.Key]*heldFlow
	// releasing is the flow whose packets Release returns next, nil if none.
	releasing *heldFlow
	last      *workPacket // that was added last, nil if it has left the queue
	free      []*heldFlow // for reuse
	// progressAt is when the server last answered, or received a request while it had no
	// other.
	progressAt clock.Millis
}

// heldFlow holds the packets of one flow in the order of their arrival.
type heldFlow struct {
	item    sched.Item
	from    netip.AddrPort // balancer
	message Message        // of a SYN
	packets []workPacket
	next    int // of packets, to return next
}

// workPacket is a packet in the queue.
type workPacket struct {
	packet Packet
	raw    []byte
}

// HeldCounts returns the counters of the queue for all work, for a class of package
// sched.
func (a *Agent) HeldCounts(class int) sched.Counts { return a.held.queue.Counts(class) }

// hold adds the first packet of a flow to the queue.
func (a *Agent) hold(now clock.Millis, from netip.AddrPort, m *Message, p Packet) {
	w := &a.held
	if w.flows == nil {
		w.flows = make(map[flow.Key]*heldFlow)
	}
	var h *heldFlow
	if n := len(w.free); n > 0 {
		h, w.free = w.free[n-1], w.free[:n-1]
	} else {
		h = new(heldFlow)
	}
	h.item = sched.Item{Key: p.Key, Arrived: now, Age: p.Age, Goal: m.Goal, Limit: m.TimeLimit, Priority: m.Priority, Movable: p.SYN, Untried: p.SYN && !m.NoOthers && m.VisitedCount <= maxVisitedUntried, Bytes: p.Bytes + heldOverhead}
	h.from = from
	if p.SYN {
		h.message = *m
	}
	w.flows[p.Key] = h
	w.add(h, p)
	w.queue.Order = a.Order
	w.queue.Add(h.item)
}

// add appends a packet to those of its flow. KeepRaw sets its bytes.
func (w *heldWork) add(h *heldFlow, p Packet) {
	if n := len(h.packets); n < cap(h.packets) {
		h.packets = h.packets[:n+1] // keeps the buffer of an earlier packet
		h.packets[n].packet, h.packets[n].raw = p, h.packets[n].raw[:0]
	} else {
		h.packets = append(h.packets, workPacket{packet: p})
	}
	w.last = &h.packets[len(h.packets)-1]
}

func (w *heldWork) keepRaw(raw []byte) {
	if w.last != nil {
		w.last.raw = append(w.last.raw, raw...)
		w.last = nil
	}
}

// hasRoom reports whether one more packet may be held.
func (w *heldWork) hasRoom(p Packet) bool {
	return w.queue.Bytes()+p.Bytes+heldOverhead <= maxHeldBytes
}

// remove takes a flow out of the records; its item has left the queue.
func (w *heldWork) remove(key flow.Key) *heldFlow {
	h := w.flows[key]
	delete(w.flows, key)
	w.last = nil
	return h
}

// recycle keeps the buffers of a flow for another one.
func (w *heldWork) recycle(h *heldFlow) {
	h.packets, h.next = h.packets[:0], 0
	if len(w.free) < maxFreeFlows {
		w.free = append(w.free, h)
	}
}

// maxFreeFlows bounds the buffers kept for reuse: about as many as wait on a busy server.
const maxFreeFlows = 64

// drop discards the held packets of a flow.
func (w *heldWork) drop(key flow.Key) {
	if w.queue.Remove(key) {
		w.recycle(w.remove(key))
	}
}

// dropRequest discards the held packets of an open flow. A held SYN stays: it is of a new
// flow that reuses the key of an ended one.
func (w *heldWork) dropRequest(key flow.Key) {
	if h := w.flows[key]; h != nil && !h.item.Movable {
		w.drop(key)
	}
}

// dropSYNs discards the held SYNs.
func (w *heldWork) dropSYNs() {
	for key, h := range w.flows {
		if h.item.Movable {
			w.drop(key)
		}
	}
}

// holdLater decides whether a packet of an open flow waits. Requests do while the server
// is busy, and data and the end of the flow wait behind a request of the same flow.
// Packets without data pass, so that the server does not repeat what it has sent.
func (a *Agent) holdLater(now clock.Millis, from netip.AddrPort, m *Message, p Packet, e *flowEntry) Verdict {
	w := &a.held
	newData := p.Bytes > 0 && (e.dataEnd == 0 || int32(p.Seq+uint32(p.Bytes)-e.dataEnd) > 0)
	h := w.flows[p.Key]
	switch {
	case h == nil && newData && !e.inLoad && e.phase == opened && !p.RST:
		if a.mustWait(now) && w.hasRoom(p) {
			a.hold(now, from, m, p)
			return Wait
		}
		e.sentAt = now
		a.recordProgress(now)
	case h != nil && p.RST: // the caller has given the request up
		w.drop(p.Key)
	case h != nil && !h.item.Movable && (newData || p.FIN):
		if h.contains(p) || !w.hasRoom(p) {
			return Drop
		}
		w.add(h, p)
		w.queue.Grow(p.Key, p.Bytes+heldOverhead)
		return Wait
	}
	return Deliver
}

// contains reports whether p is a retransmission of a held packet.
func (h *heldFlow) contains(p Packet) bool {
	for i := range h.packets {
		if q := &h.packets[i].packet; q.Seq == p.Seq && q.Bytes >= p.Bytes && (q.FIN || !p.FIN) {
			return true
		}
	}
	return false
}

// mustWait reports whether a request of an open flow must wait.
func (a *Agent) mustWait(now clock.Millis) bool {
	return !a.shuttingDown && (a.held.queue.Len() > 0 || !a.hasCapacityForRequest()) && !a.stalled(now)
}

// hasCapacityForRequest reports whether the server may receive one more request of an open
// flow now: it has a free slot, although the requests of flows that have just opened may
// be on the way, or no more than its slots in all.
func (a *Agent) hasCapacityForRequest() bool {
	return a.Slots == 0 || a.requests() < a.Slots || a.requests()+a.expected < a.Slots+extraWithHeld
}

// requests returns how many requests are at the server, without those that have been there
// for so long that it may have lost them.
func (a *Agent) requests() int { return max(0, a.load-a.expected-a.overdue) }

// overdueTime returns how long a request may take before it no longer counts as being at
// the server for the queue for all work.
func (a *Agent) overdueTime() clock.Millis {
	return max(minOverdueTime, overdueFactor*a.held.queue.Speed.Expected())
}

// stalled reports whether the server has given no answer for so long that its load is
// doubtful.
func (a *Agent) stalled(now clock.Millis) bool { return now-a.held.progressAt >= stallTime }

// recordProgress records a delivery to a server without requests.
func (a *Agent) recordProgress(now clock.Millis) {
	if a.load == 0 {
		a.held.progressAt = now
	}
}

// recordAnswer records the first byte of the server's answer to a request.
func (a *Agent) recordAnswer(now clock.Millis, e *flowEntry) {
	a.held.progressAt = now
	a.held.queue.Speed.Running(a.requests(), a.expected)
	a.held.queue.Speed.Answered(now, now-e.since)
	if e.sentAt > 0 {
		a.held.queue.Answered(e.priority, e.goal > 0 && now-e.sentAt > e.goal)
	}
}

// releaseHeld removes and returns the next packet of the queue for all work that can be
// decided on. At a planned stop requests are delivered and SYNs denied; of a server that
// is gone requests are dropped.
func (a *Agent) releaseHeld(now clock.Millis) (Release, bool) {
	w := &a.held
	if w.releasing != nil {
		return a.releaseNext(now), true
	}
	w.queue.Speed.Slots = a.Slots
	w.queue.Speed.Running(a.requests(), a.expected)
	if w.queue.Len() == 0 {
		a.evictions = 0
		return Release{}, false
	}
	if reason := a.emptyQueue(now); reason != NoReason {
		a.evictions = 0 // all SYNs leave
		item, _ := w.queue.Drain()
		h := w.remove(item.Key)
		switch {
		case item.Movable:
			h.message.LastOffer, h.message.LeastBusy, h.message.VisitedCount = false, 0, 0 // the others may have a free slot by now
			return a.releaseSYN(now, h, reason), true
		case reason == ServerGone:
			defer w.recycle(h)
			return Release{Outcome: Outcome{Verdict: Drop, Reason: ServerGone}, Message: &h.message, Packet: h.packets[0].packet,
				Raw: h.packets[0].raw, Waited: now - item.Arrived, Priority: item.Priority}, true
		}
		w.releasing = h
		return a.releaseNext(now), true
	}
	if a.evictions > 0 {
		if r, ok := a.evictHeld(now); ok {
			return r, true
		}
	}
	if item, reason, ok := w.queue.Refuse(now); ok {
		a.counts.Overloaded++
		h := w.remove(item.Key)
		if reason == sched.Elsewhere { // the balancer goes on to the next server of the order
			h.message.LastOffer, h.message.LeastBusy, h.message.LeastBusyLoad = false, 0, 0
		}
		return a.releaseSYN(now, h, Overloaded), true
	}
	var item sched.Item
	switch {
	case a.hasCapacity():
		item, _ = w.queue.Next(now, false)
	case w.queue.Pinned() > 0 && (a.hasCapacityForRequest() || a.stalled(now)):
		item, _ = w.queue.Next(now, true)
	default:
		return Release{}, false
	}
	h := w.remove(item.Key)
	a.recordProgress(now)
	if item.Movable {
		h.message.LastOffer = true
		return a.releaseSYN(now, h, a.denialReason(now, &h.message)), true
	}
	w.releasing = h
	return a.releaseNext(now), true
}

// emptyQueue returns why nothing may wait any longer, NoReason if it may.
func (a *Agent) emptyQueue(now clock.Millis) Reason {
	switch {
	case a.serverGone(now):
		return ServerGone
	case a.shuttingDown:
		return Draining
	}
	return NoReason
}

// releaseSYN decides on a SYN that has left the queue: it is denied with reason, or opens
// its flow if that is NoReason.
func (a *Agent) releaseSYN(now clock.Millis, h *heldFlow, reason Reason) Release {
	defer a.held.recycle(h)
	p := &h.packets[0]
	r := a.release(now, queuedPacket{from: h.from, message: h.message, packet: p.packet, raw: p.raw, enqueuedAt: h.item.Arrived}, reason)
	r.Priority = h.item.Priority
	if e := a.flows[p.packet.Key]; e != nil && r.Outcome.Opened {
		e.sentAt = h.item.Arrived - h.item.Age
	}
	return r
}

// releaseNext returns the next packet of the flow that is being released, for delivery.
func (a *Agent) releaseNext(now clock.Millis) Release {
	h := a.held.releasing
	p := h.packets[h.next]
	h.next++
	if h.next == len(h.packets) {
		a.held.releasing = nil
		defer a.held.recycle(h)
	}
	if e := a.flows[p.packet.Key]; e != nil {
		if h.next == 1 {
			e.sentAt = h.item.Arrived - h.item.Age
		}
		a.trackCaller(now, p.packet, e)
	}
	a.recordDelivery(now)
	return Release{Outcome: Outcome{Verdict: Deliver, Reason: KnownOwner}, Message: &h.message, Packet: p.packet, Raw: p.raw,
		Waited: now - h.item.Arrived, Priority: h.item.Priority}
}
