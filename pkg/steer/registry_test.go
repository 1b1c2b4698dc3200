package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

func TestOlderConfigurationIsIgnored(t *testing.T) {
	var r steer.Registry
	r.Apply(0, []steer.Change{{Config: config(7)}})
	events := r.Apply(1, []steer.Change{{Config: config(5)}})
	assert.Equal(t, r.View(2).Version, uint64(7))
	assert.Equal(t, events[0].State, "stale version ignored")
	assert.Equal(t, len(r.Apply(3, []steer.Change{{Config: config(7)}})), 0)
}

// Entries that expired during an outage of the platform return within two seconds of its
// end. Until then their servers keep taking new flows.
func TestExpiredEntriesMayReturn(t *testing.T) {
	for _, row := range []struct {
		name    string
		noticed bool // the balancer has noticed the outage
		wait    clock.Millis
		back    bool // the entry has returned
		serving bool
	}{
		{"just after the outage", true, 1000, false, true},
		{"still missing after the wait", true, 3000, false, false},
		{"listed again", true, 3000, true, true},
		{"outage not noticed, just after it", false, 1000, false, true},
		{"outage not noticed, still missing", false, 3000, false, false},
		{"outage not noticed, listed again", false, 3000, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			h := c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
			r := &c.balancers[0].Registry
			if row.noticed {
				assert.Assert(t, r.RecordOutage())
				c.now += 5000
				assert.Assert(t, r.RecordPlatformAnswer(c.now, c.now))
				r.ApplyListing(c.now, []steer.Change{{Config: config(1)}})
			} else { // the watch continued through the outage
				r.Apply(c.now, []steer.Change{{Removed: h.name}})
			}
			c.now += row.wait
			r.RecordPlatformAnswer(c.now, c.now)
			if row.back {
				r.Apply(c.now-row.wait/2, []steer.Change{{Server: c.entry(c.agentOf(h), steer.Serving)}})
			}
			assert.Equal(t, c.open(c.balancers[0], 1000) != nil, row.serving)
		})
	}
}

// A second outage begins before the balancer can receive the returning entries. The
// return deadline then counts from the end of that outage.
func TestOutageExtendsReturnDeadline(t *testing.T) {
	c := newCluster(t, 1, 1)
	b := c.balancers[0]
	h := c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	b.Registry.Apply(c.now, []steer.Change{{Removed: h.name}})
	c.now += 1000
	b.Registry.RecordOutage()
	c.now += 5000
	assert.Assert(t, c.open(b, 1000) != nil, "during the outage")
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	c.now += 1000
	assert.Assert(t, c.open(b, 1001) != nil, "just after the outage")
	c.now += 2000
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	assert.Assert(t, c.open(b, 1002) == nil, "after the return deadline")
	b.Registry.RecordOutage()
	assert.Assert(t, c.open(b, 1003) == nil, "a later outage changes nothing")
}

// A connection that has become silent without an error delivers no returning entries
// either.
func TestSilentPlatformKeepsUnlistedServers(t *testing.T) {
	c := newCluster(t, 1, 1)
	b := c.balancers[0]
	h := c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	c.apply(steer.Change{Removed: h.name})
	_, pending := b.Registry.AwaitingReturn(c.now)
	assert.Assert(t, pending)
	c.now += 4500
	assert.Assert(t, c.open(b, 1000) != nil, "without an answer for 4.5 s")
	b.Registry.RecordPlatformAnswer(c.now, c.now)
	c.now += 200
	assert.Assert(t, c.open(b, 1001) == nil, "after an answer")
	c.now += 4500
	assert.Assert(t, c.open(b, 1002) == nil, "without an answer again")
	_, pending = b.Registry.AwaitingReturn(c.now)
	assert.Assert(t, !pending)
}

// An entry may return until its return deadline, so only an answer to a request sent
// after the deadline confirms that it did not.
func TestMissedReturnNeedsAnswerToLaterRequest(t *testing.T) {
	c := newCluster(t, 1, 1)
	b := c.balancers[0]
	removedAt := c.now
	c.apply(steer.Change{Removed: c.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))].name})
	for i, row := range []struct {
		answered, requested clock.Millis // answer and request, since the entry was removed
		now                 clock.Millis
		wait                clock.Millis // until the next request
		open                bool
	}{
		{1500, 1500, 1500, 600, true},
		{1900, 1900, 2200, 0, true},
		{2250, 2050, 2300, 0, true},
		{2350, 2150, 2350, 0, false},
	} {
		c.now = removedAt + row.now
		b.Registry.RecordPlatformAnswer(removedAt+row.answered, removedAt+row.requested)
		wait, pending := b.Registry.AwaitingReturn(c.now)
		assert.Equal(t, pending, row.open)
		assert.Equal(t, wait, row.wait)
		assert.Equal(t, c.open(b, 1000+i) != nil, row.open, "%d ms after the entry was removed", row.now)
	}
}

func TestListingRemovesWhatItOmits(t *testing.T) {
	c := newCluster(t, 3, 1)
	r := &c.balancers[0].Registry
	r.Apply(c.now, []steer.Change{{DataCentreName: "dc2", OutOfService: true}})
	events := r.ApplyListing(c.now, []steer.Change{{Config: config(1)}})
	states := map[string]int{}
	for _, n := range events {
		states[n.Subject+" "+n.State]++
	}
	assert.DeepEqual(t, states, map[string]int{"server Missing": 3, "data centre in": 1})
}

func TestOlderEntryIsIgnored(t *testing.T) {
	c := newCluster(t, 1, 1)
	id := steer.AgentOf(netip.MustParseAddr("10.1.0.1"))
	old := c.entry(id, steer.Serving)
	c.apply(steer.Change{Server: c.entry(id, steer.Leaving)}, steer.Change{Server: old})
	assert.Assert(t, c.open(c.balancers[0], 1000) == nil)
}

func TestNoViewBeforeFirstConfiguration(t *testing.T) {
	var b steer.Balancer
	assert.Assert(t, !b.Ready(0))
	var m steer.Message
	d := b.FromCaller(0, steer.Packet{Key: key(1), SYN: true}, &m)
	assert.Equal(t, d.Verdict, steer.Drop)
	assert.Equal(t, d.Reason, steer.NoView)
}

// Open flows stay at their servers when their route changes to another service.
func TestOpenFlowsStayWhenRouteChangesService(t *testing.T) {
	c := newCluster(t, 3, 2)
	owner := c.open(c.balancers[0], 1000)
	for version := uint64(2); version < 4; version++ {
		changed := config(version)
		changed.Routes[0].Targets = []steer.Target{{Service: "other", Weight: 1}}
		c.apply(steer.Change{Config: changed})
		assert.Equal(t, c.send(c.balancers[1], dataPacket(1000, owner.server)), owner)
		assert.Assert(t, c.open(c.balancers[0], 1000+int(version)) == nil, "a new flow opened at the former service")
	}
	assert.Equal(t, len(c.resets), 2)
}

func TestRemovedRouteIsRefused(t *testing.T) {
	c := newCluster(t, 2, 1)
	owner := c.open(c.balancers[0], 1000)
	empty := config(2)
	empty.Routes = nil
	c.apply(steer.Change{Config: empty})
	c.send(c.balancers[0], dataPacket(1000, owner.server))
	c.open(c.balancers[0], 1001)
	assert.Equal(t, len(c.resets), 2)
}

// An unlisted server may hold flows until the last of them has reached the longest life
// that the settings allow.
func TestUnlistedServerIsSearchedForFlowLife(t *testing.T) {
	for _, row := range []struct {
		life, after clock.Millis
		searched    bool
	}{
		{0, 59 * clock.Second, true},
		{0, 61 * clock.Second, false},
		{120 * clock.Second, 119 * clock.Second, true},
		{10 * clock.Second, 11 * clock.Second, false},
	} {
		c := newCluster(t, 2, 1)
		b := c.balancers[0]
		b.Registry.FlowLife = row.life
		owner := c.open(b, 1000)
		c.apply(steer.Change{Server: c.entry(c.agentOf(owner), steer.Leaving)}, steer.Change{Removed: owner.name})
		c.now += row.after
		c.apply()
		assert.Equal(t, c.send(b, dataPacket(1000, owner.server)) == owner, row.searched, "%d of %d ms", row.after, row.life)
	}
}
