package netsim_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/internal/netsim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/node"
	"gotest.tools/v3/assert"
)

// imbalance returns the ratio of the highest to the mean number of flows at a server.
func imbalance(w *netsim.World, servers int) float64 {
	total, highest := 0, 0
	for n := range servers {
		held := len(w.Hosts[netsim.ServerName("watch", n)].Server.Flows)
		total += held
		highest = max(highest, held)
	}
	return float64(highest) * float64(servers) / float64(total)
}

// sevenServers has one service with seven servers.
var sevenServers = netsim.Layout{DataCentres: 3, Balancers: 3, Services: []netsim.ServiceLayout{{Name: "watch", Servers: 7, Slots: 64}}}

// flowLoad opens flows one after the other, with one data packet each.
type flowLoad struct {
	w        *netsim.World
	nextFlow int
}

func (l *flowLoad) open(count int) {
	for range count {
		key := netsim.FlowKey(l.nextFlow, 0)
		l.nextFlow++
		l.w.OpenFlow(key)
		l.w.RunFor(8)
		l.w.SendData(key)
		l.w.RunFor(2)
	}
}

// A server that crashed and lost its flows receives more new flows than the others, so
// that the highest number of flows stays within 10% of the mean.
func TestLoadIsEvenAfterServerCrash(t *testing.T) {
	imbalanceAfterCrash := func(disabled ...node.Mechanism) float64 {
		l := flowLoad{w: newFleet(t, 3, sevenServers, disabled...)}
		l.open(7000)
		l.w.Hosts["watch-2"].Server.Crash()
		l.open(3500)
		return imbalance(l.w, 7)
	}
	assert.Assert(t, imbalanceAfterCrash() <= 1.10)
	assert.Assert(t, imbalanceAfterCrash(node.EvenShare) > 1.10)
}

// BenchmarkImbalance measures the imbalance of long flows without failures, after a server
// lost its flows in a crash, and after a data centre returned.
func BenchmarkImbalance(b *testing.B) {
	const perServer = 1000
	for range b.N {
		w := netsim.New(3)
		w.Build(sevenServers)
		w.RunFor(settleTime)
		openFlows := (&flowLoad{w: w}).open
		openFlows(7 * perServer)
		b.ReportMetric(imbalance(w, 7), "at-rest")
		w.Hosts["watch-2"].Server.Crash()
		openFlows(7 * perServer / 2)
		b.ReportMetric(imbalance(w, 7), "server-back")
		w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", "Out")
		w.RunFor(15 * clock.Second)
		for n := range 7 {
			if h := w.Hosts[netsim.ServerName("watch", n)]; h.Centre == netsim.DataCentreName(0) {
				h.Server.Crash()
			}
		}
		w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", "In")
		w.RunFor(20 * clock.Second) // its servers take flows after 18 s
		openFlows(7 * perServer / 2)
		b.ReportMetric(imbalance(w, 7), "centre-back")
	}
}
