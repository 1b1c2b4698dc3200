package steer_test

import (
	"net/netip"
	"slices"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// agentSim simulates an agent and a server with two slots that takes 24 ms for a
// request. Callers send their request as soon as the flow is open, and never give up
// before 1.4 s.
type agentSim struct {
	agent      *steer.Agent
	now        clock.Millis
	from       netip.AddrPort
	running    map[flowKey]clock.Millis // when a request ends
	queued     []flowKey                // in the server
	arrived    map[flowKey]clock.Millis // when the SYN arrived at the agent
	answerTime map[flowKey]clock.Millis // from the arrival of the SYN to the answer
	denied     map[flowKey]steer.Reason
}

const serviceTime = 24 * clock.Millis(1)

func newAgentSim() *agentSim {
	return &agentSim{agent: &steer.Agent{Service: steer.ServiceOf("desk")}, now: 1_700_000_000_000,
		from: netip.MustParseAddrPort("10.9.0.1:7720"), running: map[flowKey]clock.Millis{},
		arrived: map[flowKey]clock.Millis{}, answerTime: map[flowKey]clock.Millis{}, denied: map[flowKey]steer.Reason{}}
}

// arrive offers the SYN of a new flow to the agent.
func (s *agentSim) arrive(port, priority int) { s.arriveLate(port, priority, 0) }

// arriveLate offers the SYN of a new flow to the agent. Its caller sent the original
// some time ago.
func (s *agentSim) arriveLate(port, priority int, age clock.Millis) {
	p := steer.Packet{Key: key(port), SYN: true, Age: age}
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2, Goal: 100, Priority: priority, LastOffer: true}
	s.arrived[p.Key] = s.now
	s.handle(s.agent.FromBalancer(s.now, s.from, &m, p), p)
	if s.agent.QueueLength() > 0 {
		s.agent.KeepRaw([]byte("packet"))
	}
}

// handle carries out a decision of the agent on a SYN. Once it is delivered, the caller
// sends its request.
func (s *agentSim) handle(out steer.Outcome, p steer.Packet) {
	switch out.Verdict {
	case steer.Deny:
		s.denied[p.Key] = out.Reason
	case steer.Deliver:
		var m steer.Message
		s.agent.FromServer(s.now, steer.Packet{Key: p.Key, SYN: true, HasACK: true, Seq: 7}, &m)
		m = steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2}
		s.agent.FromBalancer(s.now, s.from, &m, steer.Packet{Key: p.Key, HasACK: true, Ack: 8, Seq: 1, Bytes: 10})
		s.queued = append(s.queued, p.Key)
		s.startRequests()
	}
}

// startRequests gives free slots to the requests queued in the server, first come, first
// served.
func (s *agentSim) startRequests() {
	for len(s.running) < 2 && len(s.queued) > 0 {
		s.running[s.queued[0]] = s.now + serviceTime
		s.queued = s.queued[1:]
	}
}

// step advances the time by a millisecond.
func (s *agentSim) step() {
	s.now++
	for k, end := range s.running {
		if end > s.now {
			continue
		}
		delete(s.running, k)
		s.answerTime[k] = s.now - s.arrived[k]
		var m steer.Message
		s.agent.FromServer(s.now, steer.Packet{Key: k, HasACK: true, Bytes: 10, Seq: 8}, &m)
	}
	s.startRequests()
	s.agent.Tick(s.now)
	for {
		r, ok := s.agent.Release(s.now)
		if !ok {
			return
		}
		s.handle(r.Outcome, r.Packet)
	}
}

// After an outage sixty callers return at once, and new requests arrive at nine tenths
// of the server's capacity. First come, first served would make all answers late for
// 600 ms.
func TestBacklogDoesNotDelayNewRequests(t *testing.T) {
	s := newAgentSim()
	for port := 1000; port < 1060; port++ {
		s.arrive(port, 0)
	}
	newRequests, inTime := 0, 0
	for ms := range 3000 {
		if ms >= 100 && ms < 1000 && ms%14 == 0 {
			s.arrive(3000+ms, 0)
			newRequests++
		}
		s.step()
	}
	for ms := range 3000 {
		if took, ok := s.answerTime[key(3000+ms)]; ok && took <= 100 {
			inTime++
		}
	}
	assert.Assert(t, inTime*10 >= newRequests*9, "%d of %d new requests in time", inTime, newRequests)
	for port := 1000; port < 1060; port++ {
		_, served := s.answerTime[key(port)]
		assert.Assert(t, served || s.denied[key(port)] == steer.Overloaded, "caller %d got no answer", port)
	}
}

// After an outage callers repeat SYNs whose answers can only be late, beside new requests
// that need six tenths of the server. If copies passed for new ones, new requests would
// be late for them.
func TestCopiesOfSYNsGiveWayToNewRequests(t *testing.T) {
	s := newAgentSim()
	newRequests, inTime, served := 0, 0, 0
	for ms := range 3000 {
		if ms < 1000 && ms%20 == 0 {
			s.arrive(3000+ms, 0)
			newRequests++
		}
		if ms < 1000 && ms%20 == 10 {
			s.arriveLate(5000+ms, 0, 600)
		}
		s.step()
	}
	for ms := range 1000 {
		if took, ok := s.answerTime[key(3000+ms)]; ok && took <= 100 {
			inTime++
		}
		if _, ok := s.answerTime[key(5000+ms)]; ok {
			served++
		}
	}
	assert.Assert(t, inTime*100 >= newRequests*95, "%d of %d new requests in time", inTime, newRequests)
	assert.Assert(t, served >= 25, "%d of 50 copies served in what is left", served)
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	s := newAgentSim()
	for port := 1000; port < 1010; port++ {
		s.arrive(port, 2)
	}
	var waiting []int // SYNs in the agent's queue
	for port := 1000; port < 1010; port++ {
		if _, running := s.running[key(port)]; !running && !slices.Contains(s.queued, key(port)) {
			waiting = append(waiting, port)
		}
	}
	assert.Equal(t, len(waiting), s.agent.QueueLength())
	assert.Assert(t, len(waiting) > 4)
	s.arrive(2000, 0)
	for range 200 {
		s.step()
	}
	urgent := s.answerTime[key(2000)]
	for _, port := range waiting {
		assert.Assert(t, s.answerTime[key(port)] == 0 || s.answerTime[key(port)] >= urgent)
	}
}

// A queue that cannot drain in time denies the SYNs it would serve last at once, instead
// of holding them until their wait is over.
func TestOverloadedQueueDeniesAtOnce(t *testing.T) {
	s := newAgentSim()
	for range 20 { // so that the agent has measured the service time
		s.arrive(100+int(s.now%50), 0)
		for range 30 {
			s.step()
		}
	}
	for port := 1000; port < 1300; port++ {
		s.arrive(port, 0)
	}
	s.step()
	assert.Assert(t, len(s.denied) >= 100, "%d denied", len(s.denied))
	// Two slots serve 50 requests of 24 ms within the 600 ms that a SYN may wait.
	assert.Assert(t, s.agent.QueueLength() >= 40, "%d queued", s.agent.QueueLength())
}

func TestRetransmissionOfQueuedSYNIsDropped(t *testing.T) {
	s := newAgentSim()
	for port := 1000; port < 1010; port++ {
		s.arrive(port, 0)
	}
	waiting := s.agent.QueueLength()
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2}
	out := s.agent.FromBalancer(s.now, s.from, &m, steer.Packet{Key: key(1009), SYN: true, Copy: 1})
	assert.Equal(t, out.Verdict, steer.Drop)
	assert.Equal(t, out.ReportTo, s.from)
	assert.Equal(t, s.agent.QueueLength(), waiting)
}

func TestFlowWithoutRequestLeavesLoad(t *testing.T) {
	agent := &steer.Agent{Service: steer.ServiceOf("desk")}
	from, now := netip.MustParseAddrPort("10.9.0.1:7720"), clock.Millis(1000)
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2}
	agent.FromBalancer(now, from, &m, steer.Packet{Key: key(1), SYN: true})
	agent.FromServer(now, steer.Packet{Key: key(1), SYN: true, HasACK: true}, &m)
	assert.Equal(t, agent.Load(), 1)
	agent.Tick(now + 30)
	assert.Equal(t, agent.Load(), 0)
}

// One request in ten is sent again after 200 or 600 ms, since the first copy was lost. The
// agent used to wait 400 ms for each request then, and its server idled when callers were
// gone.
func TestRepeatedRequestsProlongNoWait(t *testing.T) {
	s := newAgentSim()
	open := func(port int) steer.Packet {
		p := steer.Packet{Key: key(port), SYN: true}
		m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2, LastOffer: true}
		assert.Equal(t, s.agent.FromBalancer(s.now, s.from, &m, p).Verdict, steer.Deliver)
		s.agent.FromServer(s.now, steer.Packet{Key: p.Key, SYN: true, HasACK: true, Seq: 7}, &m)
		return p
	}
	for port := range 60 {
		p := open(port)
		s.now += 4
		if port%10 == 9 {
			s.now += []clock.Millis{200, 600}[port/10%2]
		}
		m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2}
		s.agent.FromBalancer(s.now, s.from, &m, steer.Packet{Key: p.Key, HasACK: true, Ack: 8, Seq: 1, Bytes: 10})
		s.agent.FromServer(s.now, steer.Packet{Key: p.Key, HasACK: true, Seq: 8, Bytes: 10}, &m)
	}
	open(100)
	s.now += 30
	s.agent.Tick(s.now)
	assert.Equal(t, s.agent.Load(), 0)
}

func TestAgentReportsAnswerTimes(t *testing.T) {
	type answer struct{ took, goal clock.Millis }
	for _, row := range []struct {
		name       string
		after      clock.Millis // until the answer, 0 for none
		answers    []answer
		unanswered int
	}{
		{"in time", 30, []answer{{30, 200}}, 0},
		{"late", 700, []answer{{700, 200}}, 0},
		{"never", 0, nil, 1},
	} {
		var answers []answer
		unanswered := 0
		a := &steer.Agent{Service: steer.ServiceOf("desk"), Unanswered: func() { unanswered++ },
			Answered: func(took, goal clock.Millis) { answers = append(answers, answer{took, goal}) }}
		from, now := netip.MustParseAddrPort("10.9.0.1:7720"), clock.Millis(1_000_000)
		m := steer.Message{Service: a.Service, Revision: 1, Slots: 2, Goal: 200}
		a.FromBalancer(now, from, &m, steer.Packet{Key: key(1), SYN: true})
		a.FromServer(now, steer.Packet{Key: key(1), SYN: true, HasACK: true, Seq: 100}, &m)
		a.FromBalancer(now, from, &m, steer.Packet{Key: key(1), HasACK: true, Ack: 101, Seq: 2, Bytes: 100})
		if row.after > 0 {
			a.FromServer(now+row.after, steer.Packet{Key: key(1), HasACK: true, Bytes: 100}, &m)
		}
		a.Tick(now + 20*clock.Second)
		assert.Assert(t, slices.Equal(answers, row.answers), "%s: %v", row.name, answers)
		assert.Equal(t, unanswered, row.unanswered, row.name)
	}
}

// A planned stop must not lose the SYNs that wait for a slot: their callers would repeat
// them 200 ms later at the earliest, and the last copy would be lost for good.
func TestQueuedSYNsGoElsewhereWhenAgentShutsDown(t *testing.T) {
	c := newCluster(t, 3, 1)
	b := c.balancers[0]
	var stopping agentID
	for port := 1000; c.queued() == 0; port++ {
		assert.Assert(t, port < 1100, "no agent queues")
		var m steer.Message
		p := steer.Packet{Key: key(port), SYN: true, Seq: 1}
		c.execute(b, b.FromCaller(c.now, p, &m), p, &m)
	}
	for id, h := range c.hosts {
		if h.agent.QueueLength() > 0 {
			stopping = id
		} else { // they have free slots by now
			h.restartAgent()
		}
	}
	agent := c.hosts[stopping].agent
	agent.BeginShutdown()
	r, ok := agent.Release(c.now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Outcome.Verdict, steer.Deny)
	d := b.Denied(c.now, stopping, r.Packet, r.Message)
	assert.Equal(t, d.Verdict, steer.Offer)
	assert.Assert(t, d.To != stopping)
	accepted := c.execute(b, d, r.Packet, r.Message)
	assert.Assert(t, accepted != nil && c.agentOf(accepted) != stopping)
	_, ok = agent.Release(c.now)
	assert.Assert(t, !ok)
}

// queued returns the number of SYNs that wait at all agents.
func (c *cluster) queued() int {
	n := 0
	for _, h := range c.hosts {
		n += h.agent.QueueLength()
	}
	return n
}
