package world_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/internal/world"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/node"
	"gotest.tools/v3/assert"
)

// imbalance is the highest over the mean number of flows at the servers.
func imbalance(w *world.World, servers int) float64 {
	total, highest := 0, 0
	for n := range servers {
		held := len(w.Hosts[world.ServerName("watch", n)].Server.Flows)
		total += held
		highest = max(highest, held)
	}
	return float64(highest) * float64(servers) / float64(total)
}

// sevenServers is a service whose flows are counted at each server.
var sevenServers = world.Layout{Centres: 3, Balancers: 3, Services: []world.Shape{{Name: "watch", Servers: 7, Slots: 64}}}

// flowLoad opens flows one after the other.
type flowLoad struct {
	w    *world.World
	next int
}

func (l *flowLoad) open(count int) {
	for range count {
		key := world.Flow(l.next, 0)
		l.next++
		l.w.OpenFlow(key)
		l.w.Run(8)
		l.w.SendData(key)
		l.w.Run(2)
	}
}

// A server that returned empty makes up for it, so that the highest load stays
// within a tenth of the mean.
func TestServersStayEvenAfterOneReturned(t *testing.T) {
	after := func(without ...node.Mechanism) float64 {
		l := flowLoad{w: build(t, 3, sevenServers, without...)}
		l.open(7000)
		l.w.Hosts["watch-2"].Server.Crash()
		l.open(3500)
		return imbalance(l.w, 7)
	}
	assert.Assert(t, after() <= 1.10)
	assert.Assert(t, after(node.EvenShare) > 1.10)
}

// BenchmarkImbalance measures long flows at rest, after a server returned
// without its flows, and after a data centre returned.
func BenchmarkImbalance(b *testing.B) {
	const perServer = 1000
	for range b.N {
		w := world.New(3)
		w.Build(sevenServers)
		w.Run(settle)
		load := (&flowLoad{w: w}).open
		load(7 * perServer)
		b.ReportMetric(imbalance(w, 7), "at-rest")
		w.Hosts["watch-2"].Server.Crash()
		load(7 * perServer / 2)
		b.ReportMetric(imbalance(w, 7), "server-back")
		w.Override("90.json", "DataCentres", world.DataCentreName(0), "State", "Out")
		w.Run(15 * clock.Second)
		for n := range 7 {
			if h := w.Hosts[world.ServerName("watch", n)]; h.Centre == world.DataCentreName(0) {
				h.Server.Crash()
			}
		}
		w.Override("90.json", "DataCentres", world.DataCentreName(0), "State", "In")
		w.Run(20 * clock.Second) // its servers take flows after 18 s
		load(7 * perServer / 2)
		b.ReportMetric(imbalance(w, 7), "centre-back")
	}
}
