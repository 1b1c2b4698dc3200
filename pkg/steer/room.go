package steer

import (
	"maps"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/room"
)

// roomOf returns the table of a service, which is made if there is none.
func (b *Balancer) roomOf(service string) *room.Table {
	t := b.rooms[service]
	if t == nil {
		t = &room.Table{}
		b.rooms[service] = t
	}
	return t
}

// recordReport records what an agent's message tells of its server, and the round trip to
// the agent if the message answers at once. Call it before recordAnswer. An agent that
// denies a packet because it belongs to another service reports on that one.
func (b *Balancer) recordReport(now clock.Millis, from place.ID, m *Message) {
	view := b.Registry.View(now)
	if m.Reason == WrongService && m.Kind == DenyPacket || view == nil || view.serverByAgent[from] == nil {
		return
	}
	t, state := b.roomOf(view.serverByAgent[from].Service), b.agentStates[from]
	switch {
	case state == nil || state.unansweredSince == 0:
	case m.Kind == Pong && state.lastPing != 0:
		t.RecordRoundTrip(from, now-state.lastPing)
	case m.Kind == DenyPacket && !state.silent:
		t.RecordRoundTrip(from, now-state.unansweredSince)
	}
	if m.HasReport {
		t.Record(now, from, room.Report{Utilization: m.Utilization, ServiceTime: m.ServiceTime})
	}
}

// recordSent records that a new flow is offered to an agent, and returns the typical
// service time of its service.
func (b *Balancer) recordSent(now clock.Millis, service string, to place.ID) clock.Millis {
	t := b.roomOf(service)
	t.RecordSent(now, to)
	return t.TypicalTime(now)
}

// Services returns the services whose agents have sent reports or received new flows.
func (b *Balancer) Services() []string { return slices.Sorted(maps.Keys(b.rooms)) }

// Room returns what is known of the spare capacity of a service's servers.
func (b *Balancer) Room(now clock.Millis, service string) room.Stats {
	if t := b.rooms[service]; t != nil {
		return t.Stats(now)
	}
	return room.Stats{}
}

// retainRooms deletes the reports on servers that no longer belong to a service.
func (b *Balancer) retainRooms(view *View) {
	for service, t := range b.rooms {
		t.Retain(func(id place.ID) bool {
			s := view.serverByAgent[id]
			return s != nil && s.Service == service
		})
		if view.services[service] == nil {
			delete(b.rooms, service)
		}
	}
}

// orderByRoom reorders those of the ranked agents that a new flow would visit before it
// queues, by the estimated spare capacity of their servers. Which agents these are
// remains, so the bound on possible holders does too.
func (b *Balancer) orderByRoom(now clock.Millis, view *View, service string, hash uint64, ranked []place.ID) {
	if !b.ByRoom || b.Disabled.Has(OrderByRoom) {
		return
	}
	var candidates [maxCandidates]room.Candidate
	var at [maxCandidates]int
	count := 0
	for i, id := range ranked {
		if view.passedOver[id] || b.departed(now, view, id) || b.isSilent(id) {
			continue
		}
		candidates[count], at[count] = b.candidate(view, id), i
		if count++; count == maxCandidates {
			break
		}
	}
	if count < 2 {
		return
	}
	first := view.serverByAgent[candidates[0].Agent]
	isLocal := at[0] == 0 && first.DataCentre == b.Registry.DataCentre && !b.Disabled.Has(PreferLocal)
	b.roomOf(service).Order(now, hash, candidates[:count], isLocal)
	for i, c := range candidates[:count] {
		ranked[at[i]] = c.Agent
	}
}

// candidate returns an agent with the slots of its server.
func (b *Balancer) candidate(view *View, id place.ID) room.Candidate {
	c := room.Candidate{Agent: id}
	if s := view.serverByAgent[id]; s != nil {
		c.Slots = s.Slots
	}
	return c
}

// queuesEarly reports whether a new flow queues at the least busy server that has denied
// it, rather than visit another one.
func (b *Balancer) queuesEarly(now clock.Millis, service string, m *Message) bool {
	return b.ByRoom && m.LeastBusy != 0 && !b.Disabled.Has(QueueEarly) && b.roomOf(service).QueuesEarly(now, m.LeastBusyLoad)
}
