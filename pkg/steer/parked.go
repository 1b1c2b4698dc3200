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
	// A view that is recent enough to conclude that no server holds the flow of a search.
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
	since         clock.Millis // of its first wait, for maxParkTime
	parkedAt      clock.Millis // of this one
	reason        parkReason
	startedAgents int     // Balancer.startedAgents when it was parked
	search        *search // that goes on with the packet, nil if it begins anew
}

// readyPacket is a packet that Resume returns next, with a decision or the agent to offer
// it to.
type readyPacket struct {
	packet     Packet
	raw        *[]byte
	message    *Message // of its search
	since      clock.Millis
	decision   Decision // if to is not set
	to         holder
	reason     Reason // of the offer
	knownOnly  bool
	packetKept bool
}

// Resumed is a packet that was parked or is being searched for, and the decision on it.
type Resumed struct {
	Decision Decision
	Packet   Packet
	Message  *Message
	Raw      []byte // as given to KeepRaw
	Waited   clock.Millis
}

// viewConclusive reports whether the view is recent enough to conclude that no server
// holds a flow. A balancer that has just started opens flows at every server of its first
// listing, and has told the agents there of its revision before. So no view is recent enough
// that is older than what the agents have been told.
func (b *Balancer) viewConclusive(now clock.Millis) bool {
	return b.Registry.Fresh(now) && b.Registry.dataAsOf >= b.behindSince && !b.needsRefresh
}

// conclusive reports whether the view is recent enough to conclude that no server holds the
// flow of a search. If no agent has answered, none could tell of a newer view, and the view
// must be newer than the packet.
func (b *Balancer) conclusive(now clock.Millis, s *search) bool {
	return b.viewConclusive(now) && (len(s.answers) > 0 || b.Registry.dataAsOf >= s.since)
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
	b.parked = append(b.parked, parkedPacket{packet: p, message: *m, since: since, parkedAt: now, reason: reason, startedAgents: b.startedAgents})
	b.unkept = &b.parked[len(b.parked)-1].raw
	return Decision{Verdict: Wait, Reason: why}
}

// mayResume reports whether what a parked packet waits for has come.
func (b *Balancer) mayResume(now clock.Millis, p parkedPacket) bool {
	switch p.reason {
	case awaitAgents:
		return b.startedAgents != p.startedAgents
	case awaitAnswer:
		return b.viewConclusive(now) && b.Registry.dataAsOf >= p.parkedAt
	}
	return b.conclusive(now, p.search)
}

// KeepRaw stores a copy of the bytes of the packet on which the last decision was to
// Wait.
func (b *Balancer) KeepRaw(raw []byte) {
	if b.unkept != nil {
		*b.unkept = slices.Clone(raw)
		b.unkept = nil
	}
}

// Resume returns the next offer of a search. If there is none, it removes and returns
// the next parked packet that can be decided on, because what it waits for has come or it
// has waited for maxParkTime. It returns false if there is none. Call it until then. If
// the decision is to Wait, the packet is kept.
func (b *Balancer) Resume(now clock.Millis) (Resumed, bool) {
	if view := b.Registry.View(now); len(b.ready) > 0 && view != nil {
		return b.nextReady(now, view), true
	}
	for i, p := range b.parked {
		ready := b.mayResume(now, p)
		if !ready && now-p.since < maxParkTime {
			continue
		}
		b.parked = slices.Delete(b.parked, i, i+1)
		r := Resumed{Decision: Decision{Verdict: Drop, Reason: StaleView}, Packet: p.packet, Message: &p.message, Raw: p.raw, Waited: now - p.since}
		if p.search != nil {
			r.Raw = p.search.raw
		}
		if view := b.Registry.View(now); ready && view != nil {
			b.resumedSince = p.since
			r.Decision = b.resume(now, view, p, r.Message)
			b.resumedSince = 0
			if r.Decision.Verdict == Wait {
				b.KeepRaw(r.Raw) // before the search's offers are returned
			}
			if r.Decision.Verdict == Wait && len(b.ready) > 0 {
				return b.Resume(now)
			}
		} else if p.search != nil {
			b.end(p.search, Decision{})
		}
		return r, true
	}
	return Resumed{}, false
}

// nextReady removes and returns the first of the packets that are ready. Its message is
// valid until the next call.
func (b *Balancer) nextReady(now clock.Millis, view *View) Resumed {
	next := b.ready[0]
	if b.ready = b.ready[1:]; len(b.ready) == 0 {
		b.ready = nil
	}
	m := &b.readyMessage
	*m = *next.message
	r := Resumed{Decision: next.decision, Packet: next.packet, Message: m, Raw: *next.raw, Waited: now - next.since}
	if next.to != (holder{}) {
		m.Kind, m.Reason, m.KnownOnly, m.PacketKept = OfferPacket, next.reason, next.knownOnly, next.packetKept
		r.Decision = b.offer(now, view, next.packet, m, next.to.agent, next.to.service)
	}
	return r
}

// resume decides on a parked packet.
func (b *Balancer) resume(now clock.Millis, view *View, parked parkedPacket, m *Message) Decision {
	p := parked.packet
	route := view.routes[p.Key.Target()]
	if route == nil {
		if parked.search != nil {
			b.end(parked.search, Decision{})
		}
		return Decision{Verdict: Refuse, Reason: NoRoute}
	}
	m.setRoute(route)
	hash := p.Key.Hash()
	switch {
	case parked.search != nil:
		return b.advance(now, view, route, hash, parked.search)
	case p.SYN && !p.HasACK:
		return b.open(now, view, route, hash, p, m)
	}
	return b.start(now, view, route, hash, p, m)
}
