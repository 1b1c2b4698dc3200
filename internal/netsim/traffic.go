package netsim

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

// Server simulates a backend server with a connection table and a limited number of
// slots for requests.
type Server struct {
	Name            string
	Slots           int
	WarmFraction    float64                 // share of its slots that it can use now
	WarmupStep      float64                 // added to WarmFraction after each run; 0 means no warm-up
	Flows           map[flow.Key]int        // packets received after the first, of each held flow
	Runs            map[uuid.UUID]int       // runs of each request
	Up              bool                    // if false, packets are lost and requests stay unsent
	Sheds           int                     // requests refused because all usable slots were taken
	PeakLoad        float64                 // highest ratio of concurrent requests to Capacity
	Packets         int                     // received
	LastPacketAt    clock.Millis            // true time of the last packet
	FinishedRuns    []FinishedRun           // in the order in which they ended
	MeanRunTime     clock.Millis            // a run takes 0.5 to 1.5 times as long; 0 means 10 ms
	AnswersToLose   int                     // next runs whose answers are lost
	Misrouted       int                     // packets whose target is not in ExpectedTargets
	ExpectedTargets map[netip.AddrPort]bool // nil means all

	world    *World
	running  int // requests that run now
	instance int // number of crashes, part of the instance that it reports
}

// FinishedRun holds when a run ended and how long it took.
type FinishedRun struct {
	FinishedAt clock.Millis // true time
	Latency    clock.Millis // from the start of the run to its end
}

// coldFraction is the WarmFraction of a server right after a crash.
const coldFraction = 0.15

func newServer(w *World, name string, slots int) *Server {
	return &Server{
		Name: name, Slots: slots, WarmFraction: 1, Flows: make(map[flow.Key]int), Runs: make(map[uuid.UUID]int), Up: true, world: w,
	}
}

// Crash simulates a crash with an immediate restart: the server loses its flows, has a
// new instance and, if it warms up, is cold. Runs in progress free their slots, but
// their agent still gets the answers.
func (s *Server) Crash() {
	s.instance++
	s.Flows = make(map[flow.Key]int)
	s.running = 0
	if s.WarmupStep > 0 {
		s.WarmFraction = coldFraction
	}
}

// Capacity returns how many requests the server can run at once now, at least 1.
func (s *Server) Capacity() float64 { return math.Max(1, float64(s.Slots)*s.WarmFraction) }

// pollServer passes the server's instance to the agent and, once a second, the server's
// connection table. An agent without flows gets the table at every tick.
func (h *Host) pollServer(now clock.Millis) {
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

// decodePacket decodes a packet that the simulation built. It panics if that fails.
func decodePacket(raw []byte) packet.Info {
	var r packet.Reader
	info, err := r.Read(raw)
	if err != nil {
		panic(err)
	}
	return info
}

// handlePacket handles a packet at the server. A packet of an unknown flow is answered
// with a reset.
func (s *Server) handlePacket(raw []byte) {
	if !s.Up {
		return
	}
	info := decodePacket(raw)
	s.Packets++
	s.LastPacketAt = s.world.now
	if s.ExpectedTargets != nil && !s.ExpectedTargets[info.Key.Target()] {
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
			s.world.recordReset(reply)
			return
		}
		s.Flows[info.Key]++
	}
}

// forward sends a datagram from this agent to another.
func (h *Host) forward(f *node.Forward) {
	to := h.world.hostsByID[f.To]
	h.world.transmit(h, to, func() { to.handleDatagram(h, f.Datagram) })
}

// handleDatagram handles a raw packet from a balancer, or one that another agent
// forwarded in an envelope. A nil from means that no process sent it.
func (h *Host) handleDatagram(from *Host, raw []byte) {
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
	h.perform(h.Agent.Packet(h.localTime(), decodePacket(envelope.Packet), envelope))
}

// Send sends a caller's packet to a random balancer, as the network in front of the
// balancers does. It drops the packet if no balancer is up.
func (w *World) Send(raw []byte) {
	if b := w.randomBalancer(); b != nil {
		w.SendVia(b, raw)
	}
}

// randomBalancer returns a random balancer that is up, or nil if there is none.
func (w *World) randomBalancer() *Host {
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

// SendVia sends a caller's packet to the given balancer.
func (w *World) SendVia(balancer *Host, raw []byte) {
	w.transmit(nil, balancer, func() {
		info := decodePacket(raw)
		id, ok := balancer.Balancer.Route(balancer.localTime(), &info)
		if !ok {
			return
		}
		to := w.hostsByID[id]
		w.transmit(balancer, to, func() { to.handleRoutedPacket(balancer, raw) })
	})
}

// handleRoutedPacket handles a packet that a balancer routed to this agent. The payload
// of a UDP packet is the identifier of a request, and its source port serves as the
// number of the copy. The request expires after 3 s, as ConfigFiles declares.
func (h *Host) handleRoutedPacket(balancer *Host, raw []byte) {
	info := decodePacket(raw)
	if info.Key.Protocol == packet.ProtocolUDP {
		request := h.world.Requests[string(info.Payload)]
		copied := request.Wire
		copied.Caller = info.Key
		copied.Copy = int(info.Key.SourcePort)
		copied.Expires = h.localTime() + 3*clock.Second
		h.perform(h.Agent.Request(h.localTime(), copied))
		return
	}
	h.handleDatagram(balancer, raw)
}

// FlowKey returns the key of the n-th flow to the stream port of a service. Both numbers
// count from 0; the service's is its index in Layout.Services.
func FlowKey(n, service int) flow.Key {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(n >> 14), byte(n >> 8 & 63)}), uint16(1024+n))
	target := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(service / 250), byte(service%250 + 1)}), StreamPort)
	return flow.NewKey(source, target, packet.ProtocolTCP)
}

// Segment builds an empty TCP packet of a flow.
func Segment(key flow.Key, flags packet.Flags) []byte {
	raw, err := packet.Segment(key, flags, 1, 1, nil)
	if err != nil {
		panic(err)
	}
	return raw
}

// OpenFlow sends the first packet of a flow, a SYN.
func (w *World) OpenFlow(key flow.Key) { w.Send(Segment(key, packet.Flags{Syn: true})) }

// SendData sends a later packet of a flow.
func (w *World) SendData(key flow.Key) { w.Send(Segment(key, packet.Flags{Ack: true})) }

// Holders returns the names of the servers that hold a flow.
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

// ResetCounts returns the number of resets sent to the caller of each flow since the
// start of the simulation.
func (w *World) ResetCounts() map[flow.Key]int { return w.resetCounts }

// recordReset records a reset sent to a caller.
func (w *World) recordReset(raw []byte) {
	w.resetCounts[packet.Reverse(decodePacket(raw).Key)]++
}

// Request is a caller's request with its answers.
type Request struct {
	Wire         wire.Request
	Answers      []wire.Answer       // in the order in which they arrived
	AnswerByCopy map[int]wire.Answer // last answer to each copy
	SentAt       clock.Millis        // true time of NewRequest
	AnsweredAt   clock.Millis        // true time of the first answer; 0 means none
}

// NewRequest returns a new request that has not been sent. The timestamp in its
// identifier, a version 7 UUID, is the true time plus clockError, the error of the
// caller's clock.
func (w *World) NewRequest(method string, clockError clock.Millis) *Request {
	var id uuid.UUID
	ms := uint64(w.now + clockError)
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < 16; i++ {
		id[i] = byte(w.Random.IntN(256))
	}
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	r := &Request{Wire: wire.Request{ID: id, Method: method}, AnswerByCopy: make(map[int]wire.Answer), SentAt: w.now}
	w.Requests[id.String()] = r
	return r
}

// SendRequest sends one copy of a request to a service through a random balancer. Port is
// the source port and must differ between copies.
func (w *World) SendRequest(r *Request, service, port int) {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 17, 0, 1}), uint16(port))
	target := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(service / 250), byte(service%250 + 1)}), RequestPort)
	raw, err := packet.Datagram(flow.NewKey(source, target, packet.ProtocolUDP), []byte(r.Wire.ID.String()))
	if err != nil {
		panic(err)
	}
	w.Send(raw)
}

// recordAnswer records the answer to one copy of a request.
func (w *World) recordAnswer(respond *node.Respond) {
	r := w.Requests[respond.Request.ID.String()]
	r.Answers = append(r.Answers, respond.Answer)
	r.AnswerByCopy[respond.Request.Copy] = respond.Answer
	if r.AnsweredAt == 0 {
		r.AnsweredAt = w.now
	}
}

// RunCount returns the number of runs of a request on all servers.
func (w *World) RunCount(id uuid.UUID) int {
	total := 0
	for _, name := range w.names {
		if s := w.Hosts[name].Server; s != nil {
			total += s.Runs[id]
		}
	}
	return total
}

// startRun runs a request on the server, unless all usable slots are taken, and answers
// the agent when the run ends. An agent that has ended by then gets no answer.
func (s *Server) startRun(h *Host, run *node.Run) {
	token, id := run.Token, run.Request.ID
	sendAnswer := func(delay clock.Millis, a node.ServerAnswer) {
		generation := h.generation
		a.Latency = delay
		s.world.After(delay, func() {
			if h.generation == generation {
				h.whenResumed(func() { h.perform(h.Agent.ServerAnswer(h.localTime(), token, a)) })
			}
		})
	}
	if !s.Up {
		sendAnswer(1, node.ServerAnswer{Kind: node.Unsent})
		return
	}
	s.PeakLoad = math.Max(s.PeakLoad, float64(s.running+1)/s.Capacity())
	if s.running >= int(math.Ceil(s.Capacity())) {
		s.Sheds++
		sendAnswer(1, node.ServerAnswer{Kind: node.Shed})
		return
	}
	s.running++
	s.Runs[id]++
	instance := s.instance
	meanRunTime := s.MeanRunTime
	if meanRunTime == 0 {
		meanRunTime = 10
	}
	runTime := meanRunTime/2 + clock.Millis(s.world.Random.Int64N(int64(meanRunTime)+1))
	s.world.After(runTime, func() {
		if s.instance == instance {
			s.running--
			s.WarmFraction = math.Min(1, s.WarmFraction+s.WarmupStep)
			s.FinishedRuns = append(s.FinishedRuns, FinishedRun{s.world.now, runTime})
		}
	})
	if s.AnswersToLose > 0 {
		s.AnswersToLose--
		sendAnswer(runTime, node.ServerAnswer{Kind: node.Lost})
		return
	}
	sendAnswer(runTime, node.ServerAnswer{Kind: node.Ran, Result: []byte("1")})
}

// SortedKeys returns the keys sorted by their text, so that simulations can be
// repeated.
func SortedKeys(flows map[flow.Key]int) []flow.Key {
	keys := make([]flow.Key, 0, len(flows))
	for key := range flows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b flow.Key) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	return keys
}

// Inject sends a packet to an agent without a balancer, as one with an outdated view
// would do.
func (w *World) Inject(agent *Host, raw []byte) {
	w.transmit(nil, agent, func() { agent.handleDatagram(nil, raw) })
}
