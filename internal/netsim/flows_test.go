package netsim_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/internal/netsim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"gotest.tools/v3/assert"
)

// settleTime is long enough for every process to be ready and every agent to admit flows.
const settleTime = 30 * clock.Second

// defaultLayout has 7 servers in its main service, the size of the larger service in
// use today.
var defaultLayout = netsim.Layout{DataCentres: 3, Balancers: 3, Services: []netsim.ServiceLayout{{Name: "watch", Servers: 7, Slots: 7}, {Name: "charts", Servers: 3, Slots: 7}}}

// newFleet returns a fleet that is ready, with some mechanisms disabled.
func newFleet(t *testing.T, seed uint64, l netsim.Layout, disabled ...node.Mechanism) *netsim.World {
	t.Helper()
	w := netsim.New(seed)
	w.Disabled = disabled
	w.Build(l)
	w.RunFor(settleTime)
	for _, name := range w.Names() {
		assert.Assert(t, w.Hosts[name].Serving(), "%s is not serving", name)
	}
	return w
}

// establishFlows opens flows numbered from first and returns the keys of those that one
// server holds. Unless mechanisms are disabled, these must be all.
func establishFlows(t *testing.T, w *netsim.World, first, count int) []flow.Key {
	t.Helper()
	var keys []flow.Key
	for i := range count {
		key := netsim.FlowKey(first+i, 0)
		w.OpenFlow(key)
		w.RunFor(20)
		w.SendData(key)
		w.RunFor(5)
		keys = append(keys, key)
	}
	w.RunFor(clock.Second)
	held := keys[:0]
	for _, key := range keys {
		if len(w.Holders(key)) == 1 {
			held = append(held, key)
		}
	}
	if len(w.Disabled) == 0 {
		assert.Equal(t, len(held), count, "not every flow is held by one server")
	}
	return held
}

// countBroken sends data on flows and returns how many were reset or had no packet reach
// a server that holds them.
func countBroken(w *netsim.World, keys []flow.Key) int {
	before := make(map[flow.Key]int)
	for _, key := range keys {
		before[key] = packetsReceived(w, key)
	}
	for range 8 {
		for _, key := range keys {
			w.SendData(key)
		}
		w.RunFor(250)
	}
	count := 0
	for _, key := range keys {
		if w.ResetCounts()[key] > 0 || packetsReceived(w, key) <= before[key] {
			count++
		}
	}
	return count
}

// packetsReceived returns the number of packets of a flow at the servers that hold it.
func packetsReceived(w *netsim.World, key flow.Key) int {
	total := 0
	for _, name := range w.Holders(key) {
		total += w.Hosts[name].Server.Flows[key]
	}
	return total
}

// Established flows survive each planned change. With the mechanism of the row disabled,
// some break.
func TestEstablishedFlowsSurvivePlannedChange(t *testing.T) {
	const flows = 150
	for _, row := range []struct {
		name      string
		mechanism node.Mechanism
		change    func(w *netsim.World)
	}{
		{"server returns from a drain", node.ForwardToOwner, func(w *netsim.World) {
			w.Override("90.json", "BackendServers", "watch-1", "State", "Serving")
			w.RunFor(15 * clock.Second)
		}},
		{"balancers restarted while a server drains", node.ForwardToOwner, func(w *netsim.World) {
			for _, name := range []string{"balancer-0", "balancer-1", "balancer-2"} {
				w.Hosts[name].Kill()
				w.Hosts[name].Start()
			}
			w.RunFor(15 * clock.Second)
		}},
		{"servers added in two steps", node.ForwardToOwner, func(w *netsim.World) {
			addServer(w, "watch", 7)
			w.RunFor(12 * clock.Second)
			addServer(w, "watch", 8)
			w.RunFor(25 * clock.Second)
		}},
		{"agent restarted while its server runs", node.RebuildTable, func(w *netsim.World) {
			w.Hosts["watch-2"].Kill()
			w.RunFor(300)
			w.Hosts["watch-2"].Start()
			w.RunFor(15 * clock.Second)
		}},
		{"weight changed", node.ForwardToOwner, func(w *netsim.World) {
			w.Override("90.json", "BackendServers", "watch-3", "Weight", 300)
			w.RunFor(15 * clock.Second)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			brokenFlows := func(disabled ...node.Mechanism) int {
				w := newFleet(t, 1, defaultLayout, disabled...)
				w.Override("90.json", "BackendServers", "watch-1", "State", "Leaving")
				w.RunFor(15 * clock.Second)
				keys := establishFlows(t, w, 0, flows)
				row.change(w)
				return countBroken(w, keys)
			}
			assert.Equal(t, brokenFlows(), 0)
			assert.Assert(t, brokenFlows(row.mechanism) > 0, "no flow breaks with %s disabled", row.mechanism)
		})
	}
}

// addServer declares server n of the first service of the layout, and starts its agent.
func addServer(w *netsim.World, service string, n int) {
	l := defaultLayout
	l.Services = append([]netsim.ServiceLayout(nil), defaultLayout.Services...)
	l.Services[0].Servers = n + 1
	w.Publish(l.ConfigFiles())
	w.AddAgent(netsim.ServerName(service, n), netsim.DataCentreName(n%3), 7)
}

// If the owner of a flow cannot be reached, the other agents must not reset the flow.
// Its packets are dropped until the owner is back.
func TestFlowOfUnreachableAgentIsNotReset(t *testing.T) {
	w := newFleet(t, 2, defaultLayout)
	keys := establishFlows(t, w, 0, 100)
	w.Hosts["watch-2"].Kill()
	w.RunFor(20 * clock.Second)
	countBroken(w, keys)
	for _, key := range keys {
		assert.Equal(t, w.ResetCounts()[key], 0)
	}
	w.Hosts["watch-2"].Start()
	w.RunFor(20 * clock.Second)
	assert.Equal(t, countBroken(w, keys), 0)
}

// A process that restarts with its clock set back has a lower instance than before. Its
// messages must be accepted again.
func TestAgentRestartedWithClockSetBackIsReachable(t *testing.T) {
	w := newFleet(t, 2, defaultLayout)
	keys := establishFlows(t, w, 0, 100)
	h := w.Hosts["watch-2"]
	h.Kill()
	h.ClockSkew = -clock.Hour
	w.RunFor(20 * clock.Second)
	h.Start()
	w.RunFor(20 * clock.Second)
	assert.Equal(t, countBroken(w, keys), 0)
}

// A packet of a flow that no server holds is answered with a reset within a second.
func TestUnknownFlowIsReset(t *testing.T) {
	w := newFleet(t, 3, defaultLayout)
	key := netsim.FlowKey(1, 0)
	w.SendData(key)
	w.RunFor(clock.Second)
	assert.Assert(t, w.ResetCounts()[key] > 0)
}

// A first packet that is resent after the placement or the view of some processes
// changed must not open the flow at a second server.
func TestRepeatedFirstPacketHasOneOwner(t *testing.T) {
	for _, row := range []struct {
		name      string
		mechanism node.Mechanism
		change    func(w *netsim.World, repeat func())
	}{
		{"the first agent declined before", node.RememberDeclines, func(w *netsim.World, repeat func()) {
			for n := range 7 {
				w.Hosts[netsim.ServerName("watch", n)].Server.WarmFraction = 1
			}
			w.Override("90.json", "BackendServers", "watch-0", "State", "Leaving")
			w.RunFor(12 * clock.Second)
			repeat()
			w.RunFor(200)
			w.Override("90.json", "BackendServers", "watch-0", "State", "Serving")
			w.RunFor(3 * clock.Second)
			repeat()
		}},
		{"a data centre returns and some processes are not informed", node.PriorTables, func(w *netsim.World, repeat func()) {
			w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", "Out")
			w.RunFor(20 * clock.Second)
			for _, name := range []string{"balancer-1", "watch-1", "watch-4"} {
				w.Hosts[name].NoConfigUpdates = true
			}
			w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", "In")
			w.RunFor(2 * clock.Second)
			repeat()
			w.RunFor(clock.Second)
			repeat()
		}},
		{"an agent resumes that others consider dead", node.MinLeaseAge, func(w *netsim.World, repeat func()) {
			w.Hosts["watch-0"].Suspend(15 * clock.Second)
			w.RunFor(13 * clock.Second)
			repeat()
			repeat()
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			doubleOpenings := func(disabled ...node.Mechanism) int {
				w := newFleet(t, 4, defaultLayout, disabled...)
				flowCount := 0
				row.change(w, func() {
					if flowCount == 0 {
						flowCount = 300
					}
					for i := range flowCount {
						for range 2 {
							w.OpenFlow(netsim.FlowKey(1000+i, 0))
						}
						w.RunFor(10)
						w.SendData(netsim.FlowKey(1000+i, 0)) // ends the opening, which counts against the agent's limit
						w.RunFor(5)
					}
				})
				w.RunFor(clock.Second)
				openedTwice := 0
				for i := range flowCount {
					if len(w.Holders(netsim.FlowKey(1000+i, 0))) > 1 {
						openedTwice++
					}
				}
				return openedTwice
			}
			assert.Equal(t, doubleOpenings(), 0)
			assert.Assert(t, doubleOpenings(row.mechanism) > 0, "no flow is opened twice with %s disabled", row.mechanism)
		})
	}
}

// An agent drops a packet that a balancer with an outdated view routes to it although it
// belongs to another service.
func TestPacketOfAnotherServiceIsDropped(t *testing.T) {
	packetsAfterMisrouting := func(disabled ...node.Mechanism) int {
		w := newFleet(t, 5, defaultLayout, disabled...)
		agent := w.Hosts["watch-0"]
		charts := netsim.Segment(netsim.FlowKey(1, 1), packet.Flags{Syn: true})
		w.Inject(agent, charts)
		w.RunFor(clock.Second)
		packets := 0
		for n := range 7 {
			packets += w.Hosts[netsim.ServerName("watch", n)].Server.Packets
		}
		return packets
	}
	assert.Equal(t, packetsAfterMisrouting(), 0)
	assert.Assert(t, packetsAfterMisrouting(node.ServiceCheck) > 0)
}
