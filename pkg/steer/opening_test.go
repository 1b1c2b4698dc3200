package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

type (
	keyType = flow.Key
	steerID = place.ID
)

func TestNewFlowsAvoid(t *testing.T) {
	for _, row := range []struct {
		name string
		shun func(w *world, h *host)
	}{
		{"a draining server", func(w *world, h *host) {
			w.tell(steer.Change{Server: w.entry(w.idOf(h), steer.Leaving)})
		}},
		{"a server that is no longer listed", func(w *world, h *host) { w.tell(steer.Change{Removed: h.name}); w.now += 2300; w.tell() }},
		{"a data centre that was taken out", func(w *world, h *host) {
			w.tell(steer.Change{Centre: h.centre, TakenOut: true})
		}},
		{"a server that returns first packets", func(_ *world, h *host) { h.server.full = true }},
		{"an agent of another service", func(_ *world, h *host) { h.agent.Service = steer.ServiceOf("other") }},
		{"an agent that ends", func(_ *world, h *host) { h.agent.Leave() }},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(t, 6, 2)
			h := w.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
			row.shun(w, h)
			for port := 1000; port < 1200; port++ {
				to := w.open(w.balancers[port%2], port)
				assert.Assert(t, to != nil && to != h)
				w.now += 10
			}
		})
	}
}

// A balancer that has not heard that a server drains is corrected by the agent,
// which has heard it from another one.
func TestAgentKnowsBetterThanAStaleBalancer(t *testing.T) {
	w := newWorld(t, 4, 2)
	h := w.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	owned := 0
	for port := 1000; w.open(w.balancers[0], port) != h; port++ {
		owned = port + 1
	}
	w.balancers[0].Registry.Apply(w.now, []steer.Change{{Server: w.entry(w.idOf(h), steer.Leaving)}})
	w.send(w.balancers[0], data(max(owned, 1000), h.server))
	for port := 2000; port < 2200; port++ {
		assert.Assert(t, w.open(w.balancers[1], port) != h)
	}
}

func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	const rate = 10 // of the test's configuration
	w := newWorld(t, 1, 5)
	h := w.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	cold := w.entry(w.idOf(h), steer.Serving)
	cold.ColdUntil = w.now + 3000
	w.tell(steer.Change{Server: cold})
	for port := 1000; port < 1600; port++ {
		if h := w.open(w.balancers[port%5], port); h != nil {
			w.send(w.balancers[port%5], data(port, h.server))
		}
		w.now += 5
	}
	for i, at := range h.server.opened {
		within := 0
		for _, other := range h.server.opened[i:] {
			if other-at < clock.Second {
				within++
			}
		}
		assert.Assert(t, within <= rate, "%d new flows within a second", within)
	}
}

// A server that has forgotten its flows has started again: it counts as cold
// before its entry says so.
func TestRestartedServerIsColdBeforeItsEntrySaysSo(t *testing.T) {
	w := newWorld(t, 1, 1)
	h := w.open(w.balancers[0], 1000)
	p := data(1000, h.server)
	h.server = newServer(9 << 20)
	w.send(w.balancers[0], p)
	for port := 2000; port < 2050; port++ {
		if w.open(w.balancers[0], port) != nil {
			w.send(w.balancers[0], data(port, h.server))
		}
		w.now += 10
	}
	assert.Assert(t, len(h.server.opened) <= 10, "%d new flows within half a second", len(h.server.opened))
}

func TestNewServerWaitsUntilEveryBalancerKnowsIt(t *testing.T) {
	w := newWorld(t, 2, 1)
	added := steer.AgentOf(netip.MustParseAddr("10.1.0.99"))
	w.hosts[added] = &host{name: "added", centre: "dc1", server: newServer(1 << 28), agent: &steer.Agent{Service: steer.ServiceOf("desk")}}
	w.tell(steer.Change{Server: w.entry(added, steer.Serving)})
	took := func(from int) int {
		n := 0
		for port := from; port < from+100; port++ {
			if w.open(w.balancers[0], port) == w.hosts[added] {
				n++
			}
		}
		return n
	}
	assert.Equal(t, took(1000), 0)
	w.now += 1300
	assert.Assert(t, took(2000) > 0)
}

// A server that starts again behind an agent that everybody knows need not wait.
func TestRestartedServerTakesFlowsAtOnce(t *testing.T) {
	w := newWorld(t, 1, 1)
	id := steer.AgentOf(netip.MustParseAddr("10.1.0.1"))
	again := w.entry(id, steer.Serving)
	again.Name, again.Born = "aaa", 7
	w.tell(steer.Change{Server: again})
	assert.Assert(t, w.open(w.balancers[0], 1000) != nil)
	w.tell(steer.Change{Removed: w.hosts[id].name})
	assert.Assert(t, w.open(w.balancers[0], 1001) != nil)
}

// The state of the last run behind an agent counts, not that of an earlier one.
func TestEarlierRunDoesNotHideThatTheLastOneDrains(t *testing.T) {
	for _, name := range []string{"aaa", "zzz"} {
		w := newWorld(t, 1, 1)
		again := w.entry(steer.AgentOf(netip.MustParseAddr("10.1.0.1")), steer.Leaving)
		again.Name, again.Born = name, 7
		w.tell(steer.Change{Server: again})
		assert.Assert(t, w.open(w.balancers[0], 1000) == nil)
	}
}

func TestRepeatedFirstPacketTriesAnotherServer(t *testing.T) {
	w := newWorld(t, 5, 1)
	for port := 1000; port < 1050; port++ {
		var m steer.Message
		to := map[place.ID]bool{}
		for copies := range 3 {
			to[w.balancers[0].FromCaller(w.now, steer.Packet{Key: key(port), First: true, Copy: copies}, &m).To] = true
		}
		assert.Equal(t, len(to), 3)
	}
}

func TestSilentAgentIsPassedOverAndPinged(t *testing.T) {
	w := newWorld(t, 3, 1)
	b := w.balancers[0]
	h := w.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	h.down = true
	for port := 1000; port < 1030; port++ {
		w.open(b, port)
	}
	w.now += 150
	var pinged []place.ID
	lost := b.Tick(w.now, func(id place.ID) { pinged = append(pinged, id) })
	assert.Equal(t, len(lost), 1)
	assert.DeepEqual(t, pinged, []place.ID{w.idOf(h)})
	for port := 2000; port < 2050; port++ {
		assert.Assert(t, w.open(b, port) != nil)
	}
	assert.Assert(t, b.Heard(w.now, w.idOf(h), &steer.Message{Kind: steer.Pong}), "regained")
}

func TestNobodyLeftIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 3, 1)
	for id := range w.hosts {
		w.tell(steer.Change{Server: w.entry(id, steer.Leaving)})
	}
	w.open(w.balancers[0], 1000)
	assert.Equal(t, len(w.resets), 1)
}

func TestWokenBalancerPlacesNothingUntilRefreshed(t *testing.T) {
	w := newWorld(t, 3, 1)
	b := w.balancers[0]
	owner := w.open(b, 1000)
	b.Woken()
	assert.Assert(t, !b.Ready(w.now))
	assert.Assert(t, w.open(b, 1001) == nil)
	assert.Equal(t, w.send(b, data(1000, owner.server)), owner)
	b.Refreshed()
	assert.Assert(t, w.open(b, 1002) != nil)
}

// First packets that waited in the socket of a balancer that did not run may have
// been repeated and opened elsewhere: a reset would end an open flow.
func TestPausedBalancerRefusesNoFirstPacketFromBefore(t *testing.T) {
	w := newWorld(t, 1, 1)
	b := w.balancers[0]
	for id := range w.hosts {
		w.tell(steer.Change{Server: w.entry(id, steer.Leaving)})
	}
	b.Paused(w.now)
	assert.Assert(t, w.open(b, 1000) == nil)
	assert.Equal(t, len(w.resets), 0)
	assert.DeepEqual(t, w.drops, []steer.Reason{steer.Suspended})
	w.now += 60
	assert.Assert(t, w.open(b, 1001) == nil)
	assert.Equal(t, len(w.resets), 1)
}

func TestWokenAgentDropsFirstPacketsFromBefore(t *testing.T) {
	w := newWorld(t, 1, 1)
	var only *host
	for _, h := range w.hosts {
		only = h
	}
	w.open(w.balancers[0], 1000)
	w.now += 5000
	only.agent.Woken(w.now)
	assert.Assert(t, w.open(w.balancers[0], 1001) == nil)
	assert.Equal(t, w.send(w.balancers[0], data(1000, only.server)), only)
	w.now += 60
	assert.Assert(t, w.open(w.balancers[0], 1002) != nil)
}

func TestSplitRouteSharesNewFlows(t *testing.T) {
	var b steer.Balancer
	now := clock.Millis(1_700_000_000_000)
	c := config(1)
	c.Routes[0].Targets = []steer.Target{{Service: "desk", Weight: 90}, {Service: "other", Weight: 10}}
	desk, other := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")
	b.Registry.Replace(now, []steer.Change{{Config: c},
		{Server: &steer.Server{Name: "a", Agent: steer.AgentOf(desk), Service: "desk", Slots: 1, Revision: 1}},
		{Server: &steer.Server{Name: "b", Agent: steer.AgentOf(other), Service: "other", Slots: 1, Revision: 1}}})
	got := 0
	for port := range 10_000 {
		var m steer.Message
		if b.FromCaller(now, steer.Packet{Key: key(port), First: true}, &m).To == steer.AgentOf(other) {
			got++
		}
	}
	assert.Assert(t, got > 800 && got < 1200, "%d of 10000 for a tenth", got)
}
