package steer

import (
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/health"
)

// unhealthyLoad is the load for each slot that is added to what a server that fails too
// many requests reports, so that the least busy server is another one. A sound server with
// two requests for each slot takes three service times, which is within usual goals; with
// more, the rest is better off at a bad one.
const unhealthyLoad = 2

// unhealthyUtilization is added to the utilization, in percent, that a server which fails
// too many requests reports: it is idle, so balancers would offer it most new flows. With
// all its slots counted as used it is among the last, but still visited for trials: a
// recovered server must be in use again within 15 s.
const unhealthyUtilization = 100

// Health returns the verdict on the server and the counters behind it.
func (a *Agent) Health() health.Status { return a.health.Status() }

// updateHealth takes what the judgement depends on from a balancer's message.
func (a *Agent) updateHealth(now clock.Millis, m *Message) {
	a.health.Slots, a.health.Cold = a.Slots, a.isCold(now)
	if m.TypicalTime > 0 {
		a.health.Typical = m.TypicalTime
	}
	a.tickHealth(now)
}

// AwaitsServer reports whether the agent judges its server and has delivered a request or
// SYN that is not answered yet.
func (a *Agent) AwaitsServer() bool {
	return a.JudgeServer && (a.health.InProgress() || a.unansweredSYN != 0)
}

// tickHealth judges requests that have run for too long. It is called for each packet too,
// so that a busy agent needs no timer for it.
func (a *Agent) tickHealth(now clock.Millis) {
	if a.JudgeServer && now-a.healthTick >= health.TickInterval {
		a.healthTick = now
		a.health.Tick(now)
	}
}

// healthChanged handles a change of the verdict. SYNs that wait in the queue of a bad
// server are denied, so that they go to others.
func (a *Agent) healthChanged(c health.Change) {
	if c.Bad && !a.Disabled.Has(EjectUnhealthy) {
		a.evictions = a.queue.length() + a.held.queue.Movable()
	}
	if a.HealthChanged != nil {
		a.HealthChanged(c)
	}
}

// avoidsNewFlows reports whether the server fails too many requests to receive new flows.
func (a *Agent) avoidsNewFlows() bool { return a.health.Bad() && !a.Disabled.Has(EjectUnhealthy) }

// reportedLoad returns the load to report with a denial.
func (a *Agent) reportedLoad(reason Reason) int {
	if reason == Busy && a.avoidsNewFlows() {
		return a.Load() + unhealthyLoad*a.Slots
	}
	return a.Load()
}

// mayProbe reports whether a new flow may probe a silent server, and counts it if so.
func (a *Agent) mayProbe(now clock.Millis) bool {
	if a.avoidsNewFlows() {
		return a.health.LetThrough(now)
	}
	if now-a.lastProbe < probeInterval {
		return false
	}
	a.lastProbe = now
	return true
}

// evict denies the first SYN of the queue, which may open its flow at another server.
func (a *Agent) evict(now clock.Millis) Release {
	a.evictions--
	a.counts.Unhealthy++
	p := a.queue.take(0)
	p.message.LastOffer, p.message.LeastBusy, p.message.VisitedCount = false, 0, 0
	return a.release(now, p, Busy)
}

// evictHeld does the same with the queue for all work. It returns false if no SYN is left.
func (a *Agent) evictHeld(now clock.Millis) (Release, bool) {
	item, ok := a.held.queue.DrainMovable()
	if !ok {
		a.evictions = 0
		return Release{}, false
	}
	a.evictions--
	a.counts.Unhealthy++
	h := a.held.remove(item.Key)
	h.message.LastOffer, h.message.LeastBusy, h.message.VisitedCount = false, 0, 0
	return a.releaseSYN(now, h, Busy), true
}

// judgeCaller records what a caller's packet tells of its request. isNew says that the
// packet carries data that the caller has not sent before.
func (a *Agent) judgeCaller(now clock.Millis, p Packet, e *flowEntry, isNew bool) {
	switch {
	case !a.JudgeServer:
	case isNew && !p.RST && e.phase != ended:
		a.health.Begin(now, &e.request, e.goal)
	case p.RST, p.FIN && p.Bytes == 0: // with data, the caller only has no more to send
		a.health.GivenUp(now, &e.request)
	case p.Bytes > 0:
		a.health.WasRepeated(now, &e.request)
	}
}

// judgeServer records what a packet of the server tells of its request. A server that
// drains, closes the flow without an answer or has closed it before does not fail: it ends
// idle flows, while a request may be on its way. Whether it has closed a flow is only known
// if the agent has seen it open.
func (a *Agent) judgeServer(now clock.Millis, p Packet, e *flowEntry) {
	switch {
	case !a.JudgeServer:
	case p.Bytes > 0:
		a.health.Answered(now, &e.request)
	case p.RST && a.state == Serving && e.phase == opening:
		a.health.NotOpened(now, health.Reset)
	case p.RST && a.state == Serving && e.hasServerISN && e.finished&serverDone == 0:
		a.health.WasReset(now, &e.request)
	case p.RST, p.FIN:
		a.health.Discard(now, &e.request)
	}
}

// judgeOpening records a SYN that the server has left unanswered, unless nothing listened
// at its address: a server that starts again is not to be judged by that. The flow leaves
// the load: otherwise the next SYNs, which show whether the server answers again, would
// wait for a slot.
func (a *Agent) judgeOpening(now clock.Millis, e *flowEntry) {
	if a.JudgeServer && e.phase == opening && !e.notOpened && a.state == Serving && now-e.since >= serverAnswerTimeout && e.since > a.lastRefused {
		if e.notOpened = a.health.NotOpened(now, health.Unopened); e.notOpened {
			a.setInLoad(e, false, now)
		}
	}
}
