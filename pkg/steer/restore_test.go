package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// startEra restores the store from an older copy: its revisions begin again at 1.
func (c *cluster) startEra(era uint64) { c.revision = steer.RevisionOf(era, 0) }

// listRestored lists a restored store at all balancers.
func (c *cluster) listRestored(listing ...steer.Change) {
	for _, b := range c.balancers {
		b.Registry.RecordPlatformAnswer(c.now, c.now)
		b.Registry.RecordRestore(c.now)
		b.Registry.ApplyListing(c.now, listing)
	}
}

// copied returns the change that lists a server in a restored store.
func (c *cluster) copied(h *host, state steer.ServerState) steer.Change {
	return steer.Change{Server: c.entry(c.agentOf(h), state)}
}

// someHost returns the host of the cluster's first server.
func (c *cluster) someHost() *host {
	return c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
}

// opensAt reports whether any of fifty new flows opens at a host.
func (c *cluster) opensAt(b *steer.Balancer, h *host, firstPort int) bool {
	for port := firstPort; port < firstPort+50; port++ {
		if c.open(b, port) == h {
			return true
		}
	}
	return false
}

func TestRevisionsOrderByEraFirst(t *testing.T) {
	assert.Assert(t, steer.RevisionOf(1, 1) > steer.RevisionOf(0, 1<<40))
	assert.Assert(t, steer.RevisionOf(1, 2) > steer.RevisionOf(1, 1))
	assert.Equal(t, steer.RevisionOf(0, 7), uint64(7))
}

// A restored store gives out lower revisions again: what servers write then is newer
// all the same.
func TestEntriesOfRestoredStoreAreNewer(t *testing.T) {
	c := newCluster(t, 2, 1)
	h := c.someHost()
	c.startEra(1)
	c.listRestored(steer.Change{Config: config(1)}, c.copied(c.others(h)[0], steer.Serving), c.copied(h, steer.Serving))
	c.apply(steer.Change{Server: c.entry(c.agentOf(h), steer.Leaving)})
	assert.Assert(t, !c.opensAt(c.balancers[0], h, 1000))
}

func TestRestoredStoreTakesBackNoDrainAtOnce(t *testing.T) {
	c := newCluster(t, 2, 1)
	b, h := c.balancers[0], c.someHost()
	c.apply(steer.Change{Server: c.entry(c.agentOf(h), steer.Leaving)})
	c.startEra(1)
	c.listRestored(steer.Change{Config: config(1)}, c.copied(c.others(h)[0], steer.Serving), c.copied(h, steer.Serving))
	c.now += 2000
	b.Registry.ApplyHeld(c.now)
	assert.Assert(t, !c.opensAt(b, h, 1000), "the server has not yet had the time to write again")
	c.now += 200
	assert.Equal(t, len(b.Registry.ApplyHeld(c.now)), 1)
	assert.Assert(t, c.opensAt(b, h, 2000), "then the store is right")
}

// A server that started again under its name is listed as it was before.
func TestRestoredStoreTakesBackNoNewerRun(t *testing.T) {
	c := newCluster(t, 2, 1)
	b, h := c.balancers[0], c.someHost()
	entry := c.entry(c.agentOf(h), steer.Serving)
	entry.StartMs = 200
	c.apply(steer.Change{Server: entry})
	c.startEra(1)
	old := c.copied(h, steer.Leaving)
	old.Server.StartMs = 100
	c.listRestored(steer.Change{Config: config(1)}, c.copied(c.others(h)[0], steer.Serving), old)
	assert.Assert(t, c.opensAt(b, h, 1000))
}

func TestRestoredStoreTakesBackNoEvacuationAtOnce(t *testing.T) {
	out := steer.Change{DataCentreName: "dc1", OutOfService: true, Revision: 90}
	for _, row := range []struct {
		name   string
		after  func(c *cluster)
		serves bool
	}{
		{"before it can be written again", func(c *cluster) { c.now += 2000 }, false},
		{"it is written again", func(c *cluster) {
			c.now += 1000
			out.Revision = steer.RevisionOf(1, 9)
			c.apply(out)
			c.now += 3000
		}, false},
		{"it is not written again", func(c *cluster) { c.now += 2200 }, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			b, h := c.balancers[0], c.someHost()
			c.apply(out)
			c.startEra(1)
			listing := []steer.Change{{Config: config(1)}, c.copied(h, steer.Serving)}
			for _, other := range c.others(h) {
				listing = append(listing, c.copied(other, steer.Serving))
			}
			c.listRestored(listing...)
			row.after(c)
			b.Registry.ApplyHeld(c.now)
			assert.Equal(t, c.opensAt(b, h, 1000), row.serves)
		})
	}
}

func TestRestoredStoreTakesBackNoConfiguration(t *testing.T) {
	c := newCluster(t, 2, 1)
	changed := config(5)
	changed.Routes = nil
	c.apply(steer.Change{Config: changed})
	c.startEra(1)
	c.listRestored(steer.Change{Config: config(1)}, c.copied(c.someHost(), steer.Serving))
	c.now += 10_000
	c.balancers[0].Registry.ApplyHeld(c.now)
	assert.Assert(t, !c.opensAt(c.balancers[0], c.someHost(), 1000), "the route was removed")
}

// Another balancer may know a server that this one has not yet seen, and that the
// restored store has forgotten.
func TestRestoredStoreProvesNoFlowLost(t *testing.T) {
	c := newCluster(t, 2, 2)
	b := c.balancers[0]
	id, entry := c.addHost("new")
	other := c.balancers[1]
	other.Registry.Apply(c.now, []steer.Change{{Server: entry}})
	c.now += 1500
	var port int
	for port = 1000; c.open(other, port) != c.hosts[id]; port++ {
	}
	c.startEra(1)
	listing := []steer.Change{{Config: config(1)}}
	for _, h := range c.others(c.hosts[id]) {
		listing = append(listing, c.copied(h, steer.Serving))
	}
	c.listRestored(listing...)
	c.send(b, dataPacket(port, c.hosts[id].server))
	assert.Equal(t, len(c.resets), 0)
	assert.DeepEqual(t, c.drops, []steer.Reason{steer.StaleView})
}

// A balancer that starts after the store was restored knows no drain of before; the
// agents do.
func TestAgentKeepsDrainThatRestoredStoreForgot(t *testing.T) {
	c := newCluster(t, 1, 2)
	h := c.someHost()
	c.open(c.balancers[0], 1000)
	c.apply(steer.Change{Server: c.entry(c.agentOf(h), steer.Leaving)})
	c.send(c.balancers[0], dataPacket(1000, h.server)) // tells the agent
	fresh := &steer.Balancer{}
	c.balancers[1] = fresh
	fresh.Registry.RecordPlatformAnswer(c.now, c.now)
	c.revision = steer.RevisionOf(1, 0)
	fresh.Registry.ApplyListing(c.now, []steer.Change{{Config: config(1)}, c.copied(h, steer.Serving)})
	assert.Assert(t, c.open(fresh, 1001) == nil)
	c.now += 2200
	assert.Assert(t, c.open(fresh, 1002) == h)
}

// A server that a restored store lists with a new revision may be older than the
// evacuation of its data centre and hold flows.
func TestEvacuationBeforeRestoreHidesNoHolder(t *testing.T) {
	c := newCluster(t, 2, 1)
	b := c.balancers[0]
	owner := c.open(b, 1000)
	c.apply(steer.Change{DataCentreName: owner.centre, OutOfService: true, Revision: 90})
	fresh := c.entry(c.agentOf(owner), steer.Serving)
	fresh.Name, fresh.CreatedRevision = "again", steer.RevisionOf(1, 3)
	c.apply(steer.Change{Removed: owner.name}, steer.Change{Server: fresh})
	assert.Equal(t, c.send(b, dataPacket(1000, owner.server)), owner)
}
