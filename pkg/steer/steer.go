// Package steer decides, packet by packet, which agent a flow belongs to when
// the packets are opaque and servers publish themselves. A Balancer offers a
// packet to one agent after the other; an Agent delivers it to its server or
// denies it. The server itself is the truth about its flows: it returns what it
// does not hold. Nothing here does I/O or reads a clock.
package steer

import (
	"encoding/binary"
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/cespare/xxhash/v2"
)

//go:generate go tool stringer -type=Reason -output=reason_string.go
//go:generate go tool stringer -type=Verdict -output=verdict_string.go
//go:generate go tool stringer -type=MessageKind -output=messagekind_string.go
//go:generate go tool stringer -type=ServerState -output=serverstate_string.go

// Packet is what the decisions need to know of one packet.
type Packet struct {
	Key      flow.Key // as the caller sends it, also for packets of the server
	First    bool     // opens a flow; together with HasAck, the server's answer to that
	HasAck   bool
	Last     bool // its sender has sent everything
	Reset    bool
	Returned bool // the server did not accept it
	Copy     int  // of a first packet: 0 for the original, then 1, 2
	Seq      uint32
	Ack      uint32
	Bytes    int // of data
}

// Reason explains a decision.
type Reason uint8

// Reasons.
const (
	None           Reason = iota
	NewFlow               // the flow is being opened
	KnownOwner            // an agent has said that its server holds the flow
	Searching             // the owner is not known yet
	NoRoute               // no route of the configuration matches
	NoView                // the process knows no configuration or servers yet
	NoServer              // no server may take a new flow
	NotHeld               // the server does not hold the flow
	NotKnown              // the agent has not seen the flow, and was not to try its server
	WrongService          // the agent's server belongs to another service
	ServerGone            // the server has ended
	ServerSilent          // the server does not answer first packets
	ServerFull            // the server returned a first packet
	Busy                  // another server may have free capacity
	Overloaded            // the answer would come too late
	Cold                  // the server bears no more new flows so soon after its start
	Draining              // the server takes no new flows
	EveryoneDenied        // every server that may hold the flow has denied it
	OutOfService          // the data centre has been taken out
	StaleView             // the view is too old to say that nobody holds the flow
	Woken                 // the process slept and has not refreshed its view
	Malformed             // the packet or message could not be read
	TooMany               // the service has more servers than one packet can be offered to
	Queued                // the first packet waits for a free slot
	Misplaced             // acknowledges another server's answer
)

// Certain reports whether a denial means that the server cannot hold the flow.
func (r Reason) Certain() bool {
	return r == NotHeld || r == WrongService || r == ServerGone || r == Misplaced
}

// Verdict is what happens to a packet.
type Verdict uint8

// Verdicts.
const (
	Drop     Verdict = iota // discard it without an answer
	Offer                   // send it to an agent
	Deliver                 // hand it to the server
	Deny                    // send it back to the balancer
	ToCaller                // send it to the caller
	Refuse                  // answer the caller with a reset
	Wait                    // keep it until the server has a free slot, or the view is fresh
)

// AgentOf identifies the agent at an IPv4 address.
func AgentOf(addr netip.Addr) place.ID {
	b := addr.As4()
	return place.ID(binary.BigEndian.Uint32(b[:]))
}

// AddrOf is the address of an agent.
func AddrOf(id place.ID) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(id))
	return netip.AddrFrom4(b)
}

// ServiceID identifies a service in messages by a hash of its name.
type ServiceID uint32

// ServiceOf derives the identifier of a name.
func ServiceOf(name string) ServiceID { return ServiceID(xxhash.Sum64String(name)) }
