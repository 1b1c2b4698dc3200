package world_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/internal/world"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"gotest.tools/v3/assert"
)

// inForce reports whether every process that is up has at least a revision.
func inForce(w *world.World, revision uint64) bool {
	for _, name := range w.Names() {
		if h := w.Hosts[name]; h.Up && h.Revision() < revision {
			return false
		}
	}
	return true
}

// untilInForce lets time pass until a revision is in force everywhere.
func untilInForce(t *testing.T, w *world.World, revision uint64, limit clock.Millis) clock.Millis {
	t.Helper()
	begun := w.Now()
	for !inForce(w, revision) {
		assert.Assert(t, w.Now()-begun < limit, "revision %d is not in force everywhere after %s", revision, limit)
		w.Run(10)
	}
	return w.Now() - begun
}

func drain(w *world.World, n int) uint64 {
	return w.Override(fmt.Sprintf("90-%d.json", n), "BackendServers", world.ServerName("watch", n), "State", "Leaving")
}

// A change is in force everywhere within ten seconds, whatever fails meanwhile.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, row := range []struct {
		name string
		play func(w *world.World) uint64
	}{
		{"nothing fails", func(w *world.World) uint64 { return drain(w, 1) }},
		{"two operators at once", func(w *world.World) uint64 {
			drain(w, 1)
			return drain(w, 2)
		}},
		{"the platform is down afterwards", func(w *world.World) uint64 {
			revision := drain(w, 1)
			w.After(100, func() { w.Platform.Down = true })
			return revision
		}},
		{"half of the fleet cannot reach the platform", func(w *world.World) uint64 {
			for i, name := range w.Names() {
				w.Hosts[name].PlatformUnreachable = i%2 == 0
			}
			return drain(w, 1)
		}},
		{"a tenth of the messages is lost", func(w *world.World) uint64 {
			w.LossRate = 0.1
			return drain(w, 1)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := build(t, 20, today)
			revision := row.play(w)
			took := untilInForce(t, w, revision, 10*clock.Second)
			t.Logf("in force everywhere after %s", took)
		})
	}
}

// A part of the fleet that was cut off catches up when the cut heals.
func TestCutHalfCatchesUp(t *testing.T) {
	w := build(t, 21, today)
	cut := make(map[*world.Host]bool)
	for i, name := range w.Names() {
		cut[w.Hosts[name]] = i%2 == 0
		w.Hosts[name].PlatformUnreachable = i%2 == 0
	}
	w.Partitioned = func(from, to *world.Host) bool { return from != nil && cut[from] != cut[to] }
	revision := drain(w, 1)
	w.Run(60 * clock.Second)
	assert.Assert(t, !inForce(w, revision))
	w.Partitioned = nil
	untilInForce(t, w, revision, 10*clock.Second)
}

// A process that starts while the platform is stale does not serve an old
// revision, because it asks its neighbours first.
func TestRestartWithStalePlatformServesNothingOld(t *testing.T) {
	served := func(without ...node.Mechanism) uint64 {
		w := build(t, 22, today, without...)
		drain(w, 1)
		revision := drain(w, 2)
		w.Run(5 * clock.Second)
		assert.Assert(t, inForce(w, revision))
		w.Platform.StaleRevision = 1
		lowest := revision
		for range 20 {
			for _, name := range []string{"watch-3", "balancer-1"} {
				w.Hosts[name].Kill()
				w.Hosts[name].Start()
			}
			for range 100 {
				w.Run(10)
				for _, name := range []string{"watch-3", "balancer-1"} {
					if h := w.Hosts[name]; h.Serving() {
						lowest = min(lowest, h.Revision())
					}
				}
			}
		}
		return revision - lowest
	}
	assert.Equal(t, served(), uint64(0))
	assert.Assert(t, served(node.StartupWait) > 0, "nothing old is served without %s", node.StartupWait)
}

// A revision with errors is refused everywhere, and the one before stays.
func TestRevisionWithErrorsIsRefusedEverywhere(t *testing.T) {
	w := build(t, 23, today)
	good := drain(w, 1)
	w.Run(5 * clock.Second)
	w.Publish([]conf.File{{Name: "99.json", Content: []byte(`{"Owner": "operator", "Services": [{"Name": "watch", "Address": "nowhere"}]}`)}})
	w.Run(10 * clock.Second)
	for _, name := range w.Names() {
		assert.Equal(t, w.Hosts[name].Revision(), good)
	}
	w.Hosts["watch-3"].Kill()
	w.Hosts["watch-3"].Start()
	w.Run(10 * clock.Second)
	assert.Equal(t, w.Hosts["watch-3"].Revision(), good)
	mended := w.Publish([]conf.File{{Name: "99.json", Content: []byte(`{"Owner": "operator"}`)}})
	untilInForce(t, w, mended, 10*clock.Second)
}

// The calls to the platform do not grow with the fleet.
func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	calls := func(servers int) float64 {
		w := build(t, 24, world.Layout{Centres: 3, Balancers: 3, Services: []world.Shape{{Name: "watch", Servers: servers, Slots: 4}}})
		before := w.Platform.Calls
		const span = 2 * clock.Minute
		for n := range 12 {
			drain(w, n%4)
			w.Run(span / 12)
		}
		return float64(w.Platform.Calls-before) / (float64(span) / 1000)
	}
	few, many := calls(10), calls(200)
	t.Logf("%.2f calls a second with 10 servers, %.2f with 200", few, many)
	assert.Assert(t, many <= few*1.5+0.5)
	assert.Assert(t, many < 200)
}

// A data centre that is out gets no packets, even from a balancer that has not
// heard of it, and takes flows again after its return.
func TestDataCentreOutGetsNoPackets(t *testing.T) {
	late := func(without ...node.Mechanism) int {
		w := build(t, 25, today, without...)
		keys := open(t, w, 0, 150)
		w.Hosts["balancer-1"].NoConfigUpdates = true
		w.Override("90.json", "DataCentres", world.DataCentreName(0), "State", "Out")
		w.Run(3 * clock.Second)
		before := packetsAt(w, world.DataCentreName(0))
		broken(w, keys)
		return packetsAt(w, world.DataCentreName(0)) - before
	}
	assert.Equal(t, late(), 0)
	assert.Assert(t, late(node.OutDrop) > 0, "no packet comes late without %s", node.OutDrop)
}

func packetsAt(w *world.World, centre string) int {
	total := 0
	for _, name := range w.Names() {
		if h := w.Hosts[name]; h.Server != nil && h.Centre == centre {
			total += h.Server.Packets
		}
	}
	return total
}

// While a data centre leaves and returns, flows in the others go on, new flows
// find a place, and no request is refused.
func TestServiceWhileDataCentreLeavesAndReturns(t *testing.T) {
	w := build(t, 26, today)
	var staying []int
	keys := open(t, w, 0, 150)
	for i, key := range keys {
		if w.Hosts[w.Holders(key)[0]].Centre != world.DataCentreName(0) {
			staying = append(staying, i)
		}
	}
	requests := holds(w, 0)
	for _, state := range []string{"Out", "In"} {
		w.Override("90.json", "DataCentres", world.DataCentreName(0), "State", state)
		for i := range 600 {
			r := w.NewRequest("hold", 0)
			requests = append(requests, r)
			w.Ask(r, 0, 2000+i)
			w.Run(20)
		}
		w.Run(3 * clock.Second)
		open(t, w, 1000+len(requests), 50)
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
	for _, i := range staying {
		assert.Equal(t, w.ResetCounts()[keys[i]], 0)
	}
}

// A leaving server gets no new work after a few seconds and keeps its flows.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	fresh := func(without ...node.Mechanism) int {
		w := build(t, 27, today, without...)
		server := w.Hosts["watch-1"].Server
		keys := open(t, w, 0, 100)
		drain(w, 1)
		w.Run(3 * clock.Second)
		before := len(server.Flows) + len(server.Runs)
		open(t, w, 500, 100)
		ask(w, holds(w, 100), 2000)
		w.Run(clock.Second)
		assert.Equal(t, broken(w, keys), 0)
		return len(server.Flows) + len(server.Runs) - before
	}
	assert.Equal(t, fresh(), 0)
	assert.Assert(t, fresh(node.DrainLeaving) > 0, "no new work without %s", node.DrainLeaving)
}

// When a data centre dies or is cut off, the others go on: they keep their
// leases, take its new flows within seconds and refuse no request.
func TestLossOfADataCentreSparesTheOthers(t *testing.T) {
	for _, row := range []struct {
		name string
		lose func(w *world.World, in func(h *world.Host) bool)
	}{
		{"it dies", func(w *world.World, in func(h *world.Host) bool) {
			for _, name := range w.Names() {
				if in(w.Hosts[name]) {
					w.Hosts[name].Kill()
				}
			}
		}},
		{"it is cut off", func(w *world.World, in func(h *world.Host) bool) {
			w.Partitioned = func(from, to *world.Host) bool { return from != nil && in(from) != in(to) }
			for _, name := range w.Names() {
				if h := w.Hosts[name]; in(h) && h.Balancer != nil {
					h.Kill() // the fabric no longer reaches it either
				}
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := build(t, 28, today)
			in := func(h *world.Host) bool { return h.Centre == world.DataCentreName(0) }
			row.lose(w, in)
			w.Run(8 * clock.Second)
			for _, name := range w.Names() {
				if h := w.Hosts[name]; h.Agent != nil && h.Up {
					assert.Equal(t, h.Agent.Leased(w.Now()), !in(h), "lease of %s", name)
				}
			}
			open(t, w, 0, 100)
			requests := holds(w, 500)
			ask(w, requests, 2000)
			w.Run(5 * clock.Second)
			for _, r := range requests {
				assert.Assert(t, len(r.Answers) > 0 && r.Answers[0].Outcome == wire.Done, "%+v", r.Answers)
			}
		})
	}
}
