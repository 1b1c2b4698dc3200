// Package roomsim_test simulates how balancers choose servers for new flows when what they know
// of the servers is seconds old. It compares the order of package room with others, which
// it implements itself. Balancers, agents and servers are reduced to what bears on load:
// flows that stay open are pinned to their servers, new ones visit up to four candidates,
// and messages take time and can be lost. A run is determined by its seed.
package roomsim_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/room"
)

// Policy is a way to choose the order of a new flow's visits.
type Policy struct {
	Name string
	// Order is how the first candidates are ordered.
	Order Order
	// QueueEarly ends the visits where room.Table.QueuesEarly says so.
	QueueEarly bool
	// SecondLocal puts a second server of the own data centre among the candidates.
	SecondLocal bool
	// AllServers makes all servers candidates, for the first visits of a flow.
	AllServers bool
}

// Order is a way to order the first candidates of a flow.
type Order uint8

// Orders.
const (
	ByHash      Order = iota // by the flow's hash alone
	ByRoom                   // by room.Table
	Oracle                   // by the present load, which no balancer knows
	LeastLoaded              // by the load in the last message of each agent
	ByToken                  // servers first that have sent a token when they fell idle (join idle queue)
)

// Scenario is the load and the servers of a run. Times are in milliseconds.
type Scenario struct {
	Name                string
	Balancers, Servers  int
	Slots, Queue        int     // of each server
	Between             float64 // one-way delay between data centres
	LongRate, ShortRate float64 // requests per second
	LongWork, ShortWork float64
	LongGoal, ShortGoal float64
	Load                float64 // factor on both rates
	Waves               float64 // relative change of the data centres' demand, one after another
	Slow                float64 // factor of the first server's service time, 0 for none
	Failing             bool    // the first server answers each request with an error after failingTime
	Joining             int     // servers that join at joinTime; the first of them is cold
	JoiningBalancer     bool    // the first balancer loses what it knows at joinTime
	Lost                float64 // share of agents' messages whose report is lost
}

// Result is what a run has measured.
type Result struct {
	Deviation float64 // of the servers' busy shares in windows of 200 ms, mean over the windows
	Peak      float64 // busiest server over the mean in these windows
	Long      float64 // standard deviation of the busy shares in windows of 2 s
	Denials   float64 // per opening
	Messages  float64 // per opening, tokens included
	ShortWait float64 // mean time to the start of the service of flows with one request
	LongWait  float64 // the same of requests on open flows
	Late      float64 // share of the requests that miss their goal or are refused
}

const (
	maxServers    = 64 // of a scenario
	seconds       = 40
	warmUp        = 10_000.0 // long flows are then as many as later
	joinTime      = 15_000.0
	coldTime      = 2_000.0
	coldFactor    = 1.6
	failingTime   = 2.0
	flowRate      = 2.0    // requests per second on a long flow
	flowLife      = 20_000 // mean
	dataCentres   = 3
	withinCentre  = 0.3
	toCaller      = 1.0
	visits        = 4
	maxHeld       = 600.0 // a SYN is refused after it was held so long
	wavePeriod    = 12_000.0
	window        = 200.0
	longWindow    = 2_000.0
	averagingTime = 1_000.0 // of an agent's utilization
)

// event is something that happens at a time.
type event struct {
	at  float64
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// server is a backend server with its agent.
type server struct {
	id        place.ID
	centre    int
	joinedAt  float64
	slow      float64
	running   int
	waiting   []func()   // requests in the server's queue
	reserved  int        // flows that were accepted and whose request has not come
	held      []*newFlow // by the agent
	average   float64    // utilization
	since     float64    // of the present load
	service   float64    // mean service time
	busy      [2]float64 // slot-milliseconds in the present windows
	busySince float64
}

type balancer struct {
	centre int
	table  room.Table
	load   map[place.ID]float64 // of the last message
	tokens []place.ID
}

type newFlow struct {
	b         *balancer
	hash      uint64
	long      bool
	work      float64
	start     float64
	visited   []place.ID
	leastBusy *server
	leastLoad float64
	last      bool
}

type world struct {
	s         Scenario
	p         Policy
	r         *rand.Rand
	now       float64
	seq       int
	queue     events
	servers   map[place.ID]*server
	order     []*server
	balancers []*balancer
	all       place.Table
	local     [dataCentres]place.Table

	result                                 Result
	opened, shortDone, longDone, late, due float64
	windows, longWindows                   float64
}

// Run simulates a scenario under a policy.
func Run(s Scenario, p Policy, seed uint64) Result {
	w := &world{s: s, p: p, r: rand.New(rand.NewPCG(seed, 1)), servers: make(map[place.ID]*server)}
	for i := range s.Servers {
		v := &server{id: place.ID(i + 1), centre: i % dataCentres, slow: 1}
		if i >= s.Servers-s.Joining {
			v.joinedAt = joinTime
		}
		if i == 0 && s.Slow > 0 {
			v.slow = s.Slow
		}
		w.servers[v.id] = v
		w.order = append(w.order, v)
	}
	for i := range s.Balancers {
		w.balancers = append(w.balancers, &balancer{centre: i % dataCentres, load: make(map[place.ID]float64)})
	}
	w.list()
	w.at(joinTime, func() {
		w.list()
		if s.JoiningBalancer {
			w.balancers[0] = &balancer{centre: w.balancers[0].centre, load: make(map[place.ID]float64)}
		}
	})
	w.arrive(true, s.LongRate*s.Load/flowRate*1000/flowLife)
	w.arrive(false, s.ShortRate*s.Load)
	w.measure(0, window)
	w.measure(1, longWindow)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if w.now = e.at; w.now >= seconds*1000 {
			break
		}
		e.run()
	}
	r := w.result
	r.Deviation, r.Peak, r.Long = r.Deviation/w.windows, r.Peak/w.windows, r.Long/w.longWindows
	r.Denials, r.Messages = r.Denials/w.opened, r.Messages/w.opened
	r.ShortWait, r.LongWait, r.Late = r.ShortWait/w.shortDone, r.LongWait/w.longDone, w.late/w.due
	return r
}

// Mean returns the mean of the results of several runs.
func Mean(all []Result) Result {
	var sum Result
	n := float64(len(all))
	for _, r := range all {
		sum.Deviation += r.Deviation / n
		sum.Peak += r.Peak / n
		sum.Long += r.Long / n
		sum.Denials += r.Denials / n
		sum.Messages += r.Messages / n
		sum.ShortWait += r.ShortWait / n
		sum.LongWait += r.LongWait / n
		sum.Late += r.Late / n
	}
	return sum
}

// at runs something after a delay.
func (w *world) at(delay float64, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + delay, w.seq, run})
}

func (w *world) millis() clock.Millis { return 1_700_000_000_000 + clock.Millis(w.now) }

func (w *world) measuring() bool { return w.now >= warmUp }

// list builds the tables of the servers that have joined.
func (w *world) list() {
	var all []place.Member
	var local [dataCentres][]place.Member
	for _, v := range w.order {
		if v.joinedAt <= w.now {
			m := place.Member{ID: v.id, Weight: w.s.Slots}
			all, local[v.centre] = append(all, m), append(local[v.centre], m)
		}
	}
	w.all = place.New(all)
	for i := range local {
		w.local[i] = place.New(local[i])
	}
}

// arrive lets new flows arrive, rate a second. Each data centre's share follows the waves.
func (w *world) arrive(long bool, rate float64) {
	top := rate * (1 + w.s.Waves)
	w.at(w.r.ExpFloat64()*1000/top, func() {
		b := w.balancers[w.r.IntN(len(w.balancers))]
		wave := 1 + w.s.Waves*math.Sin(2*math.Pi*(w.now/wavePeriod+float64(b.centre)/dataCentres))
		if w.r.Float64()*(1+w.s.Waves) < wave {
			work := w.s.ShortWork
			if long {
				work = w.s.LongWork
			}
			w.visit(&newFlow{b: b, hash: w.r.Uint64(), long: long, work: work, start: w.now})
		}
		w.arrive(long, rate)
	})
}

// delay returns the time that a message takes between a balancer and an agent.
func (w *world) delay(b *balancer, v *server) float64 {
	if b.centre == v.centre {
		return withinCentre
	}
	return withinCentre + w.s.Between
}

// candidates returns the servers that a flow visits before it queues. The first is local.
func (w *world) candidates(f *newFlow) []place.ID {
	near, limit := 1, visits
	if w.p.SecondLocal {
		near = 2
	}
	if w.p.AllServers {
		limit = w.all.Len()
	}
	ranked := make([]place.ID, near, limit)
	ranked = ranked[:w.local[f.b.centre].Rank(f.hash, ranked)]
	var rest [maxServers]place.ID
	for _, id := range rest[:w.all.Rank(f.hash, rest[:min(limit+near, maxServers)])] {
		if !slices.Contains(ranked, id) && len(ranked) < limit {
			ranked = append(ranked, id)
		}
	}
	return ranked
}

// visit sends a flow to its next candidate, or to the least busy one.
func (w *world) visit(f *newFlow) {
	ids := w.candidates(f)
	w.sort(f, ids)
	for _, id := range ids {
		if len(f.visited) == visits {
			break
		}
		if slices.Contains(f.visited, id) {
			continue
		}
		if w.p.QueueEarly && f.leastBusy != nil && f.b.table.QueuesEarly(w.millis(), int(100*f.leastLoad)) {
			break
		}
		w.offer(f, w.servers[id])
		return
	}
	f.last = true
	w.offer(f, f.leastBusy)
}

// sort orders the candidates by the policy.
func (w *world) sort(f *newFlow, ids []place.ID) {
	switch w.p.Order {
	case ByRoom:
		var cs []room.Candidate
		for _, id := range ids {
			cs = append(cs, room.Candidate{Agent: id, Slots: w.s.Slots})
		}
		f.b.table.Order(w.millis(), f.hash, cs, true)
		for i, c := range cs {
			ids[i] = c.Agent
		}
	case LeastLoaded:
		slices.SortStableFunc(ids, func(a, b place.ID) int { return int(1000 * (f.b.load[a] - f.b.load[b])) })
	case Oracle:
		slices.SortStableFunc(ids, func(a, b place.ID) int { return w.servers[a].load() - w.servers[b].load() })
	case ByToken:
		for i, token := range f.b.tokens {
			if at := slices.Index(ids, token); at >= 0 {
				copy(ids[1:at+1], ids[:at])
				ids[0] = token
				f.b.tokens = slices.Delete(f.b.tokens, i, i+1)
				return
			}
		}
	}
}

// offer sends a flow to a server's agent.
func (w *world) offer(f *newFlow, v *server) {
	f.b.table.RecordSent(w.millis(), v.id)
	w.countMessages(1)
	sent := w.now
	w.at(w.delay(f.b, v), func() {
		w.observe(v)
		switch load := v.load(); {
		case load < w.s.Slots:
			w.accept(f, v)
			w.answer(f, v, 0)
		case f.last && load < w.s.Slots+max(2, w.s.Slots/4):
			w.accept(f, v)
			w.answer(f, v, 0)
		case f.last:
			v.held = append(v.held, f)
			w.answer(f, v, 0)
			w.at(maxHeld, func() { w.refuseHeld(f, v) })
		default:
			if w.measuring() {
				w.result.Denials++
			}
			reported := float64(load) / float64(w.s.Slots)
			w.answer(f, v, sent)
			w.at(w.delay(f.b, v), func() {
				f.visited = append(f.visited, v.id)
				if f.leastBusy == nil || reported < f.leastLoad {
					f.leastBusy, f.leastLoad = v, reported
				}
				w.visit(f)
			})
		}
	})
}

// answer sends the agent's report to the balancer with a message that is sent anyway. For a
// denial, sent is when the offer was sent.
func (w *world) answer(f *newFlow, v *server, sent float64) {
	w.countMessages(1)
	utilization, took, load := v.average, v.service, float64(v.load())
	if w.r.Float64() < w.s.Lost {
		return
	}
	known := w.now-v.joinedAt >= averagingTime
	w.at(w.delay(f.b, v), func() {
		if known {
			f.b.table.Record(w.millis(), v.id, room.Report{Utilization: int(100 * utilization), ServiceTime: clock.Millis(took)})
		}
		f.b.load[v.id] = load
		if sent > 0 {
			f.b.table.RecordRoundTrip(v.id, clock.Millis(w.now-sent))
		}
	})
}

func (w *world) countMessages(n float64) {
	if w.measuring() {
		w.result.Messages += n
	}
}

// load returns the number of requests that an agent counts.
func (v *server) load() int { return v.running + len(v.waiting) + v.reserved + len(v.held) }

// observe adds the time since the last change to the averages. Call it before each.
func (w *world) observe(v *server) {
	keep := math.Exp(-(w.now - v.since) / averagingTime)
	v.average = v.average*keep + min(16, float64(v.load())/float64(w.s.Slots))*(1-keep)
	v.since = w.now
	for i := range v.busy {
		v.busy[i] += float64(v.running) * (w.now - v.busySince)
	}
	v.busySince = w.now
}

// accept delivers a flow to its server. Its request comes after a round trip to the caller.
func (w *world) accept(f *newFlow, v *server) {
	if w.measuring() {
		w.opened++
	}
	v.reserved++
	w.at(2*toCaller+w.delay(f.b, v), func() {
		w.observe(v)
		v.reserved--
		w.request(v, f.work, f.start, f.long)
	})
	if f.long {
		w.nextRequest(f, v, w.now+w.r.ExpFloat64()*flowLife)
	}
}

// nextRequest sends the further requests of a long flow.
func (w *world) nextRequest(f *newFlow, v *server, until float64) {
	w.at(w.r.ExpFloat64()*1000/flowRate, func() {
		if w.now >= until {
			return
		}
		sent := w.now
		w.at(w.delay(f.b, v), func() {
			w.observe(v)
			w.request(v, f.work, sent, true)
		})
		w.nextRequest(f, v, until)
	})
}

// request queues a request in the server, or sheds it.
func (w *world) request(v *server, work, sent float64, long bool) {
	factor := 1.0
	if w.r.Float64() < 0.03 {
		factor = 7
	}
	if v.joinedAt > 0 && w.now-v.joinedAt < coldTime {
		factor *= coldFactor
	}
	took := work * factor * v.slow
	failing := w.s.Failing && v == w.order[0]
	if failing {
		took = failingTime
	}
	run := func() {
		v.running++
		waited := w.now - sent
		arrived := w.now
		w.at(took, func() {
			w.observe(v)
			v.running--
			w.finish(v, waited, w.now-sent, w.now-arrived, long, failing)
		})
	}
	switch {
	case v.running < w.s.Slots:
		run()
	case len(v.waiting) < w.s.Queue:
		v.waiting = append(v.waiting, run)
	case w.measuring():
		w.late++
		w.due++
	}
}

// finish ends a request and starts what waits.
func (w *world) finish(v *server, waited, total, took float64, long, failing bool) {
	v.service += (took - v.service) * 0.1
	goal := w.s.ShortGoal
	if long {
		goal = w.s.LongGoal
	}
	if w.measuring() {
		w.due++
		if total > goal || failing {
			w.late++
		}
		if long {
			w.result.LongWait += waited
			w.longDone++
		} else {
			w.result.ShortWait += waited
			w.shortDone++
		}
	}
	if len(v.waiting) > 0 {
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		next()
	}
	for len(v.held) > 0 && v.load()-len(v.held) < w.s.Slots+max(2, w.s.Slots/4) {
		f := v.held[0]
		v.held = v.held[1:]
		w.accept(f, v)
	}
	if w.p.Order == ByToken && v.load() < w.s.Slots {
		b := w.balancers[w.r.IntN(len(w.balancers))]
		w.countMessages(1)
		w.at(w.delay(b, v), func() {
			if !slices.Contains(b.tokens, v.id) {
				b.tokens = append(b.tokens, v.id)
			}
		})
	}
}

// refuseHeld refuses a flow that has been held for too long.
func (w *world) refuseHeld(f *newFlow, v *server) {
	if at := slices.Index(v.held, f); at >= 0 {
		w.observe(v)
		v.held = slices.Delete(v.held, at, at+1)
		if w.measuring() {
			w.late++
			w.due++
		}
	}
}

// measure ends a window of the busy shares and begins the next one.
func (w *world) measure(which int, length float64) {
	w.at(length, func() {
		var shares []float64
		sum, top := 0.0, 0.0
		for _, v := range w.order {
			w.observe(v)
			share := v.busy[which] / length / float64(w.s.Slots)
			v.busy[which] = 0
			if v.joinedAt < w.now-length {
				shares = append(shares, share)
				sum, top = sum+share, max(top, share)
			}
		}
		if w.measuring() {
			mean, squares := sum/float64(len(shares)), 0.0
			for _, share := range shares {
				squares += (share - mean) * (share - mean)
			}
			deviation := math.Sqrt(squares / float64(len(shares)))
			if which == 0 {
				w.result.Deviation += deviation
				w.result.Peak += top / mean
				w.windows++
			} else {
				w.result.Long += deviation
				w.longWindows++
			}
		}
		w.measure(which, length)
	})
}
