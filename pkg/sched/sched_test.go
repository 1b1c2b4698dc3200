package sched_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/sched"
	"gotest.tools/v3/assert"
)

const start = clock.Millis(1_700_000_000_000)

func key(port int) flow.Key {
	return flow.NewKey(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)), netip.MustParseAddrPort("198.18.0.1:443"), 0)
}

// item returns a request that arrived some time after start, with a goal of 200 ms and a
// limit of 1.5 s.
func item(port, priority int, after clock.Millis, movable bool) sched.Item {
	return sched.Item{Key: key(port), Arrived: start + after, Goal: 200, Limit: 1500, Priority: priority, Movable: movable, Bytes: 100}
}

// busy returns a queue of a server with two slots, both in use, that takes 20 ms for a
// request.
func busy(order sched.Order) *sched.Queue {
	q := &sched.Queue{Order: order}
	q.Speed.Slots = 2
	for range 50 {
		q.Speed.Running(1, 0)
		q.Speed.Answered(start, 20)
	}
	q.Speed.Running(2, 0)
	return q
}

// served returns the ports of the items in the order in which they are served.
func served(q *sched.Queue, now clock.Millis) (ports []int) {
	for {
		i, ok := q.Next(now, false)
		if !ok {
			return ports
		}
		ports = append(ports, int(i.Key.SourcePort))
	}
}

// Work that can still be in time must not wait behind work that cannot, in any order; and
// what its caller has given up comes last.
func TestWorkInTimeGoesFirst(t *testing.T) {
	for _, row := range []struct {
		order sched.Order
		want  []int
	}{
		{sched.EvenMisses, []int{5, 4, 3, 2, 1}},
		{sched.NewestInTime, []int{5, 4, 3, 2, 1}},
		{sched.EarliestGoal, []int{3, 4, 5, 2, 1}},
		{sched.WeightedTurns, []int{5, 4, 3, 2, 1}},
	} {
		q := busy(row.order)
		for port, after := range []clock.Millis{1: 0, 2: 1000, 3: 1800, 4: 1850, 5: 1880} {
			if port > 0 {
				q.Add(item(port, 2, after, false))
			}
		}
		assert.DeepEqual(t, served(q, start+1900), row.want)
	}
}

// With strict priority of urgent work the other class was late eight times for one urgent
// request. The urgent class goes first only as long as the other one does not miss its
// goals more often by the gap, and turns serve two of one class for one of the other.
func TestNoClassIsServedOnlyAfterAnother(t *testing.T) {
	for _, row := range []struct {
		order     sched.Order
		lateOther int // late answers of the less urgent class before
		urgent    int // items of the urgent class among the first nine
	}{
		{sched.EvenMisses, 0, 9},
		{sched.EvenMisses, 100, 0},
		{sched.WeightedTurns, 0, 6},
		{sched.NewestInTime, 0, 0}, // they arrived first here
	} {
		q := busy(row.order)
		for range row.lateOther {
			q.Answered(2, true)
		}
		for port := range 9 {
			q.Add(item(1000+port, 1, 0, true))
			q.Add(item(2000+port, 2, 1, false))
		}
		urgent := 0
		for _, port := range served(q, start+10)[:9] {
			if port < 2000 {
				urgent++
			}
		}
		assert.Equal(t, urgent, row.urgent, "%v after %d late", row.order, row.lateOther)
	}
}

// A SYN that cannot be served in time, pinned work before it counted, is refused at once
// if other servers have not seen it. One that has nowhere else to go is refused at once
// only if no answer can reach its caller: refusing it for a missed goal would use up its
// caller's attempts while all servers are overloaded. Pinned work never is refused.
func TestHopelessSYNIsRefusedAtOnce(t *testing.T) {
	for _, row := range []struct {
		name          string
		pinned        int
		untried       bool
		age           clock.Millis // of the SYN at its arrival
		after         clock.Millis // time since then
		refused       bool
		reason        sched.Reason
		pinnedArrival clock.Millis
	}{
		{"short queue", 5, true, 0, 0, false, 0, 1},
		{"much pinned work before it", 20, true, 0, 0, true, sched.Elsewhere, 1},
		{"as much pinned work after it", 20, true, 0, 0, false, 0, -1900},
		{"much pinned work, nowhere else to go", 20, false, 0, 0, false, 0, 1},
		{"late anyway, short queue", 5, true, 600, 0, false, 0, 1},
		{"late anyway, long queue", 20, true, 600, 0, false, 0, 1},
		{"no answer before its time limit", 90, false, 600, 0, true, sched.Backlog, 1},
		{"waited for long", 1, true, 0, 600, true, sched.Waited, 1},
	} {
		q := busy(sched.EvenMisses)
		syn := item(1, 1, 0, true)
		syn.Age, syn.Untried = row.age, row.untried
		q.Add(syn)
		for i := range row.pinned {
			q.Add(item(1000+i, 2, row.pinnedArrival, false))
		}
		i, reason, ok := q.Refuse(start + max(1, row.after))
		assert.Equal(t, ok, row.refused, row.name)
		if row.refused {
			assert.Equal(t, i.Key, key(1), row.name)
			assert.Equal(t, reason, row.reason, row.name)
			assert.Equal(t, q.Counts(1).Refused[reason], uint64(1), row.name)
		}
		_, _, ok = q.Refuse(start + 10_000)
		assert.Equal(t, ok, !row.refused, row.name) // only the SYN
		assert.Equal(t, q.Pinned(), row.pinned, row.name)
	}
}

// The counters must tell who waited for whom, and the bytes must return to 0: a leak would
// end holding for good.
func TestCountersAndBytes(t *testing.T) {
	q := busy(sched.EvenMisses)
	q.Add(item(1, 2, 0, false))
	q.Add(item(2, 2, 1, false))
	q.Add(item(3, 1, 2, true))
	q.Grow(key(1), 50)
	assert.Equal(t, q.Bytes(), 350)
	first, _ := q.Next(start+10, false)
	assert.Equal(t, first.Key, key(3))
	assert.Equal(t, q.Counts(2).Overtaken, uint64(2))
	assert.Equal(t, q.Counts(1).InTime, uint64(1))
	assert.Assert(t, q.Remove(key(2)) && !q.Remove(key(2)))
	late, _ := q.Next(start+1000, true)
	assert.Equal(t, late.Bytes, 150)
	assert.Equal(t, q.Counts(2).Late, uint64(1))
	assert.Equal(t, q.Bytes()+q.Len()+q.Pinned(), 0)
}

// Under load requests queue in the server, so the time to an answer is no service time. A
// cold server is 1.6 times slower: work that it cannot finish must not count as in time.
func TestSpeedIsMeasuredWhileServerIsBusy(t *testing.T) {
	q := busy(sched.EvenMisses)
	assert.Equal(t, q.Speed.TimeFor(0), clock.Millis(10))
	now := start
	for range 100 { // an answer of two slots each 16 ms, of requests that took 64
		now += 16
		q.Speed.Running(4, 0)
		q.Speed.Answered(now, 64)
	}
	q.Speed.Running(2, 0)
	expected := q.Speed.Expected()
	assert.Assert(t, expected >= 46 && expected <= 48, "%v", expected) // 32 and 16 of waiting
}

func TestOrdersAreParsed(t *testing.T) {
	o, err := sched.ParseOrder("WeightedTurns")
	assert.NilError(t, err)
	assert.Equal(t, o, sched.WeightedTurns)
	_, err = sched.ParseOrder("Best")
	assert.ErrorContains(t, err, "EvenMisses, NewestInTime")
}
