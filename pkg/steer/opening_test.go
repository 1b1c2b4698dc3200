package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

type (
	flowKey = flow.Key
	agentID = place.ID
)

func TestNewFlowsAvoidUnavailableServers(t *testing.T) {
	for _, row := range []struct {
		name    string
		exclude func(c *cluster, h *host)
	}{
		{"a draining server", func(c *cluster, h *host) {
			c.apply(steer.Change{Server: c.entry(c.agentOf(h), steer.Leaving)})
		}},
		{"a server that is no longer listed", func(c *cluster, h *host) { c.apply(steer.Change{Removed: h.name}); c.now += 2300; c.apply() }},
		{"a data centre that is out of service", func(c *cluster, h *host) {
			c.apply(steer.Change{DataCentreName: h.centre, OutOfService: true})
		}},
		{"a server that returns SYNs", func(_ *cluster, h *host) { h.server.full = true }},
		{"an agent of another service", func(_ *cluster, h *host) { h.agent.Service = steer.ServiceOf("other") }},
		{"an agent that shuts down", func(_ *cluster, h *host) { h.agent.BeginShutdown() }},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 6, 2)
			h := c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
			row.exclude(c, h)
			for port := 1000; port < 1200; port++ {
				to := c.open(c.balancers[port%2], port)
				assert.Assert(t, to != nil && to != h)
				c.now += 10
			}
		})
	}
}

// A balancer whose view does not yet show that a server drains may offer it new flows.
// The agent denies them if another balancer has reported the state to it.
func TestAgentCorrectsStaleBalancer(t *testing.T) {
	c := newCluster(t, 4, 2)
	h := c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	ownedPort := 0
	for port := 1000; c.open(c.balancers[0], port) != h; port++ {
		ownedPort = port + 1
	}
	c.balancers[0].Registry.Apply(c.now, []steer.Change{{Server: c.entry(c.agentOf(h), steer.Leaving)}})
	c.send(c.balancers[0], dataPacket(max(ownedPort, 1000), h.server))
	for port := 2000; port < 2200; port++ {
		assert.Assert(t, c.open(c.balancers[1], port) != h)
	}
}

func TestColdServerStaysWithinRateLimit(t *testing.T) {
	const rate = 10 // ColdRate of the test's configuration
	c := newCluster(t, 1, 5)
	h := c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	cold := c.entry(c.agentOf(h), steer.Serving)
	cold.ColdUntil = c.now + 3000
	c.apply(steer.Change{Server: cold})
	for port := 1000; port < 1600; port++ {
		if h := c.open(c.balancers[port%5], port); h != nil {
			c.send(c.balancers[port%5], dataPacket(port, h.server))
		}
		c.now += 5
	}
	for i, at := range h.server.openings {
		within := 0
		for _, other := range h.server.openings[i:] {
			if other-at < clock.Second {
				within++
			}
		}
		assert.Assert(t, within <= rate, "%d new flows within a second", within)
	}
}

// A server that returns packets of flows it had accepted must have restarted. It counts
// as cold even before its entry says so.
func TestRestartedServerIsColdBeforeItsEntryChanges(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.open(c.balancers[0], 1000)
	p := dataPacket(1000, h.server)
	h.server = newServer(9 << 20)
	c.send(c.balancers[0], p)
	for port := 2000; port < 2050; port++ {
		if c.open(c.balancers[0], port) != nil {
			c.send(c.balancers[0], dataPacket(port, h.server))
		}
		c.now += 10
	}
	assert.Assert(t, len(h.server.openings) <= 10, "%d new flows within half a second", len(h.server.openings))
}

func TestNewServerWaitsForSettleTime(t *testing.T) {
	c := newCluster(t, 2, 1)
	added := steer.AgentOf(netip.MustParseAddr("10.1.0.99"))
	c.hosts[added] = &host{name: "added", centre: "dc1", server: newServer(1 << 28), agent: &steer.Agent{Service: steer.ServiceOf("desk")}}
	c.apply(steer.Change{Server: c.entry(added, steer.Serving)})
	opened := func(from int) int {
		n := 0
		for port := from; port < from+100; port++ {
			if c.open(c.balancers[0], port) == c.hosts[added] {
				n++
			}
		}
		return n
	}
	assert.Equal(t, opened(1000), 0)
	c.now += 1300
	assert.Assert(t, opened(2000) > 0)
}

// A server that restarts behind an agent that balancers already list need not wait for
// the settle time.
func TestRestartedServerTakesFlowsAtOnce(t *testing.T) {
	c := newCluster(t, 1, 1)
	id := steer.AgentOf(netip.MustParseAddr("10.1.0.1"))
	newRun := c.entry(id, steer.Serving)
	newRun.Name, newRun.StartMs = "aaa", 7
	c.apply(steer.Change{Server: newRun})
	assert.Assert(t, c.open(c.balancers[0], 1000) != nil)
	c.apply(steer.Change{Removed: c.hosts[id].name})
	assert.Assert(t, c.open(c.balancers[0], 1001) != nil)
}

// The state of the latest run behind an agent decides, not that of an earlier one,
// whatever the order of their names.
func TestLatestRunDecidesServerState(t *testing.T) {
	for _, name := range []string{"aaa", "zzz"} {
		c := newCluster(t, 1, 1)
		newRun := c.entry(steer.AgentOf(netip.MustParseAddr("10.1.0.1")), steer.Leaving)
		newRun.Name, newRun.StartMs = name, 7
		c.apply(steer.Change{Server: newRun})
		assert.Assert(t, c.open(c.balancers[0], 1000) == nil)
	}
}

func TestRetransmittedSYNGoesToAnotherServer(t *testing.T) {
	c := newCluster(t, 5, 1)
	for port := 1000; port < 1050; port++ {
		var m steer.Message
		to := map[place.ID]bool{}
		for copies := range 3 {
			to[c.balancers[0].FromCaller(c.now, steer.Packet{Key: key(port), SYN: true, Copy: copies}, &m).To] = true
		}
		assert.Equal(t, len(to), 3)
	}
}

func TestSilentAgentIsSkippedAndPinged(t *testing.T) {
	c := newCluster(t, 3, 1)
	b := c.balancers[0]
	h := c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	h.unreachable = true
	for port := 1000; port < 1030; port++ {
		c.open(b, port)
	}
	c.now += 150
	var pinged []place.ID
	lost := b.Tick(c.now, func(id place.ID) { pinged = append(pinged, id) })
	assert.Equal(t, len(lost), 1)
	assert.DeepEqual(t, pinged, []place.ID{c.agentOf(h)})
	for port := 2000; port < 2050; port++ {
		assert.Assert(t, c.open(b, port) != nil)
	}
	assert.Assert(t, b.HandleMessage(c.now, c.agentOf(h), &steer.Message{Kind: steer.Pong}), "the agent replies again")
}

func TestNewFlowIsRefusedWhenAllServersDrain(t *testing.T) {
	c := newCluster(t, 3, 1)
	for id := range c.hosts {
		c.apply(steer.Change{Server: c.entry(id, steer.Leaving)})
	}
	c.open(c.balancers[0], 1000)
	assert.Equal(t, len(c.resets), 1)
}

func TestSuspendedBalancerOpensNoFlowUntilRefreshed(t *testing.T) {
	c := newCluster(t, 3, 1)
	b := c.balancers[0]
	owner := c.open(b, 1000)
	b.RecordSuspension()
	assert.Assert(t, !b.Ready(c.now))
	assert.Assert(t, c.open(b, 1001) == nil)
	assert.Equal(t, c.send(b, dataPacket(1000, owner.server)), owner)
	b.RecordRefresh()
	assert.Assert(t, c.open(b, 1002) != nil)
}

// SYNs that waited in the socket of a paused balancer may have been retransmitted and
// have opened their flows elsewhere: a reset would end an open flow.
func TestPausedBalancerRefusesNoBacklogSYN(t *testing.T) {
	c := newCluster(t, 1, 1)
	b := c.balancers[0]
	for id := range c.hosts {
		c.apply(steer.Change{Server: c.entry(id, steer.Leaving)})
	}
	b.RecordPause(c.now)
	assert.Assert(t, c.open(b, 1000) == nil)
	assert.Equal(t, len(c.resets), 0)
	assert.DeepEqual(t, c.drops, []steer.Reason{steer.Suspended})
	c.now += 60
	assert.Assert(t, c.open(b, 1001) == nil)
	assert.Equal(t, len(c.resets), 1)
}

func TestSuspendedAgentDropsBacklogSYNs(t *testing.T) {
	c := newCluster(t, 1, 1)
	var only *host
	for _, h := range c.hosts {
		only = h
	}
	c.open(c.balancers[0], 1000)
	c.now += 5000
	only.agent.RecordSuspension(c.now)
	assert.Assert(t, c.open(c.balancers[0], 1001) == nil)
	assert.Equal(t, c.send(c.balancers[0], dataPacket(1000, only.server)), only)
	c.now += 60
	assert.Assert(t, c.open(c.balancers[0], 1002) != nil)
}

func TestSplitRouteSharesNewFlows(t *testing.T) {
	var b steer.Balancer
	now := clock.Millis(1_700_000_000_000)
	c := config(1)
	c.Routes[0].Targets = []steer.Target{{Service: "desk", Weight: 90}, {Service: "other", Weight: 10}}
	desk, other := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")
	b.Registry.ApplyListing(now, []steer.Change{{Config: c},
		{Server: &steer.Server{Name: "a", Agent: steer.AgentOf(desk), Service: "desk", Slots: 1, Revision: 1}},
		{Server: &steer.Server{Name: "b", Agent: steer.AgentOf(other), Service: "other", Slots: 1, Revision: 1}}})
	got := 0
	for port := range 10_000 {
		var m steer.Message
		if b.FromCaller(now, steer.Packet{Key: key(port), SYN: true}, &m).To == steer.AgentOf(other) {
			got++
		}
	}
	assert.Assert(t, got > 800 && got < 1200, "%d of 10000 flows for a weight of 10 %%", got)
}
