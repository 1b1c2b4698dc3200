package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// holder is an agent with AllWork whose server has two slots, and open flows.
type holder struct {
	*steer.Agent
	now  clock.Millis
	from netip.AddrPort
}

func newHolder(flows int) *holder {
	h := &holder{Agent: &steer.Agent{Service: steer.ServiceOf("desk"), AllWork: true}, now: 1_700_000_000_000, from: netip.MustParseAddrPort("10.9.0.1:7720")}
	for port := range flows {
		h.offer(steer.Packet{Key: key(port), SYN: true, Seq: 1})
		h.server(steer.Packet{Key: key(port), SYN: true, HasACK: true, Seq: 7})
		h.request(port, 1)
		h.answer(port)
		h.now += 10
	}
	return h
}

func (h *holder) offer(p steer.Packet) steer.Outcome {
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2, Goal: 200, TimeLimit: 1500, Priority: 2, LastOffer: true}
	out := h.FromBalancer(h.now, h.from, &m, p)
	if out.Verdict == steer.Wait {
		h.KeepRaw([]byte{byte(p.Key.SourcePort), byte(p.Seq)})
	}
	return out
}

func (h *holder) server(p steer.Packet) {
	var m steer.Message
	h.FromServer(h.now, p, &m)
}

// request sends the n-th request of a flow, of 100 bytes.
func (h *holder) request(port, n int) steer.Verdict {
	return h.offer(data(port, uint32(100*n))).Verdict
}

func data(port int, seq uint32) steer.Packet {
	return steer.Packet{Key: key(port), HasACK: true, Ack: 8, Seq: seq, Bytes: 100}
}

func (h *holder) answer(port int) {
	h.server(steer.Packet{Key: key(port), HasACK: true, Seq: 8, Bytes: 100})
}

// released returns the outcomes of all packets that leave the queue, and checks that each
// has its own bytes.
func (h *holder) released(t *testing.T) (verdicts []steer.Verdict, packets []steer.Packet) {
	for {
		r, ok := h.Release(h.now)
		if !ok {
			return verdicts, packets
		}
		assert.DeepEqual(t, r.Raw, []byte{byte(r.Packet.Key.SourcePort), byte(r.Packet.Seq)})
		verdicts, packets = append(verdicts, r.Outcome.Verdict), append(packets, r.Packet)
	}
}

// Requests of open flows used to go straight to the server's own queue, where nothing can
// choose among them. Reordered, lost or doubled packets would corrupt the flow, and a
// server whose data is not acknowledged would repeat it.
func TestRequestsOfOpenFlowsWaitInOrder(t *testing.T) {
	h := newHolder(4)
	assert.Equal(t, h.request(0, 2), steer.Deliver)
	assert.Equal(t, h.request(1, 2), steer.Deliver)
	assert.Equal(t, h.request(3, 2), steer.Deliver, "one more, so that no slot idles")
	assert.Equal(t, h.request(2, 2), steer.Wait)
	assert.Equal(t, h.QueueLength(), 1)
	assert.Equal(t, h.request(2, 2), steer.Drop, "retransmission")
	assert.Equal(t, h.request(2, 1), steer.Deliver, "retransmission of delivered data")
	assert.Equal(t, h.request(2, 3), steer.Wait, "next part")
	assert.Equal(t, h.offer(steer.Packet{Key: key(2), HasACK: true, Ack: 108, Seq: 400}).Verdict, steer.Deliver, "acknowledgement")
	fin := steer.Packet{Key: key(2), HasACK: true, Ack: 108, Seq: 400, FIN: true}
	assert.Equal(t, h.offer(fin).Verdict, steer.Wait)
	assert.Equal(t, h.offer(fin).Verdict, steer.Drop)
	assert.Equal(t, h.QueueLength(), 1)
	_, packets := h.released(t)
	assert.Equal(t, len(packets), 0)
	assert.Equal(t, h.request(0, 2), steer.Deliver, "retransmission of a request in progress")

	h.now += 20
	h.answer(0)
	_, packets = h.released(t)
	assert.DeepEqual(t, packets, []steer.Packet{data(2, 200), data(2, 300), fin})
	assert.Equal(t, h.Load(), 3)
	assert.Equal(t, h.request(2, 3), steer.Deliver, "retransmission after the release")
}

// What is held when an agent stops, or its server is gone, must not be lost where someone
// could still serve it, nor block what comes later.
func TestHeldWorkLeavesQueue(t *testing.T) {
	for _, row := range []struct {
		name    string
		act     func(h *holder)
		request []steer.Verdict // of the held request
		syn     []steer.Verdict // of the held SYN
		kept    int             // that stay in the queue
	}{
		{"planned stop", func(h *holder) { h.BeginShutdown() }, []steer.Verdict{steer.Deliver}, []steer.Verdict{steer.Deny}, 0},
		{"server gone", func(h *holder) { h.RecordRefusedConnection(h.now) }, []steer.Verdict{steer.Drop}, []steer.Verdict{steer.Deny}, 0},
		{"flow returned by the server", func(h *holder) {
			p := data(2, 200)
			p.Returned = true
			h.server(p)
		}, nil, []steer.Verdict{steer.Deliver}, 0},
		{"flow reset by the server", func(h *holder) { h.server(steer.Packet{Key: key(2), RST: true}) }, nil, []steer.Verdict{steer.Deliver}, 0},
		{"flow reset by the caller", func(h *holder) {
			h.offer(steer.Packet{Key: key(2), RST: true, HasACK: true, Ack: 8, Seq: 300})
		}, nil, []steer.Verdict{steer.Deliver}, 0},
		{"suspension of the process", func(h *holder) { h.RecordSuspension(h.now) }, nil, nil, 1},
		{"some requests lost in the server", func(h *holder) {
			h.now += 550
			h.Tick(h.now)
		}, []steer.Verdict{steer.Deliver}, []steer.Verdict{steer.Deliver}, 0},
		{"no answer for a second", func(h *holder) { h.now += 1100 }, []steer.Verdict{steer.Deliver}, []steer.Verdict{steer.Deny}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHolder(4)
			h.request(0, 2)
			h.request(1, 2)
			h.request(3, 2)
			assert.Equal(t, h.request(2, 2), steer.Wait)
			assert.Equal(t, h.offer(steer.Packet{Key: key(9), SYN: true}).Verdict, steer.Wait)
			assert.Equal(t, h.offer(steer.Packet{Key: key(9), SYN: true, Copy: 1, Age: 200}).Verdict, steer.Drop, "copy")
			row.act(h)
			verdicts, packets := h.released(t)
			var request, syn []steer.Verdict
			for i, p := range packets {
				if p.SYN {
					syn = append(syn, verdicts[i])
				} else {
					request = append(request, verdicts[i])
				}
			}
			assert.DeepEqual(t, request, row.request)
			assert.DeepEqual(t, syn, row.syn)
			assert.Equal(t, h.QueueLength(), row.kept)
		})
	}
}

// The memory of a host is small: beyond the bound requests go to the server as without
// the queue, and SYNs to another server.
func TestHeldBytesAreBounded(t *testing.T) {
	const flows = 3000
	h := newHolder(flows)
	h.request(0, 2)
	h.request(1, 2)
	h.request(2, 2)
	held := 0
	for port := 3; port < flows; port++ {
		if h.request(port, 2) == steer.Wait {
			held++
		}
	}
	assert.Assert(t, held > 1000 && held < 2000, "%d", held)
	assert.Equal(t, h.offer(steer.Packet{Key: key(5000), SYN: true}).Verdict, steer.Deny)
}

// The packet path makes no allocation for a packet of a known flow, held or not: the
// collector would stop a process on a small host for milliseconds.
func TestKnownFlowsAllocateNothing(t *testing.T) {
	h := newHolder(4)
	h.request(0, 2)
	h.request(1, 2)
	h.request(3, 2)
	seq := uint32(200)
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2, Goal: 200, Priority: 2}
	raw, answered := make([]byte, 1000), 0
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		seq += 100
		waiting := 2 - answered%2*2 // flows 2 and 0 take turns
		if out := h.FromBalancer(h.now, h.from, &m, data(waiting, seq)); out.Verdict != steer.Wait {
			t.Fatal(out)
		}
		h.KeepRaw(raw)
		h.FromServer(h.now, steer.Packet{Key: key(2 - waiting), HasACK: true, Seq: 8, Bytes: 100}, &m)
		if r, ok := h.Release(h.now); !ok || r.Outcome.Verdict != steer.Deliver {
			t.Fatal(r)
		}
		answered++
	}), 0.0)
}

// A SYN that cannot be in time at the least busy of the first servers used to be refused,
// which costs its caller an attempt, while servers further down the order had room. One
// that has been sent on already waits: sending it on without end would answer nobody.
func TestSYNThatWouldBeLateGoesOnToOtherServers(t *testing.T) {
	for _, row := range []struct {
		name    string
		visited int
		goesOn  bool
	}{{"first queue", 4, true}, {"second queue", 5, false}} {
		h := newHolder(40)
		for n := range 50 { // so that the agent knows the service time
			h.request(0, n+2)
			h.now += 20
			h.answer(0)
		}
		for port := range 5 {
			h.request(port+1, 2) // the slots are in use
		}
		p := steer.Packet{Key: key(5000), SYN: true, Seq: 1}
		m := steer.Message{Kind: steer.OfferPacket, Service: h.Service, Revision: 1, Slots: 2, Goal: 200, TimeLimit: 1500, Priority: 2,
			LastOffer: true, LeastBusy: 1, LeastBusyLoad: 900, VisitedCount: row.visited}
		for i := range row.visited {
			m.Visited[i] = uint32(i + 1)
		}
		assert.Equal(t, h.FromBalancer(h.now, h.from, &m, p).Verdict, steer.Wait, row.name)
		h.KeepRaw([]byte("packet"))
		h.now += 5
		for port := 6; port < 40; port++ {
			h.request(port, 2) // newer requests go first
		}
		r, ok := h.Release(h.now)
		assert.Equal(t, ok, row.goesOn, row.name)
		if !row.goesOn {
			continue
		}
		assert.Equal(t, r.Outcome.Verdict, steer.Deny)
		assert.Equal(t, r.Outcome.Reason, steer.Overloaded)
		assert.Assert(t, !r.Message.LastOffer && r.Message.LeastBusy == 0 && r.Message.VisitedCount == row.visited)
		c := newCluster(t, 12, 1)
		d := c.balancers[0].Denied(c.now, 1, p, r.Message)
		assert.Equal(t, d.Verdict, steer.Offer, "the balancer must go on, not refuse")
	}
}
