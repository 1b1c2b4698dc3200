package steer

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

const (
	// mostParked bounds the packets that wait for a fresh view. More are dropped;
	// their callers repeat them.
	mostParked = 128
	// longestParked is how long a packet waits for a fresh view: the platform
	// answers in milliseconds, and callers repeat a packet after some hundreds.
	longestParked = 300 * clock.Millis(1)
)

// parked is a packet of a flow that nobody known holds, while the view is too old
// to say that nobody holds it.
type parked struct {
	packet  Packet
	message Message
	raw     []byte
	since   clock.Millis
	newer   bool // needs a word of the platform that was asked for since
}

// Resumed is a parked packet with what is to be done with it now.
type Resumed struct {
	Decision Decision
	Packet   Packet
	Message  *Message
	Raw      []byte // as given to Keep
	Waited   clock.Millis
}

// certain reports whether the view can say that nobody holds a flow.
func (b *Balancer) certain(now clock.Millis) bool {
	return b.Registry.Fresh(now) && !b.asleep
}

// park keeps a packet until the view is fresh. A copy replaces the one before.
func (b *Balancer) park(now clock.Millis, p Packet, m *Message, newer bool) Decision {
	b.parked = slices.DeleteFunc(b.parked, func(w parked) bool { return w.packet.Key == p.Key })
	if len(b.parked) >= mostParked {
		return Decision{Verdict: Drop, Reason: StaleView}
	}
	b.parked = append(b.parked, parked{packet: p, message: *m, since: now, newer: newer})
	return Decision{Verdict: Wait, Reason: StaleView}
}

// Keep stores the bytes of the packet that was parked last.
func (b *Balancer) Keep(raw []byte) {
	if n := len(b.parked); n > 0 {
		b.parked[n-1].raw = slices.Clone(raw)
	}
}

// Resume takes the next parked packet that can be decided on: the view is fresh,
// or the packet has waited for too long.
func (b *Balancer) Resume(now clock.Millis) (Resumed, bool) {
	for i, w := range b.parked {
		ready := b.certain(now) && (!w.newer || b.Registry.asked >= w.since)
		if !ready && now-w.since < longestParked {
			continue
		}
		b.parked = slices.Delete(b.parked, i, i+1)
		r := Resumed{Decision: Decision{Verdict: Drop, Reason: StaleView}, Packet: w.packet, Message: &w.message, Raw: w.raw, Waited: now - w.since}
		if view := b.Registry.View(now); ready && view != nil {
			r.Decision = b.resume(now, view, w.packet, r.Message)
		}
		return r, true
	}
	return Resumed{}, false
}

func (b *Balancer) resume(now clock.Millis, view *View, p Packet, m *Message) Decision {
	route := view.routes[p.Key.Target()]
	if route == nil {
		return Decision{Verdict: Refuse, Reason: NoRoute}
	}
	return b.search(now, view, route, p.Key.Hash(), p, m)
}
