package flow

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict is what an agent does with a packet of a flow.
type Verdict int

// Verdicts.
const (
	// Drop discards the packet silently: the flow's owner may be unreachable, or this
	// agent has not read its server's flows yet.
	Drop Verdict = iota // Drop
	// Deliver delivers the packet to the local server.
	Deliver // Deliver
	// Forward sends the packet to another agent.
	Forward // Pass
	// Refuse rejects the packet: no agent holds or admits the flow.
	Refuse // Refuse
)

// Default limits of an Owner.
const (
	// DefaultMaxHops is how often a packet is forwarded in one round. It is also the
	// number of agents that are ranked for a flow.
	DefaultMaxHops = 16
	// DefaultDeclineTTL outlasts the retransmissions of a declined first packet.
	DefaultDeclineTTL = FirstPacketRetransmitWindow
)

// maxShareDeclines limits declines because of a server's share: once this many
// agents have declined a flow for any reason, shares are ignored. Wrong estimates
// of the shares thus cannot keep a flow from being admitted.
const maxShareDeclines = 4

// FirstPacketRetransmitWindow is how long after a flow was opened further copies of its
// first packet may arrive. TCP retransmits a SYN after 1, 3 and 7 seconds. The server
// retransmits its SYN-ACK as often, so a caller rarely needs a later copy.
const FirstPacketRetransmitWindow = 8 * clock.Second

// Packet describes a packet of a flow and its path between agents so far.
type Packet struct {
	Key     Key
	First   bool       // opens a flow
	Last    bool       // ends a flow
	Visited []place.ID // agents that do not hold the flow
	Hops    int        // times the packet was forwarded in this round
	Skipped bool       // an agent was skipped: it was unreachable, or MaxHops was reached
	Round   Round
}

//go:generate stringer -type=Round -linecomment -output=round_string.go

// Round is the progress of the search for an agent that admits a new flow. A
// second round is made only if some agent declined the flow because of its share.
type Round int

// Rounds.
const (
	// FirstRound is the first round while no agent has declined only because of its
	// share.
	FirstRound Round = iota // Offered
	// DeclinedByShare is the first round after some agent has declined only because
	// of its share.
	DeclinedByShare // PassedOver
	// FinalRound is the second round, in which agents ignore their shares.
	FinalRound // Final
)

// Decision is the verdict on a packet. For Forward, the packet is forwarded to Next
// with the new values of Visited, Skipped and Round.
type Decision struct {
	Verdict Verdict
	Next    place.ID
	Visited []place.ID
	Skipped bool
	Round   Round
	Opened  bool // the flow was admitted by this decision
}

// Owner records the flows that one server holds and decides what its agent does
// with each packet. Every agent forwards a first packet along the same rendezvous
// order of the declared servers, so copies of it reach the same owner. An agent
// that declined a flow keeps declining it while copies of the first packet may
// arrive, because another agent may have admitted the flow since.
//
// While AdmissionDisabled reports true, the agent admits no flow. Without a lease of
// some age, other agents may treat it as unreachable and admit the flow themselves.
type Owner struct {
	Self       place.ID     // of this agent: the hash of its server's name
	MaxHops    int          // zero means DefaultMaxHops
	DeclineTTL clock.Millis // how long a flow stays declined; zero means DefaultDeclineTTL

	// TryAdmit admits one more flow if the server has capacity for it, and reports
	// whether it did. Nil admits every flow.
	TryAdmit func(now clock.Millis) bool
	// Alive reports whether an agent is reachable. Nil means that all are.
	Alive func(id place.ID) bool
	// AdmissionDisabled reports whether this agent must not admit new flows: it is
	// draining, has no lease, or acquired its lease too recently. Nil means never.
	AdmissionDisabled func(now clock.Millis) bool

	// AboveShare reports whether the server holds more than its share of the flows.
	// If so, the agent declines a new flow that few others have declined before.
	// Nil means never.
	AboveShare func(now clock.Millis) bool

	table    place.Table
	replaced []replacedTable      // tables that other processes may still use
	held     map[Key]clock.Millis // time of each flow's last packet
	declines map[Key]decline      // new flows that this agent did not admit
	ready    bool                 // Rebuild has been called
}

// decline records that this agent did not admit a flow.
type decline struct {
	at      clock.Millis // time of the last copy of the first packet
	byShare bool         // declined only because of the server's share
}

// replacedTable is a former table, which other processes may use until validUntil.
type replacedTable struct {
	table      place.Table
	validUntil clock.Millis
}

// SetTable replaces the table of the servers that the configuration declares for the
// service. Other processes may use the previous table for the time overlap from now.
func (o *Owner) SetTable(now clock.Millis, table place.Table, overlap clock.Millis) {
	if o.table.Equal(table) {
		return
	}
	if o.table.Len() > 0 {
		o.replaced = append(o.replaced, replacedTable{o.table, now + overlap})
	}
	o.table = table
}

// Alone reports whether the service has exactly one declared agent.
func (o *Owner) Alone() bool { return o.table.Len() == 1 }

// Rebuild replaces the held flows by those of the server's connection table.
// Before the first call, Decide returns only Drop.
func (o *Owner) Rebuild(now clock.Millis, keys []Key) {
	o.held = make(map[Key]clock.Millis, len(keys))
	for _, key := range keys {
		o.held[key] = now
	}
	o.ready = true
}

// Reconcile adds the flows that the server lists, and removes flows that it does
// not list and that have had no packet for longer than the grace period.
func (o *Owner) Reconcile(now clock.Millis, keys []Key, grace clock.Millis) {
	if !o.ready {
		o.Rebuild(now, keys)
		return
	}
	listed := make(map[Key]bool, len(keys))
	for _, key := range keys {
		listed[key] = true
		if _, ok := o.held[key]; !ok {
			o.held[key] = now
		}
	}
	for key, lastPacket := range o.held {
		if !listed[key] && now-lastPacket > grace {
			delete(o.held, key)
		}
	}
}

// Ready reports whether the server's connection table has been read.
func (o *Owner) Ready() bool { return o.ready }

// FlowCount returns the number of flows that the server holds.
func (o *Owner) FlowCount() int { return len(o.held) }

// Holds reports whether the server holds the flow.
func (o *Owner) Holds(key Key) bool {
	_, ok := o.held[key]
	return ok
}

// Decide applies the ownership rules to one packet.
func (o *Owner) Decide(now clock.Millis, p Packet) Decision {
	if !o.ready {
		return Decision{Verdict: Drop}
	}
	if _, ok := o.held[p.Key]; ok {
		o.held[p.Key] = now
		if p.Last {
			delete(o.held, p.Key)
		}
		return Decision{Verdict: Deliver}
	}
	if !p.First {
		return o.forward(p, true)
	}
	if next, ok := o.unaskedPredecessor(p); ok {
		return Decision{Verdict: Forward, Next: next, Visited: p.Visited, Skipped: p.Skipped, Round: p.Round}
	}
	return o.decideNewFlow(now, p)
}

// decideNewFlow admits a new flow or forwards its first packet. A flow that was
// declined because of the share can still be admitted in the final round; one that was
// declined for another reason cannot.
func (o *Owner) decideNewFlow(now clock.Millis, p Packet) Decision {
	if o.declines == nil {
		o.declines = make(map[Key]decline)
	}
	previous, declinedBefore := o.declines[p.Key]
	switch {
	case declinedBefore && (!previous.byShare || p.Round != FinalRound) || !o.mayAdmit(now, p):
		o.declines[p.Key] = decline{now, declinedBefore && previous.byShare && p.Round != FinalRound}
	case p.Round != FinalRound && len(p.Visited) < maxShareDeclines && o.AboveShare != nil && o.AboveShare(now):
		o.declines[p.Key] = decline{now, true}
	case o.TryAdmit == nil || o.TryAdmit(now):
		o.held[p.Key] = now
		return Decision{Verdict: Deliver, Opened: true}
	default:
		o.declines[p.Key] = decline{now, false}
	}
	if o.declines[p.Key].byShare {
		p.Round = max(p.Round, DeclinedByShare)
	}
	return o.forwardNewFlow(now, p)
}

// forwardNewFlow forwards the first packet of a declined flow. If no agent is left
// and some agent declined only because of its share, it starts the final round at
// the first agent of the order.
func (o *Owner) forwardNewFlow(now clock.Millis, p Packet) Decision {
	decision := o.forward(p, false)
	if decision.Verdict != Refuse || p.Round != DeclinedByShare {
		return decision
	}
	p.Round, p.Visited, p.Hops = FinalRound, nil, 0
	first, ok := o.unaskedPredecessor(p)
	if !ok {
		return o.decideNewFlow(now, p)
	}
	return Decision{Verdict: Forward, Next: first, Skipped: p.Skipped, Round: FinalRound}
}

// mayAdmit reports whether this agent can admit the flow without the risk that
// another agent has admitted it too.
func (o *Owner) mayAdmit(now clock.Millis, p Packet) bool {
	if o.AdmissionDisabled != nil && o.AdmissionDisabled(now) {
		return false
	}
	for _, old := range o.replaced {
		if now < old.validUntil && o.hasUnaskedPredecessor(p, old.table) {
			return false
		}
	}
	return true
}

// hasUnaskedPredecessor reports whether a reachable agent that ranked before this
// one in a replaced table has not declined the flow. It may have admitted an earlier
// copy of the first packet that was routed by the replaced table.
func (o *Owner) hasUnaskedPredecessor(p Packet, old place.Table) bool {
	var ranked [DefaultMaxHops]place.ID
	for _, id := range ranked[:old.Rank(p.Key.Hash(), ranked[:])] {
		if id == o.Self {
			return false
		}
		if o.table.Contains(id) && o.alive(id) && !slices.Contains(p.Visited, id) {
			return true
		}
	}
	return false
}

// unaskedPredecessor finds a reachable agent that ranks before this one and has not
// declined the flow yet. A sender with an outdated table may have skipped it.
func (o *Owner) unaskedPredecessor(p Packet) (place.ID, bool) {
	if p.Hops >= o.maxHops() {
		return 0, false
	}
	var ranked [DefaultMaxHops]place.ID
	for _, id := range ranked[:o.table.Rank(p.Key.Hash(), ranked[:])] {
		if id == o.Self {
			return 0, false
		}
		if !slices.Contains(p.Visited, id) && o.alive(id) {
			return id, true
		}
	}
	return 0, false
}

// forward forwards the packet to the first reachable agent of the order that it has
// not visited. If there is none, the flow does not exist or cannot be admitted, and
// the verdict is Refuse; a packet of an established flow is dropped instead if some
// agent was skipped or not ranked, because that agent may hold the flow.
func (o *Owner) forward(p Packet, established bool) Decision {
	visited := append(slices.Clip(p.Visited), o.Self)
	skipped := p.Skipped
	var ranked [DefaultMaxHops]place.ID
	count := o.table.Rank(p.Key.Hash(), ranked[:])
	for _, id := range ranked[:count] {
		if slices.Contains(visited, id) {
			continue
		}
		if !o.alive(id) {
			skipped = true
			continue
		}
		if p.Hops >= o.maxHops() {
			skipped = true
			break
		}
		return Decision{Verdict: Forward, Next: id, Visited: visited, Skipped: skipped, Round: p.Round}
	}
	if established && (skipped || count < o.table.Len()) {
		return Decision{Verdict: Drop, Skipped: skipped}
	}
	return Decision{Verdict: Refuse, Skipped: skipped}
}

func (o *Owner) alive(id place.ID) bool { return o.Alive == nil || o.Alive(id) }

func (o *Owner) maxHops() int {
	if o.MaxHops == 0 {
		return DefaultMaxHops
	}
	return o.MaxHops
}

// Tick removes expired declines and replaced tables.
func (o *Owner) Tick(now clock.Millis) {
	ttl := o.DeclineTTL
	if ttl == 0 {
		ttl = DefaultDeclineTTL
	}
	for key, d := range o.declines {
		if now-d.at > ttl {
			delete(o.declines, key)
		}
	}
	o.replaced = slices.DeleteFunc(o.replaced, func(old replacedTable) bool { return now >= old.validUntil })
}

// Table returns the declared servers of the service.
func (o *Owner) Table() place.Table { return o.table }
