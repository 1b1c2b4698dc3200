package steer_test

import (
	"net/netip"
	"slices"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// desk is one agent with a server of two slots that takes 24 ms for a request.
// Callers send their request at once and never give up before 1.4 s.
type desk struct {
	agent   *steer.Agent
	now     clock.Millis
	from    netip.AddrPort
	running map[keyType]clock.Millis // when a request ends
	queued  []keyType                // in the server
	arrived map[keyType]clock.Millis
	took    map[keyType]clock.Millis
	denied  map[keyType]steer.Reason
}

const workTime = 24 * clock.Millis(1)

func newDesk() *desk {
	return &desk{agent: &steer.Agent{Service: steer.ServiceOf("desk")}, now: 1_700_000_000_000,
		from: netip.MustParseAddrPort("10.9.0.1:7720"), running: map[keyType]clock.Millis{},
		arrived: map[keyType]clock.Millis{}, took: map[keyType]clock.Millis{}, denied: map[keyType]steer.Reason{}}
}

func (d *desk) arrive(port, priority int) {
	p := steer.Packet{Key: key(port), First: true}
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2, Goal: 100, Priority: priority, LastOffer: true}
	d.arrived[p.Key] = d.now
	d.opened(d.agent.FromBalancer(d.now, d.from, &m, p), p)
	if d.agent.Waiting() > 0 {
		d.agent.Keep([]byte("packet"))
	}
}

func (d *desk) opened(out steer.Outcome, p steer.Packet) {
	switch out.Verdict {
	case steer.Deny:
		d.denied[p.Key] = out.Reason
	case steer.Deliver:
		var m steer.Message
		d.agent.FromServer(d.now, steer.Packet{Key: p.Key, First: true, HasAck: true, Seq: 7}, &m)
		m = steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2}
		d.agent.FromBalancer(d.now, d.from, &m, steer.Packet{Key: p.Key, HasAck: true, Ack: 8, Seq: 1, Bytes: 10})
		d.queued = append(d.queued, p.Key)
		d.start()
	}
}

// start gives free slots to queued requests, first come first served.
func (d *desk) start() {
	for len(d.running) < 2 && len(d.queued) > 0 {
		d.running[d.queued[0]] = d.now + workTime
		d.queued = d.queued[1:]
	}
}

// step lets a millisecond pass.
func (d *desk) step() {
	d.now++
	for k, end := range d.running {
		if end > d.now {
			continue
		}
		delete(d.running, k)
		d.took[k] = d.now - d.arrived[k]
		var m steer.Message
		d.agent.FromServer(d.now, steer.Packet{Key: k, HasAck: true, Bytes: 10, Seq: 8}, &m)
	}
	d.start()
	d.agent.Tick(d.now)
	for {
		r, ok := d.agent.Release(d.now)
		if !ok {
			return
		}
		d.opened(r.Outcome, r.Packet)
	}
}

// The load after an outage: sixty callers come back at once, and new ones go on
// arriving at nine tenths of what the server bears. First come, first served
// would make everybody late for six hundred milliseconds.
func TestBacklogDoesNotMakeNewcomersLate(t *testing.T) {
	d := newDesk()
	for port := 1000; port < 1060; port++ {
		d.arrive(port, 0)
	}
	newcomers, inTime := 0, 0
	for ms := range 3000 {
		if ms >= 100 && ms < 1000 && ms%14 == 0 {
			d.arrive(3000+ms, 0)
			newcomers++
		}
		d.step()
	}
	for ms := range 3000 {
		if took, ok := d.took[key(3000+ms)]; ok && took <= 100 {
			inTime++
		}
	}
	assert.Assert(t, inTime*10 >= newcomers*9, "%d of %d newcomers in time", inTime, newcomers)
	for port := 1000; port < 1060; port++ {
		_, served := d.took[key(port)]
		assert.Assert(t, served || d.denied[key(port)] == steer.Overloaded, "caller %d got no answer", port)
	}
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	d := newDesk()
	for port := 1000; port < 1010; port++ {
		d.arrive(port, 2)
	}
	var waiting []int // not handed to the server yet
	for port := 1000; port < 1010; port++ {
		if _, running := d.running[key(port)]; !running && !slices.Contains(d.queued, key(port)) {
			waiting = append(waiting, port)
		}
	}
	assert.Equal(t, len(waiting), d.agent.Waiting())
	assert.Assert(t, len(waiting) > 4)
	d.arrive(2000, 0)
	for range 200 {
		d.step()
	}
	urgent := d.took[key(2000)]
	for _, port := range waiting {
		assert.Assert(t, d.took[key(port)] == 0 || d.took[key(port)] >= urgent)
	}
}

// A queue that cannot drain gives up its last waiter at once, so that nobody is
// held until the deadline.
func TestHopelessQueueGivesUpAtOnce(t *testing.T) {
	d := newDesk()
	for range 20 { // so that the agent knows what a request takes
		d.arrive(100+int(d.now%50), 0)
		for range 30 {
			d.step()
		}
	}
	for port := 1000; port < 1300; port++ {
		d.arrive(port, 0)
	}
	d.step()
	assert.Assert(t, len(d.denied) >= 100, "%d denied", len(d.denied))
	// Two slots bear 50 requests of 24 ms within the 600 ms that one may wait.
	assert.Assert(t, d.agent.Waiting() >= 40, "%d wait", d.agent.Waiting())
}

func TestCopyOfAWaitingPacketIsAbsorbed(t *testing.T) {
	d := newDesk()
	for port := 1000; port < 1010; port++ {
		d.arrive(port, 0)
	}
	waiting := d.agent.Waiting()
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2}
	out := d.agent.FromBalancer(d.now, d.from, &m, steer.Packet{Key: key(1009), First: true, Copy: 1})
	assert.Equal(t, out.Verdict, steer.Drop)
	assert.Equal(t, out.Hold, d.from)
	assert.Equal(t, d.agent.Waiting(), waiting)
}

func TestFlowThatBringsNoRequestFreesItsSlot(t *testing.T) {
	agent := &steer.Agent{Service: steer.ServiceOf("desk")}
	from, now := netip.MustParseAddrPort("10.9.0.1:7720"), clock.Millis(1000)
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2}
	agent.FromBalancer(now, from, &m, steer.Packet{Key: key(1), First: true})
	agent.FromServer(now, steer.Packet{Key: key(1), First: true, HasAck: true}, &m)
	assert.Equal(t, agent.Load(), 1)
	agent.Tick(now + 30)
	assert.Equal(t, agent.Load(), 0)
}

func TestAgentTellsHowRequestsWereAnswered(t *testing.T) {
	type answer struct{ took, goal clock.Millis }
	for _, row := range []struct {
		name       string
		after      clock.Millis // until the answer, 0 for none
		answers    []answer
		unanswered int
	}{
		{"in time", 30, []answer{{30, 200}}, 0},
		{"late", 700, []answer{{700, 200}}, 0},
		{"never", 0, nil, 1},
	} {
		var answers []answer
		unanswered := 0
		a := &steer.Agent{Service: steer.ServiceOf("desk"), Unanswered: func() { unanswered++ },
			Answered: func(took, goal clock.Millis) { answers = append(answers, answer{took, goal}) }}
		from, now := netip.MustParseAddrPort("10.9.0.1:7720"), clock.Millis(1_000_000)
		m := steer.Message{Service: a.Service, Revision: 1, Slots: 2, Goal: 200}
		a.FromBalancer(now, from, &m, steer.Packet{Key: key(1), First: true})
		a.FromServer(now, steer.Packet{Key: key(1), First: true, HasAck: true, Seq: 100}, &m)
		a.FromBalancer(now, from, &m, steer.Packet{Key: key(1), HasAck: true, Ack: 101, Seq: 2, Bytes: 100})
		if row.after > 0 {
			a.FromServer(now+row.after, steer.Packet{Key: key(1), HasAck: true, Bytes: 100}, &m)
		}
		a.Tick(now + 20*clock.Second)
		assert.Assert(t, slices.Equal(answers, row.answers), "%s: %v", row.name, answers)
		assert.Equal(t, unanswered, row.unanswered, row.name)
	}
}
