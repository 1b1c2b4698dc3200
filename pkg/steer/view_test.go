package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// newLocalCluster returns a cluster with a balancer in each of its three data centres.
func newLocalCluster(t *testing.T, servers int) *cluster {
	c := newCluster(t, servers, 3)
	for i, b := range c.balancers {
		b.Registry.DataCentre = []string{"dc1", "dc2", "dc3"}[i]
		c.apply(steer.Change{Config: config(uint64(i + 2))}) // renews the views
	}
	return c
}

// Callers whose flows opened in their own data centre notice nothing of a cut between
// the data centres.
func TestFlowsSurviveCutBetweenDataCentres(t *testing.T) {
	c := newLocalCluster(t, 9)
	b := c.balancers[0]
	owners := make(map[int]*host)
	for port := 1000; port < 1100; port++ {
		owners[port] = c.open(b, port)
	}
	for _, h := range c.hosts {
		h.unreachable = h.centre != "dc1"
	}
	survived := 0
	for port, owner := range owners {
		if c.send(b, dataPacket(port, owner.server)) == owner {
			survived++
		}
	}
	assert.Assert(t, survived >= 90, "%d of 100 flows go on", survived)
}

// A data centre with too few servers for its callers passes their flows on before they
// wait.
func TestBusyDataCentrePassesFlowsOn(t *testing.T) {
	c := newLocalCluster(t, 9)
	for id, h := range c.hosts {
		if h.centre == "dc1" && id != steer.AgentOf(netip.MustParseAddr("10.1.0.1")) {
			c.apply(steer.Change{Server: c.entry(id, steer.Leaving)})
		}
	}
	b := c.balancers[0]
	at := make(map[string]int)
	for port := 1000; port < 1012; port++ { // of seven servers with two slots each
		if h := c.send(b, steer.Packet{Key: key(port), SYN: true, Seq: 1}); h != nil {
			at[h.centre]++
		}
	}
	assert.Equal(t, at["dc1"], 2, "%v", at)
	assert.Equal(t, at["dc2"]+at["dc3"], 10, "%v", at)
}

func TestBalancerOfOtherDataCentreFindsLocalFlow(t *testing.T) {
	c := newLocalCluster(t, 60)
	for port := 1000; port < 1050; port++ {
		owner := c.open(c.balancers[0], port)
		for _, b := range c.balancers[1:] {
			assert.Equal(t, c.send(b, dataPacket(port, owner.server)), owner)
		}
	}
	assert.Equal(t, len(c.resets), 0)
}

func TestDataCentreWithoutServersUsesOthers(t *testing.T) {
	c := newLocalCluster(t, 6)
	b := c.balancers[0]
	b.Registry.DataCentre = "dc9"
	c.apply(steer.Change{Config: config(9)})
	seen := make(map[place.ID]bool)
	for port := 1000; port < 1100; port++ {
		seen[c.agentOf(c.open(b, port))] = true
	}
	assert.Equal(t, len(seen), 6)
}
