package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// Entries of other writers that name a server's agent decided on the server if their name
// came last: its open flows were reset, it got no new flows, or got them while it drained.
func TestEntriesOfOtherWritersHideNoServer(t *testing.T) {
	for _, row := range []struct {
		name  string
		state steer.ServerState // that the server's own entry has in the end
		write func(c *cluster, entry steer.Server) []steer.Change
		opens bool
	}{
		{"a service that the configuration does not name", steer.Serving, func(c *cluster, entry steer.Server) []steer.Change {
			entry.Service, entry.StartMs = "retired", 7
			return []steer.Change{{Server: &entry}}
		}, true},
		{"a copy that says that the server serves", steer.Leaving, func(c *cluster, entry steer.Server) []steer.Change {
			return []steer.Change{{Server: &entry}}
		}, false},
		{"a copy that was removed", steer.Serving, func(c *cluster, entry steer.Server) []steer.Change {
			return []steer.Change{{Server: &entry}, {Removed: entry.Name}}
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 3, 2)
			h := c.someHost()
			port := c.openAt(c.balancers[0], h)
			copied := *c.entry(c.agentOf(h), steer.Serving)
			copied.Name = h.name + ".copy"
			c.apply(row.write(c, copied)...)
			c.apply(steer.Change{Server: c.entry(c.agentOf(h), row.state)})
			c.now += 3 * clock.Second
			c.apply()
			for _, b := range c.balancers {
				assert.Equal(t, c.send(b, dataPacket(port, h.server)), h, "the open flow")
			}
			assert.Equal(t, len(c.resets), 0)
			opened := false
			for port := 5000; port < 5100; port++ {
				opened = opened || c.open(c.balancers[0], port) == h
			}
			assert.Equal(t, opened, row.opens)
		})
	}
}
