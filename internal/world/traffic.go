package world

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/google/uuid"
)

// Server is a backend server with its connection table and its slots.
type Server struct {
	Name      string
	Slots     int
	Warmth    float64 // share of its slots that it can use now
	WarmBy    float64 // warmth gained by each finished run; 0 means it is always warm
	Flows     map[flow.Key]int
	Runs      map[uuid.UUID]int
	Up        bool
	Sheds     int
	Peak      float64 // highest use over what it could bear
	Packets   int
	LastAt    clock.Millis // of the last packet
	Took      []Took       // finished runs
	RunTime   clock.Millis // of a warm server; 0 means 10 ms
	LoseNext  int          // runs whose answers are lost
	Misrouted int
	Targets   map[netip.AddrPort]bool // nil accepts all

	world    *World
	running  int
	instance int
}

// Took is one finished run.
type Took struct {
	At      clock.Millis
	Latency clock.Millis
}

const coldWarmth = 0.15

func newServer(w *World, name string, slots int) *Server {
	return &Server{
		Name: name, Slots: slots, Warmth: 1, Flows: make(map[flow.Key]int), Runs: make(map[uuid.UUID]int), Up: true, world: w,
	}
}

// Fall loses everything; the server is up again, cold, with a new instance.
func (s *Server) Fall() {
	s.instance++
	s.Flows = make(map[flow.Key]int)
	s.running = 0
	if s.WarmBy > 0 {
		s.Warmth = coldWarmth
	}
}

// Capacity is what the server can bear at its present warmth.
func (s *Server) Capacity() float64 { return math.Max(1, float64(s.Slots)*s.Warmth) }

// lookAtServer tells the agent what the server says of itself.
func (h *Host) lookAtServer(now clock.Millis) {
	if !h.Server.Up {
		return
	}
	h.Agent.HandleServerHealth(now, fmt.Sprintf("%s-%d", h.Name, h.Server.instance), false)
	if int64(now/tickInterval)%20 != 0 && h.Agent.HeldFlows() > 0 {
		return
	}
	keys := make([]flow.Key, 0, len(h.Server.Flows))
	for key := range h.Server.Flows {
		keys = append(keys, key)
	}
	h.Agent.ServerFlows(now, keys)
}

// read decodes a packet that the world itself built.
func read(raw []byte) packet.Info {
	var r packet.Reader
	info, err := r.Read(raw)
	if err != nil {
		panic(err)
	}
	return info
}

// take handles a packet at the server.
func (s *Server) take(raw []byte) {
	if !s.Up {
		return
	}
	info := read(raw)
	s.Packets++
	s.LastAt = s.world.now
	if s.Targets != nil && !s.Targets[info.Key.Target()] {
		s.Misrouted++
	}
	switch {
	case info.OpensConnection:
		s.Flows[info.Key] += 0
	case info.EndsConnection:
		delete(s.Flows, info.Key)
	default:
		if _, held := s.Flows[info.Key]; !held {
			reply, _ := packet.Reset(info)
			s.world.reset(reply)
			return
		}
		s.Flows[info.Key]++
	}
}

// forward carries a packet to an agent.
func (h *Host) forward(f *node.Forward) {
	to := h.world.byID[f.To]
	h.world.transmit(h, to, func() { to.datagram(h, f.Datagram) })
}

// datagram handles a packet or an envelope at an agent.
func (h *Host) datagram(from *Host, raw []byte) {
	if h.Agent == nil {
		return
	}
	envelope := wire.Envelope{Packet: raw}
	if from != nil {
		envelope.Balancer = place.IDOf(from.Name)
	}
	if wire.IsEnvelope(raw) {
		decoded, err := wire.DecodeEnvelope(raw)
		if err != nil {
			panic(err)
		}
		envelope = decoded
	}
	h.perform(h.Agent.Packet(h.clock(), read(envelope.Packet), envelope))
}

// Send gives a packet to a balancer that the fabric picks at random.
func (w *World) Send(raw []byte) {
	if b := w.pick(); b != nil {
		w.SendBy(b, raw)
	}
}

// pick chooses a balancer that is up.
func (w *World) pick() *Host {
	var up []*Host
	for _, name := range w.names {
		if h := w.Hosts[name]; h.Balancer != nil && h.Up {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.Random.IntN(len(up))]
}

// SendBy gives a packet to one balancer.
func (w *World) SendBy(b *Host, raw []byte) {
	w.transmit(nil, b, func() {
		info := read(raw)
		id, ok := b.Balancer.Route(b.clock(), &info)
		if !ok {
			return
		}
		to := w.byID[id]
		w.transmit(b, to, func() { to.packetFrom(b, raw) })
	})
}

// packetFrom handles a packet that a balancer routed here.
func (h *Host) packetFrom(b *Host, raw []byte) {
	info := read(raw)
	if info.Key.Protocol == packet.ProtocolUDP {
		request := h.world.Requests[string(info.Payload)]
		copied := request.Wire
		copied.Caller = info.Key
		copied.Copy = int(info.Key.SourcePort)
		copied.Expires = h.clock() + 3*clock.Second
		h.perform(h.Agent.Request(h.clock(), copied))
		return
	}
	h.datagram(b, raw)
}

// Flow builds the key of a flow to a service.
func Flow(n, service int) flow.Key {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(n >> 14), byte(n >> 8 & 63)}), uint16(1024+n))
	target := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(service / 250), byte(service%250 + 1)}), StreamPort)
	return flow.NewKey(source, target, packet.ProtocolTCP)
}

// Segment builds a packet of a flow.
func Segment(key flow.Key, flags packet.Flags) []byte {
	raw, err := packet.Segment(key, flags, 1, 1, nil)
	if err != nil {
		panic(err)
	}
	return raw
}

// Open sends the first packet of a flow.
func (w *World) Open(key flow.Key) { w.Send(Segment(key, packet.Flags{Syn: true})) }

// Data sends a later packet of a flow.
func (w *World) Data(key flow.Key) { w.Send(Segment(key, packet.Flags{Ack: true})) }

// Holders lists the servers that hold a flow.
func (w *World) Holders(key flow.Key) []string {
	var out []string
	for _, name := range w.names {
		if s := w.Hosts[name].Server; s != nil {
			if _, held := s.Flows[key]; held {
				out = append(out, name)
			}
		}
	}
	return out
}

// Resets lists the flows that callers saw reset, since the world began.
func (w *World) Resets() map[flow.Key]int { return w.resets }

func (w *World) reset(raw []byte) {
	w.resets[packet.Reverse(read(raw).Key)]++
}

// Request is a caller's request with what came of it.
type Request struct {
	Wire    wire.Request
	Answers []wire.Answer
	Copies  map[int]wire.Answer // by copy
	Sent    clock.Millis
	Settled clock.Millis // of the first answer
}

// NewRequest makes a request. Mint shifts the mint time of its identifier.
func (w *World) NewRequest(method string, mint clock.Millis) *Request {
	var id uuid.UUID
	ms := uint64(w.now + mint)
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < 16; i++ {
		id[i] = byte(w.Random.IntN(256))
	}
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	r := &Request{Wire: wire.Request{ID: id, Method: method}, Copies: make(map[int]wire.Answer), Sent: w.now}
	w.Requests[id.String()] = r
	return r
}

// Ask sends one copy of a request to a service through a random balancer.
func (w *World) Ask(r *Request, service, port int) {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 17, 0, 1}), uint16(port))
	target := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(service / 250), byte(service%250 + 1)}), RequestPort)
	raw, err := packet.Datagram(flow.NewKey(source, target, packet.ProtocolUDP), []byte(r.Wire.ID.String()))
	if err != nil {
		panic(err)
	}
	w.Send(raw)
}

func (w *World) answered(respond *node.Respond) {
	r := w.Requests[respond.Request.ID.String()]
	r.Answers = append(r.Answers, respond.Answer)
	r.Copies[respond.Request.Copy] = respond.Answer
	if r.Settled == 0 {
		r.Settled = w.now
	}
}

// RunsOf counts the runs of a request over all servers.
func (w *World) RunsOf(id uuid.UUID) int {
	total := 0
	for _, name := range w.names {
		if s := w.Hosts[name].Server; s != nil {
			total += s.Runs[id]
		}
	}
	return total
}

// run starts a request on the server.
func (s *Server) run(h *Host, run *node.Run) {
	token, id := run.Token, run.Request.ID
	answer := func(delay clock.Millis, a node.ServerAnswer) {
		epoch := h.epoch
		a.Latency = delay
		s.world.After(delay, func() {
			if h.epoch == epoch {
				h.whenAwake(func() { h.perform(h.Agent.ServerAnswer(h.clock(), token, a)) })
			}
		})
	}
	if !s.Up {
		answer(1, node.ServerAnswer{Kind: node.Unsent})
		return
	}
	s.Peak = math.Max(s.Peak, float64(s.running+1)/s.Capacity())
	if s.running >= int(math.Ceil(s.Capacity())) {
		s.Sheds++
		answer(1, node.ServerAnswer{Kind: node.Shed})
		return
	}
	s.running++
	s.Runs[id]++
	instance := s.instance
	base := s.RunTime
	if base == 0 {
		base = 10
	}
	delay := base/2 + clock.Millis(s.world.Random.Int64N(int64(base)+1))
	s.world.After(delay, func() {
		if s.instance == instance {
			s.running--
			s.Warmth = math.Min(1, s.Warmth+s.WarmBy)
			s.Took = append(s.Took, Took{s.world.now, delay})
		}
	})
	if s.LoseNext > 0 {
		s.LoseNext--
		answer(delay, node.ServerAnswer{Kind: node.Lost})
		return
	}
	answer(delay, node.ServerAnswer{Kind: node.Ran, Result: []byte("1")})
}

// SortedKeys lists flows in a fixed order.
func SortedKeys(flows map[flow.Key]int) []flow.Key {
	keys := make([]flow.Key, 0, len(flows))
	for key := range flows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b flow.Key) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	return keys
}

// Inject hands a packet to an agent as if a balancer had routed it there.
func (w *World) Inject(agent *Host, raw []byte) {
	w.transmit(nil, agent, func() { agent.datagram(nil, raw) })
}
