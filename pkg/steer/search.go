package steer

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// Limits of a search for the holder of a flow.
const (
	// sequentialOffers is the number of agents that a search asks one after the other.
	// Flows open at one of the first agents of their order, so that most searches end
	// there; the remaining agents are asked all at once. After a loss of power nobody
	// holds the flows, and one after the other would take a round trip for each server.
	sequentialOffers = 3
	// fanOutTimeout is how long the answers of all agents are awaited: callers
	// retransmit after 200 ms, which begins another search.
	fanOutTimeout = 150 * clock.Millis(1)
	// maxFanOuts bounds the searches that await the answers of several agents. Others
	// ask one agent after the other.
	maxFanOuts = 1024
)

// fanOut is a search that has offered its packet to all remaining agents at once.
type fanOut struct {
	awaited      []place.ID // agents that have not answered
	denied       []place.ID
	inconclusive bool // a denial did not prove that the agent's server does not hold the flow
	since        clock.Millis
}

// search offers a packet of an open flow to the next agents whose servers may hold the
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
		if m.VisitedCount >= sequentialOffers && !m.KnownOnly && !h.anyUnreachable && len(b.fanOuts) < maxFanOuts && !b.Disabled.Has(FanOut) {
			if d, ok := b.startFanOut(now, view, route, p, m); ok {
				return d
			}
		}
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

// startFanOut offers a packet to all agents that may hold its flow and have not yet
// denied it. The first offer is returned, the others by NextOffer. It returns false if
// these agents are more than one packet can be offered to.
func (b *Balancer) startFanOut(now clock.Millis, view *View, route *Route, p Packet, m *Message) (Decision, bool) {
	f := &fanOut{since: now}
	for _, target := range route.Targets {
		if pool := view.services[target.Service]; pool != nil {
			for _, id := range pool.holders.IDs() {
				if !m.visited(id) && !view.holdsNoFlows(id) && !b.departed(now, view, id) && !b.isSilent(id) && !slices.Contains(f.awaited, id) {
					f.awaited = append(f.awaited, id)
				}
			}
		}
	}
	if m.VisitedCount+len(f.awaited) > MaxVisited {
		return Decision{}, false
	}
	b.fanOuts[p.Key] = f
	b.nextOffers = append(b.nextOffers[:0], f.awaited...)
	m.LastOffer = true
	return b.NextOffer(now, p, m)
}

// NextOffer returns a further offer of the packet that was decided on last, and fills in
// its message m. It returns false if there is none. Call it until then after each
// decision to offer a packet.
func (b *Balancer) NextOffer(now clock.Millis, p Packet, m *Message) (Decision, bool) {
	if len(b.nextOffers) == 0 {
		return Decision{}, false
	}
	to := b.nextOffers[0]
	b.nextOffers = b.nextOffers[1:]
	view := b.Registry.View(now)
	if view == nil || view.serverByAgent[to] == nil {
		return Decision{Verdict: Drop, Reason: NoView}, true
	}
	return b.offer(now, view, p, m, to, view.serverByAgent[to].Service), true
}

// deniedInFanOut records the denial of a packet that was offered to several agents at
// once. It reports whether all of them have answered; m then names all agents that
// denied the packet.
func (b *Balancer) deniedInFanOut(from place.ID, p Packet, m *Message) bool {
	f := b.fanOuts[p.Key]
	if f == nil || !slices.Contains(f.awaited, from) {
		return false
	}
	f.awaited = slices.DeleteFunc(f.awaited, func(id place.ID) bool { return id == from })
	f.denied = append(f.denied, from)
	f.inconclusive = f.inconclusive || !m.Reason.Certain()
	if len(f.awaited) > 0 {
		return false
	}
	delete(b.fanOuts, p.Key)
	m.LastOffer = false
	for _, id := range f.denied {
		if !m.addVisited(id) {
			f.inconclusive = true
		}
	}
	m.Inconclusive = m.Inconclusive || f.inconclusive
	return true
}

// expireFanOuts forgets the searches whose answers are overdue.
func (b *Balancer) expireFanOuts(now clock.Millis) {
	for key, f := range b.fanOuts {
		if now-f.since >= fanOutTimeout {
			delete(b.fanOuts, key)
		}
	}
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
