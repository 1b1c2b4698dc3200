package steer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// Servers that have just joined do not take flows yet, while one that restarts after them
// does at once. A search that counts them before it would leave out the holder of its
// flows, and reset these.
func TestServerRestartedAmongNewOnesIsFound(t *testing.T) {
	c := newLocalCluster(t, 3)
	publish := func(e *steer.Server) {
		e.CreatedRevision = e.Revision
		c.apply(steer.Change{Server: e})
	}
	for i := range 40 {
		_, e := c.addHost(fmt.Sprint("new", i))
		publish(e)
	}
	restarted := steer.AgentOf(netip.MustParseAddr("10.1.0.1"))
	c.hosts[restarted].restartAgent()
	c.hosts[restarted].name = "s0x"
	publish(c.entry(restarted, steer.Serving))

	owners := make(map[int]*host)
	for port := 1000; port < 1200; port++ {
		if h := c.open(c.balancers[0], port); h != nil {
			owners[port] = h
		}
	}
	assert.Assert(t, len(owners) > 0)
	c.resets = nil // of SYNs that no server took
	for port, owner := range owners {
		for _, b := range c.balancers[1:] {
			assert.Equal(t, c.send(b, dataPacket(port, owner.server)), owner, "%d flows were reset", len(c.resets))
		}
	}
}
