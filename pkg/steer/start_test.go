package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// startAndPing starts a balancer that lists the cluster's servers, at a revision of the
// store, and whose pings their agents answer.
func (c *cluster) startAndPing(revision uint64) *steer.Balancer {
	b, pinged := c.start()
	b.Registry.RecordRevision(revision)
	for id := range pinged {
		ping := b.Ping()
		pong := c.hosts[id].agent.AnswerPing(&ping)
		b.HandleMessage(c.now, id, &pong)
	}
	return b
}

// openAt opens flows through a balancer until one opens at a host, and returns its port.
func (c *cluster) openAt(b *steer.Balancer, h *host) int {
	for port := 1000; port < 1400; port++ {
		if c.open(b, port) == h {
			return port
		}
	}
	c.t.Fatalf("no flow opened at %s", h.name)
	return 0
}

// A balancer that is restarted just after a server was listed opens flows there at once.
// Another balancer, whose view is some hundred milliseconds older, took the answers of the
// agents that it knew for proof that no server held such a flow, and reset it.
func TestFlowAtServerOfFirstListingIsNotReset(t *testing.T) {
	c := newCluster(t, 6, 1)
	b := c.balancers[0]
	b.Registry.RecordRevision(6)
	c.now += 400
	id, entry := c.addHost("new")
	started := c.startAndPing(7)
	port := c.openAt(started, c.hosts[id])
	c.now += 100
	assert.Assert(t, c.send(b, dataPacket(port, c.hosts[id].server)) == nil)
	assert.Equal(t, len(c.resets), 0)
	assert.DeepEqual(t, c.drops, []steer.Reason{steer.StaleView}) // parked
	c.now += 20
	b.Registry.RecordPlatformAnswer(c.now, c.now-10)
	b.Registry.Apply(c.now, []steer.Change{{Server: entry}})
	assert.Equal(t, c.resume(b), c.hosts[id])
	assert.Equal(t, len(c.resets), 0)
}

// The pages of a listing are no snapshot: a later one may have entries that were written after
// the revision of the first one.
func TestPingTellsOfEntriesFromLaterPages(t *testing.T) {
	c := newCluster(t, 3, 1)
	b := c.balancers[0]
	b.Registry.RecordRevision(2)
	assert.Equal(t, b.Ping().StoreRevision, c.revision)
	for _, h := range c.hosts {
		h.agent.AnswerPing(&steer.Message{Kind: steer.Ping, StoreRevision: c.revision})
	}
	c.now += 20
	c.send(b, dataPacket(1000, newServer(77)))
	assert.Equal(t, len(c.resets), 0, "the view has all entries up to the revision of the first page only")
}

// If the new server is the first one of its service, there is no agent that could tell of
// the newer view.
func TestFlowAtFirstServerOfServiceIsNotReset(t *testing.T) {
	c := newCluster(t, 0, 1)
	b := c.balancers[0]
	c.now += 400
	id, entry := c.addHost("new")
	port := c.openAt(c.startAndPing(1), c.hosts[id])
	c.now += 100
	assert.Assert(t, c.send(b, dataPacket(port, c.hosts[id].server)) == nil)
	assert.Equal(t, len(c.resets), 0)
	c.now += 20
	b.Registry.RecordPlatformAnswer(c.now, c.now-10)
	b.Registry.Apply(c.now, []steer.Change{{Server: entry}})
	assert.Equal(t, c.resume(b), c.hosts[id])
}

// withServices returns the test's configuration with a route to one service, and settings of
// both.
func withServices(version uint64, target string) *steer.Config {
	c := config(version)
	c.Routes[0].Targets = []steer.Target{{Service: target, Weight: 1}}
	c.Services = append(c.Services, steer.Service{Name: "next"})
	return c
}

// A balancer that starts after all weight of a route went to another service reset the
// flows that were open at the former one: it asked only the agents of the present one.
func TestFlowAtServiceOfEarlierConfigurationIsNotReset(t *testing.T) {
	c := newCluster(t, 6, 1)
	owner := c.open(c.balancers[0], 1000)
	for _, h := range c.others(owner)[:3] {
		h.agent.Service = steer.ServiceOf("next")
	}
	restarted := &steer.Balancer{}
	c.balancers = append(c.balancers, restarted)
	listing := []steer.Change{{Config: withServices(2, "next")}}
	for id, h := range c.hosts {
		entry := c.entry(id, steer.Serving)
		if h.agent.Service == steer.ServiceOf("next") {
			entry.Service = "next"
		}
		listing = append(listing, steer.Change{Server: entry})
	}
	restarted.Registry.RecordPlatformAnswer(c.now, c.now)
	restarted.Registry.ApplyListing(c.now, listing)
	assert.Equal(t, c.send(restarted, dataPacket(1000, owner.server)), owner)
	assert.Equal(t, len(c.resets), 0)
	assert.Equal(t, c.misdelivered(), 0)
	for port := 2000; port < 2020; port++ {
		h := c.open(restarted, port)
		assert.Assert(t, h.agent.Service == steer.ServiceOf("next"), "a new flow opened at the former service")
	}
	restarted.Registry.Apply(c.now, []steer.Change{{Config: withServices(3, "next")}})
	assert.Equal(t, c.send(restarted, dataPacket(1000, owner.server)), owner, "after the next version")
}

// A balancer that has not yet received the configuration that sends a route to another service
// reset the flows that another balancer had opened there.
func TestFlowAtServiceOfLaterConfigurationIsNotReset(t *testing.T) {
	c := newCluster(t, 6, 2)
	next := c.someHost()
	next.agent.Service = steer.ServiceOf("next")
	entry := c.entry(c.agentOf(next), steer.Serving)
	entry.Service = "next"
	c.apply(steer.Change{Server: entry})
	c.now += steer.DefaultFlowLife // no flow is left from before the balancers' start
	c.apply()
	c.balancers[0].Registry.Apply(c.now, []steer.Change{{Config: withServices(2, "next")}})
	port := c.openAt(c.balancers[0], next)
	assert.Equal(t, c.send(c.balancers[1], dataPacket(port, next.server)), next)
	assert.Equal(t, len(c.resets), 0)
}

// The same for a route that the later configuration adds.
func TestFlowOnRouteOfLaterConfigurationIsNotReset(t *testing.T) {
	c := newCluster(t, 3, 2)
	without := config(2)
	without.Routes = nil
	c.apply(steer.Change{Config: without})
	again := steer.Change{Config: config(3)}
	c.balancers[0].Registry.Apply(c.now, []steer.Change{again})
	owner := c.open(c.balancers[0], 1000)
	c.now += 500
	assert.Assert(t, c.send(c.balancers[1], dataPacket(1000, owner.server)) == nil)
	assert.Equal(t, len(c.resets), 0)
	c.now += 20
	c.apply(again)
	assert.Equal(t, c.resume(c.balancers[1]), owner)
	assert.Equal(t, len(c.resets), 0)
}

// A host of a route's one service is reused by its other one. The denial for the former
// service was taken for proof that the host's server did not hold the flow.
func TestFlowAtReusedHostIsNotReset(t *testing.T) {
	c := newCluster(t, 1, 1)
	b := c.balancers[0]
	h := c.someHost()
	id := c.agentOf(h)
	split := withServices(2, "desk")
	split.Routes[0].Targets = append(split.Routes[0].Targets, steer.Target{Service: "next", Weight: 1})
	c.apply(steer.Change{Config: split}, steer.Change{Removed: h.name})
	c.now += 3000
	h.name, h.agent = "successor", &steer.Agent{Service: steer.ServiceOf("next")}
	entry := c.entry(id, steer.Serving)
	entry.Service, entry.StartMs = "next", 1
	c.apply(steer.Change{Server: entry})
	c.now += 1300
	c.apply()
	port := c.openAt(b, h)
	c.resets = nil // of flows whose hash chose the former service
	other := &steer.Balancer{}
	other.Registry.RecordPlatformAnswer(c.now, c.now)
	listing := []steer.Change{{Config: split}, {Server: entry}}
	former := *entry
	former.Name, former.Service, former.StartMs = "former", "desk", 0
	other.Registry.ApplyListing(c.now, append(listing, steer.Change{Server: &former}))
	c.balancers = append(c.balancers, other)
	assert.Equal(t, c.send(other, dataPacket(port, h.server)), h)
	assert.Equal(t, len(c.resets), 0)
}

// An agent that tells of a revision which the store never reaches, after a fault, must not
// keep lost flows from being reset for good: one newer answer of the store settles it.
func TestToldRevisionNeedsOneAnswerOnly(t *testing.T) {
	c := newCluster(t, 3, 1)
	b := c.balancers[0]
	for _, h := range c.hosts {
		h.agent.AnswerPing(&steer.Message{Kind: steer.Ping, StoreRevision: 1 << 50})
	}
	c.now += 20
	c.send(b, dataPacket(1000, newServer(77)))
	assert.Equal(t, len(c.resets), 0)
	c.now += 20
	b.Registry.RecordPlatformAnswer(c.now, c.now-10)
	c.resume(b)
	assert.Equal(t, len(c.resets), 1)
	c.send(b, dataPacket(1001, newServer(77)))
	assert.Equal(t, len(c.resets), 2)
}
