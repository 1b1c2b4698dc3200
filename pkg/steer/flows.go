package steer

import (
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/health"
)

// DefaultFlowLife is the longest life of a flow if the settings do not set one.
const DefaultFlowLife = 60 * clock.Second

// flowLifeOrDefault replaces 0 by DefaultFlowLife.
func flowLifeOrDefault(life clock.Millis) clock.Millis {
	if life == 0 {
		return DefaultFlowLife
	}
	return life
}

// Times and limits of an agent's flows.
const (
	// endedFlowTime is how long an ended flow is kept, so that its packets still reach
	// the server: both ends may retransmit for some seconds.
	endedFlowTime = 10 * clock.Second
	// maxServiceTime is how long a request counts as in progress: response-time goals
	// are below a second, so an answer that has not begun by then is not expected.
	maxServiceTime = 8 * clock.Second
	// minRequestDelay and maxRequestDelay bound how long the request of an opened flow
	// is waited for: some round trips to the caller, of 6 ms and more.
	minRequestDelay = 20 * clock.Millis(1)
	maxRequestDelay = 400 * clock.Millis(1)
	// requestDelayFactor is the multiple of the mean delay for which the request of an
	// opened flow is waited for.
	requestDelayFactor = 4
	// meanWeight is the weight of a new sample in an exponential moving average, which
	// thus covers about the last ten.
	meanWeight = 0.1
)

// phase is the state of a flow at this agent.
type phase uint8

const (
	probing  phase = iota // a packet other than a SYN was delivered, not yet answered
	opening               // the SYN was delivered to the server
	opened                // the server has sent a packet of the flow
	ended                 // one end has reset the flow, or both have sent a FIN
	returned              // the server returned a packet of the flow
)

// flowEntry is the agent's record of one flow.
type flowEntry struct {
	balancer     netip.AddrPort // that sent the last packet
	lastSeen     clock.Millis   // last packet, in either direction
	since        clock.Millis   // start of the present phase or request
	dataEnd      uint32         // sequence number after the data that the caller has sent
	serverISN    uint32         // the server's initial sequence number
	phase        phase
	hasServerISN bool         // serverISN is set
	gotRequest   bool         // the caller has sent data
	inLoad       bool         // counted in Agent.load: a request is in progress or expected
	reportHolder bool         // a balancer is to be notified once the server answers
	finished     uint8        // directions that have ended: callerDone, serverDone
	message      *Message     // to send back if the server returns the packet
	goal         clock.Millis // response-time goal of the route
	priority     int          // of the route
	sentAt       clock.Millis // when the caller first sent the request or the SYN before it, 0 if not known
	request      health.Request
	notOpened    bool // Agent.health has recorded that the server left the SYN unanswered
}

// Directions of a flow whose sender has sent a FIN.
const (
	callerDone = 1 << 0
	serverDone = 1 << 1
)

// storeMessage keeps the message of a packet that the server may return, so that the
// packet is not offered again to the agents that have denied it.
func (e *flowEntry) storeMessage(m *Message) {
	if e.message == nil {
		e.message = new(Message)
	}
	*e.message = *m
}

// trackCaller updates a flow by a packet of the caller.
func (a *Agent) trackCaller(now clock.Millis, p Packet, e *flowEntry) {
	isNew := false
	if end := p.Seq + uint32(p.Bytes); p.Bytes > 0 && (e.dataEnd == 0 || int32(end-e.dataEnd) > 0) {
		if !e.gotRequest && e.hasServerISN {
			a.recordRequestDelay(now - e.since)
		}
		if !e.gotRequest && e.inLoad {
			a.expected--
		}
		e.dataEnd, e.gotRequest = end, true
		a.setInLoad(e, true, now)
		isNew = true
	}
	a.judgeCaller(now, p, e, isNew)
	if p.FIN {
		e.finished |= callerDone
	}
	if p.RST || e.finished == callerDone|serverDone {
		a.endFlow(now, e)
	}
}

// recordRequestDelay adds the time from a SYN-ACK to the request to the mean. A sample counts
// at most twice the mean: requests that are sent again after 200 ms or more, since the first
// copy was lost, are rare but would raise the mean tenfold.
func (a *Agent) recordRequestDelay(delay clock.Millis) {
	bounded := min(float64(delay), max(2*a.meanRequestDelay, float64(minRequestDelay)/requestDelayFactor))
	a.meanRequestDelay += (bounded - a.meanRequestDelay) * meanWeight
}

// requestTimeout returns how long the request of an opened flow is waited for.
func (a *Agent) requestTimeout() clock.Millis {
	return max(minRequestDelay, min(maxRequestDelay, clock.Millis(requestDelayFactor*a.meanRequestDelay)))
}

// setInLoad adds a flow to the load or removes it. Adding starts its time anew.
func (a *Agent) setInLoad(e *flowEntry, inLoad bool, now clock.Millis) {
	if inLoad {
		e.since = now
	}
	if e.inLoad == inLoad {
		return
	}
	e.inLoad = inLoad
	step := 1
	if !inLoad {
		step = -1
	}
	a.load += step
	if !e.gotRequest {
		a.expected += step
	}
}

// endFlow marks a flow as ended and removes it from the load.
func (a *Agent) endFlow(now clock.Millis, e *flowEntry) {
	a.setInLoad(e, false, now)
	a.health.Discard(now, &e.request)
	if e.phase != ended {
		e.phase, e.since = ended, now
	}
}

// deleteFlow deletes the record of a flow and removes it from the load.
func (a *Agent) deleteFlow(now clock.Millis, key flow.Key, e *flowEntry) {
	a.held.dropRequest(key)
	a.setInLoad(e, false, 0)
	a.health.Discard(now, &e.request)
	delete(a.flows, key)
}

// trackServer updates a flow by a packet of the server.
func (a *Agent) trackServer(now clock.Millis, p Packet, e *flowEntry) {
	a.judgeServer(now, p, e)
	if p.Bytes > 0 && e.inLoad {
		a.recordServiceTime(now - e.since)
		a.recordAnswer(now, e)
		if a.Answered != nil {
			a.Answered(now-e.since, e.goal)
		}
		a.setInLoad(e, false, now)
	}
	if p.FIN {
		e.finished |= serverDone
	}
	if p.RST {
		a.held.dropRequest(p.Key)
	}
	if p.RST || e.finished == callerDone|serverDone {
		a.endFlow(now, e)
	}
}

// recordServiceTime adds the time of an answer to the mean, unless the request may have
// queued in the server.
func (a *Agent) recordServiceTime(took clock.Millis) {
	if a.Slots > 0 && a.load > a.Slots {
		return
	}
	if a.meanServiceTime == 0 {
		a.meanServiceTime = float64(took)
	}
	a.meanServiceTime += (float64(took) - a.meanServiceTime) * meanWeight
}

// Tick deletes flows that have ended or been idle for long, and removes requests from
// the load that were not sent or not answered in time. Call it about once a second, and
// every few milliseconds while SYNs are queued.
func (a *Agent) Tick(now clock.Millis) {
	a.overdue = 0
	a.observeLoad(now)
	a.tickHealth(now)
	for key, e := range a.flows {
		a.judgeOpening(now, e)
		switch {
		case e.inLoad && (now-e.since >= maxServiceTime || !e.gotRequest && e.phase != opening && now-e.since >= a.requestTimeout()):
			if e.gotRequest && a.Unanswered != nil {
				a.Unanswered()
			}
			a.setInLoad(e, false, now)
		case e.phase == ended && now-e.since >= endedFlowTime, now-e.lastSeen >= flowLifeOrDefault(a.FlowLife):
			a.deleteFlow(now, key, e)
		case a.AllWork && e.inLoad && e.gotRequest && now-e.since >= a.overdueTime():
			a.overdue++
		}
	}
}
