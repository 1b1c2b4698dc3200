package steer

import (
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
)

// DefaultFlowLife is the longest life of a flow if the settings do not tell it.
const DefaultFlowLife = 60 * clock.Second

// orDefault is the longest life of a flow.
func orDefault(life clock.Millis) clock.Millis {
	if life == 0 {
		return DefaultFlowLife
	}
	return life
}

// Times and limits of an agent's flows.
const (
	// endedFor is how long an ended flow is still the server's to answer for: its
	// ends repeat a packet for some seconds.
	endedFor = 10 * clock.Second
	// workFor is how long a request counts as being worked on: goals are below a
	// second, so an answer that has not begun by then is not expected any more.
	workFor = 8 * clock.Second
	// leastOpening and mostOpening bound how long an opened flow is expected to
	// bring its request: some round trips to the caller, of 6 ms and more.
	leastOpening = 20 * clock.Millis(1)
	mostOpening  = 400 * clock.Millis(1)
	// openingTrips is how many usual times a late request may take.
	openingTrips = 4
	// meanShare is the share of each new value in a smoothed mean, which thus
	// follows the last ten or so.
	meanShare = 0.1
)

// phase is how far a flow has come at this agent.
type phase uint8

const (
	trying  phase = iota // handed to the server, which has not answered yet
	opening              // first packet handed over
	opened               // the server has sent something on it
	ended                // one end has reset it, or both have finished
	denied               // the server returned it
)

// entry is one flow.
type entry struct {
	from     netip.AddrPort // balancer that sent the last packet
	seen     clock.Millis
	began    clock.Millis // when the present phase or request began
	lastSeq  uint32       // end of the data that the caller has sent
	firstAck uint32       // what the caller's first acknowledgement must exceed
	phase    phase
	known    bool // firstAck is known
	brought  bool // the caller has sent data
	working  bool // a request is in progress
	asked    bool // the balancer wants to hear who holds the flow
	lasts    uint8
	message  *Message     // of a packet that the server may return
	goal     clock.Millis // response-time goal of its route
}

// Halves of a flow that have finished.
const (
	callerDone = 1 << 0
	serverDone = 1 << 1
)

// keep remembers the message of a packet that the server may return, so that the
// agents which denied it before are not asked again.
func (e *entry) keep(m *Message) {
	if e.message == nil {
		e.message = new(Message)
	}
	*e.message = *m
}

// track follows the caller's half of a flow.
func (a *Agent) track(now clock.Millis, p Packet, e *entry) {
	if end := p.Seq + uint32(p.Bytes); p.Bytes > 0 && (e.lastSeq == 0 || int32(end-e.lastSeq) > 0) {
		if !e.brought && e.known {
			a.trip += (float64(now-e.began) - a.trip) * meanShare
		}
		e.lastSeq, e.brought = end, true
		a.setWorking(e, true, now)
	}
	if p.Last {
		e.lasts |= callerDone
	}
	if p.Reset || e.lasts == callerDone|serverDone {
		a.end(now, e)
	}
}

// openingFor is how long an opened flow counts as about to bring a request.
func (a *Agent) openingFor() clock.Millis {
	return max(leastOpening, min(mostOpening, clock.Millis(openingTrips*a.trip)))
}

// setWorking keeps the count of requests in progress.
func (a *Agent) setWorking(e *entry, working bool, now clock.Millis) {
	if working {
		e.began = now
	}
	if e.working == working {
		return
	}
	e.working = working
	if working {
		a.load++
	} else {
		a.load--
	}
}

func (a *Agent) end(now clock.Millis, e *entry) {
	a.setWorking(e, false, now)
	if e.phase != ended {
		e.phase, e.began = ended, now
	}
}

func (a *Agent) drop(key flow.Key, e *entry) {
	a.setWorking(e, false, 0)
	delete(a.flows, key)
}

// trackServer follows the server's half of a flow.
func (a *Agent) trackServer(now clock.Millis, p Packet, e *entry) {
	if p.Bytes > 0 && e.working {
		a.sample(now - e.began)
		if a.Answered != nil {
			a.Answered(now-e.began, e.goal)
		}
		a.setWorking(e, false, now)
	}
	if p.Last {
		e.lasts |= serverDone
	}
	if p.Reset || e.lasts == callerDone|serverDone {
		a.end(now, e)
	}
}

// sample takes the time of one answer, if the request did not have to queue.
func (a *Agent) sample(took clock.Millis) {
	if a.Slots > 0 && a.load > a.Slots {
		return
	}
	if a.work == 0 {
		a.work = float64(took)
	}
	a.work += (float64(took) - a.work) * meanShare
}

// Tick forgets flows that have ended, been idle or been denied for long, and
// requests that never came. Call it about once a second, and every few
// milliseconds while first packets wait.
func (a *Agent) Tick(now clock.Millis) {
	for key, e := range a.flows {
		switch {
		case e.working && (now-e.began >= workFor || !e.brought && e.phase != opening && now-e.began >= a.openingFor()):
			if e.brought && a.Unanswered != nil {
				a.Unanswered()
			}
			a.setWorking(e, false, now)
		case e.phase == ended && now-e.began >= endedFor, now-e.seen >= orDefault(a.FlowLife):
			a.drop(key, e)
		}
	}
}
