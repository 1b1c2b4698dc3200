package steer_test

import (
	"fmt"
	"math"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// renewEntries gives each host an entry of its own age, as servers have that were
// added one after the other. The fleet is otherwise that of newCluster.
func (c *cluster) renewEntries() {
	var listing []steer.Change
	for id := range c.hosts {
		e := c.entry(id, steer.Serving)
		e.CreatedRevision = e.Revision
		listing = append(listing, steer.Change{Server: e})
	}
	for i, b := range c.balancers {
		c.balancers[i] = &steer.Balancer{EvacuationGracePeriod: b.EvacuationGracePeriod, Disabled: b.Disabled}
		c.balancers[i].Registry.RecordPlatformAnswer(c.now, c.now)
		c.balancers[i].Registry.ApplyListing(c.now, append([]steer.Change{{Config: config(1)}}, listing...))
	}
	c.now += steer.EntryReturnTime
	c.apply()
}

// The agents asked about a flow that nobody holds grow with the logarithm of their
// number, and so does the number of rounds.
func TestSearchCostGrowsSlowerThanFleet(t *testing.T) {
	for _, servers := range []int{30, 100, 300, 1000} {
		c := newCluster(t, servers, 1)
		c.renewEntries()
		const flows = 50
		rounds := 0
		for port := range flows {
			rounds += c.sendLost(1000 + port)
		}
		assert.Equal(t, len(c.resets), flows)
		asked := float64(c.offers) / flows / 2 // each agent twice at most
		// 20 agents of the flow's order, six of each of three data centres, and of the
		// others the share that is older than these.
		bound := 38 + 20*math.Log(max(1, float64(servers)/20))
		t.Logf("%d servers: %.1f agents asked, %.1f rounds", servers, asked, float64(rounds)/flows)
		assert.Assert(t, asked <= min(bound, float64(servers)), "%.1f agents of %d", asked, servers)
		assert.Assert(t, float64(rounds)/flows <= 10)
	}
}

// sendLost sends a packet of a flow that no server holds, and returns the number of round
// trips until it is decided on.
func (c *cluster) sendLost(port int) int {
	p := dataPacket(port%60000, newServer(7))
	var m steer.Message
	d := c.balancers[0].FromCaller(c.now, p, &m)
	c.execute(c.balancers[0], d, p, &m)
	return 1 + c.resumeRounds(c.balancers[0])
}

// resumeRounds carries out what a balancer has decided since, and returns the number of
// round trips that it took.
func (c *cluster) resumeRounds(b *steer.Balancer) int {
	for rounds := 0; ; rounds++ {
		var round []steer.Resumed
		for {
			r, ok := b.Resume(c.now)
			if !ok {
				break
			}
			round = append(round, r)
		}
		if len(round) == 0 {
			return rounds
		}
		for _, r := range round {
			c.execute(b, r.Decision, r.Packet, r.Message)
		}
	}
}

// Whatever joined, drained, left or was taken out of service since a flow opened, and
// whichever balancer searches, also one that has just started: the search finds the
// flow's server, and the flow is not reset.
func TestSearchFindsHolderAmongChangingServers(t *testing.T) {
	for _, byRoom := range []bool{false, true} {
		t.Run(fmt.Sprint("ByRoom=", byRoom), func(t *testing.T) { checkHoldersAreFound(t, byRoom) })
	}
}

func checkHoldersAreFound(t *testing.T, byRoom bool) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t, 60, 3)
		for i, b := range c.balancers {
			b.Registry.DataCentre, b.ByRoom = fmt.Sprint("dc", i+1), byRoom
		}
		w := &changingFleet{cluster: c, listed: make(map[string]*steer.Server)}
		for id := range c.hosts {
			w.publish(id, steer.Serving)
		}
		flows := make(map[int]*host)
		port := 1000
		rt.Repeat(map[string]func(*rapid.T){
			"open": func(rt *rapid.T) {
				port++
				if h := c.open(w.balancer(rt), port); h != nil {
					flows[port] = h
				}
			},
			"join": func(rt *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(rt, "joining") {
					id, _ := c.addHost(fmt.Sprint("new", len(c.hosts)))
					w.publish(id, steer.Serving)
				}
			},
			"drain": func(rt *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(rt, "draining") {
					w.publish(c.agentOf(w.host(rt)), steer.Leaving)
				}
			},
			"fill": func(rt *rapid.T) { // most servers return SYNs for a while
				for _, h := range c.hosts {
					h.server.full = rapid.IntRange(0, 9).Draw(rt, "full") < 8
				}
				for range 10 {
					port++
					if h := c.open(w.balancer(rt), port); h != nil {
						flows[port] = h
					}
				}
				for _, h := range c.hosts {
					h.server.full = false
				}
			},
			"restart": func(rt *rapid.T) { w.restart(w.host(rt), flows) },
			"evacuate": func(rt *rapid.T) {
				w.evacuated = !w.evacuated
				c.revision++
				c.apply(steer.Change{DataCentreName: "dc2", OutOfService: w.evacuated, Revision: c.revision})
			},
			"replace balancer": func(rt *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(rt, "balancer")
				c.balancers[i] = w.newBalancer(c.balancers[i].Registry.DataCentre)
				c.balancers[i].ByRoom = byRoom
			},
			"report": func(rt *rapid.T) { // some agents to some balancers, whatever they estimate then
				for range rapid.IntRange(1, 40).Draw(rt, "reports") {
					m := steer.Message{Kind: steer.Pong, HasReport: true, ServiceTime: 30,
						Utilization: rapid.SampledFrom([]int{0, 20, 90, 100, 400}).Draw(rt, "used")}
					w.balancer(rt).HandleMessage(c.now, c.agentOf(w.host(rt)), &m)
				}
			},
			"wait": func(rt *rapid.T) {
				c.now += clock.Millis(rapid.IntRange(100, 1500).Draw(rt, "ms"))
				c.apply()
			},
			"": func(rt *rapid.T) {
				b := w.balancer(rt)
				c.resets, c.drops = nil, nil // of SYNs that no server took
				for port, owner := range flows {
					if w.evacuated && owner.centre == "dc2" {
						continue
					}
					if got := c.send(b, dataPacket(port, owner.server)); got != owner {
						rt.Fatalf("flow %d: server of %v not found: %v, %d resets", port, owner.name, c.drops, len(c.resets))
					}
				}
				if len(c.resets) > 0 {
					rt.Fatalf("%d flows were reset", len(c.resets))
				}
			},
		})
	})
}

// changingFleet is a cluster whose balancers can be replaced: it keeps the entries that a
// new one lists.
type changingFleet struct {
	*cluster
	listed    map[string]*steer.Server // by name
	evacuated bool                     // dc2
}

func (w *changingFleet) publish(id agentID, state steer.ServerState) {
	e := w.entry(id, state)
	e.CreatedRevision = e.Revision
	if old := w.listed[e.Name]; old != nil {
		e.CreatedRevision = old.CreatedRevision
		if old.State == steer.Leaving {
			return // a run that drains goes on draining
		}
	}
	w.listed[e.Name] = e
	w.apply(steer.Change{Server: e})
}

// restart replaces a host's server, and its agent, by ones without flows. The former
// entry stays listed.
func (w *changingFleet) restart(h *host, flows map[int]*host) {
	for port, owner := range flows {
		if owner == h {
			delete(flows, port)
		}
	}
	h.server.flows = make(map[flowKey]bool)
	h.restartAgent()
	id := w.agentOf(h)
	h.name = fmt.Sprint(h.name, "x")
	w.publish(id, steer.Serving)
}

func (w *changingFleet) balancer(rt *rapid.T) *steer.Balancer {
	return w.balancers[rapid.IntRange(0, 2).Draw(rt, "balancer")]
}

func (w *changingFleet) host(rt *rapid.T) *host {
	hosts := make(map[string]*host)
	var names []string
	for _, e := range w.listed {
		hosts[e.Name] = w.hosts[e.Agent]
		names = append(names, e.Name)
	}
	return hosts[names[rapid.IntRange(0, len(names)-1).Draw(rt, "host")]]
}

// newBalancer returns a balancer that has just listed the store.
func (w *changingFleet) newBalancer(centre string) *steer.Balancer {
	b := &steer.Balancer{EvacuationGracePeriod: 5000}
	b.Registry.DataCentre = centre
	listing := []steer.Change{{Config: config(1)}}
	for _, e := range w.listed {
		listing = append(listing, steer.Change{Server: e})
	}
	if w.evacuated {
		listing = append(listing, steer.Change{DataCentreName: "dc2", OutOfService: true, Revision: w.revision})
	}
	b.Registry.RecordPlatformAnswer(w.now, w.now)
	b.Registry.ApplyListing(w.now, listing)
	return b
}
