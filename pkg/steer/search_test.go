package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

func TestSearchAsksFewAgentsForFlowAtItsFirst(t *testing.T) {
	c := newCluster(t, 60, 2)
	offers := 0
	for port := 1000; port < 1100; port++ {
		owner := c.open(c.balancers[0], port)
		c.offers = 0
		assert.Equal(t, c.send(c.balancers[1], dataPacket(port, owner.server)), owner)
		offers += c.offers
	}
	assert.Assert(t, offers < 300, "%d offers for 100 packets", offers)
}

// start starts a balancer that lists the cluster's servers, and returns it with the
// agents that it has pinged.
func (c *cluster) start() (*steer.Balancer, map[place.ID]bool) {
	b := &steer.Balancer{}
	listing := []steer.Change{{Config: config(1)}}
	for id := range c.hosts {
		listing = append(listing, steer.Change{Server: c.entry(id, steer.Serving)})
	}
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	b.Registry.ApplyListing(c.now, listing)
	pinged := make(map[place.ID]bool)
	b.Tick(c.now, func(id place.ID) { pinged[id] = true })
	c.balancers = append(c.balancers, b)
	return b, pinged
}

// Packets offered to a host that has not yet started would be lost, and their callers
// would repeat them 200 ms later at the earliest.
func TestNewFlowWaitsForFirstAgent(t *testing.T) {
	c := newCluster(t, 6, 1)
	b, pinged := c.start()
	assert.Equal(t, len(pinged), 6)
	assert.Assert(t, b.Starting())
	var m steer.Message
	d := b.FromCaller(c.now, steer.Packet{Key: key(1000), SYN: true}, &m)
	assert.Equal(t, d.Verdict, steer.Wait)
	assert.Equal(t, d.Reason, steer.AgentsStarting)
	b.KeepRaw([]byte("packet"))
	_, ok := b.Resume(c.now + 10)
	assert.Assert(t, !ok)
	first := c.agentOf(c.someHost())
	b.HandleMessage(c.now+20, first, &steer.Message{Kind: steer.Pong})
	r, ok := b.Resume(c.now + 20)
	assert.Assert(t, ok)
	assert.Equal(t, r.Decision.Verdict, steer.Offer)
	assert.Equal(t, r.Decision.To, first)
	assert.Equal(t, string(r.Raw), "packet")
}

func TestSearchWaitsForStartingAgents(t *testing.T) {
	c := newCluster(t, 6, 1)
	owner := c.open(c.balancers[0], 1000)
	p := dataPacket(1000, owner.server)
	b, _ := c.start()
	for _, h := range c.others(owner) {
		b.HandleMessage(c.now, c.agentOf(h), &steer.Message{Kind: steer.Pong})
	}
	assert.Assert(t, c.send(b, p) == nil)
	assert.Equal(t, len(c.resets), 0)
	b.HandleMessage(c.now+50, c.agentOf(owner), &steer.Message{Kind: steer.Pong})
	r, ok := b.Resume(c.now + 50)
	assert.Assert(t, ok)
	assert.Equal(t, r.Decision.To, c.agentOf(owner))
}

// An agent that does not reply in time counts as silent like any other.
func TestAgentThatDoesNotStartIsSilent(t *testing.T) {
	c := newCluster(t, 3, 1)
	b, _ := c.start()
	h := c.someHost()
	for _, other := range c.others(h) {
		b.HandleMessage(c.now, c.agentOf(other), &steer.Message{Kind: steer.Pong})
	}
	silent := b.Tick(c.now+500, func(place.ID) {})
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, silent[0].Agent, c.agentOf(h))
	assert.Assert(t, !b.Starting())
	assert.Assert(t, b.Ready(c.now+500))
}

// The users count three packets of a flow at wrong servers within two seconds, and none
// at its own, as misrouted. Callers with a time limit of four seconds repeat a packet five
// times in that time, through any balancer, while servers are replaced.
func TestUnaskableHolderKeepsPacketFromStrangers(t *testing.T) {
	for _, row := range []struct {
		name string
		hide func(c *cluster, owner *host)
	}{
		{"evacuated", func(c *cluster, owner *host) {
			c.apply(steer.Change{DataCentreName: owner.centre, OutOfService: true, Revision: 1 << 40})
			c.now += 5001
		}},
		{"silent", func(c *cluster, owner *host) {
			owner.unreachable = true
			for _, b := range c.balancers {
				for port := 5000; port < 5400; port++ {
					c.send(b, steer.Packet{Key: key(port), SYN: true})
				}
				b.Tick(c.now+150, func(agentID) {})
			}
		}},
		{"cut off, and not yet noticed", func(c *cluster, owner *host) { owner.unreachable = true }},
		{"starting", func(c *cluster, owner *host) {
			owner.unreachable = true
			for i := range c.balancers {
				b, _ := c.start()
				for _, h := range c.others(owner) {
					b.HandleMessage(c.now, c.agentOf(h), &steer.Message{Kind: steer.Pong})
				}
				c.balancers[i] = b
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 30, 5)
			owner := c.openAtThirdChoice(c.balancers[0], 1000)
			p := dataPacket(1000, owner.server)
			for _, h := range c.others(owner) {
				h.restartAgent() // so that only the servers know
			}
			row.hide(c, owner)
			c.forgetReturned()
			for i, wait := range []clock.Millis{0, 200, 400, 800, 1600} {
				c.now += wait
				id, entry := c.addHost("late" + string(rune('a'+i)))
				entry.CreatedRevision = entry.Revision
				c.apply(steer.Change{Server: entry}, steer.Change{Removed: c.others(owner)[0].name})
				c.hosts[id].restartAgent()
				b := c.balancers[i]
				b.Tick(c.now, func(agentID) {})
				c.send(b, p)
			}
			assert.Equal(t, c.misdelivered(), 0)
			assert.Equal(t, len(c.resets), 0)
		})
	}
}

// The reset of a flow names the data that its caller expects, which is in the packet that
// the balancer has kept.
func TestResetAnswersKeptPacket(t *testing.T) {
	c := newCluster(t, 9, 1)
	p := dataPacket(1000, newServer(77))
	c.send(c.balancers[0], p)
	assert.Equal(t, len(c.resets), 1)
	assert.Equal(t, c.lastReset, p)
}

// A caller's acknowledgement and its request come one right after the other. The request
// must not be lost because the acknowledgement is still being searched for.
func TestPacketsThatComeDuringSearchFollowIt(t *testing.T) {
	c := newCluster(t, 9, 2)
	owner := c.openAtThirdChoice(c.balancers[0], 1000)
	for _, h := range c.hosts {
		h.restartAgent()
	}
	b := c.balancers[1]
	ack := dataPacket(1000, owner.server)
	ack.Bytes = 0
	var m steer.Message
	d := b.FromCaller(c.now, ack, &m)
	first := c.hosts[d.To]
	first.agent.FromBalancer(c.now, c.balancerAddr(b), &m, ack)
	d = b.Denied(c.now, d.To, ack, &m)
	assert.Equal(t, d, steer.Decision{Verdict: steer.Wait, Reason: steer.Searching})
	b.KeepRaw([]byte("ack"))
	d = b.FromCaller(c.now, dataPacket(1000, owner.server), &m)
	assert.Equal(t, d, steer.Decision{Verdict: steer.Wait, Reason: steer.Searching})
	b.KeepRaw([]byte("request"))
	b.HandleMessage(c.now, c.agentOf(owner), &steer.Message{Kind: steer.HoldFlow, Key: key(1000)})
	var forwarded []string
	for {
		r, ok := b.Resume(c.now)
		if !ok {
			break
		}
		if r.Decision.To == c.agentOf(owner) && r.Decision.Reason == steer.KnownOwner {
			forwarded = append(forwarded, string(r.Raw))
		}
	}
	assert.DeepEqual(t, forwarded, []string{"request"})
}

// A host that goes while its data centre is evacuated gets no packets any more. Flows
// that it might hold are reset as soon as its silence shows that it is gone.
func TestGoneHostOfEvacuatedDataCentreHidesNoFlow(t *testing.T) {
	c := newCluster(t, 9, 1)
	b := c.balancers[0]
	gone := c.someHost()
	c.apply(steer.Change{DataCentreName: gone.centre, OutOfService: true, Revision: 1 << 40})
	c.now += 6000
	for _, h := range c.hosts {
		if h.centre == gone.centre {
			h.unreachable = true
			c.apply(steer.Change{Server: c.entry(c.agentOf(h), steer.Leaving)}, steer.Change{Removed: h.name})
		}
	}
	c.send(b, dataPacket(1000, newServer(77)))
	assert.Equal(t, len(c.resets), 0, "the hosts may still hold it")
	pings := 0
	for range 40 {
		c.now += 100
		c.apply()
		b.Tick(c.now, func(id agentID) {
			if c.hosts[id].unreachable {
				pings++
			} else {
				b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Pong})
			}
		})
	}
	c.send(b, dataPacket(1000, newServer(77)))
	assert.Equal(t, len(c.resets), 1)
	assert.Assert(t, pings < 3*15, "%d pings to three hosts that are gone", pings)
}

// An agent that started with its server, or before it, has a record of each of its flows.
// One that started later does not, nor one whose host's clock was set back before it
// started again, as the first packet of the server shows.
func TestAgentThatStartedWithServerKnowsAllFlows(t *testing.T) {
	const serverStartMs = 1_700_000_000_000
	for _, row := range []struct {
		name         string
		agentStartMs int64
		seesFlow     bool // the server has sent a packet of a flow without a record
		tried        bool // the server must be tried
	}{
		{"agent first", serverStartMs - 40_000, false, false},
		{"together", serverStartMs + 2, false, false},
		{"agent later", serverStartMs + 1000, false, true},
		{"not known", 0, false, true},
		{"clock set back", serverStartMs - 500, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 9, 2)
			owner := c.openAtThirdChoice(c.balancers[0], 1000)
			c.open(c.balancers[0], 1001)
			for id, h := range c.hosts {
				e := c.entry(id, steer.Serving)
				e.StartMs = serverStartMs
				c.apply(steer.Change{Server: e})
				h.restartAgent()
				h.agent.StartMs = row.agentStartMs
				if row.seesFlow {
					h.agent.FromServer(c.now, steer.Packet{Key: key(9), HasACK: true}, &steer.Message{})
				}
			}
			c.forgetReturned()
			lost := c.sendLostTo(c.balancers[1], 1002)
			assert.Equal(t, len(c.resets), 1)
			assert.Equal(t, c.misdelivered() > 0, row.tried)
			assert.Assert(t, row.tried || lost <= 9, "%d offers", lost)
			c.resets = nil
			found := c.send(c.balancers[1], dataPacket(1000, owner.server))
			assert.Equal(t, found == owner, row.tried, "the agents' claim is believed")
		})
	}
}

// sendLostTo sends a packet of a flow that no server holds and returns how often it was
// offered.
func (c *cluster) sendLostTo(b *steer.Balancer, port int) int {
	before := c.offers
	c.send(b, dataPacket(port, newServer(77)))
	return c.offers - before
}

// What one agent says of its start must not pass for another's, which has restarted and
// says nothing since its server has shown that.
func TestStartOfOneAgentIsNotTakenForAnothers(t *testing.T) {
	const serverStartMs = 1_700_000_000_000
	c := newCluster(t, 9, 2)
	owner := c.openAtThirdChoice(c.balancers[0], 1000)
	c.open(c.balancers[0], 1001)
	for id, h := range c.hosts {
		e := c.entry(id, steer.Serving)
		e.StartMs = serverStartMs
		c.apply(steer.Change{Server: e})
		h.restartAgent()
		h.agent.StartMs = serverStartMs
	}
	owner.agent.StartMs = serverStartMs + 20_000
	owner.agent.FromServer(c.now, steer.Packet{Key: key(9), HasACK: true}, &steer.Message{})
	assert.Equal(t, c.send(c.balancers[1], dataPacket(1000, owner.server)), owner)
	assert.Equal(t, len(c.resets), 0)
}

// An agent that lives beside an unlisted server of an evacuated data centre does not count
// as lost while it answers.
func TestAgentOfUnlistedEvacuatedServerIsNotLost(t *testing.T) {
	c := newCluster(t, 9, 1)
	b := c.balancers[0]
	h := c.someHost()
	c.tick(b, 1)
	c.apply(steer.Change{DataCentreName: h.centre, OutOfService: true, Revision: 1 << 40},
		steer.Change{Server: c.entry(c.agentOf(h), steer.Leaving)}, steer.Change{Removed: h.name})
	lost, pings := 0, 0
	for range 50 {
		c.now += 100
		c.apply()
		lost += len(b.Tick(c.now, func(id agentID) {
			pings++
			b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Pong})
		}))
	}
	assert.Equal(t, lost, 0)
	assert.Assert(t, pings <= 6, "%d pings in five seconds", pings)
}

// A SYN that waits takes the place of a search that waits for the same flow. The search
// must not keep the flow's later packets from being decided on.
func TestInterruptedSearchEnds(t *testing.T) {
	c := newCluster(t, 6, 1)
	b, _ := c.start() // no agent has replied yet
	lost, syn := dataPacket(1000, newServer(77)), steer.Packet{Key: key(1000), SYN: true}
	var m steer.Message
	assert.Equal(t, b.FromCaller(c.now, lost, &m).Reason, steer.AgentsStarting)
	assert.Equal(t, b.FromCaller(c.now, syn, &m).Reason, steer.AgentsStarting)
	c.now += steer.EntryReturnTime
	c.apply()
	for _, h := range c.hosts {
		b.HandleMessage(c.now, c.agentOf(h), &steer.Message{Kind: steer.Pong})
	}
	for range 20 {
		if _, ok := b.Resume(c.now); !ok {
			break
		}
	}
	b.Tick(c.now, func(agentID) {})
	c.send(b, lost)
	assert.Equal(t, len(c.resets), 1)
}

// A search that ends since an agent did not answer is told, so that the log can explain
// why the caller got no answer.
func TestUnansweredSearchIsTold(t *testing.T) {
	c := newCluster(t, 9, 1)
	b := c.balancers[0]
	lost := dataPacket(1000, newServer(77))
	var m steer.Message
	d := b.FromCaller(c.now, lost, &m)
	c.hosts[d.To].agent.FromBalancer(c.now, c.balancerAddr(b), &m, lost)
	b.Denied(c.now, d.To, lost, &m)
	for _, h := range c.hosts {
		h.unreachable = true
	}
	c.resume(b)
	c.drops = nil
	c.now += 200
	b.Tick(c.now, func(agentID) {})
	c.resume(b)
	assert.DeepEqual(t, c.drops, []steer.Reason{steer.Searching})
}

// A search began before the return deadline of an unlisted server's entry and is parked
// after it, while the last answer of the platform is from between the two. It must wait for
// a newer answer. To count that one again and again would keep the balancer busy for good.
func TestParkedSearchWaitsForAnswerAfterParking(t *testing.T) {
	c := newCluster(t, 6, 1)
	b := c.balancers[0]
	c.tick(b, 1)
	gone := c.someHost()
	b.HandleMessage(c.now, c.agentOf(gone), &steer.Message{Kind: steer.HoldFlow, Key: key(2000)})
	gone.unreachable = true
	c.apply(steer.Change{Server: c.entry(c.agentOf(gone), steer.Leaving)}, steer.Change{Removed: gone.name})
	for range 20 { // its agent is silent, and its entry may still return
		c.now += 100
		b.Tick(c.now, func(id agentID) {
			if !c.hosts[id].unreachable {
				b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Pong})
			}
		})
		c.send(b, dataPacket(2000, gone.server)) // so that its silence is noticed
	}
	lost := dataPacket(1000, newServer(77))
	var m steer.Message
	d := b.FromCaller(c.now, lost, &m)
	c.hosts[d.To].agent.FromBalancer(c.now, c.balancerAddr(b), &m, lost)
	b.Denied(c.now, d.To, lost, &m)
	c.now += 50
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	c.now += 60 // past the deadline
	resumed := 0
	for ; resumed < 1000; resumed++ {
		r, ok := b.Resume(c.now)
		if !ok {
			break
		}
		c.execute(b, r.Decision, r.Packet, r.Message)
	}
	assert.Assert(t, resumed < 100, "%d packets resumed without anything new", resumed)
	c.now += 5
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	c.resume(b)
	assert.Equal(t, len(c.resets), 1)
}

// A parked packet began a search whose agents are offered the packet. It was offered before
// its bytes were kept for the search, so the agent got those of another packet.
func TestResumedPacketKeepsItsBytes(t *testing.T) {
	c := newCluster(t, 2, 1)
	b := c.balancers[0]
	hosts := c.sorted()
	owner, other := hosts[0], hosts[1]
	b.HandleMessage(c.now, c.agentOf(owner), &steer.Message{Kind: steer.HoldFlow, Key: key(1000)})
	owner.unreachable, other.unreachable = true, true
	for port := 2000; port < 2010; port++ {
		c.send(b, steer.Packet{Key: key(port), SYN: true})
	}
	c.apply(steer.Change{Server: c.entry(c.agentOf(owner), steer.Leaving)}, steer.Change{Removed: owner.name})
	for range 21 {
		c.now += 100
		b.Tick(c.now, func(agentID) {})
	}
	var m steer.Message
	d := b.FromCaller(c.now, dataPacket(1000, owner.server), &m)
	assert.Equal(t, d.Reason, steer.StaleView)
	b.KeepRaw([]byte("packet"))
	c.now += 5
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	r, ok := b.Resume(c.now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Decision.Verdict, steer.Offer)
	assert.Equal(t, r.Decision.To, c.agentOf(other))
	assert.Equal(t, string(r.Raw), "packet")
}
