// Package room estimates the spare capacity of the servers of a service from reports
// that are seconds old, and orders the candidates of a new flow by it.
//
// A balancer hears of a server about every two seconds, while a request takes 20 to 50 ms.
// So the length of a queue is outdated on arrival, and a report holds the server's
// utilization over about a second instead. Most of that comes from flows that stay open
// for many requests, so it changes slowly. Whether a slot is free at the moment only the
// server's agent tells, when the flow visits it.
//
// The load it handles is uneven demand between data centres, servers that are slower than
// others, and servers that joined a moment ago and hold few flows.
package room

import (
	"math"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// Parameters of the estimates.
const (
	// halfTrust is the age at which an estimate is halfway between the report and the mean
	// of the service. A report loses its worth as flows end and others open, which live for
	// tens of seconds. Simulated with 1, 4 and 16 s, the spread of load differed by 7 %.
	halfTrust = 8 * clock.Second
	// sentLife is how long a flow that was sent to a server counts if no report has come
	// since, for example because the message was lost.
	sentLife = clock.Second
	// meanInterval is the time between two calculations of the mean and the median of a
	// service: a report changes the mean of 40 servers by a few percent at most.
	meanInterval = 100 * clock.Millis(1)
	// reportLife is the age at which a report counts for nothing: flows live for 60 s.
	reportLife = 60 * clock.Second
	// crowded is the spare share of a server whose utilization is 1. A server that is
	// overloaded by a factor has that much less, so that overloaded servers are told apart.
	crowded = 0.05
	// defaultServiceTime is used until an agent has reported one, in milliseconds. It is
	// in the middle of the times that services take (20 to 50 ms).
	defaultServiceTime = 30
	// roundTripGain is the share of the difference by which a longer round trip raises
	// the measured one. A shorter one replaces it at once: waits at a busy host only add
	// to the time.
	roundTripGain = 1.0 / 16
	// roomy is the spare share of a near server from which on it always comes first: with
	// half of its slots free, most flows find one, and another server could only add the
	// longer way.
	roomy = 0.5
	// queueFrom is the utilization of the mean server from which on flows queue early. Below
	// it, further visits still find free slots at times: from 1 on, a quarter more requests
	// were late in the simulation at 1.9 times the usual load, for 0.1 denials less.
	queueFrom = 1.25
	// fullQueue is the utilization of the mean server from which on all visits find queues
	// and none a free slot. Then a longer wait is accepted than the mean, by queueSlack of
	// what is above: further visits cost messages and no longer improved what callers get
	// in the simulation.
	fullQueue  = 2.0
	queueSlack = 0.5
	// suspectFactor is by how much a server must be faster than the median to count as one
	// that may answer with errors. It then counts as used as if its requests took as long as
	// elsewhere, so that it receives its share of the flows and no more. Otherwise its idle
	// slots would attract flows: in the simulation, 1.6 to 1.9 times as many requests failed
	// as in the order of the hash.
	// Of servers of the same kind, averages rarely differ by that much.
	suspectFactor = 2
	// minReports is the number of servers of which reports must be known to judge by their
	// mean: as many as a flow visits.
	minReports = 4
)

// maxOrdered is the number of candidates that Order orders at most.
const maxOrdered = 8

// Report is what an agent's message tells of its server.
type Report struct {
	Utilization int          // share of the slots that was in use lately, percent; above 100 if requests waited
	ServiceTime clock.Millis // mean time to the first byte of an answer, 0 if not known
}

// Candidate is a server that a new flow may be offered to.
type Candidate struct {
	Agent place.ID
	Slots int // requests that the server can run at once; less than 1 counts as 1
}

// entry is what is known of one server.
type entry struct {
	agent        place.ID
	utilization  float64 // 1 means that all slots were in use
	serviceTime  float64 // milliseconds, 0 if not known
	reportedAt   clock.Millis
	hasReport    bool
	sent         int // flows sent since the report
	sentAt       clock.Millis
	roundTrip    float64 // milliseconds, 0 until it is measured
	hasRoundTrip bool
}

// Table holds the last reports of the servers of one service. The zero value is empty. A
// Table is not safe for concurrent use.
type Table struct {
	entries []entry // in the order of their first reports
	index   map[place.ID]int

	meanAt  clock.Millis // when mean and typical were calculated, 0 if never
	mean    float64      // utilization, weighted by the age of the reports
	typical float64      // median service time, 0 if not known
	reports int          // number of servers with a report that counts
	times   []float64    // for the calculation of typical
}

// Record stores a report and replaces the previous one of the same agent.
func (t *Table) Record(now clock.Millis, agent place.ID, r Report) {
	e := t.entryOf(agent)
	e.utilization, e.serviceTime = float64(max(0, r.Utilization))/100, float64(max(0, r.ServiceTime))
	e.reportedAt, e.hasReport, e.sent = now, true, 0
}

// RecordRoundTrip records the time from an offer to the agent's answer.
func (t *Table) RecordRoundTrip(agent place.ID, took clock.Millis) {
	e, sample := t.entryOf(agent), float64(max(0, took))
	if !e.hasRoundTrip || sample < e.roundTrip {
		e.roundTrip, e.hasRoundTrip = sample, true
		return
	}
	e.roundTrip += (sample - e.roundTrip) * roundTripGain
}

// RecordSent records that a new flow was sent to an agent.
func (t *Table) RecordSent(now clock.Millis, agent place.ID) {
	e := t.entryOf(agent)
	e.sent = e.sentSince(now) + 1
	e.sentAt = now
}

// Retain deletes what is known of the agents for which keep returns false.
func (t *Table) Retain(keep func(place.ID) bool) {
	t.entries = slices.DeleteFunc(t.entries, func(e entry) bool { return !keep(e.agent) })
	clear(t.index)
	for i := range t.entries {
		t.index[t.entries[i].agent] = i
	}
}

// entryOf returns the entry of an agent. It adds one if there is none.
func (t *Table) entryOf(agent place.ID) *entry {
	if i, ok := t.index[agent]; ok {
		return &t.entries[i]
	}
	if t.index == nil {
		t.index = make(map[place.ID]int)
	}
	t.index[agent] = len(t.entries)
	t.entries = append(t.entries, entry{agent: agent})
	return &t.entries[len(t.entries)-1]
}

// known returns the entry of an agent, nil if there is none.
func (t *Table) known(agent place.ID) *entry {
	if i, ok := t.index[agent]; ok {
		return &t.entries[i]
	}
	return nil
}

// sentSince returns the number of flows sent since the last report that still count.
func (e *entry) sentSince(now clock.Millis) int {
	if now-e.sentAt >= sentLife {
		return 0
	}
	return e.sent
}

// trust returns the weight of a report against the mean of the service.
func (e *entry) trust(now clock.Millis) float64 {
	age := max(0, now-e.reportedAt)
	if !e.hasReport || age >= reportLife {
		return 0
	}
	return float64(halfTrust) / float64(halfTrust+age)
}

// refresh calculates the mean and the median again if they are outdated.
func (t *Table) refresh(now clock.Millis) {
	if t.meanAt != 0 && now >= t.meanAt && now-t.meanAt < meanInterval {
		return
	}
	t.meanAt, t.mean, t.typical, t.reports, t.times = now, 0, 0, 0, t.times[:0]
	sum, weight := 0.0, 0.0
	for i := range t.entries {
		e := &t.entries[i]
		trust := e.trust(now)
		if trust == 0 {
			continue
		}
		t.reports++
		sum, weight = sum+trust*e.utilization, weight+trust
		if e.serviceTime > 0 {
			t.times = append(t.times, e.serviceTime)
		}
	}
	if weight > 0 {
		t.mean = sum / weight
	}
	if len(t.times) > 0 {
		slices.Sort(t.times)
		t.typical = t.times[len(t.times)/2]
	}
}

// TypicalTime returns the median of the servers' service times, 0 if none is known.
func (t *Table) TypicalTime(now clock.Millis) clock.Millis {
	t.refresh(now)
	return clock.Millis(t.typical)
}

// typicalOrDefault returns the median service time in milliseconds.
func (t *Table) typicalOrDefault() float64 {
	if t.typical == 0 {
		return defaultServiceTime
	}
	return t.typical
}

// estimate returns the estimated utilization of a server with an entry, which may be nil,
// and a number of slots. Call refresh before.
func (t *Table) estimate(now clock.Millis, e *entry, slots int) float64 {
	if e == nil {
		return t.mean
	}
	used := e.utilization
	if e.serviceTime > 0 && e.serviceTime*suspectFactor < t.typical {
		used *= t.typical / e.serviceTime
	}
	u := t.mean + (used-t.mean)*e.trust(now)
	return u + float64(e.sentSince(now))/float64(max(1, slots))
}

// spare returns the spare share of a server's slots by its utilization.
func spare(utilization float64) float64 {
	if utilization <= 0 {
		return 1
	}
	return max(1-utilization, crowded/utilization)
}

// Order sorts the candidates of a new flow by a draw that the flow's hash determines: the
// chance to come first grows with the estimated spare capacity. Balancers with the same
// reports so spread their flows, and copies of a SYN visit the servers in the same order.
// If keepFirst is set, the first candidate is near, and remains the first unless others
// have more spare capacity. The order remains if no report of a candidate is known.
func (t *Table) Order(now clock.Millis, hash uint64, candidates []Candidate, keepFirst bool) {
	candidates = candidates[:min(len(candidates), maxOrdered)]
	var entries [maxOrdered]*entry
	var keys [maxOrdered]float64
	nearest, anyReport := math.Inf(1), false
	for i, c := range candidates {
		e := t.known(c.Agent)
		if entries[i] = e; e == nil {
			nearest = 0
			continue
		}
		nearest = min(nearest, e.roundTrip)
		anyReport = anyReport || e.trust(now) > 0
	}
	if len(candidates) < 2 || !anyReport {
		return
	}
	t.refresh(now)
	first, best := 0.0, 0.0
	for i, c := range candidates {
		utilization := t.estimate(now, entries[i], c.Slots)
		if e := entries[i]; e != nil {
			// A longer way costs each request of the flow as much as that share of a service
			// time spent waiting.
			utilization += (e.roundTrip - nearest) / t.typicalOrDefault()
		}
		share := spare(utilization)
		if i == 0 {
			first = share
		}
		best = max(best, share)
		// The square makes the draw prefer servers more clearly than in proportion. In the
		// simulation this evened the load more, and as only a few candidates of each flow
		// compete, the flows did not herd.
		weight := share * share * float64(max(1, c.Slots))
		keys[i] = -math.Log(uniform(hash, uint64(c.Agent))) / weight
	}
	if keepFirst && (first >= roomy || uniform(hash, 0)*best*best < first*first) {
		keys[0] = 0
	}
	for i := 1; i < len(candidates); i++ {
		for j := i; j > 0 && keys[j] < keys[j-1]; j-- {
			keys[j], keys[j-1] = keys[j-1], keys[j]
			candidates[j], candidates[j-1] = candidates[j-1], candidates[j]
		}
	}
}

// QueuesEarly reports whether a new flow that busy servers have denied queues at the least
// busy of them rather than visit another one: its requests, in percent of its slots, are no
// more than those of the mean server, so another visit is as likely to find a longer queue.
func (t *Table) QueuesEarly(now clock.Millis, load int) bool {
	t.refresh(now)
	return t.reports >= minReports && t.mean >= queueFrom && float64(load)/100 <= t.mean+queueSlack*max(0, t.mean-fullQueue)
}

// uniform returns a number above 0 and up to 1 that the arguments determine. Its
// constants differ from those of package place, since the candidates have been chosen by
// their hashes there.
func uniform(hash, id uint64) float64 {
	x := (hash ^ 0x9e3779b97f4a7c15) + id*0xd1342543de82ef95
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11+1) / (1 << 53)
}

// Stats describes a Table for operators.
type Stats struct {
	Reports     int          // servers with a report that counts
	Age         clock.Millis // mean age of these reports
	Utilization float64      // mean of the service, 1 means that all slots are in use
	Spread      float64      // standard deviation of the estimates
}

// Stats returns the present values.
func (t *Table) Stats(now clock.Millis) Stats {
	t.refresh(now)
	s := Stats{Utilization: t.mean}
	age, squares := clock.Millis(0), 0.0
	for i := range t.entries {
		e := &t.entries[i]
		trust := e.trust(now)
		if trust == 0 {
			continue
		}
		s.Reports++
		age += now - e.reportedAt
		difference := (e.utilization - t.mean) * trust
		squares += difference * difference
	}
	if s.Reports > 0 {
		s.Age = age / clock.Millis(s.Reports)
		s.Spread = math.Sqrt(squares / float64(s.Reports))
	}
	return s
}
