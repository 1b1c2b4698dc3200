// Package steer decides which agent receives each packet of a flow. Packets are
// opaque, and backend servers register themselves with the platform. A Balancer
// offers a packet to one agent after another; an Agent, one on each server's host,
// delivers it to its server or denies it.
//
// The server that accepted a flow is its holder, and that server's agent the flow's
// owner. Balancers cache owners, and search among all agents if they have none cached.
// The server is authoritative for its flows: it returns packets of flows that it does
// not hold. A Registry holds a balancer's record of servers and configuration, and a
// View is its snapshot for decisions. A Message travels in front of each packet between
// balancers and agents.
//
// The package does no I/O and reads no clock: every call passes the present time. Of
// package flow it uses only Key and Cache.
package steer

import (
	"encoding/binary"
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/cespare/xxhash/v2"
)

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go
//go:generate go tool stringer -type=Verdict -output=verdict_string.go
//go:generate go tool stringer -type=MessageKind -linecomment -output=messagekind_string.go
//go:generate go tool stringer -type=ServerState -linecomment -output=serverstate_string.go

// Packet holds the header fields of a packet that the decisions depend on.
type Packet struct {
	Key      flow.Key     // in the caller's direction, also for packets of the server
	SYN      bool         // opens a flow, or with HasACK accepts it
	HasACK   bool         // the ACK flag is set: Ack is valid
	FIN      bool         // its sender has sent all its data
	RST      bool         // its sender aborts the flow
	Returned bool         // the server did not accept it
	Copy     int          // of a SYN: 0 for the original, 1 and 2 for retransmissions
	Age      clock.Millis // of a SYN: how long before it the caller sent the original
	Seq      uint32
	Ack      uint32
	Bytes    int // length of the data
}

// Reason explains a decision.
type Reason uint8

// Reasons. A trailing comment is the text that String returns.
const (
	NoReason Reason = iota // None
	// The flow is being opened.
	NewFlow
	// An agent has reported that its server holds the flow.
	KnownOwner
	// The owner of the flow is not known: the agents are tried one after another.
	Searching
	// No route of the configuration matches.
	NoRoute
	// The process has no configuration or no list of servers yet.
	NoView
	// No server takes new flows.
	NoServer
	// The server returned a packet of the flow, so it does not hold it.
	NotHeld
	// The agent has no record of the flow and was not allowed to try its server.
	FlowUnknown // NotKnown
	// The agent's server belongs to another service.
	WrongService
	// The server has ended.
	ServerGone
	// The server does not answer SYNs.
	ServerSilent
	// The server returned a SYN.
	ServerFull
	// All slots are in use; another server may have a free one.
	Busy
	// The SYN has waited too long in the agent's queue, or the queue is too long.
	Overloaded
	// The server started recently and has reached its limit of new flows.
	Cold
	// The server drains or is unlisted, or its agent shuts down.
	Draining
	// Every agent whose server may hold the flow has denied it.
	AllDenied // EveryoneDenied
	// A server that may hold the flow is in a data centre that is out of service, or a
	// denial did not prove that no server holds it.
	OutOfService
	// The view is too old to conclude that no server holds the flow.
	StaleView
	// The process was suspended: its view or the packet may be outdated.
	Suspended // Woken
	// The packet or message could not be decoded, or the server returned a packet of a
	// flow that the agent has no balancer for.
	Malformed
	// The balancer searches for the holders of too many other flows.
	TooManySearches // TooMany
	// The SYN waits for a free slot.
	Queued
	// The packet acknowledges a sequence number of another server.
	AckMismatch // Misplaced
	// The agent that may hold the flow has been silent for too long.
	Unreachable // Unreachable
	// The agents that could take the packet were just listed and have not yet replied.
	AgentsStarting // AgentsStarting
)

// Certain reports whether a denial with this reason proves that the server does not
// hold the flow.
func (r Reason) Certain() bool {
	return r == NotHeld || r == WrongService || r == ServerGone || r == AckMismatch
}

// Verdict says what is done with a packet.
type Verdict uint8

// Verdicts.
const (
	Drop     Verdict = iota // discard it without a reply
	Offer                   // send it to an agent
	Deliver                 // hand it to the server
	Deny                    // send it back to the balancer
	ToCaller                // send it to the caller
	Refuse                  // send a reset to the caller
	Wait                    // hold it until the server has a free slot, or the view is fresh
)

// AgentOf returns the identifier of the agent at an IPv4 address.
func AgentOf(addr netip.Addr) place.ID {
	b := addr.As4()
	return place.ID(binary.BigEndian.Uint32(b[:]))
}

// AddrOf returns the IPv4 address of an agent, the inverse of AgentOf.
func AddrOf(id place.ID) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(id))
	return netip.AddrFrom4(b)
}

// ServiceID is a hash of a service's name that identifies the service in messages.
type ServiceID uint32

// ServiceOf returns the identifier of the service with a name.
func ServiceOf(name string) ServiceID { return ServiceID(xxhash.Sum64String(name)) }
