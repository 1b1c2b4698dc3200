package steer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/health"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// Without a verdict, a faulty server gets its share of new flows for as long as its entry
// says that it is ready, and fails them.
func TestFaultyServersFailFewerRequests(t *testing.T) {
	for _, kind := range []fault{hanging, resetting, mute, slow, flapping} {
		var lost, without, total int
		for seed := range uint64(2) {
			for _, judge := range []bool{true, false} {
				s := newHealthSim(t, 12, map[int]fault{0: kind, 5: kind}, judge, seed)
				s.run(30*clock.Second, 20, 200)
				total += s.total
				if judge {
					lost += s.failed + s.late
				} else {
					without += s.failed + s.late
				}
				t.Logf("%s, seed %d, judged %v: of %d requests %d failed, %d late", kind, seed, judge, s.total, s.failed, s.late)
			}
		}
		assert.Assert(t, lost*2 <= without, "%s: %d of %d requests lost, %d without verdicts", kind, lost, total/2, without)
	}
}

// A false verdict in a sound cluster costs capacity.
func TestSoundClusterHasNoVerdicts(t *testing.T) {
	for _, rate := range []float64{100, 700, 1500} {
		s := newHealthSim(t, 12, nil, true, 1)
		s.verdict = func(h *host, c health.Change) { t.Errorf("%v/s: %s: %+v", rate, h.name, c) }
		s.run(15*clock.Second, 20, rate)
		t.Logf("%v/s: of %d requests %d failed, %d late", rate, s.total, s.failed, s.late)
	}
}

// If a service whose servers are all bad were not served, a common fault would end it.
func TestServiceOfBadServersIsServed(t *testing.T) {
	for _, bad := range []int{3, 6, 9, 12} {
		faulty := map[int]fault{}
		for i := range bad {
			faulty[i] = resetting
		}
		s := newHealthSim(t, 12, faulty, true, 1)
		s.run(20*clock.Second, 0, 200)
		s.opened = map[*host]int{}
		s.refused = map[steer.Reason]int{}
		s.run(20*clock.Second, 0, 200)
		toBad, all := 0, 0
		for h, n := range s.opened {
			all += n
			if s.faults[h] != noFault {
				toBad += n
			}
		}
		t.Logf("%d of 12 bad: %d of %d flows opened there, refused %v", bad, toBad, all, s.refused)
		assert.Equal(t, s.refused[steer.Busy], 0)
		limit := map[int]int{3: 5, 6: 10, 9: 40, 12: 100}[bad]
		assert.Assert(t, toBad*100 <= all*limit, fmt.Sprint(bad))
	}
}

// judgedAgent returns an agent that judges its server, which has two slots.
func judgedAgent() *steer.Agent {
	return &steer.Agent{Service: steer.ServiceOf("desk"), JudgeServer: true}
}

var fromBalancer = netip.MustParseAddrPort("10.9.0.1:7720")

// offer passes a packet to an agent and returns the outcome and the message.
func offer(a *steer.Agent, now clock.Millis, p steer.Packet, state steer.ServerState) (steer.Outcome, steer.Message) {
	m := steer.Message{Kind: steer.OfferPacket, Service: a.Service, Revision: 1 + uint64(state), State: state, Slots: 2, Goal: 200, TypicalTime: 24}
	return a.FromBalancer(now, fromBalancer, &m, p), m
}

// request opens a flow at an agent and sends a request on it.
func request(a *steer.Agent, now clock.Millis, port int, state steer.ServerState) {
	var m steer.Message
	offer(a, now, steer.Packet{Key: key(port), SYN: true, Seq: 1}, steer.Serving)
	a.FromServer(now, steer.Packet{Key: key(port), SYN: true, HasACK: true, Seq: 7}, &m)
	offer(a, now, steer.Packet{Key: key(port), HasACK: true, Ack: 8, Seq: 2, Bytes: 100}, state)
}

// fromServer passes a packet of the server's flow to an agent.
func fromServer(a *steer.Agent, now clock.Millis, port int, p steer.Packet) {
	var m steer.Message
	p.Key, p.Seq = key(port), 8
	a.FromServer(now, p, &m)
}

// makeBad lets the server reset requests until it is judged bad, and returns the time.
func makeBad(t *testing.T, a *steer.Agent, now clock.Millis) clock.Millis {
	a.Tick(now)
	for port := 100; !a.Health().Bad; port++ {
		assert.Assert(t, port < 200)
		request(a, now, port, steer.Serving)
		now += 10
		fromServer(a, now, port, steer.Packet{HasACK: true, RST: true})
		a.Tick(now)
	}
	return now
}

// Servers and callers end flows in normal operation. A drain or an impatient caller must
// not count against the server.
func TestNormalEndsOfFlowsAreNoFailures(t *testing.T) {
	for _, row := range []struct {
		name   string
		state  steer.ServerState
		end    func(a *steer.Agent, now clock.Millis, port int)
		failed uint64
	}{
		{"the server answers and closes the flow", steer.Serving, func(a *steer.Agent, now clock.Millis, port int) {
			fromServer(a, now+20, port, steer.Packet{HasACK: true, Bytes: 10, FIN: true})
			fromServer(a, now+30, port, steer.Packet{RST: true})
		}, 0},
		{"the server closes the idle flow while a request is on its way", steer.Serving, func(a *steer.Agent, now clock.Millis, port int) {
			fromServer(a, now+1, port, steer.Packet{HasACK: true, FIN: true})
			fromServer(a, now+2, port, steer.Packet{RST: true})
		}, 0},
		{"the server resets the idle flow while a request is on its way", steer.Serving, func(a *steer.Agent, now clock.Millis, port int) {
			fromServer(a, now+20, port, steer.Packet{HasACK: true, Bytes: 10})
			fromServer(a, now+30, port, steer.Packet{RST: true})
			offer(a, now+31, steer.Packet{Key: key(port), HasACK: true, Ack: 8, Seq: 102, Bytes: 100}, steer.Serving)
			fromServer(a, now+32, port, steer.Packet{RST: true})
		}, 0},
		{"the server does not hold the flow", steer.Serving, func(a *steer.Agent, now clock.Millis, port int) {
			fromServer(a, now+1, port, steer.Packet{HasACK: true, Bytes: 100, Returned: true})
		}, 0},
		{"the server drains", steer.Leaving, func(a *steer.Agent, now clock.Millis, port int) {
			fromServer(a, now+1, port, steer.Packet{RST: true})
		}, 0},
		{"the caller aborts", steer.Serving, func(a *steer.Agent, now clock.Millis, port int) {
			offer(a, now+40, steer.Packet{Key: key(port), HasACK: true, RST: true, Ack: 8}, steer.Serving)
		}, 0},
		{"the caller only has no more to send", steer.Serving, func(a *steer.Agent, now clock.Millis, port int) {
			offer(a, now, steer.Packet{Key: key(port), HasACK: true, FIN: true, Ack: 8, Seq: 102}, steer.Serving)
			fromServer(a, now+20, port, steer.Packet{HasACK: true, Bytes: 10})
		}, 0},
		{"the server resets the request", steer.Serving, func(a *steer.Agent, now clock.Millis, port int) {
			fromServer(a, now+1, port, steer.Packet{RST: true})
		}, 1},
	} {
		a := judgedAgent()
		now := clock.Millis(1_000_000)
		a.Tick(now)
		request(a, now, 1, row.state)
		row.end(a, now, 1)
		for range 10 {
			now += health.TickInterval
			a.Tick(now)
		}
		var failed uint64
		for _, n := range a.Health().Failed {
			failed += n
		}
		assert.Equal(t, failed, row.failed, row.name)
	}
}

// A server that has crashed and started again would otherwise get its first flows only
// as trials.
func TestCrashIsNoVerdict(t *testing.T) {
	a := judgedAgent()
	now := clock.Millis(1_000_000)
	a.Tick(now)
	for port := range 100 {
		request(a, now, port, steer.Serving)
	}
	for port := range 100 { // SYNs that probe for a new server
		offer(a, now, steer.Packet{Key: key(1000 + port), SYN: true}, steer.Serving)
		a.RecordRefusedConnection(now)
		now += health.TickInterval
		a.Tick(now)
	}
	fromServer(a, now, 1, steer.Packet{Returned: true, HasACK: true, Bytes: 100})
	for range 10 {
		now += health.TickInterval
		a.Tick(now)
	}
	assert.Equal(t, a.Health().Failed, [health.Kinds]uint64{health.Crashed: 1})
	assert.Assert(t, !a.Health().Bad)
	for crash := range 2 { // a server that crashes again and again is avoided
		a.RecordRefusedConnection(now)
		fromServer(a, now, 1, steer.Packet{HasACK: true, Bytes: 100})
		assert.Equal(t, a.Health().Bad, crash == 1)
	}
}

// A bad server gets new flows only as trials and last offers, and all packets of its open
// flows: their work cannot go elsewhere.
func TestBadServerIsAvoided(t *testing.T) {
	a := judgedAgent()
	request(a, 1_000_000, 1, steer.Serving)
	now := makeBad(t, a, 1_000_000)
	out, m := offer(a, now, steer.Packet{Key: key(2), SYN: true}, steer.Serving)
	assert.Equal(t, out.Verdict, steer.Deny)
	assert.Equal(t, out.Reason, steer.Busy)
	assert.Assert(t, m.Load >= 2*m.Slots)
	out, _ = offer(a, now, steer.Packet{Key: key(1), HasACK: true, Ack: 8, Seq: 102, Bytes: 50}, steer.Serving)
	assert.Equal(t, out.Verdict, steer.Deliver, "an open flow")
	last := steer.Message{Kind: steer.OfferPacket, Service: a.Service, Revision: 1, Slots: 2, LastOffer: true}
	assert.Equal(t, a.FromBalancer(now, fromBalancer, &last, steer.Packet{Key: key(3), SYN: true}).Verdict, steer.Deliver, "the last offer")
	fromServer(a, now, 3, steer.Packet{RST: true})
	fromServer(a, now, 1, steer.Packet{HasACK: true, Bytes: 10})
	now += 5000
	out, _ = offer(a, now, steer.Packet{Key: key(4), SYN: true}, steer.Serving)
	assert.Equal(t, out.Verdict, steer.Deliver, "a trial")
	fromServer(a, now, 4, steer.Packet{HasACK: true, RST: true})
	out, _ = offer(a, now+1, steer.Packet{Key: key(5), SYN: true}, steer.Serving)
	assert.Equal(t, out.Verdict, steer.Deny, "the next one")
	a.Disabled = a.Disabled.With(steer.EjectUnhealthy)
	out, _ = offer(a, now+1, steer.Packet{Key: key(5), SYN: true}, steer.Serving)
	assert.Equal(t, out.Verdict, steer.Deliver, "switched off")
	a.SetService(steer.ServiceOf("other"))
	assert.Assert(t, !a.Health().Bad, "of another service")
	assert.Assert(t, a.JudgeServer)
}

// SYNs that wait at a server when it turns out to be bad must not be tied to it.
func TestQueuedSYNsLeaveBadServer(t *testing.T) {
	a := judgedAgent()
	now := clock.Millis(1_000_000)
	a.Tick(now)
	for port := range 9 {
		request(a, now, port, steer.Serving)
		fromServer(a, now, port, steer.Packet{HasACK: true, RST: true})
	}
	request(a, now, 50, steer.Serving)
	for port := 100; a.QueueLength() < 3; port++ {
		m := steer.Message{Kind: steer.OfferPacket, Service: a.Service, Revision: 1, Slots: 2, LastOffer: true, VisitedCount: 3}
		a.FromBalancer(now, fromBalancer, &m, steer.Packet{Key: key(port), SYN: true})
	}
	assert.Assert(t, !a.Health().Bad)
	fromServer(a, now, 50, steer.Packet{HasACK: true, RST: true})
	assert.Assert(t, a.Health().Bad)
	for range 3 {
		r, ok := a.Release(now)
		assert.Assert(t, ok)
		assert.Equal(t, r.Outcome.Verdict, steer.Deny)
		assert.Equal(t, r.Outcome.Reason, steer.Busy)
		assert.Assert(t, !r.Message.LastOffer && r.Message.VisitedCount == 0, "it may go to any other server")
	}
	assert.Equal(t, a.Counts().Unhealthy, uint64(3))
}

// The judgement must not make packets of known flows more expensive.
func TestJudgedKnownFlowAllocatesNothing(t *testing.T) {
	a := judgedAgent()
	now := clock.Millis(1_000_000)
	request(a, now, 1, steer.Serving)
	seq := uint32(102)
	var m steer.Message
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		now += 20
		m = steer.Message{Kind: steer.OfferPacket, Service: a.Service, Revision: 1, Slots: 2, Goal: 200, TypicalTime: 24}
		a.FromBalancer(now, fromBalancer, &m, steer.Packet{Key: key(1), HasACK: true, Ack: 8, Seq: seq, Bytes: 100})
		a.FromServer(now+10, steer.Packet{Key: key(1), HasACK: true, Bytes: 100}, &m)
		seq += 100
		a.Tick(now + 10)
	}), 0.0)
}
