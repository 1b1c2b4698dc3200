package room_test

import (
	"slices"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/room"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const now = clock.Millis(1_700_000_000_000)

// table returns a table with a report of each server, from agent 1 on.
func table(percent ...int) *room.Table {
	t := &room.Table{}
	for i, p := range percent {
		t.Record(now, place.ID(i+1), room.Report{Utilization: p, ServiceTime: 30})
	}
	return t
}

func candidates(n int) []room.Candidate {
	var out []room.Candidate
	for i := range n {
		out = append(out, room.Candidate{Agent: place.ID(i + 1), Slots: 2})
	}
	return out
}

// firsts counts how often each agent comes first for 10,000 flows.
func firsts(t *room.Table, at clock.Millis, n int, keepFirst bool) map[place.ID]int {
	count := make(map[place.ID]int)
	for hash := range uint64(10_000) {
		c := candidates(n)
		t.Order(at, hash*0x9e3779b97f4a7c15, c, keepFirst)
		count[c[0].Agent]++
	}
	return count
}

// A flow that opened at a server that was not a candidate would be lost to searches, and
// copies of a SYN that visit the servers in another order than it would open the flow twice.
func TestOrderIsAPermutationThatTheHashDetermines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		used := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 8).Draw(rt, "used")
		table, hash := table(used...), rapid.Uint64().Draw(rt, "hash")
		keep, at := rapid.Bool().Draw(rt, "keep"), now+clock.Millis(rapid.IntRange(0, 99_000).Draw(rt, "age"))
		table.RecordRoundTrip(1, clock.Millis(rapid.IntRange(-5, 9999).Draw(rt, "roundTrip")))
		first, again := candidates(len(used)), candidates(len(used))
		table.Order(at, hash, first, keep)
		table.Order(at, hash, again, keep)
		assert.DeepEqual(rt, first, again)
		slices.SortFunc(again, func(a, b room.Candidate) int { return int(a.Agent) - int(b.Agent) })
		assert.DeepEqual(rt, again, candidates(len(used)))
	})
}

// If all balancers sent all flows to the server with the most spare capacity, it would be
// the busiest one before their next reports.
func TestOrderSpreadsFlowsBySpareCapacity(t *testing.T) {
	count := firsts(table(60, 80, 80, 95), now, 4, false)
	assert.Assert(t, count[1] > 4000 && count[1] < 8500, "%v", count)
	assert.Assert(t, count[2] > 5*count[4] && count[4] > 10, "%v", count)
}

// A report from long ago says nothing of the present: the estimate must return to the mean.
func TestOldReportsLoseTheirWeight(t *testing.T) {
	stale := table(0, 90, 90, 90)
	for i := 2; i <= 4; i++ {
		stale.Record(now+59_000, place.ID(i), room.Report{Utilization: 90})
	}
	fresh, old := firsts(table(0, 90, 90, 90), now, 4, false)[1], firsts(stale, now+59_000, 4, false)[1]
	assert.Assert(t, fresh > 9000 && old < 8000, "%d, then %d", fresh, old)
	assert.Assert(t, firsts(stale, now+61_000, 4, false)[1] < 4000)
}

// Flows that were sent since the last report, and a longer way, count against a server.
func TestSentFlowsAndRoundTripsCount(t *testing.T) {
	sent := table(50, 50)
	sent.RecordSent(now, 1)
	assert.Assert(t, firsts(sent, now, 2, false)[1] < 1000)
	assert.Assert(t, firsts(sent, now+1000, 2, false)[1] > 4000, "a lost report must not block the server")
	far := table(50, 50)
	far.RecordRoundTrip(1, 10)
	far.RecordRoundTrip(2, 1)
	assert.Assert(t, firsts(far, now, 2, false)[1] < 4000)
}

// Quiet days must not pay for evenness with ways to other data centres.
func TestNearServerComesFirstWhileItHasRoom(t *testing.T) {
	assert.Equal(t, firsts(table(45, 5, 5, 5), now, 4, true)[1], 10_000)
	assert.Assert(t, firsts(table(100, 50, 50, 50), now, 4, true)[1] < 1000)
	assert.Equal(t, firsts(table(100, 100, 100, 100), now, 4, true)[1], 10_000)
}

// With queues everywhere, visits to every candidate only cost time; with free slots, or
// without knowledge, they find them.
func TestQueuesEarlyAtNoMoreThanTheMean(t *testing.T) {
	for _, row := range []struct {
		used, load int
		want       bool
	}{{80, 100, false}, {110, 100, false}, {130, 100, true}, {130, 150, false}, {300, 300, true}, {300, 350, true}, {300, 400, false}} {
		assert.Equal(t, table(row.used, row.used, row.used, row.used).QueuesEarly(now, row.load), row.want, "%+v", row)
	}
	assert.Assert(t, !table(300, 300, 300).QueuesEarly(now, 100), "too few reports")
	assert.Assert(t, !table(300, 300, 300, 300).QueuesEarly(now+60_000, 100), "reports too old")
}

// Agents judge their servers by the median, which one bad server must not change.
func TestTypicalTimeIsTheMedian(t *testing.T) {
	table := &room.Table{}
	assert.Equal(t, table.TypicalTime(now), clock.Millis(0))
	for i, took := range []clock.Millis{20, 0, 30, 5000} {
		table.Record(now, place.ID(i+1), room.Report{ServiceTime: took})
	}
	assert.Equal(t, table.TypicalTime(now+100), clock.Millis(30))
	table.Retain(func(id place.ID) bool { return id == 1 })
	assert.Equal(t, table.TypicalTime(now+200), clock.Millis(20))
	assert.Equal(t, table.Stats(now+200).Reports, 1)
}

func BenchmarkOrder(b *testing.B) {
	t := &room.Table{}
	for i := range 42 {
		t.Record(now, place.ID(i+1), room.Report{Utilization: i, ServiceTime: 30})
	}
	c, hash := candidates(4), uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		hash++
		t.Order(now+clock.Millis(hash>>4%50_000), hash, c, true)
	}
}
