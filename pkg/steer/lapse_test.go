package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// A balancer that started while the platform's store was away listed it before the entries
// that had expired were back. It reset open flows of servers that it did not know, and
// refused new ones for want of a server, which uses up callers' attempts.
func TestFirstListingAfterOutageMayLackServers(t *testing.T) {
	for _, row := range []struct {
		name    string
		outage  bool
		elapsed clock.Millis // since the listing
		resets  int
	}{
		{"store away at the start", true, 100, 0},
		{"entries had the time to return", true, 2200, 2},
		{"store available at the start", false, 100, 1}, // of the new flow
		{"store available some time ago", false, 2200, 2},
	} {
		c := newCluster(t, 3, 1)
		holder := c.open(c.balancers[0], 1000)
		b := &steer.Balancer{}
		c.balancers = append(c.balancers, b)
		if row.outage {
			b.Registry.RecordOutage()
		}
		b.Registry.RecordPlatformAnswer(c.now, c.now)
		b.Registry.ApplyListing(c.now, []steer.Change{{Config: config(1)}})
		c.now += row.elapsed
		b.Registry.RecordPlatformAnswer(c.now, c.now)
		c.send(b, dataPacket(1000, holder.server))
		c.send(b, steer.Packet{Key: key(1001), SYN: true, Seq: 1})
		assert.Equal(t, len(c.resets), row.resets, row.name)
		for id, h := range c.hosts {
			if h == holder {
				c.apply(steer.Change{Server: c.entry(id, steer.Serving)})
			}
		}
		if row.outage && row.resets == 0 {
			assert.Equal(t, c.send(b, dataPacket(1000, holder.server)), holder, "the flow goes on")
		}
	}
}

// A store was restored without the entries of running servers. A balancer that started just
// then listed one server only, took its agent's denial for proof that no server held a flow,
// and reset the flow while its server lived.
func TestListingThatLacksExpiredEntriesProvesNothing(t *testing.T) {
	for _, row := range []struct {
		name       string
		repeatable bool
		elapsed    clock.Millis // since the listing
		resets     int
	}{
		{"its request may not be repeated", false, 500, 0},
		{"its request may be repeated", true, 500, 1},
		{"entries had the time to return", false, 2200, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 6, 1)
			holder := c.open(c.balancers[0], 1000)
			listed := c.others(holder)[0]
			b := &steer.Balancer{}
			c.balancers = append(c.balancers, b)
			b.Registry.RecordPlatformAnswer(c.now, c.now)
			b.Registry.ApplyListing(c.now, []steer.Change{{Config: config(1)}, {Server: c.entry(c.agentOf(listed), steer.Leaving)}})
			c.setRepeatable(row.repeatable)
			c.now += row.elapsed
			b.Registry.RecordPlatformAnswer(c.now, c.now)
			c.send(b, dataPacket(1000, holder.server))
			assert.Equal(t, len(c.resets), row.resets)
			if row.resets == 0 {
				c.apply(steer.Change{Server: c.entry(c.agentOf(holder), steer.Serving)})
				assert.Equal(t, c.send(b, dataPacket(1000, holder.server)), holder, "the flow goes on")
			}
		})
	}
}

// A balancer that has just started resets a flow at once if it knew the owner, whose server
// has lost it.
func TestKnownOwnerNeedsNoOtherServers(t *testing.T) {
	c := newCluster(t, 3, 0)
	b, pinged := c.start()
	for id := range pinged {
		b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Pong})
	}
	owner := c.open(b, 1000)
	clear(owner.server.flows)
	c.send(b, dataPacket(1000, owner.server))
	assert.Equal(t, len(c.resets), 1)
}

// Entries expired and returned, created anew, after their data centre was evacuated. A balancer
// that had started in between took their servers for new ones that could hold no flows, and
// reset a flow that its server held.
func TestReturnedEntryOfEvacuatedServerHidesNoFlow(t *testing.T) {
	c := newCluster(t, 3, 1)
	owner := c.open(c.balancers[0], 1000)
	out := steer.Change{DataCentreName: owner.centre, OutOfService: true, Revision: 100}
	c.apply(out)
	c.revision = 110
	b := &steer.Balancer{EvacuationGracePeriod: 5000}
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	b.Registry.ApplyListing(c.now, []steer.Change{{Config: config(1)}, out})
	c.now += 900
	var back []steer.Change
	for id := range c.hosts {
		e := c.entry(id, steer.Serving)
		e.CreatedRevision = e.Revision
		back = append(back, steer.Change{Server: e})
	}
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	b.Registry.Apply(c.now, back)
	c.now += 2 * clock.Second
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	c.balancers = append(c.balancers, b)
	assert.Equal(t, c.send(b, dataPacket(1000, owner.server)), owner)
	assert.Equal(t, len(c.resets), 0)
}
