package roomsim_test

import (
	"flag"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

var compare = flag.Int("compare", 0, "number of seeds with which TestCompare prints all policies; 0 skips it")

var (
	hash     = Policy{Name: "hash"}
	byRoom   = Policy{Name: "by room, queue early", Order: ByRoom, QueueEarly: true}
	policies = []Policy{hash,
		{Name: "hash, queue early", QueueEarly: true},
		{Name: "by room", Order: ByRoom},
		byRoom,
		{Name: "by room, early, second local", Order: ByRoom, QueueEarly: true, SecondLocal: true},
		{Name: "least loaded", Order: LeastLoaded},
		{Name: "least loaded of all servers", Order: LeastLoaded, AllServers: true},
		{Name: "tokens", Order: ByToken},
		{Name: "present load", Order: Oracle},
	}
	twoSlots = Scenario{Name: "twoSlots", Balancers: 20, Servers: 42, Slots: 2, Queue: 8, Between: 0.9, LongRate: 1312, ShortRate: 375,
		LongWork: 22, ShortWork: 29, LongGoal: 200, ShortGoal: 250, Lost: 0.01}
	fourSlots = Scenario{Name: "fourSlots", Balancers: 17, Servers: 37, Slots: 4, Queue: 16, Between: 4.9, LongRate: 1001, ShortRate: 286,
		LongWork: 34, ShortWork: 44, LongGoal: 300, ShortGoal: 300, Lost: 0.01, Waves: 0.55}
)

// at returns a scenario at a multiple of its usual load.
func at(s Scenario, load float64) Scenario {
	s.Load = load
	return s
}

// joins returns a scenario in which servers and a balancer join, one server is slow and
// messages are lost.
func joins(s Scenario, load float64, servers int) Scenario {
	s.Name += ", joining and slow servers"
	s.Load, s.Joining, s.Slow, s.JoiningBalancer, s.Lost = load, servers, 4, true, 0.1
	return s
}

// failing returns a scenario in which one server answers with errors at once.
func failing(s Scenario, load float64) Scenario {
	s.Name += ", failing server"
	s.Load, s.Failing = load, true
	return s
}

// average runs a scenario with several seeds.
func average(s Scenario, p Policy, runs int) Result {
	all := make([]Result, runs)
	var wait sync.WaitGroup
	for seed := range all {
		wait.Go(func() { all[seed] = Run(s, p, uint64(seed)) })
	}
	wait.Wait()
	return Mean(all)
}

// Prints the tables of the note 16-even-load.md.
func TestCompare(t *testing.T) {
	if *compare == 0 {
		t.Skip("for measurements: -compare=10")
	}
	for _, s := range []Scenario{at(twoSlots, 1), at(twoSlots, 1.6), at(twoSlots, 1.9), at(twoSlots, 2.4), joins(twoSlots, 1.4, 8), failing(twoSlots, 1.6),
		at(fourSlots, 1), at(fourSlots, 2.3), at(fourSlots, 2.8), at(fourSlots, 3.5), joins(fourSlots, 2, 7), failing(fourSlots, 2.3)} {
		t.Logf("%s, load %.1f", s.Name, s.Load)
		for _, p := range policies {
			r := average(s, p, *compare)
			t.Logf("| %-28s | %.3f | %.2f | %.3f | %.2f | %.2f | %.1f | %.1f | %.4f |", p.Name,
				r.Deviation, r.Peak, r.Long, r.Denials, r.Messages, r.ShortWait, r.LongWait, r.Late)
		}
	}
}

// Stale reports must even out load, not make balancers herd, and must not cost callers.
func TestByRoomEvensLoad(t *testing.T) {
	for _, s := range []Scenario{joins(twoSlots, 1.4, 8), joins(fourSlots, 2, 7)} {
		before, after := average(s, hash, 2), average(s, byRoom, 2)
		assert.Assert(t, after.Long < 0.85*before.Long, "%s: deviation %.3f, then %.3f", s.Name, before.Long, after.Long)
		assert.Assert(t, after.Deviation < before.Deviation)
		assert.Assert(t, after.Late < before.Late+0.001, "%s: late %.4f, then %.4f", s.Name, before.Late, after.Late)
	}
}

// Flows must not visit four servers in vain where all have queues.
func TestByRoomSavesVisitsAtOverload(t *testing.T) {
	for _, s := range []Scenario{at(twoSlots, 2.4), at(fourSlots, 3.5)} {
		before, after := average(s, hash, 1), average(s, byRoom, 1)
		assert.Assert(t, after.Denials < 0.6*before.Denials, "%s: %.2f denials, then %.2f", s.Name, before.Denials, after.Denials)
		assert.Assert(t, after.Late < before.Late+0.02, "%s: late %.4f, then %.4f", s.Name, before.Late, after.Late)
	}
}

// On quiet days, nothing may change for callers of a data centre whose servers have room.
func TestByRoomLeavesQuietDays(t *testing.T) {
	before, after := average(at(fourSlots, 1), hash, 2), average(at(fourSlots, 1), byRoom, 2)
	assert.Assert(t, after.ShortWait < before.ShortWait+0.2, "%.1f ms, then %.1f", before.ShortWait, after.ShortWait)
	assert.Assert(t, after.Denials < before.Denials+0.02)
}

// A server that answers with errors is idle, and must not attract flows.
func TestByRoomDoesNotFavourFailingServers(t *testing.T) {
	for _, s := range []Scenario{failing(twoSlots, 1.6), failing(fourSlots, 2.3)} {
		before, after := average(s, hash, 1), average(s, byRoom, 1)
		assert.Assert(t, after.Late < 0.8*before.Late, "%s: %.4f, then %.4f", s.Name, before.Late, after.Late)
	}
}

// A comparison between policies means nothing unless a run can be repeated.
func TestRunsAreDeterminedByTheirSeed(t *testing.T) {
	s := at(twoSlots, 1)
	assert.Equal(t, Run(s, byRoom, 1), Run(s, byRoom, 1))
	assert.Assert(t, Run(s, byRoom, 1) != Run(s, byRoom, 2))
}
