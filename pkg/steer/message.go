package steer

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// MessageKind is the purpose of a message between a balancer and an agent.
type MessageKind uint8

// Kinds of messages. OfferPacket and DenyPacket are followed by the packet, QueryFlows and
// DenyFlows by flows. A trailing comment is the text that String returns.
const (
	// A balancer offers the packet to the agent.
	OfferPacket MessageKind = iota + 1
	// The agent sends the packet back, since its server does not take it.
	DenyPacket
	// The agent reports that its server holds the flow.
	HoldFlow
	// The balancer probes whether the agent is reachable.
	Ping
	// The agent replies to a Ping.
	Pong
	// The agent announces that its process shuts down.
	Shutdown // Goodbye
	// The balancer asks which of several flows the agent's server holds. The agent replies
	// with HoldFlow and DenyFlows.
	QueryFlows
	// The agent's server does not hold these flows of a QueryFlows.
	DenyFlows
)

// MaxVisited is the number of agents that a message has room for.
const MaxVisited = 96

// Message is exchanged between a balancer and an agent, in front of the packet if
// it concerns one.
type Message struct {
	Kind   MessageKind
	Reason Reason
	// LastOffer marks the offer to the least busy server after every candidate was
	// busy: the agent must queue the SYN rather than deny it as Busy.
	LastOffer bool
	// NoOthers says of a LastOffer that no other server is left to offer the SYN to: a denial
	// would end the caller's attempt.
	NoOthers bool
	// Inconclusive is only echoed: balancers of earlier versions set it on a packet whose
	// earlier denials did not prove that the agents' servers do not hold the flow.
	Inconclusive bool
	// KnownOnly forbids the agent from trying its server with a flow that it has no
	// record of: another agent may be the owner.
	KnownOnly bool
	// PacketKept means that the balancer has kept the packet: a denial needs only the
	// flow's key.
	PacketKept bool
	// AgentStartMs is, of a denial as FlowUnknown, the start of the agent's process in Unix
	// milliseconds by its host's clock, 0 if it has missed packets of its server since. It
	// is sent in the place of Revision, which a denial does not need.
	AgentStartMs int64
	// StoreRevision is, of a Ping, the revision of the platform's store that the balancer's
	// view shows. Of a denial it is the newest one that a Ping has told the agent, 0 if none.
	// A Ping carries it in the place of Revision, a denial in the place of Key: not if
	// PacketKept is set, since a denial without its packet needs the key.
	StoreRevision uint64
	State         ServerState  // of the agent's server, in the balancer's view
	Service       ServiceID    // that the packet is for
	Revision      uint64       // of the server's entry in the balancer's view
	ColdRate      int          // new flows a second while the server is cold, 0 if not set
	ColdLeft      clock.Millis // how long it stays cold, 0 if it is warm
	Goal          clock.Millis // response-time goal of the flow's request
	Priority      int          // of that request, 0 is the most urgent
	// TimeLimit is how long the request's caller waits for the answer, in steps of
	// timeLimitStep, 0 if not known.
	TimeLimit clock.Millis
	// TypicalTime is the median time to the first byte of the service's servers, in steps
	// of typicalTimeStep, 0 if not known.
	TypicalTime clock.Millis
	// HasReport says that Utilization and ServiceTime are set. They are sent in the place of
	// ColdRate and ColdLeft, which an agent's message does not need; a message to an agent
	// has no report.
	HasReport bool
	// AnswersQueries says of an agent's message that the agent replies to QueryFlows. Agents
	// of earlier versions do not set it.
	AnswersQueries bool
	Utilization    int                // of the server: the share of its slots that was in use lately, percent
	ServiceTime    clock.Millis       // of the server: mean time to the first byte of an answer, 0 if not known
	Load           int                // of a DenyPacket: Agent.Load
	Slots          int                // requests that the server can run at once
	LeastBusy      place.ID           // least busy agent that denied the packet, 0 if none
	LeastBusyLoad  int                // its requests in percent of its slots
	Key            flow.Key           // of a HoldFlow, or of a denial without a packet
	Visited        [MaxVisited]uint32 // agents that denied the SYN
	VisitedCount   int                // entries of Visited in use
}

// Sizes of an encoded message in bytes.
const (
	headerBytes = 52
	MaxBytes    = headerBytes + 4*MaxVisited
)

// Bits of the flags byte.
const (
	flagLastOffer    = 1 << 0
	flagInconclusive = 1 << 1
	flagKnownOnly    = 1 << 2
	flagPacketKept   = 1 << 3
	flagAgentStarted = 1 << 4
	flagReport       = 1 << 5
	flagNoOthers     = 1 << 6
	flagAnswers      = 1 << 7
)

// flagStoreRevision is a bit of the byte that holds State, which balancers don't read from
// a denial.
const flagStoreRevision = 1 << 7

// Units of times that are sent in one byte. Larger times are sent as 255 units.
const (
	timeLimitStep   = 100 * clock.Millis(1)
	typicalTimeStep = 4 * clock.Millis(1)
)

// ErrMessage is returned for bytes that do not decode to a message.
var ErrMessage = errors.New("malformed message between balancer and agent")

// Size returns the length of the encoded message in bytes.
func (m *Message) Size() int { return headerBytes + 4*m.VisitedCount }

// Encode writes the message into the first Size bytes of b. It panics if b is
// shorter.
func (m *Message) Encode(b []byte) {
	_ = b[m.Size()-1]
	b[0], b[1], b[2], b[3] = byte(m.Kind), byte(m.Reason), m.flags(), byte(m.State)
	binary.BigEndian.PutUint32(b[4:], uint32(m.Service))
	binary.BigEndian.PutUint64(b[8:], m.Revision)
	switch {
	case m.AgentStartMs != 0:
		binary.BigEndian.PutUint64(b[8:], uint64(m.AgentStartMs))
	case m.Kind == Ping:
		binary.BigEndian.PutUint64(b[8:], m.StoreRevision)
	}
	if m.reports() {
		putClamped16(b[16:], m.Utilization)
		putClamped16(b[18:], int(m.ServiceTime))
	} else {
		putClamped16(b[16:], m.ColdRate)
		putClamped16(b[18:], int(m.ColdLeft))
	}
	putClamped16(b[20:], int(m.Goal))
	putClamped16(b[22:], m.Load)
	putClamped16(b[24:], m.Slots)
	putClamped16(b[26:], m.LeastBusyLoad)
	binary.BigEndian.PutUint32(b[28:], uint32(m.LeastBusy))
	copy(b[32:36], m.Key.SourceIP[12:])
	copy(b[36:40], m.Key.TargetIP[12:])
	binary.BigEndian.PutUint16(b[40:], m.Key.SourcePort)
	binary.BigEndian.PutUint16(b[42:], m.Key.TargetPort)
	if m.deniesWithRevision() {
		b[3] |= flagStoreRevision
		binary.BigEndian.PutUint64(b[32:], m.StoreRevision)
	}
	binary.BigEndian.PutUint32(b[44:], uint32(m.VisitedCount))
	putClamped16(b[48:], m.Priority)
	b[50], b[51] = clamped8(m.TypicalTime/typicalTimeStep), clamped8(m.TimeLimit/timeLimitStep)
	for i, id := range m.Visited[:m.VisitedCount] {
		binary.BigEndian.PutUint32(b[headerBytes+4*i:], id)
	}
}

// reports reports whether the message is encoded with a report of its agent.
func (m *Message) reports() bool {
	return m.HasReport && m.fromAgent()
}

// deniesWithRevision reports whether the message is a denial that is encoded with
// StoreRevision.
func (m *Message) deniesWithRevision() bool {
	return m.StoreRevision != 0 && (m.Kind == DenyFlows || m.Kind == DenyPacket && !m.PacketKept)
}

// fromAgent reports whether the message tells of the agent that sends it.
func (m *Message) fromAgent() bool {
	return m.Kind == DenyPacket || m.Kind == HoldFlow || m.Kind == Pong || m.Kind == DenyFlows
}

func (m *Message) flags() byte {
	var f byte
	if m.LastOffer {
		f |= flagLastOffer
	}
	if m.Inconclusive {
		f |= flagInconclusive
	}
	if m.KnownOnly {
		f |= flagKnownOnly
	}
	if m.PacketKept {
		f |= flagPacketKept
	}
	if m.AgentStartMs != 0 {
		f |= flagAgentStarted
	}
	if m.reports() {
		f |= flagReport
	}
	if m.NoOthers {
		f |= flagNoOthers
	}
	if m.AnswersQueries && m.fromAgent() {
		f |= flagAnswers
	}
	return f
}

// Decode reads a message from the start of b and returns the bytes after it. It
// returns ErrMessage if b holds no valid message.
func (m *Message) Decode(b []byte) ([]byte, error) {
	if len(b) < headerBytes {
		return nil, ErrMessage
	}
	count := binary.BigEndian.Uint32(b[44:])
	kind := MessageKind(b[0])
	if kind < OfferPacket || kind > DenyFlows || count > MaxVisited || len(b) < headerBytes+4*int(count) {
		return nil, ErrMessage
	}
	m.Kind, m.Reason, m.State = kind, Reason(b[1]), ServerState(b[3]&^flagStoreRevision)
	m.LastOffer, m.Inconclusive = b[2]&flagLastOffer != 0, b[2]&flagInconclusive != 0
	m.KnownOnly, m.PacketKept = b[2]&flagKnownOnly != 0, b[2]&flagPacketKept != 0
	m.Service = ServiceID(binary.BigEndian.Uint32(b[4:]))
	m.Revision, m.AgentStartMs, m.StoreRevision = binary.BigEndian.Uint64(b[8:]), 0, 0
	switch {
	case b[2]&flagAgentStarted != 0:
		m.Revision, m.AgentStartMs = 0, int64(m.Revision)
	case kind == Ping:
		m.Revision, m.StoreRevision = 0, m.Revision
	}
	m.HasReport, m.NoOthers, m.AnswersQueries = b[2]&flagReport != 0, b[2]&flagNoOthers != 0, b[2]&flagAnswers != 0
	m.ColdRate, m.ColdLeft, m.Utilization, m.ServiceTime = 0, 0, 0, 0
	if m.HasReport {
		m.Utilization = int(binary.BigEndian.Uint16(b[16:]))
		m.ServiceTime = clock.Millis(binary.BigEndian.Uint16(b[18:]))
	} else {
		m.ColdRate = int(binary.BigEndian.Uint16(b[16:]))
		m.ColdLeft = clock.Millis(binary.BigEndian.Uint16(b[18:]))
	}
	m.Goal = clock.Millis(binary.BigEndian.Uint16(b[20:]))
	m.Load = int(binary.BigEndian.Uint16(b[22:]))
	m.Slots = int(binary.BigEndian.Uint16(b[24:]))
	m.LeastBusyLoad = int(binary.BigEndian.Uint16(b[26:]))
	m.LeastBusy = place.ID(binary.BigEndian.Uint32(b[28:]))
	m.Key = KeyOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[32:36])), binary.BigEndian.Uint16(b[40:])),
		netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[36:40])), binary.BigEndian.Uint16(b[42:])))
	if b[3]&flagStoreRevision != 0 {
		m.StoreRevision, m.Key = binary.BigEndian.Uint64(b[32:]), flow.Key{}
	}
	m.Priority = int(binary.BigEndian.Uint16(b[48:]))
	m.TypicalTime, m.TimeLimit = clock.Millis(b[50])*typicalTimeStep, clock.Millis(b[51])*timeLimitStep
	m.VisitedCount = int(count)
	for i := range m.Visited[:m.VisitedCount] {
		m.Visited[i] = binary.BigEndian.Uint32(b[headerBytes+4*i:])
	}
	return b[m.Size():], nil
}

// KeyOf returns the key of the flow between a caller's and a service's address.
func KeyOf(caller, service netip.AddrPort) flow.Key { return flow.NewKey(caller, service, 0) }

// visited reports whether an agent has already denied the packet.
func (m *Message) visited(id place.ID) bool {
	for _, v := range m.Visited[:m.VisitedCount] {
		if v == uint32(id) {
			return true
		}
	}
	return false
}

// addVisited records a denial. It returns false if there is no room for it.
func (m *Message) addVisited(id place.ID) bool {
	if m.VisitedCount == MaxVisited || m.visited(id) {
		return m.visited(id)
	}
	m.Visited[m.VisitedCount] = uint32(id)
	m.VisitedCount++
	return true
}

// clamped8 returns a number, clamped to the range of 8 bits.
func clamped8(v clock.Millis) byte { return byte(max(0, min(v, 1<<8-1))) }

// putClamped16 writes a number, clamped to the range of 16 bits.
func putClamped16(b []byte, v int) {
	binary.BigEndian.PutUint16(b, uint16(max(0, min(v, 1<<16-1))))
}
