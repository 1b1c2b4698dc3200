package steer_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// serviceAddr is the address of the test's route.
var serviceAddr = netip.MustParseAddrPort("198.18.0.1:443")

// cluster connects balancers, agents and servers without loss or delay.
type cluster struct {
	t         testing.TB
	now       clock.Millis
	revision  uint64 // of the last entry
	balancers []*steer.Balancer
	hosts     map[place.ID]*host // by agent
	offers    int                // packets that balancers offered
	queries   int                // messages that asked agents about flows
	resets    []flow.Key         // flows whose caller was sent a reset
	lastReset steer.Packet       // packet that the last reset answered
	drops     []steer.Reason     // of packets that balancers dropped or parked
}

// host is a backend server and the agent on its host.
type host struct {
	name        string
	centre      string
	agent       *steer.Agent
	unreachable bool // the agent does not answer
	// earlierVersion means that the agent ignores queries and says nothing of them.
	earlierVersion bool
	deliveries     int // packets that the server accepted
	server         *server
}

// server is a backend server that returns packets of flows that it does not hold.
type server struct {
	silent   bool // does not answer
	full     bool // returns first packets
	flows    map[flow.Key]bool
	returned []steer.Packet // packets of flows that it does not hold
	openings []clock.Millis // times at which flows opened
	seq      uint32         // initial sequence number
}

// newCluster returns a cluster whose balancers have listed the servers long enough ago for
// entries that had expired before to be back.
func newCluster(t testing.TB, servers, balancers int) *cluster {
	c := &cluster{t: t, now: 1_700_000_000_000, hosts: make(map[place.ID]*host)}
	var listing []steer.Change
	listing = append(listing, steer.Change{Config: config(1)})
	for i := range servers {
		id := steer.AgentOf(netip.AddrFrom4([4]byte{10, byte(i%3 + 1), byte((i + 1) >> 8), byte(i + 1)}))
		h := &host{name: fmt.Sprint("s", i), centre: fmt.Sprint("dc", i%3+1), server: newServer(uint32(i+1) << 24)}
		h.agent = &steer.Agent{Service: steer.ServiceOf("desk")}
		c.hosts[id] = h
		listing = append(listing, steer.Change{Server: c.entry(id, steer.Serving)})
	}
	for range balancers {
		b := &steer.Balancer{EvacuationGracePeriod: 5000}
		b.Registry.RecordPlatformAnswer(c.now, c.now)
		b.Registry.ApplyListing(c.now, listing)
		c.balancers = append(c.balancers, b)
	}
	c.now += steer.EntryReturnTime
	c.apply()
	return c
}

func newServer(seq uint32) *server { return &server{flows: make(map[flow.Key]bool), seq: seq} }

func config(version uint64) *steer.Config {
	return &steer.Config{Version: version,
		Routes:   []steer.Route{{Name: "r", Address: serviceAddr, Targets: []steer.Target{{Service: "desk", Weight: 1}}, Goal: 200}},
		Services: []steer.Service{{Name: "desk", ColdRate: 10}}}
}

// entry returns a new entry of a server in the platform.
func (c *cluster) entry(id place.ID, state steer.ServerState) *steer.Server {
	c.revision++
	h := c.hosts[id]
	return &steer.Server{Name: h.name, Agent: id, Service: "desk", DataCentre: h.centre, Slots: 2, State: state, Revision: c.revision, CreatedRevision: 1}
}

// apply applies changes at all balancers.
func (c *cluster) apply(changes ...steer.Change) {
	for _, b := range c.balancers {
		b.Registry.RecordPlatformAnswer(c.now, c.now)
		b.Registry.Apply(c.now, changes)
	}
}

func key(port int) flow.Key {
	return steer.KeyOf(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)), serviceAddr)
}

// send passes a caller's packet to a balancer and returns the host whose server
// accepted it, or nil.
func (c *cluster) send(b *steer.Balancer, p steer.Packet) *host {
	var m steer.Message
	accepted := c.execute(b, b.FromCaller(c.now, p, &m), p, &m)
	if h := c.resume(b); h != nil {
		return h
	}
	return accepted
}

// resume carries out what a balancer has decided since, and returns the host whose server
// accepted a packet, or nil.
func (c *cluster) resume(b *steer.Balancer) *host {
	var accepted *host
	for range 10_000 {
		r, ok := b.Resume(c.now)
		if !ok && c.query(b) {
			continue
		}
		if !ok {
			return accepted
		}
		if h := c.execute(b, r.Decision, r.Packet, r.Message); h != nil {
			accepted = h
		}
	}
	c.t.Fatalf("packets are still being offered after %d offers", c.offers)
	return nil
}

// query delivers the next round of a balancer's queries and the answers, and reports whether
// there was one.
func (c *cluster) query(b *steer.Balancer) bool {
	delay, waiting := b.QueryDelay(c.now)
	c.now += delay
	for {
		q, ok := b.NextQuery(c.now)
		if !ok {
			return waiting
		}
		c.queries++
		if h := c.hosts[q.To]; h != nil && !h.unreachable && !h.earlierVersion {
			for _, answer := range h.agent.AnswerQuery(c.now, &q.Message, q.Flows) {
				c.receive(b, q.To, answer)
			}
		}
	}
}

// receive passes a part of an agent's answer to a balancer, encoded and decoded.
func (c *cluster) receive(b *steer.Balancer, from place.ID, answer steer.FlowsMessage) {
	var m steer.Message
	rest, err := m.Decode(answer.Encode())
	assert.NilError(c.t, err)
	flows, err := steer.DecodeFlows(rest)
	assert.NilError(c.t, err)
	if m.Kind == steer.DenyFlows {
		b.DeniedFlows(c.now, from, &m, flows)
		return
	}
	b.HandleMessage(c.now, from, &m)
}

// execute carries out a balancer's decisions on a packet and returns the host whose
// server accepted it, or nil.
func (c *cluster) execute(b *steer.Balancer, d steer.Decision, p steer.Packet, m *steer.Message) *host {
	for d.Verdict == steer.Offer {
		c.offers++
		h := c.hosts[d.To]
		if h == nil || h.unreachable {
			return nil
		}
		out := h.agent.FromBalancer(c.now, c.balancerAddr(b), m, p)
		if out.Verdict == steer.Deliver {
			out = c.deliver(h, b, p, m, out)
		}
		c.reportHolder(b, d.To, p, out)
		m.AnswersQueries = m.AnswersQueries && !h.earlierVersion
		if out.Verdict != steer.Deny {
			if out.Verdict == steer.ToCaller {
				return h
			}
			return nil
		}
		if m.PacketKept {
			b.DeniedKept(c.now, d.To, m)
			return nil
		}
		d = b.Denied(c.now, d.To, p, m)
	}
	switch {
	case d.Verdict == steer.Refuse:
		c.resets = append(c.resets, p.Key)
		c.lastReset = p
	case d.Reason != steer.Searching || d.Verdict == steer.Drop:
		c.drops = append(c.drops, d.Reason)
	}
	return nil
}

// deliver passes a packet to a server, and the server's reply to the agent.
func (c *cluster) deliver(h *host, b *steer.Balancer, p steer.Packet, m *steer.Message, delivered steer.Outcome) steer.Outcome {
	s := h.server
	switch {
	case s == nil || s.silent:
		return steer.Outcome{Verdict: steer.Drop}
	case p.SYN && !s.full:
		if !s.flows[p.Key] {
			s.openings = append(s.openings, c.now)
		}
		s.flows[p.Key] = true
		return h.agent.FromServer(c.now, steer.Packet{Key: p.Key, SYN: true, HasACK: true, Seq: s.seq}, m)
	case s.flows[p.Key]:
		h.deliveries++
		if delivered.ReportTo.IsValid() {
			c.reportHolder(b, steer.AgentOf(c.agentAddr(h)), p, delivered)
		}
		return h.agent.FromServer(c.now, steer.Packet{Key: p.Key, HasACK: true, Bytes: 100, Seq: s.seq + 1}, m)
	}
	s.returned = append(s.returned, p)
	p.Returned = true
	return h.agent.FromServer(c.now, p, m)
}

func (c *cluster) reportHolder(b *steer.Balancer, from place.ID, p steer.Packet, out steer.Outcome) {
	if out.ReportTo.IsValid() {
		b.HandleMessage(c.now, from, &steer.Message{Kind: steer.HoldFlow, Key: p.Key})
	}
}

func (c *cluster) balancerAddr(b *steer.Balancer) netip.AddrPort {
	for i, other := range c.balancers {
		if other == b {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}), 7720)
		}
	}
	return netip.AddrPort{}
}

func (c *cluster) agentAddr(h *host) netip.Addr {
	for id, other := range c.hosts {
		if other == h {
			return steer.AddrOf(id)
		}
	}
	return netip.Addr{}
}

// open opens a flow through a balancer and sends its first request.
func (c *cluster) open(b *steer.Balancer, port int) *host {
	h := c.send(b, steer.Packet{Key: key(port), SYN: true, Seq: 1})
	if h != nil {
		c.send(b, dataPacket(port, h.server))
	}
	return h
}

// dataPacket returns a caller's packet of a flow that a server has accepted.
func dataPacket(port int, s *server) steer.Packet {
	return steer.Packet{Key: key(port), HasACK: true, Seq: 2, Ack: s.seq + 1, Bytes: 100}
}

// restartAgent replaces the agent of a host by one without state.
func (h *host) restartAgent() { h.agent = &steer.Agent{Service: steer.ServiceOf("desk")} }

// misdelivered counts the packets that servers received of flows they do not hold.
func (c *cluster) misdelivered() int {
	n := 0
	for _, h := range c.hosts {
		n += len(h.server.returned)
	}
	return n
}

// forgetReturned resets the count of misdelivered.
func (c *cluster) forgetReturned() {
	for _, h := range c.hosts {
		h.server.returned = nil
	}
}

// sorted returns the hosts in the order of their names.
func (c *cluster) sorted() []*host {
	hosts := slices.Collect(maps.Values(c.hosts))
	slices.SortFunc(hosts, func(a, b *host) int { return strings.Compare(a.name, b.name) })
	return hosts
}

// agentOf returns the agent of a host.
func (c *cluster) agentOf(h *host) place.ID { return steer.AgentOf(c.agentAddr(h)) }

// addHost adds a host that no balancer has listed yet, and returns its agent and entry.
func (c *cluster) addHost(name string) (place.ID, *steer.Server) {
	n := len(c.hosts) + 1
	id := steer.AgentOf(netip.AddrFrom4([4]byte{10, 4, byte(n >> 8), byte(n)}))
	c.hosts[id] = &host{name: name, centre: "dc1", server: newServer(uint32(n) << 24), agent: &steer.Agent{Service: steer.ServiceOf("desk")}}
	return id, c.entry(id, steer.Serving)
}
