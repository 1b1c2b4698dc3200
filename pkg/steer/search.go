package steer

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// Limits of searches.
const (
	// maxSearches bounds the flows that are searched for at the same time: more than
	// the flows that one host's callers lose in a loss of power.
	maxSearches = 1024
	// maxHeldPackets bounds the packets of one flow that wait for the end of its search:
	// an acknowledgement and the first packets of a request.
	maxHeldPackets = 4
	// searchGrowth is the factor by which each round of a search is larger than the
	// one before: the first agents are the most likely holders.
	searchGrowth = 4
)

// search is the search for the holder of a flow by asking agents in rounds. First, each
// agent looks for the flow in its own records. If none has a record and all agents could
// be asked, the holder's agent has restarted, or there is no holder: then the agents try
// their servers. A packet whose holder cannot be asked thus visits no other server.
type search struct {
	packet  Packet
	raw     []byte
	message Message // as received with the first denial
	since   clock.Millis
	later   []heldPacket // that came meanwhile

	answers   map[place.ID]answer
	pending   []place.ID // asked in this round, without an answer
	askedAt   clock.Millis
	roundSize int
	trying    bool // the agents try their servers
	hadOwner  bool // the first agent to deny was known as the flow's owner
	// queried are the agents that were asked without the packet.
	queried []place.ID
	// holders are the agents whose servers may hold the flow in a view, in its order.
	holders   []holder
	holdersOf *View
}

// heldPacket is a packet that came while its flow was searched for.
type heldPacket struct {
	packet Packet
	raw    []byte
}

// answer is what an agent has answered in a search.
type answer uint8

const (
	hasNoRecord  answer = iota // its server may hold the flow
	holdsNothing               // its server does not hold the flow
)

// start begins the search for the holder of p's flow: it offers the packet to the most
// likely holder. If that denies it, Denied goes on.
func (b *Balancer) start(now clock.Millis, view *View, route *Route, hash uint64, p Packet, m *Message) Decision {
	if s := b.searches[p.Key]; s != nil {
		return b.holdBack(s, p)
	}
	if len(b.searches) >= maxSearches {
		return Decision{Verdict: Drop, Reason: TooManySearches}
	}
	first, ok := b.likelyHolder(now, view, route, hash)
	if !ok || b.Disabled.Has(LimitSearch) {
		s := b.newSearch(now, p, m)
		return b.keep(s, b.advance(now, view, route, hash, s))
	}
	m.Reason, m.KnownOnly = Searching, true
	return b.offer(now, view, p, m, first.agent, first.service)
}

// likelyHolder returns the first agent in a flow's order that can be asked, false if it is
// not among the first few.
func (b *Balancer) likelyHolder(now clock.Millis, view *View, route *Route, hash uint64) (holder, bool) {
	for _, target := range route.Targets {
		pool := view.services[target.Service]
		if pool == nil {
			continue
		}
		var ranked [searchGrowth]place.ID
		for _, id := range ranked[:rank(pool.holders, pool.localHolders, hash, ranked[:])] {
			if !view.holdsNoFlows(route, id) && !b.departed(now, view, id) && !b.evacuationEnded(now, view, id) && !b.isSilent(id) {
				return view.holderOf(id, target.Service), true
			}
		}
	}
	return holder{}, false
}

func (b *Balancer) newSearch(now clock.Millis, p Packet, m *Message) *search {
	since := now
	if b.resumedSince != 0 {
		since = b.resumedSince
	}
	s := &search{packet: p, message: *m, since: since, answers: make(map[place.ID]answer), roundSize: 1}
	s.message.VisitedCount, s.message.AgentStartMs, s.message.PacketKept = 0, 0, false
	return s
}

// holdBack keeps a packet of a flow that is being searched for, until the search ends.
func (b *Balancer) holdBack(s *search, p Packet) Decision {
	known := func(h heldPacket) bool {
		return h.packet.Seq == p.Seq && h.packet.Ack == p.Ack && h.packet.Bytes == p.Bytes
	}
	if known(heldPacket{packet: s.packet}) || slices.ContainsFunc(s.later, known) || len(s.later) >= maxHeldPackets {
		return Decision{Verdict: Drop, Reason: Searching}
	}
	s.later = append(s.later, heldPacket{packet: p})
	b.unkept = &s.later[len(s.later)-1].raw
	return Decision{Verdict: Wait, Reason: Searching}
}

// denyHolder records an agent's denial in a search, and goes on with it once the round
// is over. An agent that denies the first offer begins it.
func (b *Balancer) denyHolder(now clock.Millis, view *View, route *Route, hash uint64, from place.ID, wasOwner bool, p Packet, m *Message) Decision {
	s := b.searches[p.Key]
	if s == nil {
		s = b.newSearch(now, p, m)
		s.hadOwner = wasOwner
		b.searches[p.Key] = s
		s.record(view, from, m)
		s.roundSize *= searchGrowth
		return b.keep(s, b.advance(now, view, route, hash, s))
	}
	if s.record(view, from, m); len(s.pending) > 0 {
		return Decision{Verdict: Wait, Reason: Searching}
	}
	s.roundSize *= searchGrowth
	return b.advance(now, view, route, hash, s)
}

// keep makes KeepRaw store the bytes of the search's packet.
func (b *Balancer) keep(s *search, d Decision) Decision {
	b.unkept = &s.raw
	return d
}

// record stores an agent's answer.
func (s *search) record(view *View, from place.ID, m *Message) {
	s.pending = slices.DeleteFunc(s.pending, func(id place.ID) bool { return id == from })
	s.answers[from] = hasNoRecord
	if m.Reason.Certain() || m.Reason == FlowUnknown && view.agentKnowsAllFlows(from, m.AgentStartMs) {
		s.answers[from] = holdsNothing
	}
}

// startTolerance is how much later than its server an agent may have started and still
// know all flows: they start together with their host, and a process that ends is not
// started again as fast.
const startTolerance = 200 // milliseconds

// agentKnowsAllFlows reports whether an agent that started at startMs has a record of each
// flow that its server holds: no other process was there to open one before.
func (v *View) agentKnowsAllFlows(id place.ID, startMs int64) bool {
	s := v.serverByAgent[id]
	return s != nil && startMs != 0 && s.StartMs != 0 && startMs <= s.StartMs+startTolerance
}

// advance takes the next step of a search: it asks more agents, waits for what it
// cannot do without, or ends the search.
func (b *Balancer) advance(now clock.Millis, view *View, route *Route, hash uint64, s *search) Decision {
	plan := b.planSearch(now, view, route, hash, s)
	limited := !b.Disabled.Has(LimitSearch)
	p := s.packet
	switch {
	case len(plan.ask) > 0:
		return b.ask(now, s, plan.ask, limited)
	case plan.anyStarting:
		return b.parkSearch(now, s, awaitAgents)
	case plan.needsUpdate:
		return b.parkSearch(now, s, awaitAnswer)
	case len(plan.silent) > 0:
		return b.ask(now, s, plan.silent, limited)
	case p.RST || p.FIN && p.Bytes == 0 && len(s.answers) == 0:
		return b.end(s, Decision{Verdict: Drop, Reason: AllDenied})
	case plan.anyEvacuated:
		return b.end(s, Decision{Verdict: Drop, Reason: OutOfService})
	case !b.conclusive(now, s):
		return b.parkSearch(now, s, awaitFreshView)
	case len(plan.try) > 0:
		if !s.trying {
			s.trying, s.roundSize = true, searchGrowth
		}
		return b.ask(now, s, plan.try, false)
	case b.Registry.MayLackServers(now), !route.Repeatable && !s.hadOwner && b.Registry.JustListed(now):
		// The holder may not be listed yet. If no outage was seen, a caller that may repeat its
		// request is told at once even so: most flows that nobody holds are lost. One that may
		// not repeat it would only learn sooner that it failed.
		return b.end(s, Decision{Verdict: Drop, Reason: StaleView})
	}
	reason := AllDenied
	if plan.anyAbandoned {
		reason = Unreachable
	}
	return b.end(s, Decision{Verdict: Refuse, Reason: reason, Service: route.service()})
}

// ask asks the next agents of a round. Resume returns the offers of the packet, NextQuery the
// questions to agents that need no packet.
func (b *Balancer) ask(now clock.Millis, s *search, agents []holder, knownOnly bool) Decision {
	b.searches[s.packet.Key] = s
	s.askedAt = now
	for _, h := range agents[:min(len(agents), s.roundSize)] {
		s.pending = append(s.pending, h.agent)
		if knownOnly && b.query(s, h) {
			continue
		}
		b.ready = append(b.ready, readyPacket{packet: s.packet, raw: &s.raw, message: &s.message, since: s.since, to: h, reason: Searching, knownOnly: knownOnly, packetKept: true})
	}
	return Decision{Verdict: Wait, Reason: Searching}
}

// end removes a search and returns the decision on its packet.
func (b *Balancer) end(s *search, d Decision) Decision {
	delete(b.searches, s.packet.Key)
	return d
}

// parkSearch interrupts a search until what it waits for has come.
func (b *Balancer) parkSearch(now clock.Millis, s *search, reason parkReason) Decision {
	d := b.park(now, s.packet, &s.message, reason)
	if d.Verdict != Wait {
		return b.end(s, d)
	}
	parked := &b.parked[len(b.parked)-1]
	parked.search, parked.since, b.unkept = s, s.since, nil
	b.searches[s.packet.Key] = s
	return d
}

// found ends the search for a flow whose holder has reported, and offers it the packets
// that came meanwhile.
func (b *Balancer) found(now clock.Millis, key flow.Key, owner place.ID) {
	s := b.searches[key]
	if s == nil {
		return
	}
	b.end(s, Decision{})
	b.parked = slices.DeleteFunc(b.parked, func(p parkedPacket) bool { return p.search == s })
	if !s.trying && slices.Contains(s.queried, owner) { // it has not been offered the packet
		b.forward(now, s, &heldPacket{s.packet, s.raw}, owner)
	}
	b.forwardLater(now, s, owner)
}

// forwardLater offers the packets that came during a search to the flow's owner.
func (b *Balancer) forwardLater(now clock.Millis, s *search, owner place.ID) {
	for i := range s.later {
		b.forward(now, s, &s.later[i], owner)
	}
}

// forward offers a packet of a search to the flow's owner. Resume returns the offer.
func (b *Balancer) forward(now clock.Millis, s *search, p *heldPacket, owner place.ID) {
	view := b.Registry.View(now)
	if view == nil || view.serverByAgent[owner] == nil {
		return
	}
	b.ready = append(b.ready, readyPacket{packet: p.packet, raw: &p.raw, message: &s.message, since: now,
		to: holder{owner, view.serverByAgent[owner].Service}, reason: KnownOwner})
}

// expireSearches ends the searches whose agents have not all answered in time, and those
// whose parked packet has been replaced by another one of the flow. Resume returns them.
// The last
// agent that has not may have delivered the packet to a server that need not answer it.
// All others may be unreachable, and are watched.
func (b *Balancer) expireSearches(now clock.Millis) {
	for _, s := range b.searches {
		parked := len(s.pending) == 0
		if parked && now-s.since <= maxParkTime || !parked && now-s.askedAt < agentAnswerTimeout {
			continue
		}
		d := b.end(s, Decision{Verdict: Drop, Reason: Searching})
		b.ready = append(b.ready, readyPacket{packet: s.packet, raw: &s.raw, message: &s.message, since: s.since, decision: d})
		if s.trying && len(s.pending) == 1 {
			b.forwardLater(now, s, s.pending[0])
			continue
		}
		for _, id := range s.pending {
			b.expectAnswer(s.askedAt, id)
		}
	}
}

// holder is an agent whose server may hold a flow, and the server's service.
type holder struct {
	agent   place.ID
	service string
}

// searchPlan lists the agents that a search can still ask, in the flow's order.
type searchPlan struct {
	ask          []holder // reachable and not yet asked
	silent       []holder // silent and not yet asked
	try          []holder // without a record of the flow, so that their servers must be tried
	anyStarting  bool     // some agents are starting
	anyAbandoned bool     // the flow may be reset although some agents are unreachable
	anyEvacuated bool     // some agents may no longer receive packets
	needsUpdate  bool     // newer data of the platform may show that a silent agent is gone
}

// planSearch returns what remains to be done in a search.
func (b *Balancer) planSearch(now clock.Millis, view *View, route *Route, hash uint64, s *search) searchPlan {
	if s.holdersOf != view {
		s.holders, s.holdersOf = b.possibleHolders(view, route, hash), view
	}
	var plan searchPlan
	for _, h := range s.holders {
		b.planAgent(now, view, route, h, s, &plan)
	}
	return plan
}

// possibleHolders returns the agents whose servers may hold a flow, in its order.
func (b *Balancer) possibleHolders(view *View, route *Route, hash uint64) []holder {
	var holders []holder
	known := make(map[place.ID]bool)
	for _, service := range view.holderServices(route) {
		pool := view.services[service]
		if pool == nil {
			continue
		}
		bound := holderBound{view: view, service: service}
		for _, id := range pool.holderOrder(hash) {
			if excluded := bound.excludes(id) && !b.Disabled.Has(BoundSearch); !excluded && !known[id] {
				known[id] = true
				holders = append(holders, view.holderOf(id, service))
			}
		}
	}
	return holders
}

// planAgent adds one agent to a plan.
func (b *Balancer) planAgent(now clock.Millis, view *View, route *Route, h holder, s *search, plan *searchPlan) {
	answered, asked := s.answers[h.agent]
	switch {
	case asked && answered == holdsNothing, view.holdsNoFlows(route, h.agent), b.departed(now, view, h.agent):
	case b.evacuationEnded(now, view, h.agent):
		plan.anyEvacuated = true
	case asked:
		plan.try = append(plan.try, h)
	case b.isStarting(h.agent):
		plan.anyStarting = true
	case !b.isSilent(h.agent):
		plan.ask = append(plan.ask, h)
	case b.mayAbandon(route) && b.unreachable(now, h.agent):
		plan.anyAbandoned = true
	default:
		plan.needsUpdate = plan.needsUpdate || b.Registry.returnUndecided(now, view.serverByAgent[h.agent])
		plan.silent = append(plan.silent, h)
	}
}
