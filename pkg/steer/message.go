package steer

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// MessageKind says what a message between a balancer and an agent is for.
type MessageKind uint8

// Kinds of messages. OfferPacket and DenyPacket are followed by the packet.
const (
	OfferPacket MessageKind = iota + 1 // balancer: take this packet
	DenyPacket                         // agent: not here
	HoldFlow                           // agent: my server holds this flow
	Ping                               // balancer: are you there
	Pong                               // agent: yes
	Goodbye                            // agent: this process ends
)

// MaxVisited is the number of agents that one packet may be offered to. With
// more agents than that the last word is silence, never a reset.
const MaxVisited = 96

// Message travels between a balancer and an agent in front of the packet.
type Message struct {
	Kind      MessageKind
	Reason    Reason
	Final     bool         // every candidate was busy: the least busy one is asked
	Unsure    bool         // an agent before did not say for certain that it holds nothing
	KnownOnly bool         // take the packet only if the server is known to hold its flow: an agent that came before could not be asked
	State     ServerState  // of the agent's server, as the balancer knows it
	Service   ServiceID    // that the packet is for
	Revision  uint64       // of what the balancer knows of the agent's server
	ColdRate  int          // new flows a second that the server bears while it is cold, 0 if not said
	ColdLeft  clock.Millis // how long it stays cold, 0 if it is warm
	Goal      clock.Millis // response-time goal of the request that a new flow carries
	Priority  int          // of that request, 0 is the most urgent
	Load      int          // requests in progress at the agent's server
	Slots     int          // requests that it can run at once
	Best      place.ID     // least busy agent that denied the packet, 0 if none
	BestLoad  int          // its requests for each hundred slots
	Key       flow.Key     // of a HoldFlow
	Visited   [MaxVisited]uint32
	Count     int // of Visited
}

// Sizes of an encoded message in bytes.
const (
	headBytes = 52
	MaxBytes  = headBytes + 4*MaxVisited
)

// Bits of the flags byte.
const (
	flagFinal  = 1 << 0
	flagUnsure = 1 << 1
	flagKnown  = 1 << 2
)

// ErrMessage is returned for bytes that are no message.
var ErrMessage = errors.New("malformed message between balancer and agent")

// Size is the length of the encoded message in bytes.
func (m *Message) Size() int { return headBytes + 4*m.Count }

// Encode writes the message into the first Size bytes of the slice.
func (m *Message) Encode(b []byte) {
	_ = b[m.Size()-1]
	b[0], b[1], b[2], b[3] = byte(m.Kind), byte(m.Reason), m.flags(), byte(m.State)
	binary.BigEndian.PutUint32(b[4:], uint32(m.Service))
	binary.BigEndian.PutUint64(b[8:], m.Revision)
	put16(b[16:], m.ColdRate)
	put16(b[18:], int(m.ColdLeft))
	put16(b[20:], int(m.Goal))
	put16(b[22:], m.Load)
	put16(b[24:], m.Slots)
	put16(b[26:], m.BestLoad)
	binary.BigEndian.PutUint32(b[28:], uint32(m.Best))
	copy(b[32:36], m.Key.SourceIP[12:])
	copy(b[36:40], m.Key.TargetIP[12:])
	binary.BigEndian.PutUint16(b[40:], m.Key.SourcePort)
	binary.BigEndian.PutUint16(b[42:], m.Key.TargetPort)
	binary.BigEndian.PutUint32(b[44:], uint32(m.Count))
	put16(b[48:], m.Priority)
	put16(b[50:], 0)
	for i, id := range m.Visited[:m.Count] {
		binary.BigEndian.PutUint32(b[headBytes+4*i:], id)
	}
}

func (m *Message) flags() byte {
	var f byte
	if m.Final {
		f |= flagFinal
	}
	if m.Unsure {
		f |= flagUnsure
	}
	if m.KnownOnly {
		f |= flagKnown
	}
	return f
}

// Decode reads a message and returns the bytes after it.
func (m *Message) Decode(b []byte) ([]byte, error) {
	if len(b) < headBytes {
		return nil, ErrMessage
	}
	count := binary.BigEndian.Uint32(b[44:])
	kind := MessageKind(b[0])
	if kind < OfferPacket || kind > Goodbye || count > MaxVisited || len(b) < headBytes+4*int(count) {
		return nil, ErrMessage
	}
	m.Kind, m.Reason, m.State = kind, Reason(b[1]), ServerState(b[3])
	m.Final, m.Unsure = b[2]&flagFinal != 0, b[2]&flagUnsure != 0
	m.KnownOnly = b[2]&flagKnown != 0
	m.Service = ServiceID(binary.BigEndian.Uint32(b[4:]))
	m.Revision = binary.BigEndian.Uint64(b[8:])
	m.ColdRate = int(binary.BigEndian.Uint16(b[16:]))
	m.ColdLeft = clock.Millis(binary.BigEndian.Uint16(b[18:]))
	m.Goal = clock.Millis(binary.BigEndian.Uint16(b[20:]))
	m.Load = int(binary.BigEndian.Uint16(b[22:]))
	m.Slots = int(binary.BigEndian.Uint16(b[24:]))
	m.BestLoad = int(binary.BigEndian.Uint16(b[26:]))
	m.Best = place.ID(binary.BigEndian.Uint32(b[28:]))
	m.Key = KeyOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[32:36])), binary.BigEndian.Uint16(b[40:])),
		netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[36:40])), binary.BigEndian.Uint16(b[42:])))
	m.Priority = int(binary.BigEndian.Uint16(b[48:]))
	m.Count = int(count)
	for i := range m.Visited[:m.Count] {
		m.Visited[i] = binary.BigEndian.Uint32(b[headBytes+4*i:])
	}
	return b[m.Size():], nil
}

// KeyOf builds the key of a flow from the caller's and the service's address.
func KeyOf(caller, service netip.AddrPort) flow.Key { return flow.NewKey(caller, service, 0) }

// visited reports whether an agent has denied the packet already.
func (m *Message) visited(id place.ID) bool {
	for _, v := range m.Visited[:m.Count] {
		if v == uint32(id) {
			return true
		}
	}
	return false
}

// visit notes a denial. It reports false if there is no room for it.
func (m *Message) visit(id place.ID) bool {
	if m.Count == MaxVisited || m.visited(id) {
		return m.visited(id)
	}
	m.Visited[m.Count] = uint32(id)
	m.Count++
	return true
}

// put16 writes a number that is held within 16 bits.
func put16(b []byte, v int) {
	binary.BigEndian.PutUint16(b, uint16(max(0, min(v, 1<<16-1))))
}
