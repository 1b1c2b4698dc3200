package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

func TestAnyBalancerFindsServerOfFlow(t *testing.T) {
	c := newCluster(t, 7, 2)
	for port := 1000; port < 1050; port++ {
		owner := c.open(c.balancers[0], port)
		assert.Assert(t, owner != nil)
		assert.Equal(t, c.send(c.balancers[1], dataPacket(port, owner.server)), owner)
	}
	assert.Equal(t, len(c.resets), 0)
}

func TestFlowSurvivesAgentRestart(t *testing.T) {
	c := newCluster(t, 7, 2)
	owner := c.open(c.balancers[0], 1000)
	for _, h := range c.hosts {
		h.restartAgent()
	}
	assert.Equal(t, c.send(c.balancers[0], dataPacket(1000, owner.server)), owner)
	assert.Equal(t, c.send(c.balancers[1], dataPacket(1000, owner.server)), owner)
}

func TestFlowKeepsServerThatDrainsOrIsUnlisted(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(c *cluster, h *host) steer.Change
	}{
		{"draining", func(c *cluster, h *host) steer.Change {
			return steer.Change{Server: c.entry(c.agentOf(h), steer.Leaving)}
		}},
		{"entry expired", func(_ *cluster, h *host) steer.Change { return steer.Change{Removed: h.name} }},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 5, 2)
			owner := c.open(c.balancers[0], 1000)
			c.apply(row.change(c, owner))
			c.now += 4000
			c.apply()
			assert.Equal(t, c.send(c.balancers[0], dataPacket(1000, owner.server)), owner)
			assert.Equal(t, c.send(c.balancers[1], dataPacket(1000, owner.server)), owner)
			for port := 2000; port < 2050; port++ {
				assert.Assert(t, c.open(c.balancers[port%2], port) != owner, "a new flow")
			}
		})
	}
}

func TestResetOnlyWhenAllAgentsDeny(t *testing.T) {
	for _, row := range []struct {
		name   string
		fail   func(c *cluster, owner, other *host)
		resets int
	}{
		{"the server lost the flow", func(_ *cluster, owner, _ *host) { owner.server.flows = map[flowKey]bool{} }, 1},
		{"the server lost the flow and another agent is unreachable", func(_ *cluster, owner, other *host) {
			owner.server.flows, other.unreachable = map[flowKey]bool{}, true
		}, 0},
		{"the agent of the server is unreachable", func(_ *cluster, owner, _ *host) { owner.unreachable = true }, 0},
		{"the server does not answer", func(_ *cluster, owner, _ *host) { owner.server.silent = true }, 0},
		{"nothing listens at the server's address", func(c *cluster, owner, _ *host) {
			owner.server = nil
			owner.agent.RecordRefusedConnection(c.now)
		}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 4, 1)
			owner := c.open(c.balancers[0], 1000)
			p := dataPacket(1000, owner.server)
			var other *host
			for _, h := range c.hosts {
				if h != owner {
					other = h
				}
			}
			row.fail(c, owner, other)
			c.send(c.balancers[0], p)
			assert.Equal(t, len(c.resets), row.resets)
		})
	}
}

// An unlisted server that was draining may have ended, or its entry may have expired
// during an outage of the platform. Its flows are reset only if its agent is silent.
func TestFlowOfUnlistedDrainingServer(t *testing.T) {
	for _, row := range []struct {
		name     string
		hasEnded bool // the server and its agent have ended
		resets   int
	}{{"its entry expired", false, 0}, {"it has ended", true, 1}} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 4, 1)
			b := c.balancers[0]
			owner := c.open(b, 1000)
			c.apply(steer.Change{Server: c.entry(c.agentOf(owner), steer.Leaving)}, steer.Change{Removed: owner.name})
			assert.Equal(t, c.send(b, dataPacket(1000, owner.server)), owner)
			owner.unreachable = row.hasEnded
			for range 30 { // the agent answers pings if it is reachable
				c.send(b, dataPacket(1000, owner.server))
				c.now += 100
				c.apply()
				b.Tick(c.now, func(id agentID) {
					if !c.hosts[id].unreachable {
						b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Pong})
					}
				})
			}
			c.resets = nil
			found := c.send(b, dataPacket(1000, owner.server))
			assert.Equal(t, found == owner, !row.hasEnded)
			assert.Equal(t, len(c.resets), row.resets)
		})
	}
}

// Only an answer to a request sent after the return deadline of a server's entry can
// confirm that an unlisted, silent server has ended. A search that depends on it parks
// the packet until such an answer arrives.
func TestSearchWaitsForNewerPlatformAnswer(t *testing.T) {
	c := newCluster(t, 4, 1)
	b := c.balancers[0]
	owner := c.open(b, 1000)
	c.apply(steer.Change{Server: c.entry(c.agentOf(owner), steer.Leaving)}, steer.Change{Removed: owner.name})
	owner.unreachable = true
	for range 20 {
		c.send(b, dataPacket(1000, owner.server))
		c.now += 100
		b.Tick(c.now, func(agentID) {})
	}
	b.Registry.RecordPlatformAnswer(c.now, c.now) // the entry may still return
	c.now += 200
	c.drops = nil
	c.send(b, dataPacket(1000, owner.server))
	assert.DeepEqual(t, c.drops, []steer.Reason{steer.StaleView})
	_, ok := b.Resume(c.now)
	assert.Assert(t, !ok, "without a newer answer")
	repeated := b.FromCaller(c.now, steer.Packet{Key: key(1000), SYN: true, Copy: 1}, &steer.Message{})
	assert.Equal(t, repeated.Verdict, steer.Offer, "a SYN starts no search")
	c.now += 5
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	r, ok := b.Resume(c.now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Decision.Reason, steer.Searching, "the search goes on at the other agents")
	assert.Assert(t, c.execute(b, r.Decision, r.Packet, r.Message) == nil)
	assert.Assert(t, c.resume(b) == nil)
	assert.Equal(t, len(c.resets), 1)
}

// A connection refused at the server's address marks the server as gone. After the
// probe interval a new flow is tried there again.
func TestServerIsProbedAfterRefusedConnection(t *testing.T) {
	c := newCluster(t, 1, 1)
	var only *host
	for _, h := range c.hosts {
		only = h
	}
	only.agent.RecordRefusedConnection(c.now)
	assert.Assert(t, c.open(c.balancers[0], 1000) == nil)
	c.now += 250
	assert.Assert(t, c.open(c.balancers[0], 1001) != nil)
	assert.Assert(t, c.open(c.balancers[0], 1002) != nil)
}

func TestStaleViewSendsNoReset(t *testing.T) {
	c := newCluster(t, 3, 1)
	owner := c.open(c.balancers[0], 1000)
	p := dataPacket(1000, owner.server)
	owner.server.flows = map[flowKey]bool{}
	c.now += 20 * clock.Second
	c.send(c.balancers[0], p)
	assert.Equal(t, len(c.resets), 0)
	assert.DeepEqual(t, c.drops, []steer.Reason{steer.StaleView})
}

func TestAckSelectsServerWhenSYNOpensAtTwo(t *testing.T) {
	c := newCluster(t, 5, 2)
	first := c.send(c.balancers[0], steer.Packet{Key: key(1000), SYN: true})
	second := c.send(c.balancers[1], steer.Packet{Key: key(1000), SYN: true, Copy: 1})
	assert.Assert(t, first != second, "the retransmission should have gone to another server")
	for _, b := range c.balancers {
		assert.Equal(t, c.send(b, dataPacket(1000, first.server)), first)
	}
}

func TestInconclusiveSearchEnds(t *testing.T) {
	c := newCluster(t, 9, 2)
	owner := c.open(c.balancers[0], 1000)
	c.apply(steer.Change{DataCentreName: owner.centre, OutOfService: true, Revision: 100})
	c.now += 6000
	c.apply()
	c.offers = 0
	c.send(c.balancers[1], dataPacket(1000, owner.server))
	assert.Assert(t, c.offers <= len(c.hosts), "%d offers", c.offers)
	assert.Equal(t, len(c.resets), 0)
}

func TestUnreachableHolderLimitsMisdelivery(t *testing.T) {
	for _, row := range []struct {
		name string
		hide func(c *cluster, owner *host)
	}{
		{"its data centre was taken out", func(c *cluster, owner *host) {
			c.apply(steer.Change{DataCentreName: owner.centre, OutOfService: true, Revision: 100})
			c.now += 6000
			c.apply()
		}},
		{"its agent is silent", func(c *cluster, owner *host) {
			owner.unreachable = true
			for port := 5000; port < 5100; port++ {
				c.send(c.balancers[1], steer.Packet{Key: key(port), SYN: true})
			}
			c.now += 200
			c.balancers[1].Tick(c.now, func(agentID) {})
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			for port := 1000; port < 1030; port++ {
				c := newCluster(t, 9, 2)
				owner := c.openAtThirdChoice(c.balancers[0], port)
				row.hide(c, owner)
				for _, h := range c.hosts {
					h.restartAgent()
				}
				for range 20 {
					c.send(c.balancers[1], dataPacket(port, owner.server))
					c.now += 400
				}
				assert.Assert(t, c.misdelivered() < 3, "%d packets at other servers", c.misdelivered())
				assert.Equal(t, len(c.resets), 0)
			}
		})
	}
}

// A search finds a flow also among more servers than a ranking holds. It asks each agent
// twice at most, the second time to try its server.
func TestSearchAmongManyServers(t *testing.T) {
	for _, row := range []struct {
		servers int
		lost    bool // the server has lost the flow
		resets  int
	}{{80, false, 0}, {80, true, 1}, {200, false, 0}, {200, true, 1}} {
		c := newCluster(t, row.servers, 2)
		for port := 1000; port < 1020; port++ {
			owner := c.openAtOnlyChoice(c.balancers[0], port)
			if c.forgetReturned(); row.lost {
				owner.server.flows = map[flowKey]bool{}
			}
			c.offers, c.resets = 0, nil
			found := c.send(c.balancers[1], dataPacket(port, owner.server))
			assert.Equal(t, found == owner, !row.lost)
			assert.Equal(t, len(c.resets), row.resets)
			if row.servers <= steer.MaxVisited && !row.lost {
				assert.Assert(t, c.offers <= steer.MaxVisited, "%d offers", c.offers)
			}
			assert.Assert(t, c.offers <= 2*row.servers, "%d offers", c.offers)
			if !row.lost {
				assert.Equal(t, c.misdelivered(), 0)
			}
			for _, h := range c.hosts {
				assert.Assert(t, len(h.server.returned) <= 1, "a server was tried more than once")
			}
		}
	}
}

// openAtOnlyChoice opens a flow while all servers but one drain, so that later its
// owner may have any rank in the flow's order.
func (c *cluster) openAtOnlyChoice(b *steer.Balancer, port int) *host {
	only := c.agentOf(c.hosts[steer.AgentOf(netip.AddrFrom4([4]byte{10, byte(port%len(c.hosts)%3 + 1), 0, byte(port%len(c.hosts) + 1)}))])
	for id := range c.hosts {
		if id != only {
			c.apply(steer.Change{Server: c.entry(id, steer.Leaving)})
		}
	}
	c.apply(steer.Change{Server: c.entry(only, steer.Serving)})
	owner := c.open(b, port)
	for id := range c.hosts {
		c.apply(steer.Change{Server: c.entry(id, steer.Serving)})
	}
	return owner
}

// openAtThirdChoice opens a flow while its first two choices return SYNs.
func (c *cluster) openAtThirdChoice(b *steer.Balancer, port int) *host {
	var full []*host
	for range 2 {
		h := c.open(b, port)
		h.server.full = true
		delete(h.server.flows, key(port))
		h.restartAgent()
		full = append(full, h)
	}
	owner := c.open(b, port)
	for _, h := range full {
		h.server.full = false
		h.server.returned = nil
	}
	return owner
}

// A balancer that is cut off misses that a data centre is taken back and out again. By the
// first evacuation it judged that servers listed since hold no flows, and reset those that
// opened in between.
func TestServerListedBeforeLaterEvacuationMayHoldFlows(t *testing.T) {
	c := newCluster(t, 3, 2)
	cutOff := c.balancers[1]
	centre := c.someHost().centre
	out := steer.Change{DataCentreName: centre, OutOfService: true, Revision: 100}
	c.apply(out)
	c.revision = 110
	id, entry := c.addHost("late")
	c.hosts[id].centre, entry.DataCentre, entry.CreatedRevision = centre, centre, c.revision
	c.apply(steer.Change{Server: entry})
	c.now += 2000
	c.balancers = c.balancers[:1]
	c.apply(steer.Change{DataCentreName: centre})
	port := c.openAt(c.balancers[0], c.hosts[id])
	c.now += 2000
	again := steer.Change{DataCentreName: centre, OutOfService: true, Revision: 120}
	c.balancers = append(c.balancers, cutOff)
	c.apply(again)
	c.resets = nil
	assert.Equal(t, c.send(cutOff, dataPacket(port, c.hosts[id].server)), c.hosts[id])
	assert.Equal(t, len(c.resets), 0)

	// The grace period of the later evacuation ends, whatever is reported again.
	c.now += 4000
	c.apply(again)
	c.now += 1001
	c.apply()
	assert.Assert(t, c.send(cutOff, dataPacket(port, c.hosts[id].server)) == nil)
	assert.Equal(t, len(c.resets), 0)
}

// A balancer that has just started cannot tell a server that was listed after the evacuation
// of its data centre from one whose entry had expired and returned. Callers that may repeat
// their request must not wait for their time limit because of it.
func TestServerListedAfterEvacuationHoldsNoFlows(t *testing.T) {
	for repeatable, resets := range map[bool]int{true: 1, false: 0} {
		c := newCluster(t, 3, 1)
		owner := c.open(c.balancers[0], 1000)
		p := dataPacket(1000, owner.server)
		c.revision = 100
		c.apply(steer.Change{DataCentreName: owner.centre, OutOfService: true, Revision: 100})
		c.now += 6000
		replacement := c.entry(c.agentOf(owner), steer.Serving)
		replacement.Name, replacement.CreatedRevision, replacement.StartMs = "new", replacement.Revision, 1
		c.apply(steer.Change{Removed: owner.name}, steer.Change{Server: replacement})
		c.send(c.balancers[0], p)
		c.balancers[0] = newBalancerAfter(c, replacement)
		c.setRepeatable(repeatable)
		c.now += steer.EntryReturnTime
		c.apply()
		c.send(c.balancers[0], p)
		assert.Equal(t, len(c.resets), resets, "repeatable: %v", repeatable)
	}
}

// A balancer that has run for long knows that the server was listed after the evacuation,
// and resets flows of any kind.
func TestServerSeenAfterEvacuationHoldsNoFlows(t *testing.T) {
	c := newCluster(t, 3, 1)
	b := c.balancers[0]
	centre := c.someHost().centre
	c.revision = 100
	c.apply(steer.Change{DataCentreName: centre, OutOfService: true, Revision: 100})
	c.now += 6000
	id, entry := c.addHost("new")
	c.hosts[id].centre, entry.DataCentre, entry.CreatedRevision = centre, centre, entry.Revision
	for _, h := range c.hosts {
		if h.centre == centre && h != c.hosts[id] {
			c.apply(steer.Change{Server: c.entry(c.agentOf(h), steer.Leaving)}, steer.Change{Removed: h.name})
			h.unreachable = true
			b.HandleMessage(c.now, c.agentOf(h), &steer.Message{Kind: steer.Shutdown, Reason: steer.ServerGone})
		}
	}
	c.apply(steer.Change{Server: entry})
	c.now += 2000
	c.apply()
	c.send(b, dataPacket(1000, newServer(77)))
	assert.Equal(t, len(c.resets), 1)
}

// newBalancerAfter returns a balancer that has just received its first listing, in
// which replacement is the entry of its host and that host's data centre is out of
// service. It also restarts the agents of the other hosts.
func newBalancerAfter(c *cluster, replacement *steer.Server) *steer.Balancer {
	b := &steer.Balancer{EvacuationGracePeriod: 1}
	listing := []steer.Change{{Config: config(1)}, {Server: replacement}, {DataCentreName: replacement.DataCentre, OutOfService: true, Revision: 100}}
	for id, h := range c.hosts {
		if id != replacement.Agent {
			listing = append(listing, steer.Change{Server: c.entry(id, steer.Serving)})
			h.restartAgent()
		}
	}
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	b.Registry.ApplyListing(c.now, listing)
	c.now += 10
	return b
}

// A balancer without a recent answer of the platform may lack a server that other
// balancers have opened flows at. It must park the packets of these flows, not reset
// them.
func TestFlowOfServerMissingFromView(t *testing.T) {
	for _, age := range []clock.Millis{1300, 3000, 7000} {
		c := newCluster(t, 3, 2)
		informed, outdated := c.balancers[0], c.balancers[1]
		id, entry := c.addHost("late")
		informed.Registry.RecordPlatformAnswer(c.now, c.now)
		informed.Registry.Apply(c.now, []steer.Change{{Server: entry}})
		c.now += age
		port := 1000
		for c.open(informed, port) != c.hosts[id] {
			port++
		}
		assert.Assert(t, c.send(outdated, dataPacket(port, c.hosts[id].server)) == nil)
		assert.Equal(t, len(c.resets), 0, "data %d ms old", age)
		assert.Equal(t, c.misdelivered(), 0, "the packet waits before it visits other servers")

		outdated.Registry.Apply(c.now, []steer.Change{{Server: entry}})
		outdated.Registry.RecordPlatformAnswer(c.now, c.now)
		r, ok := outdated.Resume(c.now)
		assert.Assert(t, ok)
		assert.Equal(t, r.Decision, steer.Decision{Verdict: steer.Offer, Reason: steer.Searching, To: id})
	}
}

// decide carries out a balancer's offers and returns its first other decision.
func (c *cluster) decide(b *steer.Balancer) (steer.Resumed, bool) {
	for {
		r, ok := b.Resume(c.now)
		if !ok || r.Decision.Verdict != steer.Offer {
			return r, ok
		}
		c.execute(b, r.Decision, r.Packet, r.Message)
	}
}

func TestParkedPacketIsDecidedOnce(t *testing.T) {
	for _, row := range []struct {
		name string
		age  clock.Millis // of the request that the platform answers, 0 for no answer
		want steer.Decision
	}{
		{"answered", 5, steer.Decision{Verdict: steer.Refuse, Reason: steer.AllDenied, Service: "desk"}},
		{"not answered", 0, steer.Decision{Verdict: steer.Drop, Reason: steer.StaleView}},
		{"answer to an old request", 2000, steer.Decision{Verdict: steer.Drop, Reason: steer.StaleView}},
	} {
		c := newCluster(t, 3, 1)
		b := c.balancers[0]
		owner := c.open(b, 1000)
		owner.server.flows = map[flowKey]bool{}
		c.now += 3 * clock.Second
		c.send(b, dataPacket(1000, owner.server))
		c.send(b, dataPacket(1000, owner.server)) // a retransmission
		_, ok := b.Resume(c.now)
		assert.Assert(t, !ok, row.name)
		c.now += 5
		if row.age > 0 {
			b.Registry.RecordPlatformAnswer(c.now, c.now-row.age)
		}
		r, ok := c.decide(b)
		if !ok {
			c.now += 300
			r, ok = c.decide(b)
		}
		assert.Assert(t, ok, row.name)
		assert.Equal(t, r.Decision, row.want, row.name)
		_, again := b.Resume(c.now)
		assert.Assert(t, !again, row.name)
	}
}

// When an agent announces its shutdown, its flows count as lost only if it reports that
// its server has ended, and only until the server is listed again.
func TestAgentAnnouncesShutdown(t *testing.T) {
	for _, row := range []struct {
		name   string
		reason steer.Reason
		again  bool // the server has been listed again since
		resets int
	}{
		{"its server has ended", steer.ServerGone, false, 1},
		{"its server may still run", steer.NoReason, false, 0},
		{"another server has started there", steer.ServerGone, true, 0},
	} {
		c := newCluster(t, 3, 1)
		b := c.balancers[0]
		owner := c.open(b, 1000)
		owner.server.flows = map[flowKey]bool{}
		for id, h := range c.hosts {
			if h != owner {
				c.apply(steer.Change{Server: c.entry(id, steer.Leaving)})
				h.unreachable = true
				b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Shutdown, Reason: row.reason})
				if row.again {
					c.apply(steer.Change{Server: c.entry(id, steer.Serving)})
				}
			}
		}
		c.send(b, dataPacket(1000, owner.server))
		assert.Equal(t, len(c.resets), row.resets, row.name)
	}
}
