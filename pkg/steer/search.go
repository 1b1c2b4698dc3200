package steer

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// search offers a packet of an open flow to the next agent whose server may hold the
// flow. Once all have denied it with a Certain reason, no server holds the flow and
// the caller is sent a reset.
func (b *Balancer) search(now clock.Millis, view *View, route *Route, hash uint64, p Packet, m *Message) Decision {
	m.Reason = Searching
	if m.VisitedCount == MaxVisited {
		return Decision{Verdict: Drop, Reason: TooManyServers}
	}
	h := b.findHolder(now, view, route, hash, m)
	if h.next != 0 {
		uncertain := h.skippedEarlier || h.anyUnreachable && m.VisitedCount >= maxUncertainOffers
		m.KnownOnly = m.KnownOnly || uncertain && !b.Disabled.Has(LimitSearch)
		return b.offer(now, view, p, m, h.next, h.service)
	}
	if h.anyStarting {
		return b.park(now, p, m, awaitAgents)
	}
	if h.needsUpdate {
		return b.park(now, p, m, awaitAnswer)
	}
	if h.silent != 0 {
		return b.offer(now, view, p, m, h.silent, h.silentService)
	}
	switch {
	case p.RST || p.FIN && p.Bytes == 0 && m.VisitedCount == 0:
		return Decision{Verdict: Drop, Reason: AllDenied}
	case m.Inconclusive || h.anyEvacuated:
		return Decision{Verdict: Drop, Reason: OutOfService}
	case !b.viewConclusive(now):
		return b.park(now, p, m, awaitFreshView)
	}
	reason := AllDenied
	if h.anyAbandoned {
		reason = Unreachable
	}
	return Decision{Verdict: Refuse, Reason: reason, Service: route.service()}
}

// holderSearch is the result of a pass over the agents whose servers may hold a flow.
type holderSearch struct {
	next           place.ID // agent to offer the packet to, 0 if none remains
	silent         place.ID // first silent agent, 0 if none
	service        string   // of next
	silentService  string   // of silent
	skippedEarlier bool     // an unreachable agent precedes next in the flow's order
	anyUnreachable bool     // some agents are silent or their data centre is evacuated
	anyStarting    bool     // some agents are starting
	anyAbandoned   bool     // the flow may be reset although some agents are unreachable
	anyEvacuated   bool     // some agents are in an evacuated data centre
	needsUpdate    bool     // newer data of the platform may show that a silent agent is gone
}

// findHolder looks for the next agent to ask in the flow's order.
func (b *Balancer) findHolder(now clock.Millis, view *View, route *Route, hash uint64, m *Message) holderSearch {
	var h holderSearch
	abandon := b.mayAbandon(route)
	for _, target := range route.Targets {
		pool := view.services[target.Service]
		if pool == nil {
			continue
		}
		var ranked [MaxVisited]place.ID
		for _, id := range ranked[:rank(pool.holders, pool.localHolders, hash, ranked[:])] {
			b.considerHolder(now, view, id, target.Service, abandon, m, &h)
		}
		if h.next == 0 { // a ranking does not hold all agents of a large service
			for _, id := range pool.holders.IDs() {
				b.considerHolder(now, view, id, target.Service, abandon, m, &h)
			}
		}
	}
	return h
}

// considerHolder adds one agent to the result of a search. With abandon, unreachable
// agents are passed over.
func (b *Balancer) considerHolder(now clock.Millis, view *View, id place.ID, service string, abandon bool, m *Message, h *holderSearch) {
	switch {
	case m.visited(id), view.holdsNoFlows(id), b.departed(now, view, id):
	case b.evacuationEnded(now, view, id):
		h.anyEvacuated, h.anyUnreachable = true, true
	case b.isStarting(id):
		h.anyStarting = true
	case b.isSilent(id):
		if abandon && b.unreachable(now, id) {
			h.anyAbandoned = true
			return
		}
		h.anyUnreachable = true
		h.needsUpdate = h.needsUpdate || b.Registry.returnUndecided(now, view.serverByAgent[id])
		if h.silent == 0 {
			h.silent, h.silentService = id, service
		}
	case h.next == 0:
		h.next, h.service, h.skippedEarlier = id, service, h.anyUnreachable
	}
}
