package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// tick advances the time step by step and runs the balancer's timers. Agents that are
// reachable reply to pings.
func (c *cluster) tick(b *steer.Balancer, steps int) {
	for range steps {
		c.now += 100
		c.apply()
		b.Tick(c.now, func(id agentID) {
			if !c.hosts[id].unreachable {
				b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Pong})
			}
		})
	}
}

// setRepeatable says whether the requests of the test's route may be repeated.
func (c *cluster) setRepeatable(repeatable bool) {
	next := config(2)
	next.Routes[0].Repeatable = repeatable
	c.apply(steer.Change{Config: next})
}

// others returns the hosts without one of them.
func (c *cluster) others(h *host) []*host {
	var out []*host
	for _, other := range c.hosts {
		if other != h {
			out = append(out, other)
		}
	}
	return out
}

// A caller whose server can't be reached would otherwise wait for its own time limit.
func TestFlowOfUnreachableServerIsReset(t *testing.T) {
	for _, row := range []struct {
		name       string
		repeatable bool
		known      bool // the balancer has cached the owner
		fail       func(c *cluster, b *steer.Balancer, owner *host)
		resets     int
	}{
		{"known owner", true, true, func(*cluster, *steer.Balancer, *host) {}, 1},
		{"owner not known", true, false, func(*cluster, *steer.Balancer, *host) {}, 1},
		{"the request may not be repeated", false, true, func(*cluster, *steer.Balancer, *host) {}, 0},
		{"the request may not be repeated, owner not known", false, false, func(*cluster, *steer.Balancer, *host) {}, 0},
		{"the agent shut down", true, true, func(c *cluster, b *steer.Balancer, owner *host) {
			b.HandleMessage(c.now, c.agentOf(owner), &steer.Message{Kind: steer.Shutdown})
		}, 0},
		{"most agents are silent", true, true, func(c *cluster, _ *steer.Balancer, owner *host) {
			for _, h := range c.others(owner)[:3] {
				h.unreachable = true
			}
		}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 6, 2)
			c.setRepeatable(row.repeatable)
			opener, b := c.balancers[0], c.balancers[0]
			if !row.known {
				opener = c.balancers[1]
			}
			owner := c.open(opener, 1000)
			owner.unreachable = true
			row.fail(c, b, owner)
			for port := 2000; port < 2060; port++ { // so that b misses the answers
				c.open(b, port)
			}
			c.tick(b, 6)
			c.send(b, dataPacket(1000, owner.server))
			assert.Equal(t, len(c.resets), 0, "an agent that restarts answers again by then")
			c.tick(b, 8)
			c.send(b, dataPacket(1000, owner.server))
			assert.Equal(t, len(c.resets), row.resets)
		})
	}
}

func TestFlowSurvivesCutThatHeals(t *testing.T) {
	c := newCluster(t, 6, 1)
	c.setRepeatable(true)
	b := c.balancers[0]
	owner := c.open(b, 1000)
	owner.unreachable = true
	for port := 2000; port < 2060; port++ {
		c.open(b, port)
	}
	c.tick(b, 20)
	owner.unreachable = false
	c.tick(b, 3)
	assert.Equal(t, c.send(b, dataPacket(1000, owner.server)), owner)
	assert.Equal(t, len(c.resets), 0)
}

// The routers send callers to other hosts while this one reaches too few agents.
func TestBalancerIsReadyWhileItReachesHalfOfTheAgents(t *testing.T) {
	c := newCluster(t, 6, 1)
	b := c.balancers[0]
	cut := 0
	for _, h := range c.hosts {
		if cut < 3 {
			h.unreachable = true
			cut++
		}
	}
	for port := 1000; port < 1060; port++ {
		c.open(b, port)
	}
	c.tick(b, 5)
	assert.Assert(t, b.Ready(c.now))
	for _, h := range c.hosts {
		h.unreachable = true
	}
	for port := 2000; port < 2060; port++ {
		c.open(b, port)
	}
	c.tick(b, 5)
	assert.Assert(t, !b.Ready(c.now))
	for _, h := range c.hosts {
		h.unreachable = false
	}
	c.tick(b, 3)
	assert.Assert(t, b.Ready(c.now))
}

// A data centre that is cut off from the others goes on serving its own callers.
func TestBalancerIsReadyWhileItReachesItsOwnDataCentre(t *testing.T) {
	c := newLocalCluster(t, 9)
	b := c.balancers[0]
	for _, h := range c.hosts {
		h.unreachable = h.centre != "dc1"
	}
	for port := 1000; port < 1060; port++ {
		c.open(b, port)
	}
	c.tick(b, 10)
	assert.Assert(t, b.Ready(c.now))
	served := 0
	for port := 2000; port < 2040; port++ {
		if h := c.open(b, port); h != nil && h.centre == "dc1" {
			served++
		}
	}
	assert.Equal(t, served, 40)
	for _, h := range c.hosts {
		h.unreachable = true
	}
	for port := 3000; port < 3060; port++ {
		c.open(b, port)
	}
	c.tick(b, 10)
	assert.Assert(t, !b.Ready(c.now), "the host reaches nothing")
}
