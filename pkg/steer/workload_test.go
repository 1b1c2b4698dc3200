package steer_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/sched"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// workload simulates callers, agents and servers of one service. Callers with long flows
// send each request on an idle flow and open one if there is none; the others open a flow
// for each request. A SYN visits four random servers and is last offered to the least busy.
type workload struct {
	allWork bool
	order   sched.Order
	slots   int
	servers int
	classes [2]demand // of long flows, and of one flow for each request
	load    func(now clock.Millis) float64
	// outageFrom and outageTo bound a time in which no server runs. All callers of that
	// time return at its end.
	outageFrom, outageTo clock.Millis

	now     clock.Millis
	random  *rand.Rand
	events  eventHeap
	agents  []*simServer
	idle    []*simFlow // long flows
	results [2]result
	port    int
	number  int
}

// demand is the load of one class of requests at one server.
type demand struct {
	perSecond                float64 // by all servers
	work, goal, limit        clock.Millis
	priority                 int
	valueInTime, valueIfLate float64
}

// result counts how requests of a class ended.
type result struct{ inTime, late, failed int }

func (r result) total() int { return r.inTime + r.late + r.failed }

// share returns the value reached of the value owed.
func (r result) share(d demand) float64 {
	return (float64(r.inTime)*d.valueInTime + float64(r.late)*d.valueIfLate) / (float64(r.total()) * d.valueInTime)
}

// simRequest is one request of a caller, with all its attempts.
type simRequest struct {
	class    int
	sent     clock.Millis
	work     clock.Millis
	attempts int
	ended    bool
}

// simFlow is a flow of a caller.
type simFlow struct {
	key     flowKey
	server  *simServer
	seq     uint32
	request *simRequest // in progress, nil if idle
	broken  bool
	runs    int // requests that the server received since the flow opened
}

type simServer struct {
	agent   *steer.Agent
	running int
	queued  []*simFlow
	flows   map[flowKey]*simFlow
	epoch   int // rises when the server starts again
}

type event struct {
	at  clock.Millis
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

const (
	simDelay  = 3 * clock.Millis(1) // one way between a caller and a server, by a balancer
	simQueue  = 4                   // requests that a server queues, by slot
	retryWait = 50 * clock.Millis(1)
	coldTime  = 2 * clock.Second // of a server that has just started
	coldSpeed = 1.6
)

var simBalancer = netip.MustParseAddrPort("10.9.0.1:7720")

// after schedules a call.
func (w *workload) after(delay clock.Millis, run func()) {
	w.number++
	heap.Push(&w.events, event{w.now + delay, w.number, run})
}

// run plays the load for a time and lets all requests end.
func (w *workload) run(seed uint64, length clock.Millis) {
	w.random = rand.New(rand.NewPCG(seed, 7))
	w.now = 1_700_000_000_000
	start := w.now
	w.start()
	for class := range w.classes {
		w.arrive(class, start, rand.New(rand.NewPCG(seed, uint64(class))), start+length)
	}
	if w.outageTo > 0 {
		w.after(w.outageFrom, w.crash)
		w.after(w.outageTo, w.restart)
	}
	for len(w.events) > 0 && w.now < start+length+10*clock.Second {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
}

func (w *workload) start() {
	for range w.servers {
		s := &simServer{agent: &steer.Agent{Service: steer.ServiceOf("desk"), AllWork: w.allWork, Order: w.order}, flows: map[flowKey]*simFlow{}}
		w.agents = append(w.agents, s)
		var tick func()
		tick = func() {
			s.agent.Tick(w.now)
			w.release(s)
			w.after(20, tick)
		}
		w.after(0, tick)
	}
}

func (w *workload) down() bool {
	t := w.now - 1_700_000_000_000
	return w.outageTo > 0 && t >= w.outageFrom && t < w.outageTo
}

// crash ends all servers and their flows.
func (w *workload) crash() {
	for _, s := range w.agents {
		for _, f := range s.flows {
			f.broken = true
		}
		s.flows, s.queued, s.running = map[flowKey]*simFlow{}, nil, 0
		s.epoch++
	}
	w.idle = nil
}

func (w *workload) restart() {
	for _, s := range w.agents {
		s.agent = &steer.Agent{Service: steer.ServiceOf("desk"), AllWork: w.allWork, Order: w.order}
	}
}

// arrive schedules the next request of a class.
func (w *workload) arrive(class int, start clock.Millis, random *rand.Rand, end clock.Millis) {
	d := w.classes[class]
	rate := d.perSecond * float64(w.servers) * w.load(w.now-start) / 1000
	w.after(clock.Millis(random.ExpFloat64()/rate+random.Float64()), func() {
		if w.now > end {
			return
		}
		work := d.work
		if random.IntN(100) < 3 {
			work *= 7
		}
		r := &simRequest{class: class, sent: w.now, work: work}
		w.after(d.limit, func() { w.finish(r, 0) })
		w.attempt(r)
		w.arrive(class, start, random, end)
	})
}

// finish counts the end of a request, once; took is 0 if it has failed.
func (w *workload) finish(r *simRequest, took clock.Millis) {
	if r.ended {
		return
	}
	r.ended = true
	switch {
	case took == 0:
		w.results[r.class].failed++
	case took <= w.classes[r.class].goal:
		w.results[r.class].inTime++
	default:
		w.results[r.class].late++
	}
}

// attempt sends a request on an idle flow or opens one. A request has three attempts.
func (w *workload) attempt(r *simRequest) {
	if r.ended {
		return
	}
	if w.down() { // callers return together when the servers do
		w.after(clock.Millis(w.random.IntN(100))+w.outageTo-(w.now-1_700_000_000_000), func() { w.attempt(r) })
		return
	}
	if r.attempts == 3 {
		w.finish(r, 0)
		return
	}
	r.attempts++
	if r.class == 0 && len(w.idle) > 0 {
		i := w.random.IntN(len(w.idle))
		f := w.idle[i]
		w.idle[i] = w.idle[len(w.idle)-1]
		w.idle = w.idle[:len(w.idle)-1]
		f.request = r
		w.after(simDelay, func() { w.sendRequest(f, r) })
		return
	}
	w.port++
	f := &simFlow{key: key(w.port), seq: 1, request: r}
	m := w.offer(r)
	w.visit(f, r, m, w.random.Perm(w.servers), nil, 0)
}

func (w *workload) offer(r *simRequest) steer.Message {
	d := w.classes[r.class]
	return steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: w.slots, Goal: d.goal, TimeLimit: d.limit, Priority: d.priority}
}

// visit offers a SYN to the next server.
func (w *workload) visit(f *simFlow, r *simRequest, m steer.Message, order []int, leastBusy *simServer, leastLoad int) {
	if m.LastOffer && leastBusy == nil {
		w.after(simDelay+retryWait, func() { w.attempt(r) })
		return
	}
	s := leastBusy
	if !m.LastOffer {
		s = w.agents[order[0]]
	}
	w.after(simDelay, func() {
		p := steer.Packet{Key: f.key, SYN: true}
		sent := m
		out := s.agent.FromBalancer(w.now, simBalancer, &m, p)
		switch {
		case out.Verdict == steer.Deny && !sent.LastOffer:
			if m.Reason == steer.Busy && (leastBusy == nil || m.Load < leastLoad) {
				leastBusy, leastLoad = s, m.Load
			}
			sent.LastOffer = len(order) == 1 || len(order) <= w.servers-3
			w.visit(f, r, sent, order[1:], leastBusy, leastLoad)
		case out.Verdict == steer.Wait:
			s.agent.KeepRaw([]byte("packet"))
			f.server = s
			s.flows[f.key] = f
		default:
			f.server = s
			s.flows[f.key] = f
			w.handle(s, out, p)
		}
		w.release(s)
	})
}

// sendRequest sends the data of a request on an open flow, and retransmits it.
func (w *workload) sendRequest(f *simFlow, r *simRequest) {
	s := f.server
	f.seq += 100
	p := steer.Packet{Key: f.key, HasACK: true, Ack: 8, Seq: f.seq, Bytes: 100}
	send := func() {
		if f.broken || r.ended || f.request != r {
			return
		}
		m := w.offer(r)
		out := s.agent.FromBalancer(w.now, simBalancer, &m, p)
		if out.Verdict == steer.Wait {
			s.agent.KeepRaw([]byte("packet"))
		} else {
			w.handle(s, out, p)
		}
		w.release(s)
	}
	send()
	w.after(200, send)
	w.after(600, send)
	w.after(max(0, r.sent+w.classes[r.class].limit-w.now), func() {
		if f.request == r && !f.broken { // the caller gives up
			w.abort(f)
		}
	})
}

// abort ends a flow with a reset of its caller.
func (w *workload) abort(f *simFlow) {
	f.broken = true
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: w.slots}
	f.server.agent.FromBalancer(w.now, simBalancer, &m, steer.Packet{Key: f.key, RST: true, HasACK: true, Ack: 8, Seq: f.seq + 100})
	delete(f.server.flows, f.key)
	w.release(f.server)
}

// release carries out what an agent decides on held packets.
func (w *workload) release(s *simServer) {
	for {
		r, ok := s.agent.Release(w.now)
		if !ok {
			return
		}
		w.handle(s, r.Outcome, r.Packet)
	}
}

// handle carries out an agent's decision on a caller's packet.
func (w *workload) handle(s *simServer, out steer.Outcome, p steer.Packet) {
	f := s.flows[p.Key]
	if f == nil || f.broken {
		return
	}
	r := f.request
	switch {
	case out.Verdict == steer.Deny:
		delete(s.flows, p.Key)
		w.after(simDelay+retryWait, func() { w.attempt(r) })
	case out.Verdict != steer.Deliver:
	case p.SYN:
		var m steer.Message
		s.agent.FromServer(w.now, steer.Packet{Key: p.Key, SYN: true, HasACK: true, Seq: 7}, &m)
		w.after(2*simDelay, func() {
			if r.ended {
				w.abort(f)
				return
			}
			w.sendRequest(f, r)
		})
	case int(p.Seq) > 100*f.runs+1:
		f.runs++
		if s.running < w.slots {
			w.execute(s, f)
		} else if len(s.queued) < simQueue*w.slots {
			s.queued = append(s.queued, f)
		} else {
			w.answer(s, f, false)
		}
	}
}

// execute runs the request of a flow in a slot.
func (w *workload) execute(s *simServer, f *simFlow) {
	s.running++
	work := f.request.work
	if w.outageTo > 0 && w.now-1_700_000_000_000 >= w.outageTo && w.now-1_700_000_000_000 < w.outageTo+coldTime {
		work = clock.Millis(float64(work) * coldSpeed)
	}
	epoch := s.epoch
	w.after(work, func() {
		if s.epoch != epoch {
			return
		}
		s.running--
		w.answer(s, f, true)
		for s.running < w.slots && len(s.queued) > 0 {
			next := s.queued[0]
			s.queued = s.queued[1:]
			if !next.broken {
				w.execute(s, next)
			}
		}
	})
}

// answer sends the server's answer; served is false if the server has shed the request.
func (w *workload) answer(s *simServer, f *simFlow, served bool) {
	var m steer.Message
	if f.broken {
		return
	}
	s.agent.FromServer(w.now, steer.Packet{Key: f.key, HasACK: true, Bytes: 10, Seq: 8}, &m)
	r := f.request
	w.after(simDelay, func() {
		if served {
			w.finish(r, w.now-r.sent)
		} else {
			w.after(retryWait, func() { w.attempt(r) })
		}
		f.request = nil
		if f.broken {
			return
		}
		if r.class == 0 {
			w.idle = append(w.idle, f)
		} else {
			w.abort(f)
		}
	})
	w.release(s)
}

// twoSlotDemand and fourSlotDemand are the demands of one server of each deployment of LOAD.md.
var (
	twoSlotDemand  = [2]demand{{31.2, 22, 200, 1500, 2, 1, 0.3}, {8.9, 29, 250, 2000, 1, 2, 0.6}}
	fourSlotDemand = [2]demand{{27.1, 34, 300, 1500, 2, 1, 0.5}, {7.7, 44, 300, 2000, 1, 2, 1}}
)

// bursts returns a load that is 1, with a burst of the factor for some time in each 20 s.
func bursts(factor float64, length clock.Millis) func(clock.Millis) float64 {
	return func(now clock.Millis) float64 {
		if at := now % (20 * clock.Second); at >= 5*clock.Second && at < 5*clock.Second+length {
			return factor
		}
		return 1
	}
}

// scenario is a load that the servers cannot serve whole.
type scenario struct {
	name                 string
	classes              [2]demand
	slots                int
	load                 func(clock.Millis) float64
	outageFrom, outageTo clock.Millis
}

var scenarios = []scenario{
	{"2 slots, burst of 1.6 for 7 s", twoSlotDemand, 2, bursts(1.6, 7000), 0, 0},
	{"2 slots, burst of 2.0 for 5 s", twoSlotDemand, 2, bursts(2, 5000), 0, 0},
	{"2 slots, burst of 2.6 for 3 s", twoSlotDemand, 2, bursts(2.6, 3000), 0, 0},
	{"2 slots, burst of 2.6 for 7 s", twoSlotDemand, 2, bursts(2.6, 7000), 0, 0},
	{"4 slots, burst of 2.6 for 7 s", fourSlotDemand, 4, bursts(2.6, 7000), 0, 0},
	{"return after outage, load of 1.6", twoSlotDemand, 2, bursts(1.6, 20000), 20_000, 23_000},
}

// outcome is how a scenario ended.
type outcome struct {
	results  [2]result
	shares   [2]float64 // of the value owed
	mean     float64    // of all
	inTime   int
	requests int
}

// play plays a scenario of 40 s.
func (s scenario) play(allWork bool, order sched.Order, seed uint64) (o outcome) {
	w := &workload{allWork: allWork, order: order, slots: s.slots, servers: 6, classes: s.classes, load: s.load, outageFrom: s.outageFrom, outageTo: s.outageTo}
	w.run(seed, 40*clock.Second)
	value, owed := 0.0, 0.0
	for class, r := range w.results {
		d := s.classes[class]
		o.results[class], o.shares[class] = r, r.share(d)
		value += r.share(d) * d.valueInTime * float64(r.total())
		owed += d.valueInTime * float64(r.total())
		o.inTime += r.inTime
		o.requests += r.total()
	}
	o.mean = value / owed
	return o
}

// With requests of open flows beyond the agent's choice one class paid for the other, and
// with strict priority too. The default order must leave no class under 0.97 of the mean
// while any is above 0.90, and serve as many callers in time as without it.
func TestQueueForAllWorkIsFairAndServesNoLess(t *testing.T) {
	before, after := 0, 0
	gain := 0.0
	for _, s := range scenarios {
		old, o := s.play(false, 0, 1), s.play(true, sched.EvenMisses, 1)
		if max(o.shares[0], o.shares[1]) > 0.9 {
			assert.Assert(t, min(o.shares[0], o.shares[1]) >= 0.97*o.mean, "%s: %.3f of %.3f", s.name, o.shares, o.mean)
		}
		assert.Assert(t, o.inTime*100 >= old.inTime*98, "%s: %d in time, %d without", s.name, o.inTime, old.inTime)
		before, after, gain = before+old.inTime, after+o.inTime, gain+o.mean-old.mean
	}
	assert.Assert(t, after >= before, "%d in time, %d without", after, before)
	assert.Assert(t, gain > 0.05, "%.3f", gain)
}

// Compares the orders: value and requests in time, late and failed, of long flows and of
// flows for one request.
func BenchmarkQueueOrders(b *testing.B) {
	for _, s := range scenarios {
		for mode := -1; mode <= int(sched.WeightedTurns); mode++ {
			name := "nothing held"
			if mode >= 0 {
				name = sched.Order(mode).String()
			}
			b.Run(s.name+"/"+name, func(b *testing.B) {
				var o outcome
				for b.Loop() {
					o = s.play(mode >= 0, sched.Order(max(0, mode)), 1)
				}
				b.ReportMetric(o.mean, "value")
				for class, kind := range []string{"long", "single"} {
					r := o.results[class]
					b.ReportMetric(o.shares[class], kind+"-value")
					b.ReportMetric(float64(r.inTime), kind+"-in-time")
					b.ReportMetric(float64(r.late), kind+"-late")
					b.ReportMetric(float64(r.failed), kind+"-failed")
				}
			})
		}
	}
}
