package steer

import (
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/health"
	"dogwoodlanding.example/dogwood/pkg/sched"
)

// Times and limits of an agent.
const (
	// serverAnswerTimeout is how long a server may take to answer a SYN before it
	// counts as silent: a healthy one takes a few milliseconds, and callers retransmit
	// after 200.
	serverAnswerTimeout = 150 * clock.Millis(1)
	// probeInterval is the time between two new flows that probe a silent server: the
	// interval at which callers retransmit a SYN.
	probeInterval = 200 * clock.Millis(1)
	// assumedColdTime is how long a server that has lost its flows, and so must have
	// restarted, counts as cold unless a balancer reports its new entry before: servers
	// write their entries about every second, and balancers batch changes for some.
	assumedColdTime = 5 * clock.Second
	// backlogTime is how long after a pause or suspension of the process packets from
	// before it may still be read from the sockets: reading a full one empty takes some
	// milliseconds.
	backlogTime = 50 * clock.Millis(1)
	// ackWindow is how far a caller's acknowledgement may be beyond the server's
	// initial sequence number for the flow to be this server's: flows carry far fewer
	// bytes, and the random initial numbers of two servers are rarely as close.
	ackWindow = 1 << 24
	// serverGoneTimeout is how long an unlisted server must leave packets unanswered
	// before its flows count as lost: callers retransmit after 200 and 600 ms, so by
	// then it has received three.
	serverGoneTimeout = 800 * clock.Millis(1)
)

// Counts holds an agent's counters since its start.
type Counts struct {
	Opened     uint64 // new flows delivered to the server
	Denied     uint64 // packets sent back to a balancer
	Returned   uint64 // packets that the server did not accept
	Restarts   uint64 // packets returned of flows that the server had accepted: it must have restarted
	Overloaded uint64 // queued SYNs denied because their wait was or would be too long
	Unhealthy  uint64 // SYNs denied because the server fails too many requests
}

// Agent decides which packets its server receives. Set the exported fields before the
// first call. Pass packets to FromBalancer and FromServer, and call Tick and Release
// regularly. An Agent is not safe for concurrent use.
type Agent struct {
	Service ServiceID
	Slots   int // requests that the server can run at once, 0 until a balancer reports it
	// StartMs is when the process started, in Unix milliseconds by the host's clock. 0 means
	// not known.
	StartMs int64
	// FlowLife is the longest life of a flow. 0 means DefaultFlowLife.
	FlowLife clock.Millis
	Disabled MechanismSet
	// AllWork holds requests of open flows in one queue with SYNs while the server is
	// busy. Otherwise only SYNs are queued.
	AllWork bool
	// Order is that of the queue for all work.
	Order sched.Order
	// JudgeServer makes the agent deny new flows while its server fails too many requests.
	// Call Tick each health.TickInterval while AwaitsServer then.
	JudgeServer bool
	// HealthChanged, if set, is called on each change of the verdict on the server.
	HealthChanged func(health.Change)
	// Answered, if set, is called for each answer with the time from the request to
	// the answer's first byte and the response-time goal of the route, 0 if it has none.
	Answered func(took, goal clock.Millis)
	// Unanswered, if set, is called for each request that the server did not answer.
	Unanswered func()

	startedAt clock.Millis // time of the first call
	// storeRevision is the newest revision of the platform's store that a Ping has told.
	storeRevision uint64
	// missedFlow is set once the server has sent a packet of a flow without a record.
	missedFlow bool
	flows      map[flow.Key]*flowEntry
	load       int         // requests in progress, and flows expected to send one
	expected   int         // flows in load that have not sent a request
	overdue    int         // requests in load for longer than overdueTime at the last Tick, with AllWork
	state      ServerState // as balancers report it
	revision   uint64      // of the entry that state was read from
	// restoreSeenAt is when a message first took back a drain in a later era of the
	// platform's store, 0 if none does.
	restoreSeenAt clock.Millis

	coldUntil clock.Millis // end of the limit on new flows
	// assumedColdUntil is the end of the limit if no entry newer than that of revision
	// assumedColdRevision shows how long the server is cold.
	assumedColdUntil    clock.Millis
	assumedColdRevision uint64
	coldRate            int // new flows a second while cold, 0 for no limit
	// coldOpenings is a ring of the times at which flows opened while the server was
	// cold, coldOpeningCount the number of times ever written to it.
	coldOpenings     [maxColdOpenings]clock.Millis
	coldOpeningCount int

	// Times of deliveries to the server and of its packets.
	unansweredSYN   clock.Millis // delivery of the oldest SYN without an answer, 0 if none
	lastProbe       clock.Millis // last delivery of a new flow to a silent server
	lastFromServer  clock.Millis // last packet of the server
	firstUnanswered clock.Millis // first delivery since lastFromServer, 0 if none
	// refusedAt is when the host last reported that nothing listens at the server's
	// address, 0 if the server has sent a packet since.
	refusedAt clock.Millis
	// lastRefused is when it last reported that, 0 if never.
	lastRefused clock.Millis
	// meanServiceTime is the moving average of the milliseconds from a request to the
	// first byte of its answer.
	meanServiceTime float64
	utilization     utilization
	queue           queue
	held            heldWork // the queue if AllWork is set
	health          health.Detector
	healthTick      clock.Millis // time of its last Tick
	evictions       int          // oldest SYNs of the queue that are to be denied since the server was judged bad
	discardSYNUntil clock.Millis // until then, SYNs may be from before a suspension
	// meanRequestDelay is the moving average of the milliseconds from the server's
	// SYN-ACK to the request.
	meanRequestDelay float64
	counts           Counts
	shuttingDown     bool
}

// maxColdOpenings bounds the openings recorded for the limit on new flows while cold.
const maxColdOpenings = 256

// Outcome says what the agent does with a packet, and why.
type Outcome struct {
	Verdict Verdict
	Reason  Reason
	To      netip.AddrPort // balancer that a Deny goes to
	// ReportTo, if valid, is the balancer to notify that this agent holds the flow: its
	// server does, or the flow's SYN is queued here.
	ReportTo netip.AddrPort
	Opened   bool // a new flow was delivered to the server
}

func (a *Agent) init(now clock.Millis) {
	if a.flows == nil {
		a.startedAt, a.flows = now, make(map[flow.Key]*flowEntry)
		a.health.Changed = a.healthChanged
	}
	a.observeLoad(now)
}

// knowsAllFlows reports whether the agent has a record of each flow that its server may
// hold: it has run for longer than flows live.
func (a *Agent) knowsAllFlows(now clock.Millis) bool {
	return now-a.startedAt > flowLifeOrDefault(a.FlowLife)
}

// Counts returns the counters since the start.
func (a *Agent) Counts() Counts { return a.counts }

// Load returns the number of requests in progress, expected or queued.
func (a *Agent) Load() int { return a.load + a.QueueLength() }

// Flows returns the number of flows that the agent has a record of.
func (a *Agent) Flows() int { return len(a.flows) }

// State returns the state of the server as balancers report it, and the revision of
// the entry that it was read from.
func (a *Agent) State() (ServerState, uint64) { return a.state, a.revision }

// FromBalancer decides on an offered packet. If it is denied, m is updated to the
// message that is sent back with it.
func (a *Agent) FromBalancer(now clock.Millis, from netip.AddrPort, m *Message, p Packet) Outcome {
	a.init(now)
	a.updateServer(now, m)
	a.updateHealth(now, m)
	m.Key, m.AgentStartMs = p.Key, 0
	if !a.serves(m.Service) {
		return a.deny(from, m, WrongService)
	}
	e := a.flows[p.Key]
	if p.SYN {
		return a.synPacket(now, from, m, p, e)
	}
	return a.laterPacket(now, from, m, p, e)
}

// serves reports whether messages for a service, or for any, concern the agent's server.
func (a *Agent) serves(service ServiceID) bool {
	return service == a.Service || service == ServiceOf("")
}

// updateServer takes the state of the agent's server from a balancer's message, unless
// it was read from an older entry than the present one.
func (a *Agent) updateServer(now clock.Millis, m *Message) {
	if m.Revision < a.revision || m.Revision == 0 || a.drainHeld(now, m) {
		return
	}
	a.state, a.revision = m.State, m.Revision
	if m.Revision > a.assumedColdRevision {
		a.assumedColdUntil = 0
	}
	if m.Slots > 0 {
		a.Slots = m.Slots
	}
	a.coldRate = m.ColdRate
	if m.ColdLeft > 0 {
		a.coldUntil = max(a.coldUntil, now+m.ColdLeft)
	}
}

// drainHeld reports whether a message takes back the drain of the server because the
// platform's store was restored from an older copy, so that a balancer which started
// since does not know of the drain. The server writes it again within restoreHoldTime.
func (a *Agent) drainHeld(now clock.Millis, m *Message) bool {
	if a.state != Leaving || m.State != Serving || eraOf(m.Revision) <= eraOf(a.revision) {
		a.restoreSeenAt = 0
		return false
	}
	if a.restoreSeenAt == 0 {
		a.restoreSeenAt = now
	}
	return now-a.restoreSeenAt < restoreHoldTime
}

// deny turns m into the message that goes back with a denied packet.
func (a *Agent) deny(to netip.AddrPort, m *Message, reason Reason) Outcome {
	a.counts.Denied++
	m.Kind, m.Reason, m.Load, m.Slots = DenyPacket, reason, a.reportedLoad(reason), a.Slots
	m.StoreRevision = a.storeRevision
	a.Report(m)
	return Outcome{Verdict: Deny, Reason: reason, To: to}
}

// AnswerPing returns the reply to a Ping.
func (a *Agent) AnswerPing(m *Message) Message {
	a.storeRevision = max(a.storeRevision, m.StoreRevision)
	pong := Message{Kind: Pong, Load: a.Load(), Slots: a.Slots}
	a.Report(&pong)
	return pong
}

// Report fills in what a message tells balancers of the agent and its server. There is no
// report before the utilization has been measured for long enough, unless the server is
// judged bad.
func (a *Agent) Report(m *Message) {
	m.Utilization, m.HasReport = a.utilization.percent()
	if a.avoidsNewFlows() {
		m.Utilization, m.HasReport = m.Utilization+unhealthyUtilization, true
	}
	m.ServiceTime = clock.Millis(a.meanServiceTime)
	m.AnswersQueries = !a.Disabled.Has(QueryMany)
}

// synPacket decides on the SYN of a flow.
func (a *Agent) synPacket(now clock.Millis, from netip.AddrPort, m *Message, p Packet, e *flowEntry) Outcome {
	if e != nil && e.phase != returned && e.phase != ended && e.phase != probing {
		e.lastSeen, e.balancer = now, from
		return Outcome{Verdict: Deliver, Reason: KnownOwner}
	}
	if now < a.discardSYNUntil {
		return Outcome{Verdict: Drop, Reason: Suspended}
	}
	if a.queue.has(p.Key) || a.held.flows[p.Key] != nil {
		return Outcome{Verdict: Drop, Reason: Queued, ReportTo: from}
	}
	if reason := a.denialReason(now, m); reason != NoReason {
		return a.deny(from, m, reason)
	}
	if a.QueueLength() > 0 || !a.hasCapacity() {
		if a.Disabled.Has(Queue) || a.AllWork && !a.held.hasRoom(p) {
			return a.deny(from, m, Overloaded)
		}
		return a.enqueue(now, from, m, p)
	}
	a.recordProgress(now)
	return a.open(now, from, m, p)
}

// open delivers the SYN of a flow to the server.
func (a *Agent) open(now clock.Millis, from netip.AddrPort, m *Message, p Packet) Outcome {
	if e := a.flows[p.Key]; e != nil {
		a.deleteFlow(now, p.Key, e)
	}
	stored := *m
	e := &flowEntry{phase: opening, balancer: from, lastSeen: now, since: now, message: &stored, goal: m.Goal, priority: m.Priority, sentAt: now - p.Age}
	a.flows[p.Key] = e
	a.setInLoad(e, true, now)
	if a.unansweredSYN == 0 {
		a.unansweredSYN = now
	}
	if a.isCold(now) {
		a.coldOpenings[a.coldOpeningCount%maxColdOpenings] = now
		a.coldOpeningCount++
	}
	a.recordDelivery(now)
	a.counts.Opened++
	return Outcome{Verdict: Deliver, Reason: NewFlow, Opened: true}
}

// denialReason returns why the server must not receive a new flow now, NoReason if it
// may.
func (a *Agent) denialReason(now clock.Millis, m *Message) Reason {
	switch {
	case a.shuttingDown || a.state != Serving:
		return Draining
	case a.serverGone(now):
		return ServerGone
	case a.serverSilent(now) && !a.Disabled.Has(ProbeSilentServer):
		if !a.mayProbe(now) {
			return ServerSilent
		}
	case a.coldLimitReached(now):
		return Cold
	case a.Slots > 0 && a.load >= a.Slots && !m.LastOffer && !a.Disabled.Has(PassOn):
		return Busy
	case a.avoidsNewFlows() && !m.LastOffer && !a.health.LetThrough(now):
		a.counts.Unhealthy++
		return Busy
	}
	return NoReason
}

// serverSilent reports whether the server has left a SYN unanswered for too long, or
// nothing listens at its address.
func (a *Agent) serverSilent(now clock.Millis) bool {
	return a.refusedAt != 0 || a.unansweredSYN != 0 && now-a.unansweredSYN >= serverAnswerTimeout
}

// serverGone reports whether the server has ended: a moment ago nothing listened at its
// address, or it is unlisted and does not answer. After probeInterval a packet may be
// tried again, since another server may have started at the address.
func (a *Agent) serverGone(now clock.Millis) bool {
	refused := a.refusedAt != 0 && now-a.refusedAt < probeInterval
	return refused || a.state == Unlisted && a.firstUnanswered != 0 && now-a.firstUnanswered >= serverGoneTimeout
}

// isCold reports whether the server takes only few new flows since its start.
func (a *Agent) isCold(now clock.Millis) bool { return now < max(a.coldUntil, a.assumedColdUntil) }

// coldLimitReached reports whether one more flow would exceed the number that the cold
// server can take in a second.
func (a *Agent) coldLimitReached(now clock.Millis) bool {
	if !a.isCold(now) || a.coldRate == 0 {
		return false
	}
	within := 0
	for _, at := range a.coldOpenings[:min(a.coldOpeningCount, maxColdOpenings)] {
		if now-at < clock.Second {
			within++
		}
	}
	return within >= a.coldRate
}

// laterPacket decides on a packet of an open flow.
func (a *Agent) laterPacket(now clock.Millis, from netip.AddrPort, m *Message, p Packet, e *flowEntry) Outcome {
	if reason := a.laterDenial(now, m, e, p.HasACK, p.Ack); reason != NoReason {
		if e != nil && e.phase == returned {
			e.lastSeen = now
		}
		m.AgentStartMs = a.startOfRecords(reason)
		return a.deny(from, m, reason)
	}
	switch {
	case e == nil:
		stored := *m
		e = &flowEntry{phase: probing, since: now, message: &stored}
		a.flows[p.Key] = e
	case e.phase == probing, m.VisitedCount > 0:
		e.storeMessage(m)
	}
	if m.VisitedCount == 0 && e.phase == opened {
		e.message = nil
	}
	e.balancer, e.lastSeen, e.goal, e.priority = from, now, m.Goal, m.Priority
	e.reportHolder = e.reportHolder || m.Reason == Searching
	out := Outcome{Verdict: Deliver, Reason: KnownOwner}
	if e.reportHolder && (e.phase == opened || e.phase == ended) {
		e.reportHolder, out.ReportTo = false, from
	}
	if a.AllWork {
		if out.Verdict = a.holdLater(now, from, m, p, e); out.Verdict != Deliver {
			out.Reason = Queued
			return out
		}
	}
	a.trackCaller(now, p, e)
	a.recordDelivery(now)
	return out
}

// recordDelivery records the time of a delivery if it is the first one since the last
// packet of the server.
func (a *Agent) recordDelivery(now clock.Millis) {
	if a.firstUnanswered == 0 {
		a.firstUnanswered = now
	}
}

// FromServer decides on a packet of the server. If the server returned it and it is
// denied, m is set to the message that goes back with it.
func (a *Agent) FromServer(now clock.Millis, p Packet, m *Message) Outcome {
	a.init(now)
	a.lastFromServer, a.firstUnanswered, a.refusedAt = now, 0, 0
	a.tickHealth(now)
	e := a.flows[p.Key]
	if p.Returned {
		return a.packetReturned(now, p, e, m)
	}
	if e == nil {
		a.missedFlow = true
		e = &flowEntry{phase: opened, lastSeen: now}
		a.flows[p.Key] = e
	}
	e.lastSeen = now
	out := Outcome{Verdict: ToCaller}
	if p.SYN && p.HasACK {
		a.unansweredSYN = 0
		if e.phase == opening {
			e.serverISN, e.hasServerISN = p.Seq, true
			e.phase, e.reportHolder, e.since = opened, true, now
		}
	}
	a.missedFlow = a.missedFlow || e.phase == probing
	if e.phase == probing || e.phase == opening && p.Bytes > 0 {
		e.phase = opened
	}
	if e.reportHolder && e.phase == opened && e.balancer.IsValid() {
		e.reportHolder, out.ReportTo = false, e.balancer
	}
	a.trackServer(now, p, e)
	return out
}

// packetReturned handles a packet that the server did not accept.
func (a *Agent) packetReturned(now clock.Millis, p Packet, e *flowEntry, m *Message) Outcome {
	a.counts.Returned++
	if e == nil || !e.balancer.IsValid() {
		return Outcome{Verdict: Drop, Reason: Malformed}
	}
	reason := NotHeld
	if p.SYN {
		reason, a.unansweredSYN = ServerFull, 0
	}
	if e.phase == opened && e.hasServerISN {
		a.counts.Restarts++
		if !a.Disabled.Has(AssumeCold) {
			a.assumedColdUntil, a.assumedColdRevision = now+assumedColdTime, a.revision
		}
	}
	m.VisitedCount, m.LeastBusy, m.LeastBusyLoad, m.Inconclusive, m.LastOffer, m.PacketKept = 0, 0, 0, false, false, false
	if e.message != nil {
		*m = *e.message
	}
	m.Key, m.AgentStartMs = p.Key, 0
	a.setInLoad(e, false, now)
	a.health.Discard(now, &e.request)
	if e.message == nil {
		e.message = &Message{}
	}
	e.phase, e.since, e.hasServerISN, e.finished, e.dataEnd = returned, now, false, 0, 0
	a.held.dropRequest(p.Key)
	return a.deny(e.balancer, m, reason)
}

// RecordRefusedConnection records that nothing listens at the server's address. It
// reports whether that is new.
func (a *Agent) RecordRefusedConnection(now clock.Millis) bool {
	was := a.refusedAt
	a.refusedAt, a.lastRefused = now, now
	if a.JudgeServer && was == 0 && a.state == Serving {
		a.health.ServerGone(now)
	} else {
		a.health.Forget(now)
	}
	return was == 0
}

// SetService assigns the agent to another service and resets all state of the server. It
// keeps FlowLife, the callbacks, the counters and the effect of BeginShutdown.
func (a *Agent) SetService(service ServiceID) {
	*a = Agent{Service: service, StartMs: a.StartMs, FlowLife: a.FlowLife, Disabled: a.Disabled, AllWork: a.AllWork, Order: a.Order, Answered: a.Answered,
		Unanswered: a.Unanswered, JudgeServer: a.JudgeServer, HealthChanged: a.HealthChanged, counts: a.counts, shuttingDown: a.shuttingDown}
}

// RecordSuspension records that the process was suspended. It discards the queued SYNs, and
// for a short time the SYNs still in the sockets: balancers offered them by an outdated
// view, and their callers have given up.
func (a *Agent) RecordSuspension(now clock.Millis) {
	a.discardSYNUntil = now + backlogTime
	a.utilization.skip(now)
	a.queue, a.evictions = queue{}, 0
	a.held.dropSYNs()
	a.health.Forget(now)
}

// BeginShutdown denies all new flows from now on, since the process is about to end, and
// those that are queued when Release is called. Queued requests are delivered then.
func (a *Agent) BeginShutdown() { a.shuttingDown = true }
