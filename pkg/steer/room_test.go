package steer_test

import (
	"net/netip"
	"slices"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// report passes an agent's report to a balancer.
func (c *cluster) report(b *steer.Balancer, id place.ID, percent int, took clock.Millis) {
	b.HandleMessage(c.now, id, &steer.Message{Kind: steer.Pong, HasReport: true, Utilization: percent, ServiceTime: took})
}

// visits returns the agents that a new flow visits if all deny it as busy with a load, in
// percent of their slots. The last is the one that must queue it.
func (c *cluster) visits(b *steer.Balancer, port, load int) []place.ID {
	var m steer.Message
	p := steer.Packet{Key: key(port), SYN: true}
	var out []place.ID
	for d := b.FromCaller(c.now, p, &m); d.Verdict == steer.Offer; d = b.Denied(c.now, d.To, p, &m) {
		out = append(out, d.To)
		if m.LastOffer {
			return out
		}
		m.Kind, m.Reason, m.Load, m.Slots = steer.DenyPacket, steer.Busy, 2*load/100, 2
	}
	return out
}

// A flow that opened at a server outside the first candidates would be reset: searches
// leave such servers out. So whatever is reported, the visited servers are among those
// that the hash alone selects.
func TestByRoomVisitsTheSameServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t, rapid.IntRange(2, 12).Draw(rt, "servers"), 2)
		byRoom := c.balancers[1]
		byRoom.ByRoom = true
		for i, b := range c.balancers {
			b.Registry.DataCentre = "dc1"
			if i == 0 {
				b.Disabled = b.Disabled.With(steer.QueueEarly)
			}
		}
		c.apply(steer.Change{Config: config(2)}) // builds the view with local servers
		for id := range c.hosts {
			c.report(byRoom, id, rapid.IntRange(0, 400).Draw(rt, "used"), 30)
		}
		port, load := rapid.IntRange(1, 60_000).Draw(rt, "port"), rapid.SampledFrom([]int{50, 100, 400}).Draw(rt, "load")
		today, now := c.visits(c.balancers[0], port, load), c.visits(byRoom, port, load)
		for _, id := range now {
			assert.Assert(rt, slices.Contains(today, id), "%v is not among %v", id, today)
		}
	})
}

// Agents of earlier versions send no reports. Then the order must be that of the hash.
func TestByRoomWithoutReportsKeepsHashOrder(t *testing.T) {
	c := newCluster(t, 12, 2)
	c.balancers[1].ByRoom = true
	for port := 1000; port < 1100; port++ {
		assert.DeepEqual(t, c.visits(c.balancers[1], port, 100), c.visits(c.balancers[0], port, 100))
	}
}

// A crowded local server would receive all flows that have it first, whatever is free in
// the other data centres.
func TestByRoomLeavesCrowdedLocalServers(t *testing.T) {
	for _, row := range []struct {
		name          string
		local, remote int
		atLeast, most float64 // share of the flows that go to a local server first
	}{
		{"quiet", 20, 20, 1, 1},
		{"local servers more crowded", 100, 30, 0, 0.4},
		{"all crowded", 95, 95, 0.9, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, 12, 1)
			b := c.balancers[0]
			b.Registry.DataCentre, b.ByRoom = "dc1", true
			c.apply(steer.Change{Config: config(2)}) // builds the view with local servers
			used := func(h *host) int {
				if h.centre == "dc1" {
					return row.local
				}
				return row.remote
			}
			for id, h := range c.hosts {
				c.report(b, id, used(h), 30)
			}
			local := 0.0
			for port := 1000; port < 2000; port++ {
				var m steer.Message
				to := b.FromCaller(c.now, steer.Packet{Key: key(port), SYN: true}, &m).To
				if c.hosts[to].centre == "dc1" {
					local++
				}
				c.report(b, to, used(c.hosts[to]), 30) // as the agent does that takes the flow
			}
			assert.Assert(t, local/1000 >= row.atLeast && local/1000 <= row.most, "%.3f local", local/1000)
		})
	}
}

// Where servers are busy, further visits cost round trips for little: the flow queues
// after the first ones. Where slots are free elsewhere, it goes on.
func TestFlowQueuesEarlyOnlyWhereAllAreBusy(t *testing.T) {
	for _, row := range []struct{ used, visits int }{{30, 5}, {130, 2}, {300, 2}} {
		c := newCluster(t, 12, 1)
		b := c.balancers[0]
		b.ByRoom = true
		for id := range c.hosts {
			c.report(b, id, row.used, 30)
		}
		assert.Equal(t, len(c.visits(b, 1000, 100)), row.visits, "servers at %d %%", row.used)
	}
}

// Agents judge their server by the median of the service, also where ByRoom is not set.
func TestOffersCarryTypicalTime(t *testing.T) {
	c := newCluster(t, 3, 1)
	for id, h := range c.hosts {
		c.report(c.balancers[0], id, 50, map[string]clock.Millis{"s0": 20, "s1": 40, "s2": 900}[h.name])
	}
	var m steer.Message
	c.balancers[0].FromCaller(c.now, steer.Packet{Key: key(1), SYN: true}, &m)
	assert.Equal(t, m.TypicalTime, clock.Millis(40))
}

var oneBalancer = netip.MustParseAddrPort("10.9.0.1:7720")

// busyAgent returns an agent of two slots whose server runs that many requests, and the
// time.
func busyAgent(requests int) (*steer.Agent, clock.Millis) {
	agent := &steer.Agent{Service: steer.ServiceOf("desk")}
	for port := range requests {
		m := steer.Message{Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2, LastOffer: true}
		agent.FromBalancer(1000, oneBalancer, &m, steer.Packet{Key: key(port), SYN: true})
		agent.FromServer(1000, steer.Packet{Key: key(port), SYN: true, HasACK: true, Seq: 7}, &m)
		agent.FromBalancer(1000, oneBalancer, &m, steer.Packet{Key: key(port), HasACK: true, Ack: 8, Bytes: 9})
	}
	return agent, 1000
}

// The utilization must not depend on how often ticks and packets come: an agent on a busy
// host runs late.
func TestUtilizationIsWeightedByTime(t *testing.T) {
	for _, row := range []struct {
		name     string
		requests int
		ticks    []clock.Millis
		want     int
	}{
		{"one tick, late", 1, []clock.Millis{5000}, 50},
		{"many ticks", 1, []clock.Millis{1100, 1101, 1102, 1500, 1900, 2000, 2500, 5000}, 50},
		{"requests wait", 4, []clock.Millis{1500, 5000}, 200},
		{"overloaded", 50, []clock.Millis{5000}, 1600},
	} {
		t.Run(row.name, func(t *testing.T) {
			agent, _ := busyAgent(row.requests)
			for _, now := range row.ticks {
				agent.Tick(now)
			}
			var m steer.Message
			agent.Report(&m)
			assert.Assert(t, m.HasReport)
			assert.Equal(t, m.Utilization, row.want)
		})
	}
}

// An agent that has just started knows nothing of its server's load: a report of 0 would
// attract flows.
func TestStartedAgentSendsNoReport(t *testing.T) {
	agent, now := busyAgent(2)
	var m steer.Message
	agent.Tick(now + 500)
	agent.Report(&m)
	assert.Assert(t, !m.HasReport)
	agent.Tick(now + 1500)
	agent.Report(&m)
	assert.Assert(t, m.HasReport)
}

// Requests that have ended no longer count after a few seconds.
func TestUtilizationForgets(t *testing.T) {
	agent, now := busyAgent(2)
	var m steer.Message
	agent.Tick(now + 3000)
	for port := range 2 {
		agent.FromServer(now+3000, steer.Packet{Key: key(port), HasACK: true, Bytes: 9}, &m)
	}
	agent.Report(&m)
	assert.Equal(t, m.Utilization, 100)
	agent.Tick(now + 4000)
	agent.Report(&m)
	assert.Assert(t, m.Utilization > 30 && m.Utilization < 50, "%d", m.Utilization)
	agent.Tick(now + 8000)
	agent.Report(&m)
	assert.Assert(t, m.Utilization <= 1, "%d", m.Utilization)
}
