package steer

import (
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
)

// Times and limits of an agent.
const (
	// serverAnswer is how long a server may take to answer a first packet before
	// it counts as silent: a healthy one takes a few milliseconds, and callers
	// repeat theirs after 200.
	serverAnswer = 150 * clock.Millis(1)
	// trialInterval is the time between two new flows that a silent server is
	// tried with: callers repeat a first packet as often.
	trialInterval = 200 * clock.Millis(1)
	// coldUntilTold is how long a server that has forgotten its flows counts as
	// cold before a balancer has told so: servers write their entries about every
	// second, and balancers gather changes for up to 700 ms.
	coldUntilTold = 2 * clock.Second
	// staleFor is how long packets from before a pause are still read from the
	// sockets: a full one is emptied in some milliseconds.
	staleFor = 50 * clock.Millis(1)
	// ackWindow is how far beyond the server's first number a caller's first
	// acknowledgement may be for the flow to be this server's: a flow's bytes are
	// far fewer, and two servers' random numbers are rarely as close.
	ackWindow = 1 << 24
	// goneAfter is how long a server without an entry must have been silent to
	// packets before its flows count as lost: callers repeat a packet after 200 and
	// 600 ms, so it has had three.
	goneAfter = 800 * clock.Millis(1)
)

// Counts are an agent's counters since its start.
type Counts struct {
	Opened     uint64 // new flows handed to the server
	Denied     uint64 // packets sent back to a balancer
	Returned   uint64 // packets that the server did not accept
	Restarts   uint64 // times that the server was found to have forgotten its flows
	Overloaded uint64 // new flows denied because the answer would be late
}

// Agent decides what its server gets. Set the exported fields before the first
// call. It is not safe for concurrent use.
type Agent struct {
	Service ServiceID
	Slots   int // 0 until a balancer has said it
	// FlowLife is the longest life of a flow, 0 means DefaultFlowLife.
	FlowLife clock.Millis
	// Answered is called with the time of each answer, from the request to its
	// first byte, and with the goal of its route, 0 if there is none, if set.
	Answered func(took, goal clock.Millis)
	// Unanswered is called for each request that the server has left without an
	// answer, if set.
	Unanswered func()

	flows     map[flow.Key]*entry
	load      int // requests in progress, and flows that are about to bring one
	state     ServerState
	revision  uint64
	coldTill  clock.Millis
	coldRate  int
	openings  [openingsKept]clock.Millis // of the last flows opened while cold
	next      int
	waiting   clock.Millis // oldest first packet that the server has not answered
	tried     clock.Millis // last new flow given to a silent server
	heard     clock.Millis // last packet of the server
	sent      clock.Millis // first packet handed over since then
	refusedAt clock.Millis // when the host last said that nothing listens at the server's address, 0 if the server has been heard since
	work      float64      // smoothed time from a request to the first byte of its answer, milliseconds
	queue     queue
	staleTill clock.Millis // until when first packets may be from before a sleep
	trip      float64      // smoothed time from the server's answer to the request, milliseconds
	counts    Counts
	leaving   bool
}

// openingsKept bounds the openings remembered for the cold limit.
const openingsKept = 256

// Outcome is what an agent does with a packet.
type Outcome struct {
	Verdict Verdict
	Reason  Reason
	To      netip.AddrPort // balancer that a Deny goes to
	Hold    netip.AddrPort // balancer that hears that the server holds the flow, if valid
	Opened  bool           // a new flow was handed to the server
}

func (a *Agent) init() {
	if a.flows == nil {
		a.flows = make(map[flow.Key]*entry)
	}
}

// Counts returns the counters.
func (a *Agent) Counts() Counts { return a.counts }

// Load is the number of requests in progress or waiting.
func (a *Agent) Load() int { return a.load + a.queue.length() }

// Flows is the number of flows remembered.
func (a *Agent) Flows() int { return len(a.flows) }

// State is what balancers say of the server, with the revision of that word.
func (a *Agent) State() (ServerState, uint64) { return a.state, a.revision }

// FromBalancer decides on an offered packet. If it is denied, the message is
// the one that goes back with it.
func (a *Agent) FromBalancer(now clock.Millis, from netip.AddrPort, m *Message, p Packet) Outcome {
	a.init()
	a.learn(now, m)
	if m.Service != a.Service && m.Service != ServiceOf("") {
		return a.deny(from, m, WrongService)
	}
	e := a.flows[p.Key]
	if p.First {
		return a.first(now, from, m, p, e)
	}
	return a.later(now, from, m, p, e)
}

// learn takes what the balancer knows of this agent's server. Later entries of
// the server replace earlier ones.
func (a *Agent) learn(now clock.Millis, m *Message) {
	if m.Revision < a.revision || m.Revision == 0 {
		return
	}
	a.state, a.revision = m.State, m.Revision
	if m.Slots > 0 {
		a.Slots = m.Slots
	}
	a.coldRate = m.ColdRate
	if m.ColdLeft > 0 {
		a.coldTill = max(a.coldTill, now+m.ColdLeft)
	}
}

func (a *Agent) deny(to netip.AddrPort, m *Message, reason Reason) Outcome {
	a.counts.Denied++
	m.Kind, m.Reason, m.Load, m.Slots = DenyPacket, reason, a.Load(), a.Slots
	return Outcome{Verdict: Deny, Reason: reason, To: to}
}

// first decides on the first packet of a flow.
func (a *Agent) first(now clock.Millis, from netip.AddrPort, m *Message, p Packet, e *entry) Outcome {
	if e != nil && e.phase != denied && e.phase != ended && e.phase != trying {
		e.seen, e.from = now, from
		return Outcome{Verdict: Deliver, Reason: KnownOwner}
	}
	if now < a.staleTill {
		return Outcome{Verdict: Drop, Reason: Woken}
	}
	if a.queue.has(p.Key) {
		return Outcome{Verdict: Drop, Reason: Queued, Hold: from}
	}
	if reason := a.mayOpen(now, m); reason != None {
		return a.deny(from, m, reason)
	}
	if a.queue.length() > 0 || !a.free() {
		return a.enqueue(now, from, m, p)
	}
	return a.open(now, from, m, p)
}

// open hands the first packet of a flow to the server.
func (a *Agent) open(now clock.Millis, from netip.AddrPort, m *Message, p Packet) Outcome {
	if e := a.flows[p.Key]; e != nil {
		a.drop(p.Key, e)
	}
	kept := *m
	e := &entry{phase: opening, from: from, seen: now, began: now, message: &kept, goal: m.Goal}
	a.flows[p.Key] = e
	a.setWorking(e, true, now)
	if a.waiting == 0 {
		a.waiting = now
	}
	if now < a.coldTill {
		a.openings[a.next%openingsKept] = now
		a.next++
	}
	a.delivered(now)
	a.counts.Opened++
	return Outcome{Verdict: Deliver, Reason: NewFlow, Opened: true}
}

// mayOpen tells why the server must not get a new flow now, or None.
func (a *Agent) mayOpen(now clock.Millis, m *Message) Reason {
	switch {
	case a.leaving || a.state != Serving:
		return Draining
	case a.gone(now):
		return ServerGone
	case a.silent(now):
		if now-a.tried < trialInterval {
			return ServerSilent
		}
		a.tried = now
	case a.tooCold(now):
		return Cold
	case a.Slots > 0 && a.load >= a.Slots && !m.Final:
		return Busy
	}
	return None
}

// silent reports whether the server has left a first packet unanswered.
func (a *Agent) silent(now clock.Millis) bool {
	return a.refusedAt != 0 || a.waiting != 0 && now-a.waiting >= serverAnswer
}

// gone reports whether the server has ended: nothing listened at its address a
// moment ago, or it is no longer listed and does not answer. A packet is tried
// from time to time, since a server may start again at the address.
func (a *Agent) gone(now clock.Millis) bool {
	refused := a.refusedAt != 0 && now-a.refusedAt < trialInterval
	return refused || a.state == Missing && a.sent != 0 && now-a.sent >= goneAfter
}

// tooCold reports whether one more flow would exceed what the cold server bears
// in a second.
func (a *Agent) tooCold(now clock.Millis) bool {
	if now >= a.coldTill || a.coldRate == 0 {
		return false
	}
	within := 0
	for _, at := range a.openings[:min(a.next, openingsKept)] {
		if now-at < clock.Second {
			within++
		}
	}
	return within >= a.coldRate
}

// later decides on a packet of an open flow.
func (a *Agent) later(now clock.Millis, from netip.AddrPort, m *Message, p Packet, e *entry) Outcome {
	switch {
	case a.gone(now):
		return a.deny(from, m, ServerGone)
	case m.KnownOnly && (e == nil || e.phase == trying || e.phase == denied):
		return a.deny(from, m, NotKnown)
	case e == nil:
		kept := *m
		e = &entry{phase: trying, began: now, message: &kept}
		a.flows[p.Key] = e
	case e.phase == denied: // for good: a flow opens by a first packet only
		e.seen = now
		return a.deny(from, m, NotHeld)
	case e.known && p.HasAck && p.Ack-e.firstAck > ackWindow:
		return a.deny(from, m, Misplaced)
	case e.phase == trying, m.Count > 0:
		e.keep(m)
	}
	if m.Count == 0 && e.phase == opened {
		e.message = nil
	}
	e.from, e.seen, e.goal = from, now, m.Goal
	e.asked = e.asked || m.Reason == Searching
	out := Outcome{Verdict: Deliver, Reason: KnownOwner}
	if e.asked && e.phase == opened {
		e.asked, out.Hold = false, from
	}
	a.track(now, p, e)
	a.delivered(now)
	return out
}

func (a *Agent) delivered(now clock.Millis) {
	if a.sent == 0 {
		a.sent = now
	}
}

// FromServer decides on a packet of the server. If the server returned it and it
// is denied, the message is the one that goes back with it.
func (a *Agent) FromServer(now clock.Millis, p Packet, m *Message) Outcome {
	a.init()
	a.heard, a.sent, a.refusedAt = now, 0, 0
	e := a.flows[p.Key]
	if p.Returned {
		return a.returned(now, p, e, m)
	}
	if e == nil {
		e = &entry{phase: opened, seen: now}
		a.flows[p.Key] = e
	}
	e.seen = now
	out := Outcome{Verdict: ToCaller}
	if p.First && p.HasAck {
		a.waiting = 0
		if e.phase == opening {
			e.firstAck, e.known = p.Seq, true
			e.phase, e.asked, e.began = opened, true, now
		}
	}
	if e.phase == trying || e.phase == opening && p.Bytes > 0 {
		e.phase = opened
	}
	if e.asked && e.phase == opened && e.from.IsValid() {
		e.asked, out.Hold = false, e.from
	}
	a.trackServer(now, p, e)
	return out
}

// returned handles a packet that the server did not accept.
func (a *Agent) returned(now clock.Millis, p Packet, e *entry, m *Message) Outcome {
	a.counts.Returned++
	if e == nil || !e.from.IsValid() {
		return Outcome{Verdict: Drop, Reason: Malformed}
	}
	reason := NotHeld
	if p.First {
		reason, a.waiting = ServerFull, 0
	}
	if e.phase == opened && e.known {
		a.counts.Restarts++
		a.coldTill = max(a.coldTill, now+coldUntilTold)
	}
	m.Count, m.Best, m.BestLoad, m.Unsure, m.Final = 0, 0, 0, false, false
	if e.message != nil {
		*m = *e.message
	}
	a.setWorking(e, false, now)
	if e.message == nil {
		e.message = &Message{}
	}
	e.phase, e.began, e.known, e.lasts, e.lastSeq = denied, now, false, 0, 0
	return a.deny(e.from, m, reason)
}

// Refused says that nothing listens at the server's address. It reports whether
// that is new.
func (a *Agent) Refused(now clock.Millis) bool {
	was := a.refusedAt
	a.refusedAt = now
	return was == 0
}

// Replace says that the server now belongs to another service: nothing that was
// learned holds for it.
func (a *Agent) Replace(service ServiceID) {
	*a = Agent{Service: service, FlowLife: a.FlowLife, Answered: a.Answered, Unanswered: a.Unanswered, counts: a.counts, leaving: a.leaving}
}

// Woken says that the process has slept. First packets that waited meanwhile were
// offered by an old view, and their callers have given up.
func (a *Agent) Woken(now clock.Millis) {
	a.staleTill = now + staleFor
	a.queue = queue{}
}

// Leave says that this process is about to end: no new flows.
func (a *Agent) Leave() { a.leaving = true }
