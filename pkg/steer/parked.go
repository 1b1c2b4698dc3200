package steer

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

const (
	// maxParked bounds the packets that are parked. More are dropped; their callers
	// retransmit them.
	maxParked = 256
	// maxParkTime is how long a packet is parked: the platform and agents answer within
	// milliseconds, and callers retransmit after some hundreds of them.
	maxParkTime = 300 * clock.Millis(1)
)

// parkReason says what a parked packet waits for.
type parkReason uint8

const (
	// A view that is recent enough to conclude that no server holds the flow.
	awaitFreshView parkReason = iota
	// An answer of the platform to a request sent after the packet was parked.
	awaitAnswer
	// The first reply of an agent that was just listed.
	awaitAgents
)

// parkedPacket is a packet that cannot be decided on yet.
type parkedPacket struct {
	packet        Packet
	message       Message
	raw           []byte
	since         clock.Millis
	reason        parkReason
	startedAgents int // Balancer.startedAgents when it was parked
}

// Resumed is a parked packet and the decision on it.
type Resumed struct {
	Decision Decision
	Packet   Packet
	Message  *Message
	Raw      []byte // as given to KeepRaw
	Waited   clock.Millis
}

// viewConclusive reports whether the view is recent enough to conclude that no server
// holds a flow.
func (b *Balancer) viewConclusive(now clock.Millis) bool {
	return b.Registry.Fresh(now) && !b.needsRefresh
}

// park keeps a packet until what it waits for has come. A later packet of the same flow,
// such as a retransmission, replaces an earlier one.
func (b *Balancer) park(now clock.Millis, p Packet, m *Message, reason parkReason) Decision {
	b.parked = slices.DeleteFunc(b.parked, func(w parkedPacket) bool { return w.packet.Key == p.Key })
	why := StaleView
	if reason == awaitAgents {
		why = AgentsStarting
	}
	if len(b.parked) >= maxParked || b.Disabled.Has(Park) {
		return Decision{Verdict: Drop, Reason: why}
	}
	since := now
	if b.resumedSince != 0 {
		since = b.resumedSince
	}
	b.parked = append(b.parked, parkedPacket{packet: p, message: *m, since: since, reason: reason, startedAgents: b.startedAgents})
	return Decision{Verdict: Wait, Reason: why}
}

// mayResume reports whether what a parked packet waits for has come.
func (b *Balancer) mayResume(now clock.Millis, p parkedPacket) bool {
	switch p.reason {
	case awaitAgents:
		return b.startedAgents != p.startedAgents
	case awaitAnswer:
		return b.viewConclusive(now) && b.Registry.dataAsOf >= p.since
	}
	return b.viewConclusive(now)
}

// KeepRaw stores a copy of the bytes of the packet that was parked last.
func (b *Balancer) KeepRaw(raw []byte) {
	if n := len(b.parked); n > 0 {
		b.parked[n-1].raw = slices.Clone(raw)
	}
}

// Resume removes and returns the next parked packet that can be decided on, because what
// it waits for has come or it has waited for maxParkTime. It returns false if there is
// none. Call it until then. If the decision is to Wait, the packet is parked again.
func (b *Balancer) Resume(now clock.Millis) (Resumed, bool) {
	for i, p := range b.parked {
		ready := b.mayResume(now, p)
		if !ready && now-p.since < maxParkTime {
			continue
		}
		b.parked = slices.Delete(b.parked, i, i+1)
		r := Resumed{Decision: Decision{Verdict: Drop, Reason: StaleView}, Packet: p.packet, Message: &p.message, Raw: p.raw, Waited: now - p.since}
		if view := b.Registry.View(now); ready && view != nil {
			b.resumedSince = p.since
			r.Decision = b.resume(now, view, p.packet, r.Message)
			b.resumedSince = 0
		}
		return r, true
	}
	return Resumed{}, false
}

// resume decides on a parked packet.
func (b *Balancer) resume(now clock.Millis, view *View, p Packet, m *Message) Decision {
	route := view.routes[p.Key.Target()]
	if route == nil {
		return Decision{Verdict: Refuse, Reason: NoRoute}
	}
	if p.SYN && !p.HasACK {
		return b.open(now, view, route, p.Key.Hash(), p, m)
	}
	return b.search(now, view, route, p.Key.Hash(), p, m)
}
