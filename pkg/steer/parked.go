package steer

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

const (
	// maxParked bounds the packets that wait for a fresh view. More are dropped;
	// their callers retransmit them.
	maxParked = 128
	// maxParkTime is how long a packet waits for a fresh view: the platform answers
	// within milliseconds, and callers retransmit after some hundreds of them.
	maxParkTime = 300 * clock.Millis(1)
)

// parkedPacket is a packet of a flow that no listed server holds, kept while the view
// is too old to conclude that no server at all holds it.
type parkedPacket struct {
	packet     Packet
	message    Message
	raw        []byte
	since      clock.Millis
	needsNewer bool // needs an answer of the platform to a request sent after since
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

// park keeps a packet until the view is fresh. A later packet of the same flow, such as
// a retransmission, replaces an earlier one.
func (b *Balancer) park(now clock.Millis, p Packet, m *Message, needsNewer bool) Decision {
	b.parked = slices.DeleteFunc(b.parked, func(w parkedPacket) bool { return w.packet.Key == p.Key })
	if len(b.parked) >= maxParked {
		return Decision{Verdict: Drop, Reason: StaleView}
	}
	b.parked = append(b.parked, parkedPacket{packet: p, message: *m, since: now, needsNewer: needsNewer})
	return Decision{Verdict: Wait, Reason: StaleView}
}

// KeepRaw stores a copy of the bytes of the packet that was parked last.
func (b *Balancer) KeepRaw(raw []byte) {
	if n := len(b.parked); n > 0 {
		b.parked[n-1].raw = slices.Clone(raw)
	}
}

// Resume removes and returns the next parked packet that can be decided on, because
// the view is fresh or the packet has waited for maxParkTime. It returns false if there
// is none. Call it until then.
func (b *Balancer) Resume(now clock.Millis) (Resumed, bool) {
	for i, p := range b.parked {
		ready := b.viewConclusive(now) && (!p.needsNewer || b.Registry.dataAsOf >= p.since)
		if !ready && now-p.since < maxParkTime {
			continue
		}
		b.parked = slices.Delete(b.parked, i, i+1)
		r := Resumed{Decision: Decision{Verdict: Drop, Reason: StaleView}, Packet: p.packet, Message: &p.message, Raw: p.raw, Waited: now - p.since}
		if view := b.Registry.View(now); ready && view != nil {
			r.Decision = b.resume(now, view, p.packet, r.Message)
		}
		return r, true
	}
	return Resumed{}, false
}

// resume continues the search for the holder of a parked packet's flow.
func (b *Balancer) resume(now clock.Millis, view *View, p Packet, m *Message) Decision {
	route := view.routes[p.Key.Target()]
	if route == nil {
		return Decision{Verdict: Refuse, Reason: NoRoute}
	}
	return b.search(now, view, route, p.Key.Hash(), p, m)
}
