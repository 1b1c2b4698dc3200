package steer_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/health"
	"dogwoodlanding.example/dogwood/pkg/steer"
)

// fault is what a faulty server of a healthSim does.
type fault string

const (
	noFault   fault = ""
	hanging   fault = "hanging"   // leaves 40 % of the requests unanswered
	resetting fault = "resetting" // resets the flows of 40 %
	mute      fault = "mute"      // answers nothing, not even SYNs
	slow      fault = "slow"      // takes eight times as long
	flapping  fault = "flapping"  // is mute every other second
)

// healthSim plays callers against a cluster whose servers have two slots, a queue of
// eight, and take 22 ms, or seven times as long for 3 % of the requests. Some callers
// keep a flow for many requests, the others open a flow for each. They try again twice
// with another flow.
type healthSim struct {
	*cluster
	random  *rand.Rand
	faults  map[*host]fault
	queues  map[*host][]*healthFlow // requests in the server, in order of arrival
	flows   []*healthFlow
	port    int
	opened  map[*host]int
	total   int                  // requests
	failed  int                  // requests without an answer after all attempts
	late    int                  // requests that were answered after the goal
	refused map[steer.Reason]int // SYNs that a balancer refused
	verdict func(*host, health.Change)
}

// healthFlow is a caller with its present flow.
type healthFlow struct {
	long     bool
	attempts int // flows tried for the present request
	port     int
	balancer *steer.Balancer
	host     *host        // whose server answered the SYN
	asked    clock.Millis // when the present request came up
	openedAt clock.Millis // when its SYN was sent
	sent     clock.Millis // when it was sent on this flow, 0 if it was not
	next     clock.Millis // when a long flow's next request comes up, 0 while one is in progress
	seq      uint32
	work     int // left, ms
	done     bool
}

const (
	simGoal      = 200
	simTimeLimit = 1500
	simOpenLimit = 1400
)

func newHealthSim(t testing.TB, servers int, faulty map[int]fault, judge bool, seed uint64) *healthSim {
	s := &healthSim{cluster: newCluster(t, servers, 2), random: rand.New(rand.NewPCG(seed, 0)), faults: map[*host]fault{},
		queues: map[*host][]*healthFlow{}, opened: map[*host]int{}, refused: map[steer.Reason]int{}, port: 1000}
	for i, id := range s.agentIDs() {
		h := s.hosts[id]
		s.faults[h] = faulty[i]
		h.agent.JudgeServer = judge
		h.agent.HealthChanged = func(c health.Change) {
			if s.verdict != nil {
				s.verdict(h, c)
			}
		}
	}
	return s
}

// agentIDs returns the agents in a fixed order.
func (s *healthSim) agentIDs() []agentID {
	var ids []agentID
	for id := range s.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// run plays callers for a time: so many that keep a flow, of ten requests a second each,
// and so many requests a second on flows of their own.
func (s *healthSim) run(d clock.Millis, long int, rate float64) {
	for range long {
		s.flows = append(s.flows, &healthFlow{long: true, next: s.now + 1 + clock.Millis(s.random.IntN(100))})
	}
	ids := s.agentIDs()
	for range d {
		s.now++
		if s.now%health.TickInterval == 0 {
			s.tick(ids)
		}
		if s.random.Float64() < rate/1000 {
			s.flows = append(s.flows, &healthFlow{next: s.now})
		}
		for _, f := range s.flows {
			s.step(f)
		}
		s.flows = slices.DeleteFunc(s.flows, func(f *healthFlow) bool { return f.done })
		for _, id := range ids {
			s.serve(s.hosts[id])
		}
	}
}

func (s *healthSim) tick(ids []agentID) {
	s.apply()
	for _, b := range s.balancers {
		b.Tick(s.now, func(id agentID) { b.HandleMessage(s.now, id, &steer.Message{Kind: steer.Pong}) })
	}
	for _, id := range ids {
		s.hosts[id].agent.Tick(s.now)
	}
}

// step lets a caller act.
func (s *healthSim) step(f *healthFlow) {
	switch {
	case f.next != 0 && s.now >= f.next: // its request comes up
		f.next, f.asked, f.attempts = 0, s.now, 0
		s.total++
		if f.host != nil {
			s.request(f)
		} else {
			s.open(f)
		}
	case f.next != 0:
	case f.host == nil:
		switch s.now - f.openedAt {
		case 200:
			s.send(f, steer.Packet{SYN: true, Seq: 1, Copy: 1, Age: 200})
		case 600:
			s.send(f, steer.Packet{SYN: true, Seq: 1, Copy: 2, Age: 600})
		case simOpenLimit:
			s.retry(f)
		}
	case s.now-f.asked >= simTimeLimit:
		s.send(f, steer.Packet{HasACK: true, RST: true, Seq: f.seq})
		s.end(f, false)
	case s.now-f.sent == 200, s.now-f.sent == 600:
		s.send(f, steer.Packet{HasACK: true, Seq: f.seq - 100, Bytes: 100})
	}
}

// open opens a new flow for the present request.
func (s *healthSim) open(f *healthFlow) {
	s.port++
	f.port, f.host, f.seq, f.sent, f.openedAt = s.port, nil, 2, 0, s.now
	f.attempts++
	f.balancer = s.balancers[s.port%len(s.balancers)]
	s.send(f, steer.Packet{SYN: true, Seq: 1})
}

// retry opens another flow unless it was the third.
func (s *healthSim) retry(f *healthFlow) {
	s.leaveServer(f)
	if f.attempts < 3 && s.now-f.asked < simTimeLimit {
		s.open(f)
		return
	}
	s.end(f, false)
}

// end ends the present request.
func (s *healthSim) end(f *healthFlow, answered bool) {
	s.leaveServer(f)
	f.sent = 0
	switch {
	case !answered:
		s.failed++
		f.host = nil
	case s.now-f.asked > simGoal:
		s.late++
	}
	if f.long {
		f.next = max(s.now+1, f.asked+100)
		return
	}
	if answered {
		s.send(f, steer.Packet{HasACK: true, FIN: true, Seq: f.seq})
	}
	f.done = true
}

// leaveServer removes the request of a flow from its server.
func (s *healthSim) leaveServer(f *healthFlow) {
	if f.host != nil {
		s.queues[f.host] = slices.DeleteFunc(s.queues[f.host], func(other *healthFlow) bool { return other == f })
	}
}

// request sends the present request on the open flow.
func (s *healthSim) request(f *healthFlow) {
	f.sent = s.now
	f.seq += 100
	s.send(f, steer.Packet{HasACK: true, Seq: f.seq - 100, Bytes: 100})
}

// send passes a caller's packet through its balancer.
func (s *healthSim) send(f *healthFlow, p steer.Packet) {
	p.Key = key(f.port)
	if f.host != nil {
		p.Ack = f.host.server.seq + 1
	}
	var m steer.Message
	s.carryOut(f, f.balancer, f.balancer.FromCaller(s.now, p, &m), p, &m)
}

// carryOut carries out a balancer's decisions on a packet.
func (s *healthSim) carryOut(f *healthFlow, b *steer.Balancer, d steer.Decision, p steer.Packet, m *steer.Message) {
	for d.Verdict == steer.Offer {
		h := s.hosts[d.To]
		m.TypicalTime = 24
		out := h.agent.FromBalancer(s.now, s.balancerAddr(b), m, p)
		switch out.Verdict {
		case steer.Deliver:
			s.receive(f, h, p)
			return
		case steer.Deny:
			d = b.Denied(s.now, d.To, p, m)
		default:
			return
		}
	}
	if d.Verdict == steer.Refuse && p.SYN && f.host == nil {
		s.refused[d.Reason]++
		s.retry(f)
	}
}

// receive handles a packet at a server.
func (s *healthSim) receive(f *healthFlow, h *host, p steer.Packet) {
	kind := s.faults[h]
	down := kind == mute || kind == flapping && s.now/clock.Second%2 == 1
	faulty := s.random.Float64() < 0.4
	switch {
	case p.SYN && down:
	case p.SYN:
		s.opened[h]++
		s.answer(h, f, steer.Packet{SYN: true, HasACK: true, Seq: h.server.seq})
		if f.host == nil && f.port == int(p.Key.SourcePort) {
			f.host = h
			s.request(f)
		}
	case p.FIN:
		s.answer(h, f, steer.Packet{HasACK: true, FIN: true, Seq: h.server.seq + 1})
	case p.Bytes == 0 || slices.Contains(s.queues[h], f):
	case down || kind == hanging && faulty:
	case kind == resetting && faulty:
		s.answer(h, f, steer.Packet{HasACK: true, RST: true, Seq: h.server.seq + 1})
		f.host = nil
		s.retry(f)
	case len(s.queues[h]) >= 10: // shed
		s.answer(h, f, steer.Packet{HasACK: true, Bytes: 10, Seq: h.server.seq + 1})
		s.end(f, false)
	default:
		f.work = 22
		if s.random.Float64() < 0.03 {
			f.work *= 7
		}
		if kind == slow {
			f.work *= 8
		}
		s.queues[h] = append(s.queues[h], f)
	}
}

// answer passes a packet of a server to its agent.
func (s *healthSim) answer(h *host, f *healthFlow, p steer.Packet) {
	p.Key = key(f.port)
	var m steer.Message
	out := h.agent.FromServer(s.now, p, &m)
	s.reportHolder(f.balancer, s.agentOf(h), p, out)
}

// serve lets a server work for a millisecond, and its agent release queued SYNs.
func (s *healthSim) serve(h *host) {
	if s.faults[h] != flapping || s.now/clock.Second%2 == 0 {
		for _, f := range s.queues[h][:min(2, len(s.queues[h]))] {
			f.work--
		}
		for _, f := range slices.Clone(s.queues[h]) {
			if f.work <= 0 {
				s.answer(h, f, steer.Packet{HasACK: true, Bytes: 100, Seq: h.server.seq + 1})
				s.end(f, true)
			}
		}
	}
	for h.agent.QueueLength() > 0 {
		r, ok := h.agent.Release(s.now)
		if !ok {
			return
		}
		f, b := s.flowOf(r.Packet), s.balancerAt(r)
		if f == nil {
			continue // its caller has given up
		}
		if r.Outcome.Verdict == steer.Deliver {
			s.receive(f, h, r.Packet)
		} else {
			s.carryOut(f, b, b.Denied(s.now, s.agentOf(h), r.Packet, r.Message), r.Packet, r.Message)
		}
	}
}

// flowOf returns the caller of a queued SYN, nil if it has given up.
func (s *healthSim) flowOf(p steer.Packet) *healthFlow {
	for _, f := range s.flows {
		if f.port == int(p.Key.SourcePort) && f.host == nil && !f.done && f.next == 0 {
			return f
		}
	}
	return nil
}

// balancerAt returns the balancer of a queued SYN.
func (s *healthSim) balancerAt(r steer.Release) *steer.Balancer {
	return s.balancers[int(r.Packet.Key.SourcePort)%len(s.balancers)]
}
