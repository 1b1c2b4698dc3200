package netsim_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/internal/netsim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"gotest.tools/v3/assert"
)

// inForceEverywhere reports whether every process that is up has a revision in force
// that is not below the given one.
func inForceEverywhere(w *netsim.World, revision uint64) bool {
	for _, name := range w.Names() {
		if h := w.Hosts[name]; h.Up && h.Revision() < revision {
			return false
		}
	}
	return true
}

// runUntilInForce runs until a revision is in force everywhere and returns how long that
// took. It fails after the limit.
func runUntilInForce(t *testing.T, w *netsim.World, revision uint64, limit clock.Millis) clock.Millis {
	t.Helper()
	started := w.Now()
	for !inForceEverywhere(w, revision) {
		assert.Assert(t, w.Now()-started < limit, "revision %d is not in force everywhere after %s", revision, limit)
		w.RunFor(10)
	}
	return w.Now() - started
}

// markLeaving publishes that server n leaves, and returns the revision.
func markLeaving(w *netsim.World, n int) uint64 {
	return w.Override(fmt.Sprintf("90-%d.json", n), "BackendServers", netsim.ServerName("watch", n), "State", "Leaving")
}

// A change is in force everywhere within ten seconds, with each of these failures.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(w *netsim.World) uint64
	}{
		{"nothing fails", func(w *netsim.World) uint64 { return markLeaving(w, 1) }},
		{"two operators at once", func(w *netsim.World) uint64 {
			markLeaving(w, 1)
			return markLeaving(w, 2)
		}},
		{"the platform fails after the change", func(w *netsim.World) uint64 {
			revision := markLeaving(w, 1)
			w.After(100, func() { w.Platform.Down = true })
			return revision
		}},
		{"half of the fleet cannot reach the platform", func(w *netsim.World) uint64 {
			for i, name := range w.Names() {
				w.Hosts[name].PlatformUnreachable = i%2 == 0
			}
			return markLeaving(w, 1)
		}},
		{"a tenth of the messages is lost", func(w *netsim.World) uint64 {
			w.LossRate = 0.1
			return markLeaving(w, 1)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newFleet(t, 20, defaultLayout)
			revision := row.change(w)
			took := runUntilInForce(t, w, revision, 10*clock.Second)
			t.Logf("in force everywhere after %s", took)
		})
	}
}

// A partitioned part of the fleet activates the newest revision within ten seconds after
// the partition ends.
func TestPartitionedHalfCatchesUp(t *testing.T) {
	w := newFleet(t, 21, defaultLayout)
	inFirstPart := make(map[*netsim.Host]bool)
	for i, name := range w.Names() {
		inFirstPart[w.Hosts[name]] = i%2 == 0
		w.Hosts[name].PlatformUnreachable = i%2 == 0
	}
	w.Partitioned = func(from, to *netsim.Host) bool { return from != nil && inFirstPart[from] != inFirstPart[to] }
	revision := markLeaving(w, 1)
	w.RunFor(60 * clock.Second)
	assert.Assert(t, !inForceEverywhere(w, revision))
	w.Partitioned = nil
	runUntilInForce(t, w, revision, 10*clock.Second)
}

// A process that starts while the platform answers with an old revision must not serve
// that revision. It waits for digests of its neighbours first.
func TestRestartWithStalePlatformServesNoOldRevision(t *testing.T) {
	revisionsBehind := func(disabled ...node.Mechanism) uint64 {
		w := newFleet(t, 22, defaultLayout, disabled...)
		markLeaving(w, 1)
		revision := markLeaving(w, 2)
		w.RunFor(5 * clock.Second)
		assert.Assert(t, inForceEverywhere(w, revision))
		w.Platform.StaleRevision = 1
		lowest := revision
		for range 20 {
			for _, name := range []string{"watch-3", "balancer-1"} {
				w.Hosts[name].Kill()
				w.Hosts[name].Start()
			}
			for range 100 {
				w.RunFor(10)
				for _, name := range []string{"watch-3", "balancer-1"} {
					if h := w.Hosts[name]; h.Serving() {
						lowest = min(lowest, h.Revision())
					}
				}
			}
		}
		return revision - lowest
	}
	assert.Equal(t, revisionsBehind(), uint64(0))
	assert.Assert(t, revisionsBehind(node.StartupWait) > 0, "no old revision is served with %s disabled", node.StartupWait)
}

// A revision with errors is rejected by every process, also by one that starts later,
// and the revision before stays in force.
func TestRevisionWithErrorsIsRejectedEverywhere(t *testing.T) {
	w := newFleet(t, 23, defaultLayout)
	valid := markLeaving(w, 1)
	w.RunFor(5 * clock.Second)
	w.Publish([]conf.File{{Name: "99.json", Content: []byte(`{"Owner": "operator", "Services": [{"Name": "watch", "Address": "nowhere"}]}`)}})
	w.RunFor(10 * clock.Second)
	for _, name := range w.Names() {
		assert.Equal(t, w.Hosts[name].Revision(), valid)
	}
	w.Hosts["watch-3"].Kill()
	w.Hosts["watch-3"].Start()
	w.RunFor(10 * clock.Second)
	assert.Equal(t, w.Hosts["watch-3"].Revision(), valid)
	corrected := w.Publish([]conf.File{{Name: "99.json", Content: []byte(`{"Owner": "operator"}`)}})
	runUntilInForce(t, w, corrected, 10*clock.Second)
}

// The rate of calls to the platform does not grow with the fleet, since only a few
// processes poll it.
func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	calls := func(servers int) float64 {
		w := newFleet(t, 24, netsim.Layout{DataCentres: 3, Balancers: 3, Services: []netsim.ServiceLayout{{Name: "watch", Servers: servers, Slots: 4}}})
		before := w.Platform.Calls
		const span = 2 * clock.Minute
		for n := range 12 {
			markLeaving(w, n%4)
			w.RunFor(span / 12)
		}
		return float64(w.Platform.Calls-before) / (float64(span) / 1000)
	}
	few, many := calls(10), calls(200)
	t.Logf("%.2f calls a second with 10 servers, %.2f with 200", few, many)
	assert.Assert(t, many <= few*1.5+0.5)
	assert.Assert(t, many < 200)
}

// The servers of a data centre that is out receive no packets, not even those that a
// balancer without that revision forwards to their agents.
func TestDataCentreOutGetsNoPackets(t *testing.T) {
	packetsWhileOut := func(disabled ...node.Mechanism) int {
		w := newFleet(t, 25, defaultLayout, disabled...)
		keys := establishFlows(t, w, 0, 150)
		w.Hosts["balancer-1"].NoConfigUpdates = true
		w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", "Out")
		w.RunFor(3 * clock.Second)
		before := packetsAt(w, netsim.DataCentreName(0))
		countBroken(w, keys)
		return packetsAt(w, netsim.DataCentreName(0)) - before
	}
	assert.Equal(t, packetsWhileOut(), 0)
	assert.Assert(t, packetsWhileOut(node.DropWhenOut) > 0, "no packet arrives with %s disabled", node.DropWhenOut)
}

// packetsAt returns the number of packets that the servers of a data centre received.
func packetsAt(w *netsim.World, dataCentre string) int {
	total := 0
	for _, name := range w.Names() {
		if h := w.Hosts[name]; h.Server != nil && h.Centre == dataCentre {
			total += h.Server.Packets
		}
	}
	return total
}

// While a data centre is taken out and returns, flows in the others are not reset, new
// flows are opened, and at most one of the 1200 requests is refused or has an unknown
// result.
func TestNoRefusalsWhileDataCentreLeavesAndReturns(t *testing.T) {
	w := newFleet(t, 26, defaultLayout)
	var inOthers []int
	keys := establishFlows(t, w, 0, 150)
	for i, key := range keys {
		if w.Hosts[w.Holders(key)[0]].Centre != netsim.DataCentreName(0) {
			inOthers = append(inOthers, i)
		}
	}
	requests := newRequests(w, 0)
	for _, state := range []string{"Out", "In"} {
		w.Override("90.json", "DataCentres", netsim.DataCentreName(0), "State", state)
		for i := range 600 {
			r := w.NewRequest("hold", 0)
			requests = append(requests, r)
			w.SendRequest(r, 0, 2000+i)
			w.RunFor(20)
		}
		w.RunFor(3 * clock.Second)
		establishFlows(t, w, 1000+len(requests), 50)
	}
	refused := 0
	for _, r := range requests {
		if len(r.Answers) == 0 || r.Answers[0].Outcome != 0 {
			refused++
			t.Logf("answers %+v", r.Answers)
		}
	}
	t.Logf("%d of %d requests were refused or unknown", refused, len(requests))
	assert.Assert(t, refused <= 1)
	for _, i := range inOthers {
		assert.Equal(t, w.ResetCounts()[keys[i]], 0)
	}
}

// A leaving server gets no new flows or requests after 3 s and keeps its flows.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	newWork := func(disabled ...node.Mechanism) int {
		w := newFleet(t, 27, defaultLayout, disabled...)
		server := w.Hosts["watch-1"].Server
		keys := establishFlows(t, w, 0, 100)
		markLeaving(w, 1)
		w.RunFor(3 * clock.Second)
		before := len(server.Flows) + len(server.Runs)
		establishFlows(t, w, 500, 100)
		sendCopies(w, newRequests(w, 100), 2000)
		w.RunFor(clock.Second)
		assert.Equal(t, countBroken(w, keys), 0)
		return len(server.Flows) + len(server.Runs) - before
	}
	assert.Equal(t, newWork(), 0)
	assert.Assert(t, newWork(node.DrainLeaving) > 0, "no new work arrives with %s disabled", node.DrainLeaving)
}

// When a data centre fails or is partitioned from the others, the agents of the others
// keep their leases, and 8 s later they take all new flows and refuse no request. Agents
// in the partition have lost their leases by then.
func TestDataCentreLossDoesNotAffectOthers(t *testing.T) {
	for _, row := range []struct {
		name string
		lose func(w *netsim.World, in func(h *netsim.Host) bool)
	}{
		{"it fails", func(w *netsim.World, in func(h *netsim.Host) bool) {
			for _, name := range w.Names() {
				if in(w.Hosts[name]) {
					w.Hosts[name].Kill()
				}
			}
		}},
		{"it is partitioned from the others", func(w *netsim.World, in func(h *netsim.Host) bool) {
			w.Partitioned = func(from, to *netsim.Host) bool { return from != nil && in(from) != in(to) }
			for _, name := range w.Names() {
				if h := w.Hosts[name]; in(h) && h.Balancer != nil {
					h.Kill() // callers cannot reach it either
				}
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newFleet(t, 28, defaultLayout)
			in := func(h *netsim.Host) bool { return h.Centre == netsim.DataCentreName(0) }
			row.lose(w, in)
			w.RunFor(8 * clock.Second)
			for _, name := range w.Names() {
				if h := w.Hosts[name]; h.Agent != nil && h.Up {
					assert.Equal(t, h.Agent.Leased(w.Now()), !in(h), "lease of %s", name)
				}
			}
			establishFlows(t, w, 0, 100)
			requests := newRequests(w, 500)
			sendCopies(w, requests, 2000)
			w.RunFor(5 * clock.Second)
			for _, r := range requests {
				assert.Assert(t, len(r.Answers) > 0 && r.Answers[0].Outcome == wire.Done, "%+v", r.Answers)
			}
		})
	}
}
