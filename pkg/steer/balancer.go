package steer

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// Limits and times of a balancer.
const (
	// DefaultCacheFlows is the number of flows whose owners are remembered:
	// what an entry host of today has open, with room for ten times more.
	DefaultCacheFlows = 4096
	// candidates is how many servers a new flow is offered to before the least
	// busy of them must take it. More choices gain little and cost hops.
	candidates = 4
	// mostTries is how many servers a packet may be tried at while the one that
	// holds its flow may be out of reach. The users count three as a wrong turn.
	mostTries = 2
	// answerTime is how long an agent beside a healthy server takes at most to
	// answer a first packet: a few milliseconds, with room for a busy host.
	answerTime = 120 * clock.Millis(1)
	// leftAfter is how long an agent whose server is no longer listed must leave
	// pings unanswered to count as left with its server.
	leftAfter = clock.Second
	// pingInterval is the time between two pings of a silent agent.
	pingInterval = 200 * clock.Millis(1)
)

// Decision is what a balancer does with a packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	To      place.ID // agent of an Offer
	Service string   // of a Refuse, empty if no route matches
}

// Balancer decides which agent gets a packet. What it holds may be lost at any
// moment. Set the exported fields before the first call. It is not safe for
// concurrent use.
type Balancer struct {
	CacheFlows int // 0 means DefaultCacheFlows
	// EvacuateBy is how long after a data centre was taken out its servers may
	// still get packets of their flows, 0 for no end.
	EvacuateBy clock.Millis

	Registry Registry

	cache  *flow.Cache
	agents map[place.ID]*link
	asleep bool // woken with an old view
	parked []parked

	staleTill clock.Millis // until when first packets may be from before a pause
}

// link is what a balancer knows of its way to one agent.
type link struct {
	asked  clock.Millis // oldest first packet or ping without an answer, 0 if none
	pinged clock.Millis
	silent bool
	// ended is the revision of the server that the agent said to have ended, 0 if
	// it has not said so.
	ended uint64
}

// Silence reports that an agent has stopped to answer.
type Silence struct {
	Agent place.ID
	Since clock.Millis // of the oldest question without an answer
}

func (b *Balancer) init() {
	if b.cache != nil {
		return
	}
	if b.CacheFlows == 0 {
		b.CacheFlows = DefaultCacheFlows
	}
	b.cache = flow.NewCache(b.CacheFlows)
	b.agents = make(map[place.ID]*link)
}

// Ready reports whether the balancer can place new flows.
func (b *Balancer) Ready(now clock.Millis) bool {
	view := b.Registry.View(now)
	return view != nil && view.Servers() > 0 && !b.asleep
}

// Woken says that the process has slept, so that its view may be old. New flows
// wait until Refreshed.
func (b *Balancer) Woken() { b.asleep = true }

// Paused says that the process has not run for longer than callers wait to repeat
// a first packet: those that come now may have opened elsewhere meanwhile.
func (b *Balancer) Paused(now clock.Millis) { b.staleTill = now + staleFor }

// Refreshed says that the view has been read again.
func (b *Balancer) Refreshed() { b.asleep = false }

// FromCaller decides on a packet of a caller. For an Offer it fills in the
// message that goes in front of the packet.
func (b *Balancer) FromCaller(now clock.Millis, p Packet, m *Message) Decision {
	b.init()
	view := b.Registry.View(now)
	if view == nil {
		return Decision{Verdict: Drop, Reason: NoView}
	}
	route := view.routes[p.Key.Target()]
	if route == nil {
		return Decision{Verdict: Refuse, Reason: NoRoute}
	}
	m.Kind, m.Reason, m.Final, m.Unsure, m.KnownOnly, m.Count, m.Best, m.BestLoad = OfferPacket, KnownOwner, false, false, false, 0, 0, 0
	m.Goal, m.Priority = route.Goal, route.Priority
	hash := p.Key.Hash()
	if owner := b.cache.Get(now, hash); owner != 0 && !b.left(now, view, owner) {
		if l := b.agents[owner]; !p.First && l != nil && l.silent && b.Registry.undecided(now, view.agents[owner]) {
			return b.park(now, p, m, true)
		}
		return b.offer(now, view, p, m, owner, view.agents[owner].Service)
	}
	if p.First && !p.HasAck {
		return b.open(now, view, route, hash, p, m)
	}
	return b.search(now, view, route, hash, p, m)
}

// left reports whether an agent's server has left for good, with its flows.
func (b *Balancer) left(now clock.Millis, view *View, id place.ID) bool {
	l, s := b.agents[id], view.agents[id]
	if l != nil && s != nil && l.ended == s.Revision {
		return true
	}
	unanswered := l != nil && l.silent && l.asked != 0 && now-l.asked >= leftAfter
	return s == nil || unanswered && b.presumedGone(view, id)
}

// Denied decides on a packet that an agent has denied. The message is the one
// that the agent returned.
func (b *Balancer) Denied(now clock.Millis, from place.ID, p Packet, m *Message) Decision {
	b.init()
	b.answered(from)
	view := b.Registry.View(now)
	if view == nil {
		return Decision{Verdict: Drop, Reason: NoView}
	}
	route := view.routes[p.Key.Target()]
	if route == nil {
		return Decision{Verdict: Refuse, Reason: NoRoute}
	}
	hash := p.Key.Hash()
	if b.cache.Get(now, hash) == from {
		b.cache.Forget(hash)
	}
	m.Kind = OfferPacket
	if p.First {
		b.noteLoad(from, m)
		m.visit(from)
		return b.open(now, view, route, hash, p, m)
	}
	if noted := m.visit(from); !noted || !m.Reason.Certain() {
		m.Unsure = true
	}
	return b.search(now, view, route, hash, p, m)
}

// noteLoad remembers the least busy agent that would have to queue the flow.
func (b *Balancer) noteLoad(from place.ID, m *Message) {
	if m.Reason != Busy || m.Slots == 0 {
		return
	}
	load := 100 * m.Load / m.Slots
	if m.Best == 0 || load < m.BestLoad {
		m.Best, m.BestLoad = from, load
	}
}

// open offers a new flow to the next server that may take it.
func (b *Balancer) open(now clock.Millis, view *View, route *Route, hash uint64, p Packet, m *Message) Decision {
	if b.asleep {
		return Decision{Verdict: Drop, Reason: Woken}
	}
	service := route.serviceFor(hash)
	pool := view.services[service]
	if pool == nil {
		return b.refuse(now, service, NoServer)
	}
	if m.Final {
		return b.refuse(now, service, m.Reason)
	}
	var ranked [MaxVisited]place.ID
	count := pool.open.Rank(hash, ranked[:])
	if next := b.candidate(now, view, ranked[:count], p.Copy, m); next != 0 {
		m.Reason = NewFlow
		return b.offer(now, view, p, m, next, service)
	}
	if m.Best != 0 {
		m.Final, m.Reason = true, NewFlow
		return b.offer(now, view, p, m, m.Best, service)
	}
	if m.Reason == KnownOwner || m.Reason == None {
		m.Reason = NoServer
	}
	return b.refuse(now, service, m.Reason)
}

// refuse rejects a new flow, unless a copy of its first packet may have opened it.
func (b *Balancer) refuse(now clock.Millis, service string, reason Reason) Decision {
	if now < b.staleTill {
		return Decision{Verdict: Drop, Reason: Woken}
	}
	return Decision{Verdict: Refuse, Reason: reason, Service: service}
}

// candidate chooses the next agent to ask. A repeated first packet begins
// further down the order, since the first choice has not answered. Silent
// agents come last.
func (b *Balancer) candidate(now clock.Millis, view *View, ranked []place.ID, copies int, m *Message) place.ID {
	busy := 0
	for _, id := range ranked {
		if m.visited(id) {
			busy++
		}
	}
	if m.Best != 0 && busy >= candidates {
		return 0
	}
	skip := 0
	if m.Count == 0 && len(ranked) > 1 {
		skip = copies % len(ranked)
	}
	var fallback place.ID
	for i := range ranked {
		id := ranked[(i+skip)%len(ranked)]
		switch {
		case m.visited(id), b.left(now, view, id):
		case b.agents[id] == nil || !b.agents[id].silent:
			return id
		case fallback == 0:
			fallback = id
		}
	}
	if m.Best != 0 {
		return 0
	}
	return fallback
}

// search offers a packet of an open flow to the next agent whose server may
// hold it. When all have denied it for certain, nobody holds it.
func (b *Balancer) search(now clock.Millis, view *View, route *Route, hash uint64, p Packet, m *Message) Decision {
	m.Reason = Searching
	if m.Count == MaxVisited {
		return Decision{Verdict: Drop, Reason: TooMany}
	}
	h := b.holders(now, view, route, hash, m)
	if h.next != 0 {
		m.KnownOnly = m.KnownOnly || h.passed || h.hidden && m.Count >= mostTries
		return b.offer(now, view, p, m, h.next, h.service)
	}
	if h.undecided {
		return b.park(now, p, m, true)
	}
	if h.silent != 0 {
		return b.offer(now, view, p, m, h.silent, h.silentService)
	}
	switch {
	case p.Reset || p.Last && p.Bytes == 0 && m.Count == 0:
		return Decision{Verdict: Drop, Reason: EveryoneDenied}
	case m.Unsure || h.closed:
		return Decision{Verdict: Drop, Reason: OutOfService}
	case !b.certain(now):
		return b.park(now, p, m, false)
	}
	return Decision{Verdict: Refuse, Reason: EveryoneDenied, Service: route.service()}
}

// holding is what a look at the agents whose servers may hold a flow found.
type holding struct {
	next          place.ID // to ask now, 0 if none is left
	silent        place.ID // first one that does not answer, if none is left
	service       string   // of next
	silentService string   // of silent
	passed        bool     // one that cannot be asked comes before next
	hidden        bool     // some cannot be asked
	closed        bool     // some are in a data centre that was taken out
	undecided     bool     // a newer word may tell that a silent one has left
}

// holders looks for the next agent to ask in the flow's order.
func (b *Balancer) holders(now clock.Millis, view *View, route *Route, hash uint64, m *Message) holding {
	var h holding
	for _, target := range route.Targets {
		pool := view.services[target.Service]
		if pool == nil {
			continue
		}
		var ranked [MaxVisited]place.ID
		for _, id := range ranked[:pool.holders.Rank(hash, ranked[:])] {
			b.consider(now, view, id, target.Service, m, &h)
		}
		if h.next == 0 { // the order ends before the list of a large service does
			for _, id := range pool.holders.IDs() {
				b.consider(now, view, id, target.Service, m, &h)
			}
		}
	}
	return h
}

// consider looks at one agent that may be the next to ask.
func (b *Balancer) consider(now clock.Millis, view *View, id place.ID, service string, m *Message, h *holding) {
	switch {
	case m.visited(id), view.empty(id), b.left(now, view, id):
	case b.closed(now, view, id):
		h.closed, h.hidden = true, true
	case b.agents[id] != nil && b.agents[id].silent:
		h.hidden = true
		h.undecided = h.undecided || b.Registry.undecided(now, view.agents[id])
		if h.silent == 0 {
			h.silent, h.silentService = id, service
		}
	case h.next == 0:
		h.next, h.service, h.passed = id, service, h.hidden
	}
}

// presumedGone reports whether a silent agent's server is no longer listed
// either, although the platform has been steady for long enough.
func (b *Balancer) presumedGone(view *View, id place.ID) bool {
	s := view.agents[id]
	return s == nil || s.State == Missing && b.Registry.concluded(s)
}

// closed reports whether an agent's data centre was taken out long enough ago
// that it gets no packets any more.
func (b *Balancer) closed(now clock.Millis, view *View, id place.ID) bool {
	s := view.agents[id]
	if s == nil || b.EvacuateBy == 0 {
		return false
	}
	o, out := view.out[s.DataCentre]
	return out && now-o.since >= b.EvacuateBy
}

// offer fills in what the agent must know of its server.
func (b *Balancer) offer(now clock.Millis, view *View, p Packet, m *Message, to place.ID, service string) Decision {
	if b.closed(now, view, to) {
		return Decision{Verdict: Drop, Reason: OutOfService}
	}
	s := view.agents[to]
	m.Service, m.Revision, m.State, m.ColdRate, m.ColdLeft = ServiceOf(service), 0, Missing, 0, 0
	if s != nil {
		m.State, m.Revision, m.Slots = s.State, s.Revision, s.Slots
		if _, out := view.out[s.DataCentre]; out && m.State == Serving {
			m.State = Leaving
		}
		b.tellCold(now, view, s, m)
	}
	if p.First && m.Reason == NewFlow || m.State == Missing {
		b.ask(now, to)
	}
	return Decision{Verdict: Offer, Reason: m.Reason, To: to}
}

// tellCold fills in what the server bears while it is cold, and for how long.
func (b *Balancer) tellCold(now clock.Millis, view *View, s *Server, m *Message) {
	if pool := view.services[s.Service]; pool != nil && pool.coldRate > 0 {
		m.ColdRate = max(1, int(pool.coldRate))
	}
	m.ColdLeft = max(0, s.ColdUntil-now)
}

// ask notes that an agent owes an answer.
func (b *Balancer) ask(now clock.Millis, id place.ID) {
	l := b.agents[id]
	if l == nil {
		l = &link{}
		b.agents[id] = l
	}
	if l.asked == 0 {
		l.asked = now
	}
}

// answered notes any word of an agent. It reports whether it had been silent.
func (b *Balancer) answered(id place.ID) bool {
	l := b.agents[id]
	if l == nil {
		return false
	}
	was := l.silent
	l.asked, l.silent, l.ended = 0, false, 0
	return was
}

// Heard handles a message without a packet. It reports whether the agent had
// been silent until now.
func (b *Balancer) Heard(now clock.Millis, from place.ID, m *Message) bool {
	b.init()
	was := b.answered(from)
	switch m.Kind {
	case HoldFlow:
		b.cache.Put(now, m.Key.Hash(), from)
	case Goodbye:
		b.goodbye(now, from, m.Reason)
		return false
	}
	return was
}

// goodbye notes that an agent's process ends, and whether its server has ended
// before it.
func (b *Balancer) goodbye(now clock.Millis, from place.ID, reason Reason) {
	b.ask(now, from)
	l := b.agents[from]
	l.silent, l.asked = true, now
	if view := b.Registry.View(now); reason == ServerGone && view != nil && view.agents[from] != nil {
		l.ended = view.agents[from].Revision
	}
}

// Tick returns the agents that have fallen silent, and calls ping for those
// that must be pinged. Call it several times a second.
func (b *Balancer) Tick(now clock.Millis, ping func(place.ID)) []Silence {
	b.init()
	var out []Silence
	view := b.Registry.View(now)
	for id, l := range b.agents {
		if view != nil && view.agents[id] == nil {
			delete(b.agents, id)
			continue
		}
		if l.asked == 0 || now-l.asked < answerTime {
			continue
		}
		if !l.silent {
			l.silent = true
			out = append(out, Silence{Agent: id, Since: l.asked})
		}
		if now-l.pinged >= pingInterval {
			l.pinged = now
			ping(id)
		}
	}
	return out
}
