package steer

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/room"
)

// Limits and times of a balancer.
const (
	// DefaultCacheFlows is the default number of flows whose owners are cached: the
	// flows now open through one balancer's host, with room for ten times as many.
	DefaultCacheFlows = 4096
	// maxCandidates is the number of busy servers that a new flow is offered to
	// before the least busy of them must queue it. More candidates improve the
	// balance little, and each costs a hop.
	maxCandidates = 4
	// maxOpenOffers is the number of servers that a new flow is offered to at all, those
	// that are passed over included, and besides the first of the own data centre. It
	// bounds the agents that may hold a flow.
	maxOpenOffers = 12
)

// Decision says what the balancer does with a packet, and why.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	To      place.ID // agent of an Offer
	Service string   // of a Refuse; empty if no route matches
}

// Balancer decides which agent receives each packet. Its state may be lost at any
// moment. Set the exported fields before the first call. Pass packets to FromCaller and
// Denied, messages without a packet to HandleMessage, and call Tick and Resume regularly.
// A Balancer is not safe for concurrent use.
type Balancer struct {
	CacheFlows int // number of flows whose owners are cached; 0 means DefaultCacheFlows
	Disabled   MechanismSet
	// EvacuationGracePeriod is how long servers still receive packets of their flows after
	// their data centre was taken out of service. 0 means without limit.
	EvacuationGracePeriod clock.Millis
	// ByRoom orders the candidates of new flows by the estimated spare capacity of their
	// servers. Without it, the flow's hash alone decides.
	ByRoom bool

	// Registry must be kept up to date with what the platform reports.
	Registry Registry

	owners       *flow.Cache
	agentStates  map[place.ID]*agentState
	awaited      map[place.ID]*agentState // those of agents whose reply is outstanding
	watchedView  *View                    // whose agents are in agentStates
	reachChanged bool                     // agents have become silent or replied since the last Tick
	needsRefresh bool                     // the process was suspended, and its view may be outdated
	cutOff       bool                     // most listed agents were silent at the last Tick
	reachesLocal bool                     // at least half of those in the own data centre were not
	rooms        map[string]*room.Table   // by service
	parked       []parkedPacket
	searches     map[flow.Key]*search
	queries      queries
	ready        []readyPacket // for Resume
	readyMessage Message       // of the last one
	unkept       *[]byte       // where KeepRaw stores the bytes of the last packet
	resumedSince clock.Millis  // when the packet that is being resumed was parked, 0 if none is
	// startedAgents is the number of agents that have replied for the first time, or
	// failed to within startTime.
	startedAgents int

	// toldRevision is the newest revision of the platform's store that an agent has told, and
	// behindSince when one told a newer revision than that of the view, 0 if none did.
	toldRevision uint64
	behindSince  clock.Millis

	backlogUntil clock.Millis // until then, SYNs may have been received before a pause
}

func (b *Balancer) init() {
	if b.owners != nil {
		return
	}
	if b.CacheFlows == 0 {
		b.CacheFlows = DefaultCacheFlows
	}
	b.owners = flow.NewCache(b.CacheFlows)
	b.agentStates, b.awaited = make(map[place.ID]*agentState), make(map[place.ID]*agentState)
	b.searches, b.rooms = make(map[flow.Key]*search), make(map[string]*room.Table)
}

// Ready reports whether the routers should send packets to the balancer: it can assign
// new flows to servers and reaches most agents, or most of its own data centre.
func (b *Balancer) Ready(now clock.Millis) bool {
	view := b.Registry.View(now)
	return view != nil && view.Servers() > 0 && !b.needsRefresh && (!b.cutOff || b.reachesLocal || b.Disabled.Has(ReadyByReach))
}

// RecordSuspension records that the process did not run for so long that its view may be
// outdated. New flows are dropped until RecordRefresh is called.
func (b *Balancer) RecordSuspension() { b.needsRefresh = true }

// RecordPause records that the process did not run for longer than callers wait before
// they retransmit a SYN. A flow whose SYN is read now may have been opened through
// another balancer meanwhile, so for a short time no SYN is refused. After a suspension,
// call RecordSuspension too.
func (b *Balancer) RecordPause(now clock.Millis) { b.backlogUntil = now + backlogTime }

// RecordRefresh records that the view has been read again after a suspension.
func (b *Balancer) RecordRefresh() { b.needsRefresh = false }

// FromCaller decides on a packet of a caller. For an Offer it fills in m, the
// message that is sent in front of the packet.
func (b *Balancer) FromCaller(now clock.Millis, p Packet, m *Message) Decision {
	b.init()
	view := b.Registry.View(now)
	if view == nil {
		return Decision{Verdict: Drop, Reason: NoView}
	}
	m.Kind, m.Reason = OfferPacket, KnownOwner
	m.LastOffer, m.NoOthers, m.Inconclusive, m.KnownOnly, m.PacketKept = false, false, false, false, false
	m.AgentStartMs, m.VisitedCount, m.LeastBusy, m.LeastBusyLoad = 0, 0, 0, 0
	m.TypicalTime, m.HasReport = 0, false
	route := view.routes[p.Key.Target()]
	switch {
	case route == nil && (p.SYN || p.RST):
		return Decision{Verdict: Refuse, Reason: NoRoute}
	case route == nil: // another balancer may have received a configuration that adds it
		return b.park(now, p, m, awaitAnswer)
	}
	m.setRoute(route)
	hash := p.Key.Hash()
	if owner := b.owners.Get(now, hash); owner != 0 && !b.departed(now, view, owner) && !b.Disabled.Has(OwnerCache) {
		switch {
		case !p.SYN && b.isSilent(owner) && b.searches[p.Key] == nil && b.Registry.returnUndecided(now, view.serverByAgent[owner]):
			return b.park(now, p, m, awaitAnswer)
		case !p.SYN && b.unreachable(now, owner) && b.mayAbandon(route):
			return Decision{Verdict: Refuse, Reason: Unreachable, Service: route.service()}
		}
		return b.offer(now, view, p, m, owner, view.serverByAgent[owner].Service)
	}
	if p.SYN && !p.HasACK {
		return b.open(now, view, route, hash, p, m)
	}
	return b.start(now, view, route, hash, p, m)
}

// setRoute sets what the message tells of the flow's route.
func (m *Message) setRoute(route *Route) {
	m.Goal, m.Priority, m.TimeLimit = route.Goal, route.Priority, route.TimeLimit
}

// Denied decides on a packet that an agent has denied. m is the message that the
// agent returned. Call Resume afterwards.
func (b *Balancer) Denied(now clock.Millis, from place.ID, p Packet, m *Message) Decision {
	b.init()
	b.recordReport(now, from, m)
	b.recordAnswer(from, m)
	b.recordStoreRevision(now, m)
	view := b.Registry.View(now)
	if view == nil {
		return Decision{Verdict: Drop, Reason: NoView}
	}
	route := view.routes[p.Key.Target()]
	if route == nil {
		return Decision{Verdict: Refuse, Reason: NoRoute}
	}
	hash := p.Key.Hash()
	wasOwner := b.owners.Get(now, hash) == from
	if wasOwner {
		b.owners.Delete(hash)
	}
	m.Kind = OfferPacket
	if p.SYN {
		b.recordLeastBusy(from, m)
		m.addVisited(from)
		return b.open(now, view, route, hash, p, m)
	}
	return b.denyHolder(now, view, route, hash, from, wasOwner, p, m)
}

// DeniedKept handles the denial of a packet that the agent has not sent back, since this
// balancer has kept it (Message.PacketKept). Resume returns the decision on the packet.
func (b *Balancer) DeniedKept(now clock.Millis, from place.ID, m *Message) {
	b.init()
	s := b.searches[m.Key]
	if s == nil {
		b.recordReport(now, from, m)
		b.recordAnswer(from, m)
		b.recordStoreRevision(now, m)
		return // the holder has been found meanwhile
	}
	d := b.Denied(now, from, s.packet, m)
	if d.Verdict != Wait {
		b.end(s, d)
	}
	if d.Verdict != Wait || d.Reason != Searching {
		b.ready = append(b.ready, readyPacket{packet: s.packet, raw: &s.raw, message: &s.message, since: s.since, decision: d})
	}
}

// Ping returns the message that probes an agent. It tells the agent of the view, so that the
// agent's denials tell other balancers that servers may have been listed which they lack.
func (b *Balancer) Ping() Message {
	return Message{Kind: Ping, StoreRevision: max(b.Registry.revision, b.Registry.newestEntry)}
}

// recordStoreRevision records the newest revision of the platform's store that an agent has
// been told by any balancer.
func (b *Balancer) recordStoreRevision(now clock.Millis, m *Message) {
	if m.StoreRevision <= b.toldRevision {
		return
	}
	b.toldRevision = m.StoreRevision
	if m.StoreRevision > b.Registry.revision {
		b.behindSince = now
	}
}

// recordLeastBusy records an agent that denied a SYN as Busy, and its load in percent of
// its slots, if it is the least busy one so far.
func (b *Balancer) recordLeastBusy(from place.ID, m *Message) {
	if m.Reason != Busy || m.Slots == 0 {
		return
	}
	load := 100 * m.Load / m.Slots
	if m.LeastBusy == 0 || load < m.LeastBusyLoad || b.Disabled.Has(QueueAtLeastBusy) {
		m.LeastBusy, m.LeastBusyLoad = from, load
	}
}

// open offers a new flow to the next candidate, then to the least busy one.
func (b *Balancer) open(now clock.Millis, view *View, route *Route, hash uint64, p Packet, m *Message) Decision {
	if b.needsRefresh {
		return Decision{Verdict: Drop, Reason: Suspended}
	}
	service := route.serviceFor(hash)
	pool := view.services[service]
	if pool == nil {
		return b.refuse(now, service, NoServer)
	}
	if m.LastOffer {
		return b.refuse(now, service, m.Reason)
	}
	var ranked [1 + maxOpenOffers]place.ID
	count := rank(pool.accepting, pool.localAccepting, hash, ranked[:])
	b.orderByRoom(now, view, service, hash, ranked[:count])
	m.NoOthers = false
	if next := b.nextCandidate(now, view, ranked[:count], p.Copy, m); next != 0 && !b.queuesEarly(now, service, m) {
		if b.isStarting(next) {
			return b.park(now, p, m, awaitAgents)
		}
		m.Reason = NewFlow
		return b.offer(now, view, p, m, next, service)
	}
	if m.LeastBusy != 0 {
		m.LastOffer, m.Reason, m.NoOthers = true, NewFlow, !b.hasUnvisited(now, view, ranked[:count], m)
		return b.offer(now, view, p, m, m.LeastBusy, service)
	}
	if m.Reason == KnownOwner || m.Reason == NoReason {
		m.Reason = NoServer
	}
	return b.refuse(now, service, m.Reason)
}

// refuse rejects a new flow, unless a retransmission of its SYN may have opened it
// elsewhere: a reset would end that flow. A service whose servers are about to be listed
// again does not reject either: the caller repeats the SYN, and a reset would use up one of
// its attempts.
func (b *Balancer) refuse(now clock.Millis, service string, reason Reason) Decision {
	switch {
	case now < b.backlogUntil:
		return Decision{Verdict: Drop, Reason: Suspended}
	case reason == NoServer && b.Registry.MayLackServers(now):
		return Decision{Verdict: Drop, Reason: NoServer}
	}
	return Decision{Verdict: Refuse, Reason: reason, Service: service}
}

// nextCandidate returns the next agent to offer a new flow to, 0 if there is none. A
// retransmitted SYN starts further down the order, since the agents before have not
// replied. Silent agents come last.
func (b *Balancer) nextCandidate(now clock.Millis, view *View, ranked []place.ID, retransmissions int, m *Message) place.ID {
	denials := 0
	for _, id := range ranked {
		if m.visited(id) {
			denials++
		}
	}
	if m.LeastBusy != 0 && denials >= maxCandidates {
		return 0
	}
	skip := 0
	if m.VisitedCount == 0 && len(ranked) > 1 && !b.Disabled.Has(RotateCopies) {
		skip = retransmissions % len(ranked)
	}
	var fallback place.ID
	for i := range ranked {
		id := ranked[(i+skip)%len(ranked)]
		switch {
		case m.visited(id), view.passedOver[id], b.departed(now, view, id):
		case !b.isSilent(id), b.Disabled.Has(SilentLast):
			return id
		case fallback == 0:
			fallback = id
		}
	}
	if m.LeastBusy != 0 {
		return 0
	}
	return fallback
}

// hasUnvisited reports whether a ranked agent that answers has not denied a new flow.
func (b *Balancer) hasUnvisited(now clock.Millis, view *View, ranked []place.ID, m *Message) bool {
	return slices.ContainsFunc(ranked, func(id place.ID) bool {
		return !m.visited(id) && !view.passedOver[id] && !b.departed(now, view, id) && !b.isSilent(id)
	})
}

// evacuationEnded reports whether an agent's data centre was taken out of service so
// long ago that the agent receives no more packets.
func (b *Balancer) evacuationEnded(now clock.Millis, view *View, id place.ID) bool {
	s := view.serverByAgent[id]
	if s == nil || b.EvacuationGracePeriod == 0 {
		return false
	}
	e, evacuated := view.evacuated[s.DataCentre]
	return evacuated && now-e.since >= b.EvacuationGracePeriod
}

// offer completes m with the state of the agent's server, so that the agent receives
// it with the packet.
func (b *Balancer) offer(now clock.Millis, view *View, p Packet, m *Message, to place.ID, service string) Decision {
	if b.evacuationEnded(now, view, to) {
		return Decision{Verdict: Drop, Reason: OutOfService}
	}
	b.describeServer(now, view, to, service, m)
	if p.SYN && m.Reason == NewFlow {
		m.TypicalTime = b.recordSent(now, service, to)
	}
	if p.SYN && m.Reason == NewFlow || m.State == Unlisted {
		b.expectAnswer(now, to)
	}
	return Decision{Verdict: Offer, Reason: m.Reason, To: to}
}

// describeServer fills in the state of an agent's server.
func (b *Balancer) describeServer(now clock.Millis, view *View, agent place.ID, service string, m *Message) {
	m.Service, m.Revision, m.State, m.ColdRate, m.ColdLeft = ServiceOf(service), 0, Unlisted, 0, 0
	s := view.serverByAgent[agent]
	if s == nil {
		return
	}
	m.State, m.Revision, m.Slots = s.State, s.Revision, s.Slots
	if _, evacuated := view.evacuated[s.DataCentre]; evacuated && m.State == Serving {
		m.State = Leaving
	}
	b.setColdLimit(now, view, s, m)
}

// setColdLimit fills in the rate of new flows that the server can take while it is
// cold, and how long it stays cold.
func (b *Balancer) setColdLimit(now clock.Millis, view *View, s *Server, m *Message) {
	if pool := view.services[s.Service]; pool != nil && pool.coldRate > 0 {
		m.ColdRate = max(1, int(pool.coldRate))
	}
	m.ColdLeft = max(0, s.ColdUntil-now)
}

// HandleMessage handles a message without a packet. It reports whether the agent had been
// silent and now replies again.
func (b *Balancer) HandleMessage(now clock.Millis, from place.ID, m *Message) bool {
	b.init()
	b.recordReport(now, from, m)
	wasSilent := b.recordAnswer(from, m)
	switch m.Kind {
	case HoldFlow:
		b.owners.Put(now, m.Key.Hash(), from)
		b.found(now, m.Key, from)
	case Shutdown:
		b.recordShutdown(now, from, m.Reason)
		return false
	}
	return wasSilent
}
