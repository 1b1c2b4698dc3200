package steer

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// Times by which a balancer judges whether it reaches an agent.
const (
	// agentAnswerTimeout is the time after which an agent that has not replied to a
	// SYN or ping counts as silent. With a healthy server the reply takes a few
	// milliseconds; the rest allows for a busy host.
	agentAnswerTimeout = 120 * clock.Millis(1)
	// departureTimeout is how long the agent of an unlisted server must leave pings
	// unanswered before agent and server count as gone.
	departureTimeout = clock.Second
	// unreachableTimeout is how long an agent must be silent before the flows of its
	// server count as unreachable: an agent that restarts beside a running server
	// answers again within half of it.
	unreachableTimeout = clock.Second
	// pingInterval is the time between two pings to a silent agent.
	pingInterval = 200 * clock.Millis(1)
	// departedPingInterval is the time between two pings to an agent whose server has
	// ended. Another server may start there, but then its entry is listed first.
	departedPingInterval = 2 * clock.Second
	// startTime is how long an agent that was just listed may take to reply to its first
	// ping. After a loss of power, hosts start within a few hundred milliseconds of each
	// other.
	startTime = 400 * clock.Millis(1)
	// startPingInterval is the time between two pings to an agent in its startTime.
	startPingInterval = 40 * clock.Millis(1)
)

// agentState is the reachability of one agent.
type agentState struct {
	unansweredSince clock.Millis // time of the oldest SYN or ping without a reply, 0 if none
	lastPing        clock.Millis
	silent          bool // has not replied in time, or announced its shutdown
	shutDown        bool // announced its shutdown, and has not replied since
	// starting is set for a silent agent that was listed less than startTime ago and has
	// not yet replied.
	starting bool
	// endedRevision is the revision of the server's entry when the agent reported
	// that the server has ended, 0 if it has not.
	endedRevision uint64
	// answersQueries is what the agent's last message said.
	answersQueries bool
}

// SilentAgent is an agent that no longer replies.
type SilentAgent struct {
	Agent place.ID
	Since clock.Millis // time of the oldest message without a reply
}

// isSilent reports whether an agent has not replied in time, or announced its shutdown.
func (b *Balancer) isSilent(id place.ID) bool {
	state := b.agentStates[id]
	return state != nil && state.silent
}

// isStarting reports whether an agent was just listed and has not yet replied.
func (b *Balancer) isStarting(id place.ID) bool {
	state := b.agentStates[id]
	return state != nil && state.starting
}

// unreachable reports whether an agent has been silent for unreachableTimeout although
// it announced no shutdown.
func (b *Balancer) unreachable(now clock.Millis, id place.ID) bool {
	state := b.agentStates[id]
	return state != nil && state.silent && !state.shutDown && now-state.unansweredSince >= unreachableTimeout
}

// updateReach counts the listed agents that are silent, apart from those that are
// starting. If most are, this balancer's host is more likely to be cut off than theirs.
// It can still serve its own data centre if it reaches most agents there.
func (b *Balancer) updateReach(view *View) {
	var listed, silent, localListed, localSilent int
	for id, s := range view.serverByAgent {
		if s.State == Unlisted {
			continue
		}
		isSilent := b.isSilent(id) && !b.isStarting(id)
		listed++
		if isSilent {
			silent++
		}
		if s.DataCentre != b.Registry.DataCentre {
			continue
		}
		localListed++
		if isSilent {
			localSilent++
		}
	}
	b.cutOff = 2*silent > listed
	b.reachesLocal = localListed > 0 && 2*localSilent <= localListed
}

// mayAbandon reports whether a flow whose holder is unreachable may be reset, so that
// its caller need not wait for its own time limit: its requests may be repeated, and it
// is not this balancer's host that is cut off.
func (b *Balancer) mayAbandon(route *Route) bool {
	return route.Repeatable && !b.cutOff && !b.Disabled.Has(ResetUnreachable)
}

// departed reports whether an agent's server has ended, and its flows with it: its agent
// has reported that, or does not answer and the entry has not returned in time, or the
// view no longer holds the server.
func (b *Balancer) departed(now clock.Millis, view *View, id place.ID) bool {
	state, s := b.agentStates[id], view.serverByAgent[id]
	if state != nil && s != nil && state.endedRevision == s.Revision {
		return true
	}
	unanswered := state != nil && state.silent && state.unansweredSince != 0 && now-state.unansweredSince >= departureTimeout
	return s == nil || unanswered && b.unlistedForGood(view, id)
}

// unlistedForGood reports whether an agent's server is no longer listed and its entry
// has had enough time to return while the platform was available.
func (b *Balancer) unlistedForGood(view *View, id place.ID) bool {
	s := view.serverByAgent[id]
	return s == nil || s.State == Unlisted && b.Registry.returnTimedOut(s)
}

// expectAnswer records that a reply of an agent is outstanding.
func (b *Balancer) expectAnswer(now clock.Millis, id place.ID) {
	state := b.agentStates[id]
	if state == nil {
		state = &agentState{}
		b.agentStates[id] = state
	}
	if state.unansweredSince == 0 {
		state.unansweredSince = now
	}
	b.awaited[id] = state
}

// recordAnswer records a message from an agent, of whatever kind. It reports whether
// the agent had been silent.
func (b *Balancer) recordAnswer(id place.ID, m *Message) bool {
	state := b.agentStates[id]
	if state == nil {
		return false
	}
	wasSilent := state.silent && !state.starting
	if state.starting {
		b.startedAgents++
	}
	b.reachChanged = b.reachChanged || state.silent
	*state = agentState{lastPing: state.lastPing, answersQueries: m.AnswersQueries}
	delete(b.awaited, id)
	return wasSilent
}

// recordShutdown records that an agent's process shuts down, and whether its server
// had ended before.
func (b *Balancer) recordShutdown(now clock.Millis, from place.ID, reason Reason) {
	b.expectAnswer(now, from)
	state := b.agentStates[from]
	state.silent, state.starting, state.shutDown, state.unansweredSince = true, false, true, now
	b.reachChanged = true
	if view := b.Registry.View(now); reason == ServerGone && view != nil && view.serverByAgent[from] != nil {
		state.endedRevision = view.serverByAgent[from].Revision
	}
}

// Starting reports whether agents were just listed and have not yet replied. Call Tick
// every startPingInterval meanwhile.
func (b *Balancer) Starting() bool {
	for _, state := range b.awaited {
		if state.starting {
			return true
		}
	}
	return false
}

// watch follows a change of the view. Agents that were listed since the last call count as
// silent until they reply, so that no packet is lost at a host that has not yet started.
func (b *Balancer) watch(now clock.Millis, view *View) {
	if view == b.watchedView {
		return
	}
	b.watchedView, b.reachChanged = view, true
	for id := range b.agentStates {
		if view.serverByAgent[id] == nil {
			b.forget(id)
		}
	}
	b.retainRooms(view)
	if b.Disabled.Has(AwaitAgents) {
		return
	}
	for id, s := range view.serverByAgent {
		if b.agentStates[id] == nil && s.State != Unlisted {
			state := &agentState{silent: true, starting: true, unansweredSince: now, lastPing: now - startPingInterval}
			b.agentStates[id], b.awaited[id] = state, state
		}
	}
}

// forget deletes what is known of an agent.
func (b *Balancer) forget(id place.ID) {
	delete(b.agentStates, id)
	delete(b.awaited, id)
}

// Tick returns the agents that have become silent since the last call, and calls ping
// for those that are due a ping. Call it several times a second.
func (b *Balancer) Tick(now clock.Millis, ping func(place.ID)) []SilentAgent {
	b.init()
	var newlySilent []SilentAgent
	view := b.Registry.View(now)
	if view != nil {
		b.watch(now, view)
		b.watchEvacuated(now, view, ping)
		if b.reachChanged {
			b.updateReach(view)
			b.reachChanged = false
		}
	}
	b.expireSearches(now)
	for id, state := range b.awaited {
		if view != nil && view.serverByAgent[id] == nil {
			b.forget(id) // it answers for no listed server
			continue
		}
		if state.starting && now-state.unansweredSince < startTime {
			if now-state.lastPing >= startPingInterval {
				state.lastPing = now
				ping(id)
			}
			continue
		}
		if state.starting {
			state.starting = false
			b.startedAgents++
			b.reachChanged = true
			newlySilent = append(newlySilent, SilentAgent{Agent: id, Since: state.unansweredSince})
		}
		if state.unansweredSince == 0 || now-state.unansweredSince < agentAnswerTimeout {
			continue
		}
		if !state.silent {
			state.silent = true
			b.reachChanged = true
			newlySilent = append(newlySilent, SilentAgent{Agent: id, Since: state.unansweredSince})
		}
		interval := pingInterval
		if view != nil && b.departed(now, view, id) {
			interval = departedPingInterval
		}
		if now-state.lastPing >= interval {
			state.lastPing = now
			ping(id)
		}
	}
	return newlySilent
}

// watchEvacuated pings the agents of unlisted servers in evacuated data centres: they
// receive no packets, so their silence would not be noticed otherwise.
func (b *Balancer) watchEvacuated(now clock.Millis, view *View, ping func(place.ID)) {
	for _, id := range view.unlistedEvacuated {
		if state := b.agentStates[id]; state != nil && (state.unansweredSince != 0 || now-state.lastPing < unreachableTimeout) {
			continue
		}
		b.expectAnswer(now, id)
		b.agentStates[id].lastPing = now
		ping(id)
	}
}
