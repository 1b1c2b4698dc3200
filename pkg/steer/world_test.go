package steer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
)

// service is the address that the test's route serves.
var service = netip.MustParseAddrPort("198.18.0.1:443")

// world connects balancers, agents and servers without loss or delay.
type world struct {
	t         *testing.T
	now       clock.Millis
	revision  uint64
	balancers []*steer.Balancer
	hosts     map[place.ID]*host
	offers    int // packets that balancers offered
	resets    []flow.Key
	drops     []steer.Reason
}

// host is a backend server's host: its agent and its server.
type host struct {
	name   string
	centre string
	agent  *steer.Agent
	down   bool // the agent does not answer
	server *server
}

// server is a backend server that holds flows and returns what is not its own.
type server struct {
	silent bool // answers nothing
	full   bool // returns first packets
	flows  map[flow.Key]bool
	got    []steer.Packet // packets of flows that it does not hold
	opened []clock.Millis
	seq    uint32
}

func newWorld(t *testing.T, servers, balancers int) *world {
	w := &world{t: t, now: 1_700_000_000_000, hosts: make(map[place.ID]*host)}
	var listing []steer.Change
	listing = append(listing, steer.Change{Config: config(1)})
	for i := range servers {
		id := steer.AgentOf(netip.AddrFrom4([4]byte{10, byte(i%3 + 1), 0, byte(i + 1)}))
		h := &host{name: fmt.Sprint("s", i), centre: fmt.Sprint("dc", i%3+1), server: newServer(uint32(i+1) << 24)}
		h.agent = &steer.Agent{Service: steer.ServiceOf("desk")}
		w.hosts[id] = h
		listing = append(listing, steer.Change{Server: w.entry(id, steer.Serving)})
	}
	for range balancers {
		b := &steer.Balancer{EvacuateBy: 5000}
		b.Registry.Heard(w.now, w.now)
		b.Registry.Replace(w.now, listing)
		w.balancers = append(w.balancers, b)
	}
	return w
}

func newServer(seq uint32) *server { return &server{flows: make(map[flow.Key]bool), seq: seq} }

func config(version uint64) *steer.Config {
	return &steer.Config{Version: version,
		Routes:   []steer.Route{{Name: "r", Address: service, Targets: []steer.Target{{Service: "desk", Weight: 1}}, Goal: 200}},
		Services: []steer.Service{{Name: "desk", ColdRate: 10}}}
}

// entry is what a server publishes now.
func (w *world) entry(id place.ID, state steer.ServerState) *steer.Server {
	w.revision++
	h := w.hosts[id]
	return &steer.Server{Name: h.name, Agent: id, Service: "desk", DataCentre: h.centre, Slots: 2, State: state, Revision: w.revision, Created: 1}
}

// tell applies changes at all balancers.
func (w *world) tell(changes ...steer.Change) {
	for _, b := range w.balancers {
		b.Registry.Heard(w.now, w.now)
		b.Registry.Apply(w.now, changes)
	}
}

func key(port int) flow.Key {
	return steer.KeyOf(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)), service)
}

// send hands a caller's packet to a balancer and returns the host whose server
// accepted it, or nil.
func (w *world) send(b *steer.Balancer, p steer.Packet) *host {
	var m steer.Message
	d := b.FromCaller(w.now, p, &m)
	for range 10 * steer.MaxVisited {
		if d.Verdict != steer.Offer {
			w.ended(p, d)
			return nil
		}
		w.offers++
		h := w.hosts[d.To]
		if h == nil || h.down {
			return nil
		}
		out := h.agent.FromBalancer(w.now, w.address(b), &m, p)
		if out.Verdict == steer.Deliver {
			out = w.deliver(h, b, p, &m, out)
		}
		w.hear(b, d.To, p, out)
		if out.Verdict != steer.Deny {
			if out.Verdict == steer.ToCaller {
				return h
			}
			return nil
		}
		d = b.Denied(w.now, d.To, p, &m)
	}
	w.t.Fatalf("packet %v went round %d times", p.Key, w.offers)
	return nil
}

func (w *world) ended(p steer.Packet, d steer.Decision) {
	if d.Verdict == steer.Refuse {
		w.resets = append(w.resets, p.Key)
		return
	}
	w.drops = append(w.drops, d.Reason)
}

// deliver hands a packet to a server and its reaction to the agent.
func (w *world) deliver(h *host, b *steer.Balancer, p steer.Packet, m *steer.Message, delivered steer.Outcome) steer.Outcome {
	s := h.server
	switch {
	case s == nil || s.silent:
		return steer.Outcome{Verdict: steer.Drop}
	case p.First && !s.full:
		if !s.flows[p.Key] {
			s.opened = append(s.opened, w.now)
		}
		s.flows[p.Key] = true
		return h.agent.FromServer(w.now, steer.Packet{Key: p.Key, First: true, HasAck: true, Seq: s.seq}, m)
	case s.flows[p.Key]:
		if delivered.Hold.IsValid() {
			w.hear(b, steer.AgentOf(w.addressOf(h)), p, delivered)
		}
		return h.agent.FromServer(w.now, steer.Packet{Key: p.Key, HasAck: true, Bytes: 100, Seq: s.seq + 1}, m)
	}
	s.got = append(s.got, p)
	p.Returned = true
	return h.agent.FromServer(w.now, p, m)
}

func (w *world) hear(b *steer.Balancer, from place.ID, p steer.Packet, out steer.Outcome) {
	if out.Hold.IsValid() {
		b.Heard(w.now, from, &steer.Message{Kind: steer.HoldFlow, Key: p.Key})
	}
}

func (w *world) address(b *steer.Balancer) netip.AddrPort {
	for i, other := range w.balancers {
		if other == b {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}), 7720)
		}
	}
	return netip.AddrPort{}
}

func (w *world) addressOf(h *host) netip.Addr {
	for id, other := range w.hosts {
		if other == h {
			return steer.AddrOf(id)
		}
	}
	return netip.Addr{}
}

// open opens a flow through a balancer and sends its first request.
func (w *world) open(b *steer.Balancer, port int) *host {
	h := w.send(b, steer.Packet{Key: key(port), First: true, Seq: 1})
	if h != nil {
		w.send(b, data(port, h.server))
	}
	return h
}

// data is a caller's packet on a flow that a server has opened.
func data(port int, s *server) steer.Packet {
	return steer.Packet{Key: key(port), HasAck: true, Seq: 2, Ack: s.seq + 1, Bytes: 100}
}

// restartAgent replaces the agent of a host by one that knows nothing.
func (h *host) restartAgent() { h.agent = &steer.Agent{Service: steer.ServiceOf("desk")} }

// received counts the packets of foreign flows at all servers.
func (w *world) received() int {
	n := 0
	for _, h := range w.hosts {
		n += len(h.server.got)
	}
	return n
}

// idOf is the agent of a host.
func (w *world) idOf(h *host) place.ID { return steer.AgentOf(w.addressOf(h)) }

// newServer adds a host that no balancer knows yet.
func (w *world) newServer(name string) (place.ID, *steer.Server) {
	n := len(w.hosts) + 1
	id := steer.AgentOf(netip.AddrFrom4([4]byte{10, 4, 0, byte(n)}))
	w.hosts[id] = &host{name: name, centre: "dc1", server: newServer(uint32(n) << 24), agent: &steer.Agent{Service: steer.ServiceOf("desk")}}
	return id, w.entry(id, steer.Serving)
}
