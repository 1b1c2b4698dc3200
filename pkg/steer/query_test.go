package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// started starts a balancer to which all agents have replied.
func (c *cluster) started() *steer.Balancer {
	b, _ := c.start()
	for id, h := range c.hosts {
		pong := steer.Message{Kind: steer.Pong}
		h.agent.Report(&pong)
		b.HandleMessage(c.now, id, &pong)
	}
	return b
}

// After a loss of power every open flow is searched for within a second. A packet for each
// flow and agent filled the links of weak hosts for longer than callers wait.
func TestLostFlowsAreAskedForTogether(t *testing.T) {
	const agents, flows = 50, 200
	c := newCluster(t, agents, 0)
	for _, h := range c.hosts {
		h.agent.FlowLife = 1 // they know all flows
		h.agent.AnswerQuery(c.now, &steer.Message{}, nil)
	}
	c.now += 10
	began := c.now
	b := c.started()
	c.setRepeatable(true)
	for port := range flows {
		p := steer.Packet{Key: key(port), HasACK: true, Seq: 2, Ack: 9, Bytes: 300}
		var m steer.Message
		c.execute(b, b.FromCaller(c.now, p, &m), p, &m)
		b.KeepRaw([]byte("packet"))
	}
	c.resume(b)
	assert.Equal(t, len(c.resets), flows)
	assert.Assert(t, c.offers <= 2*flows, "%d packets offered", c.offers)
	assert.Assert(t, c.queries <= 12*agents, "%d queries to %d agents", c.queries, agents)
	assert.Assert(t, c.now-began < 50, "resets after %v", c.now-began)
	assert.Equal(t, c.misdelivered(), 0)
}

// A packet whose holder is found by a query must reach it, once, and no other server; so
// must those that came during the search.
func TestPacketFollowsQueryToHolder(t *testing.T) {
	c := newCluster(t, 40, 1)
	for port := 1000; port < 1050; port++ {
		owner := c.openAtThirdChoice(c.balancers[0], port)
		b := c.started()
		p := dataPacket(port, owner.server)
		var m steer.Message
		c.execute(b, b.FromCaller(c.now, p, &m), p, &m)
		later := p
		later.Seq += 100
		c.execute(b, b.FromCaller(c.now, later, &m), later, &m)
		delivered := owner.deliveries
		assert.Equal(t, c.resume(b), owner)
		assert.Equal(t, owner.deliveries-delivered, 2)
	}
	assert.Assert(t, c.queries > 0)
	assert.Equal(t, c.misdelivered(), 0)
	assert.Equal(t, len(c.resets), 0)
}

// Hosts are replaced one after the other at an upgrade: agents that do not answer queries
// are sent the packet, and one that is replaced by such a version is asked again.
func TestAgentsOfEarlierVersionsAreSentPackets(t *testing.T) {
	c := newCluster(t, 20, 1)
	for i, h := range c.sorted() {
		if i%2 == 0 {
			h.agent.Disabled = steer.MechanismSet(0).With(steer.QueryMany)
		}
	}
	for port := 1000; port < 1100; port++ {
		owner := c.open(c.balancers[0], port)
		assert.Equal(t, c.send(c.started(), dataPacket(port, owner.server)), owner)
	}
	assert.Equal(t, c.misdelivered(), 0)

	owner := c.openAtThirdChoice(c.balancers[0], 2000)
	b := c.started()
	for _, h := range c.hosts {
		h.earlierVersion = true
	}
	p := dataPacket(2000, owner.server)
	for range 10 {
		c.send(b, p)
		c.now += 200
		b.Registry.RecordPlatformAnswer(c.now, c.now)
		b.Tick(c.now, func(id place.ID) { b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Pong}) })
	}
	assert.Equal(t, c.send(b, p), owner)
	assert.Equal(t, len(c.resets), 0)
}

// A flow that opened at two servers has records at both; only the one whose sequence number
// the caller acknowledges may claim it.
func TestQueryIsAnsweredAsPacketWouldBe(t *testing.T) {
	c := newCluster(t, 1, 1)
	owner := c.open(c.balancers[0], 1000)
	held := steer.QueryFlow{Key: key(1000), HasACK: true, Ack: owner.server.seq + 1}
	elsewhere := held
	elsewhere.Ack += 1 << 26
	unknown := steer.QueryFlow{Key: key(1001), HasACK: true}
	ask := func(service string, f steer.QueryFlow) (steer.MessageKind, steer.Reason) {
		m := steer.Message{Kind: steer.QueryFlows, KnownOnly: true, Service: steer.ServiceOf(service)}
		answer := owner.agent.AnswerQuery(c.now, &m, []steer.QueryFlow{f})
		assert.Equal(t, len(answer), 1)
		return answer[0].Message.Kind, answer[0].Message.Reason
	}
	for _, row := range []struct {
		flow   steer.QueryFlow
		kind   steer.MessageKind
		reason steer.Reason
	}{
		{held, steer.HoldFlow, steer.NoReason},
		{elsewhere, steer.DenyFlows, steer.AckMismatch},
		{unknown, steer.DenyFlows, steer.FlowUnknown},
	} {
		kind, reason := ask("desk", row.flow)
		assert.Equal(t, kind, row.kind)
		assert.Equal(t, reason, row.reason)
	}
	_, reason := ask("other", held)
	assert.Equal(t, reason, steer.WrongService)
	c.now += 2 * steer.DefaultFlowLife
	_, reason = ask("desk", unknown)
	assert.Equal(t, reason, steer.NotHeld)
}

// Single questions are not delayed, and later ones wait for the next round only.
func TestQueriesGoOutInRounds(t *testing.T) {
	c := newCluster(t, 40, 0)
	b := c.started()
	search := func(port int) {
		p := steer.Packet{Key: key(port), HasACK: true, Seq: 2, Ack: 9, Bytes: 300}
		var m steer.Message
		c.execute(b, b.FromCaller(c.now, p, &m), p, &m)
	}
	search(1000)
	_, sent := b.NextQuery(c.now)
	assert.Assert(t, sent)
	for sent {
		_, sent = b.NextQuery(c.now)
	}
	search(1001)
	_, sent = b.NextQuery(c.now + 1)
	assert.Assert(t, !sent)
	delay, waiting := b.QueryDelay(c.now + 1)
	assert.Assert(t, waiting)
	assert.Equal(t, delay, 3*clock.Millis(1))
	_, sent = b.NextQuery(c.now + 1 + delay)
	assert.Assert(t, sent)
}

func TestFlowsMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := steer.FlowsMessage{Message: steer.Message{Kind: steer.DenyFlows, Reason: steer.NotHeld, AnswersQueries: true, Key: key(0)}, Flows: []steer.QueryFlow{}}
		for range rapid.IntRange(0, steer.MaxQueryFlows).Draw(t, "flows") {
			q.Flows = append(q.Flows, steer.QueryFlow{Key: key(rapid.IntRange(0, 1<<16-1).Draw(t, "port")), HasACK: rapid.Bool().Draw(t, "hasACK"), Ack: rapid.Uint32().Draw(t, "ack")})
		}
		var m steer.Message
		rest, err := m.Decode(q.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, m, q.Message)
		flows, err := steer.DecodeFlows(rest)
		assert.NilError(t, err)
		assert.DeepEqual(t, flows, q.Flows)
		_, err = steer.DecodeFlows(append(rest, 0))
		assert.ErrorIs(t, err, steer.ErrMessage)
	})
}
