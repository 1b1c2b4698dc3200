// Package sched orders the work that waits for a slot of one server: requests of open
// flows, which only this server can run, and SYNs, which can still go to another server.
//
// Work is served in three ranks: first what can be answered within its goal, then what
// can be answered within its time limit, then the rest. Order says which work is first
// among that which can still be in time; in the other ranks the newest is. The package
// handles a server that is offered more than its slots can do for some seconds, of which
// a part cannot go elsewhere. It does no I/O and reads no clock.
package sched

import (
	"fmt"
	"slices"
	"strings"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
)

//go:generate go tool stringer -type=Order -output=order_string.go
//go:generate go tool stringer -type=Reason -output=reason_string.go

// Order says which work is served first among that which can still be in time.
type Order uint8

// Orders.
const (
	// The most urgent class goes first, unless a less urgent one has missed its goals more
	// often by maxGap; of a class the newest goes first.
	EvenMisses Order = iota
	// The newest goes first, whatever its class.
	NewestInTime
	// The work whose goal ends first goes first.
	EarliestGoal
	// Classes take turns by weights, twice as many for each step of urgency; of a class
	// the newest goes first.
	WeightedTurns
	orderCount // not an order
)

// ParseOrder returns the order with a name. It returns an error that lists all names if
// it is not known.
func ParseOrder(name string) (Order, error) {
	var known []string
	for o := range orderCount {
		if o.String() == name {
			return o, nil
		}
		known = append(known, o.String())
	}
	return 0, fmt.Errorf("%q is not an order, want one of %s", name, strings.Join(known, ", "))
}

// Classes is the number of classes of urgency. A class holds the work of one priority,
// the last one that of all higher numbers.
const Classes = 4

// ClassOf returns the class of a priority.
func ClassOf(priority int) int { return max(0, min(priority, Classes-1)) }

// Item is work that waits for a slot.
type Item struct {
	Key      flow.Key
	Arrived  clock.Millis // when it arrived here
	Age      clock.Millis // how long before that the caller first sent it
	Goal     clock.Millis // response-time goal, counted from the first sending; 0 if it has none
	Limit    clock.Millis // time after which the caller gives up, 0 if not known
	Priority int          // 0 is the most urgent
	Movable  bool         // may be refused, so that it goes to another server
	// Untried says that a movable item can go to servers that have not seen it, at no cost
	// to its caller.
	Untried bool
	Bytes   int // that are held for it
}

// age returns how long ago the caller first sent the item.
func (i *Item) age(now clock.Millis) clock.Millis { return now - i.Arrived + i.Age }

// Reason says why an item is refused.
type Reason uint8

// Reasons.
const (
	Waited    Reason = iota // it has waited for as long as it may
	Backlog                 // the work before it takes too long for any answer
	Elsewhere               // the work before it takes too long for its goal, and other servers have not seen it
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

// MaxWait is the longest time that a movable item waits: less than half of the 1.4 s for
// which a caller tries to open a flow, so that it has time for another attempt.
const MaxWait = 600 * clock.Millis(1)

// Constants of the decisions.
const (
	// missWeight is the weight of the last item in the share of a class's items that
	// missed their goal, which thus covers about the last 500: ten to twenty seconds of a
	// busy server, more than a burst lasts. With 0.02 the simulation of package steer
	// served 0.1 % less value.
	missWeight = 0.002
	// maxGap is how much higher the share of missed goals may be in a class than in the
	// next more urgent one before it goes first. If 0.36 of the value is in the urgent
	// class, a gap of 0.08 leaves the other one 0.97 of the mean.
	maxGap = 0.08
	// workFactor is the multiple of the expected time of an answer that must be left for
	// an item to count as in time: service times vary, and 3 in 100 take seven times as
	// long. With 1 the simulation served 0.2 % less value, with 2.5 no more.
	workFactor = 2
)

// Counts are counters of one class since the start.
type Counts struct {
	Held      uint64              // items added
	InTime    uint64              // items returned by Next that could still be in time
	Late      uint64              // items returned by Next that could not
	Overtaken uint64              // older items of this class left behind by items of other classes
	Refused   [ReasonCount]uint64 // by reason
}

// Queue holds the work that waits for a slot of one server. The zero value is empty. A
// Queue is not safe for concurrent use.
type Queue struct {
	Order Order
	Speed Speed // of the server

	items   []queued
	bytes   int
	movable int // items that are movable
	counts  [Classes]Counts
	missed  [Classes]float64 // moving average of the share of items that missed their goal
	credit  [Classes]int     // of WeightedTurns
}

// queued is an item in the queue.
type queued struct {
	Item
	missed bool // could no longer be in time when Next looked last
}

// rank says what an item can still reach.
type rank uint8

const (
	inTime  rank = iota // its goal
	late                // its time limit
	tooLate             // neither
)

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Pinned returns the number of items that are not movable.
func (q *Queue) Pinned() int { return len(q.items) - q.movable }

// Bytes returns the sum of the items' bytes.
func (q *Queue) Bytes() int { return q.bytes }

// Counts returns the counters of a class.
func (q *Queue) Counts(class int) Counts { return q.counts[class] }

// Add adds an item. The caller makes sure that its flow has no other one.
func (q *Queue) Add(item Item) {
	q.items = append(q.items, queued{Item: item})
	q.bytes += item.Bytes
	if item.Movable {
		q.movable++
	}
	q.counts[ClassOf(item.Priority)].Held++
}

// Answered records an answer, and whether it missed the goal.
func (q *Queue) Answered(priority int, late bool) { q.recordMiss(priority, late) }

// Grow adds to the bytes that are held for the item of a flow.
func (q *Queue) Grow(key flow.Key, bytes int) {
	if i := q.index(key); i >= 0 {
		q.items[i].Bytes += bytes
		q.bytes += bytes
	}
}

func (q *Queue) index(key flow.Key) int {
	return slices.IndexFunc(q.items, func(i queued) bool { return i.Key == key })
}

// Remove removes the item of a flow and reports whether there was one.
func (q *Queue) Remove(key flow.Key) bool {
	i := q.index(key)
	if i >= 0 {
		q.take(i)
	}
	return i >= 0
}

func (q *Queue) take(i int) Item {
	item := q.items[i].Item
	q.items = slices.Delete(q.items, i, i+1)
	q.bytes -= item.Bytes
	if item.Movable {
		q.movable--
	}
	return item
}

// Drain removes and returns the oldest item, for a planned stop. It returns false if
// there is none.
func (q *Queue) Drain() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.take(0), true
}

// DrainMovable removes and returns the oldest movable item, for work that must go to other
// servers. It returns false if there is none.
func (q *Queue) DrainMovable() (Item, bool) {
	i := slices.IndexFunc(q.items, func(i queued) bool { return i.Movable })
	if i < 0 {
		return Item{}, false
	}
	return q.take(i), true
}

// Movable returns the number of items that are movable.
func (q *Queue) Movable() int { return q.movable }

// rankOf returns what an item can still reach if it is answered after work.
func rankOf(i *Item, now, work clock.Millis) rank {
	switch age := i.age(now); {
	case i.Goal == 0 || age+work <= i.Goal:
		return inTime
	case i.Limit == 0 || age+work <= i.Limit:
		return late
	}
	return tooLate
}

// Next removes and returns the item to serve next, with pinned the next one that is not
// movable. It returns false if there is none.
func (q *Queue) Next(now clock.Millis, pinned bool) (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	work := q.work()
	best := [Classes]int{-1, -1, -1, -1} // index of the first item in time by class
	rest, restRank := -1, tooLate+1
	for i := range q.items {
		item := &q.items[i]
		if pinned && item.Movable {
			continue
		}
		class := ClassOf(item.Priority)
		r := rankOf(&item.Item, now, work)
		if r == inTime {
			if best[class] < 0 || q.before(&item.Item, &q.items[best[class]].Item) {
				best[class] = i
			}
			continue
		}
		item.missed = true
		if r < restRank || r == restRank && newer(&item.Item, &q.items[rest].Item) {
			rest, restRank = i, r
		}
	}
	chosen := q.choose(best)
	if chosen < 0 {
		chosen = rest
	}
	if chosen < 0 {
		return Item{}, false
	}
	item := q.items[chosen]
	q.countTaken(&item)
	return q.take(chosen), true
}

// choose returns the index of the item to serve among the first ones of the classes, -1
// if there is none.
func (q *Queue) choose(best [Classes]int) int {
	chosen, total := -1, 0
	for class, i := range best {
		if i < 0 {
			continue
		}
		if q.Order == WeightedTurns {
			q.credit[class] += turnWeight(class)
			total += turnWeight(class)
		}
		if chosen < 0 || q.precedes(class, i, ClassOf(q.items[chosen].Priority), chosen) {
			chosen = i
		}
	}
	if chosen >= 0 && q.Order == WeightedTurns {
		q.credit[ClassOf(q.items[chosen].Priority)] -= total
	}
	return chosen
}

// turnWeight returns the weight of a class in WeightedTurns.
func turnWeight(class int) int { return 1 << (Classes - 1 - class) }

// precedes reports whether the item i of a class goes before the item j of another one.
func (q *Queue) precedes(class, i, otherClass, j int) bool {
	switch q.Order {
	case WeightedTurns:
		return q.credit[class] > q.credit[otherClass]
	case EvenMisses:
		return q.missed[class]-maxGap*float64(class) > q.missed[otherClass]-maxGap*float64(otherClass)
	}
	return q.before(&q.items[i].Item, &q.items[j].Item)
}

// before reports whether an item in time goes before another one of the same class.
func (q *Queue) before(i, other *Item) bool {
	if q.Order != EarliestGoal {
		return newer(i, other)
	}
	if (i.Goal == 0) != (other.Goal == 0) {
		return other.Goal == 0
	}
	return i.Arrived-i.Age+i.Goal < other.Arrived-other.Age+other.Goal
}

// newer reports whether the caller sent an item after another one.
func newer(i, other *Item) bool { return i.Arrived-i.Age > other.Arrived-other.Age }

// countTaken updates the counters by an item that is to be served.
func (q *Queue) countTaken(item *queued) {
	class := ClassOf(item.Priority)
	c := &q.counts[class]
	if item.missed {
		c.Late++
	} else {
		c.InTime++
	}
	for i := range q.items {
		if other := ClassOf(q.items[i].Priority); other != class && q.items[i].Arrived < item.Arrived {
			q.counts[other].Overtaken++
		}
	}
}

func (q *Queue) recordMiss(priority int, missed bool) {
	m := &q.missed[ClassOf(priority)]
	*m -= *m * missWeight
	if missed {
		*m += missWeight
	}
}

// Refuse removes and returns a movable item that is to be refused, and why. An item that
// can still go to other servers is refused if the work before it leaves it no time to
// reach its goal here. Any other is refused only if it would have to wait for too long:
// a refusal costs its caller one of few attempts, and while all servers are overloaded,
// as after an outage, a late answer is worth more. Refuse returns false if there is none.
// Call it until then.
func (q *Queue) Refuse(now clock.Millis) (Item, Reason, bool) {
	if q.movable == 0 {
		return Item{}, 0, false
	}
	work := q.work()
	last := [2]int{-1, -1} // index of the last movable item: untried and in time, any
	for i := range q.items {
		item := &q.items[i].Item
		if !item.Movable {
			continue
		}
		if item.overdue(now) {
			return q.refuse(i, Waited), Waited, true
		}
		if item.Untried && rankOf(item, now, work) == inTime && (last[0] < 0 || !q.goesBefore(item, &q.items[last[0]].Item, now, work)) {
			last[0] = i
		}
		if last[1] < 0 || !q.goesBefore(item, &q.items[last[1]].Item, now, work) {
			last[1] = i
		}
	}
	for r, i := range last {
		if i < 0 {
			continue
		}
		item := &q.items[i].Item
		wait := q.Speed.TimeFor(q.ahead(i, now, work))
		switch {
		case r == 0 && rankOf(item, now+wait, work) != inTime:
			return q.refuse(i, Elsewhere), Elsewhere, true
		case r == 1 && item.hopeless(now+wait, work):
			return q.refuse(i, Backlog), Backlog, true
		}
	}
	return Item{}, 0, false
}

// ahead returns the number of items that go before the item i.
func (q *Queue) ahead(i int, now, work clock.Millis) int {
	n := 0
	for j := range q.items {
		if j != i && q.goesBefore(&q.items[j].Item, &q.items[i].Item, now, work) {
			n++
		}
	}
	return n
}

// goesBefore reports whether an item goes before another one. Classes are not compared,
// since their turns depend on what arrives later.
func (q *Queue) goesBefore(i, other *Item, now, work clock.Millis) bool {
	a, b := rankOf(i, now, work), rankOf(other, now, work)
	switch {
	case a != b:
		return a < b
	case a == inTime:
		return q.before(i, other)
	}
	return newer(i, other)
}

// work returns the time from the delivery of an item until which its answer is expected.
func (q *Queue) work() clock.Millis { return workFactor * q.Speed.Expected() }

// overdue reports whether a movable item has waited for as long as it may: MaxWait, and
// half of its time limit.
func (i *Item) overdue(now clock.Millis) bool {
	return now-i.Arrived >= MaxWait || i.Limit > 0 && now-i.Arrived >= i.Limit/2
}

// hopeless reports whether a movable item that is delivered at the time then would have
// waited for too long, and its answer would come after its time limit. workFactor allows
// for a late answer, so half of work is expected.
func (i *Item) hopeless(then, work clock.Millis) bool {
	return i.overdue(then) && (i.Limit == 0 || i.age(then)+work/workFactor > i.Limit)
}

func (q *Queue) refuse(i int, reason Reason) Item {
	item := &q.items[i]
	q.counts[ClassOf(item.Priority)].Refused[reason]++
	if reason != Elsewhere {
		q.recordMiss(item.Priority, true)
	}
	return q.take(i)
}
